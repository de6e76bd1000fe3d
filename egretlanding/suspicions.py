"""Sends evidence on crashing requests to other daemons."""

from collections.abc import Iterator
from typing import Any

import attrs

from egretlanding.frames import Suspicion
from egretlanding.peers import PeerConnection, PeerContext
from egretlanding.quarantine import FactKind, Quarantine, RequestFact

MS_PER_S = 1_000


@attrs.define(eq=False)
class Suspicions:
    """Shares what is known of crashes with the connected daemons.

    They get it at the time of a crash, and each daemon gets all of it when it
    connects: it may have started since, or not have been connected then.

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
        for frame in self.frames():
            self.context.broadcast(frame)

    def hand_over(self, connection: PeerConnection) -> None:
        """Sends this daemon's evidence to a daemon that has connected."""
        for frame in self.frames():
            connection.send(frame)

    def frames(self) -> Iterator[Suspicion]:
        """Yields this daemon's evidence, the most severe first."""
        return (
            Suspicion(
                fact.kind.value,
                fact.signature,
                sorted(fact.crashes),
                int(fact.ttl_s * MS_PER_S),
            )
            for fact in self.quarantine.facts(self.reactor.seconds())
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
