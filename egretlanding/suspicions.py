"""Sends evidence on crashing requests to other daemons."""

import random
from collections.abc import Iterator
from typing import Any

import attrs

from egretlanding.events import Event, Severity, log_event
from egretlanding.frames import Suspicion
from egretlanding.peers import PeerConnection, PeerContext
from egretlanding.quarantine import (
    CRASHES_TO_QUARANTINE,
    Crash,
    FactKind,
    Quarantine,
    RequestFact,
    host_of,
)

MS_PER_S = 1_000
# Daemons that each daemon tells of news that it has heard. With 8, news
# reaches nearly all of 1,300 daemons in four rounds, without each of them
# sending it to each other one.
FORWARD_COUNT = 8
# Requests with fewer crashes are far from being refused, and are not passed on.
MIN_CRASHES_TO_FORWARD = CRASHES_TO_QUARANTINE - 1


@attrs.define(eq=False)
class Suspicions:
    """Shares what is known of crashes with other daemons.

    The connected ones get it at the time of a crash, and each daemon gets all
    of it when it connects: it may have started since, or not have been
    connected then. A daemon that knows of a completed run tells the daemons
    beside the crashed targets, which tell all daemons that they told of the
    crash. News of requests near or in quarantine is passed on.

    Attributes:
        reactor: The reactor that gives the time.
        context: The connections to other daemons.
        quarantine: The evidence on crashing requests.
        rng: Chooses the daemons to which news is passed on.
        trials: Number of trial runs at the local target.
    """

    reactor: Any
    context: PeerContext
    quarantine: Quarantine
    rng: random.Random = attrs.field(factory=random.Random)
    trials: int = 0

    def broadcast(self) -> None:
        """Sends this daemon's evidence to all connected daemons."""
        for frame in self.frames():
            self.context.broadcast(frame)

    def broadcast_one(self, signature: str) -> None:
        """Sends the evidence on one request to all connected daemons."""
        self.context.broadcast(self.frame(signature))

    def announce_trial(self, signature: str) -> None:
        """Tells all connected daemons that a trial run is about to begin."""
        self.trials += 1
        log_event(
            Event.CALL_TRIED,
            'target runs a refused request to find out if it still crashes it',
            Severity.WARNING,
            subject=signature,
        )
        self.broadcast_one(signature)

    def hand_over(self, connection: PeerConnection) -> None:
        """Sends this daemon's evidence to a daemon that has connected."""
        for frame in self.frames():
            connection.send(frame)

    def frames(self) -> Iterator[Suspicion]:
        """Yields this daemon's evidence, the most severe first."""
        return map(frame_of_fact, self.quarantine.facts(self.reactor.seconds()))

    def frame(self, signature: str) -> Suspicion:
        """Returns the evidence on one request."""
        return frame_of_fact(
            self.quarantine.fact(signature, self.reactor.seconds())
        )

    def report_news(self, signature: str, hosts: frozenset[str]) -> None:
        """Tells the daemons beside crashed targets and a few others of news.

        A daemon beside a crashed target tells all connected ones.

        Args:
            signature: The request on which there is new evidence.
            hosts: The hosts of the crashed targets.
        """
        if self.context.hello.host_id in hosts:
            self.broadcast_one(signature)
            return
        connections, frame = self.connections_by_host(), self.frame(signature)
        count = min(FORWARD_COUNT, len(connections))
        chosen = self.rng.sample(sorted(connections), count)
        for host_id in sorted({*chosen, *hosts} & connections.keys()):
            connections[host_id].send(frame)

    def connections_by_host(self) -> dict[str, PeerConnection]:
        """Returns one open connection to each connected daemon."""
        return {
            connection.peer.host_id: connection
            for connection in self.context.connections
            if connection.peer is not None and connection.is_open()
        }

    def handle_suspicion(self, frame: Suspicion) -> None:
        """Merges the evidence of another daemon; unknown kinds are ignored."""
        if frame.kind not in set(FactKind):
            return
        fact = fact_of_frame(frame)
        is_news = self.quarantine.merge(fact, self.reactor.seconds())
        hosts = self.quarantine.hosts_to_correct(fact)
        if hosts:
            self.report_news(fact.signature, hosts)
        elif is_news:
            self.pass_on(fact.signature)

    def pass_on(self, signature: str) -> None:
        """Sends news on a request to the daemons that should know it."""
        crashes = self.quarantine.suspects[signature].crashes
        if len(crashes) >= MIN_CRASHES_TO_FORWARD:
            self.report_news(signature, frozenset(map(host_of, crashes)))


def frame_of_fact(fact: RequestFact) -> Suspicion:
    """Returns the frame that tells a fact."""
    processes = sorted(fact.crashes)
    crashes = [fact.crashes[process] for process in processes]
    return Suspicion(
        fact.kind.value,
        fact.signature,
        processes,
        int(fact.ttl_s * MS_PER_S),
        [
            (-int(crash.began * MS_PER_S), -int(crash.at * MS_PER_S))
            for crash in crashes
        ],
        [process for process in processes if fact.crashes[process].voided],
        [process for process in processes if fact.crashes[process].tried],
    )


def fact_of_frame(frame: Suspicion) -> RequestFact:
    """Returns the fact that a frame tells; an earlier build sends no times."""
    kind, ttl_s = FactKind(frame.kind), frame.ttl_ms / MS_PER_S
    if len(frame.ages_ms) != len(frame.crashes):
        return RequestFact.without_times(
            kind, frame.signature, frame.crashes, ttl_s
        )
    ages = zip(frame.crashes, frame.ages_ms, strict=True)
    crashes = {
        process: Crash(
            -began_ms / MS_PER_S,
            -crashed_ms / MS_PER_S,
            process in frame.voided,
            process in frame.tried,
        )
        for process, (began_ms, crashed_ms) in ages
    }
    return RequestFact(kind, frame.signature, crashes, ttl_s)
