"""Spreads what is known of crashing requests to connected daemons."""

from typing import Any

import attrs

from egretlanding.frames import Suspicion
from egretlanding.peers import PeerNode
from egretlanding.quarantine import FactKind, Quarantine, RequestFact

MS_PER_S = 1_000


@attrs.define(eq=False)
class Suspicions:
    """Tells the daemons that send calls here at once of a crash.

    Notices reach the rest of the fleet later, by the control exchange.

    Attributes:
        reactor: The reactor that gives the time.
        node: The connections to other daemons.
        quarantine: What is known of crashing requests.
    """

    reactor: Any
    node: PeerNode
    quarantine: Quarantine

    def spread(self) -> None:
        """Tells all connected daemons what this one knows."""
        for fact in self.quarantine.facts(self.reactor.seconds()):
            self.node.broadcast(
                Suspicion(
                    fact.kind.value,
                    fact.signature,
                    sorted(fact.crashes),
                    int(fact.ttl_s * MS_PER_S),
                ),
            )

    def take(self, frame: Suspicion) -> None:
        """Takes what another daemon knows."""
        if frame.kind not in set(FactKind):
            return
        fact = RequestFact(
            FactKind(frame.kind),
            frame.signature,
            frozenset(frame.crashes),
            frame.ttl_ms / MS_PER_S,
        )
        self.quarantine.merge(fact, self.reactor.seconds())
