"""Sends evidence on crashing requests to the connected daemons."""

from typing import Any

import attrs

from egretlanding.frames import Suspicion
from egretlanding.peers import PeerContext
from egretlanding.quarantine import FactKind, Quarantine, RequestFact

MS_PER_S = 1_000


@attrs.define(eq=False)
class Suspicions:
    """Reports crashes at once to the daemons that exchange calls with this one.

    The other daemons get notices later, by the exchange between partners.

    Attributes:
        reactor: The reactor that gives the time.
        context: The connections to other daemons.
        quarantine: The evidence on crashing requests.
    """

    reactor: Any
    context: PeerContext
    quarantine: Quarantine

    def broadcast(self) -> None:
        """Sends this daemon's evidence to all connected daemons."""
        for fact in self.quarantine.facts(self.reactor.seconds()):
            self.context.broadcast(
                Suspicion(
                    fact.kind.value,
                    fact.signature,
                    sorted(fact.crashes),
                    int(fact.ttl_s * MS_PER_S),
                ),
            )

    def handle_suspicion(self, frame: Suspicion) -> None:
        """Merges the evidence of another daemon; unknown kinds are ignored."""
        if frame.kind not in set(FactKind):
            return
        fact = RequestFact(
            FactKind(frame.kind),
            frame.signature,
            frozenset(frame.crashes),
            frame.ttl_ms / MS_PER_S,
        )
        self.quarantine.merge(fact, self.reactor.seconds())
