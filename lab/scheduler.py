"""Runs replicas in one process, in model time, over a modelled network."""

import heapq
import itertools
from collections import Counter
from collections.abc import Callable, Sequence
from typing import Any

import attrs

from egretlanding.replica import Replica

WAKE_GAP_S = 1.0


@attrs.frozen
class Event:
    """Something that happens to a replica.

    Attributes:
        replica: The replica; nothing happens if it has been replaced.
        action: What is called with the replica and the arguments.
        arguments: Further arguments.
    """

    replica: Replica
    action: Callable[..., None]
    arguments: tuple[Any, ...]


@attrs.define
class Scheduler:
    """Replicas, the messages between them, and the time.

    Attributes:
        build: Builds the replica of a host that starts.
        delays: The delays of the copies of a message by sender, receiver
            and size in bytes; no copy means that it is lost.
        now: The time, seconds.
        replicas: The running replicas by host id.
        paused: Since when hosts are paused, seconds.
        stalled: What waits for a paused host.
        events: What happens next, as a heap.
        order: Numbers events, so that those of one time keep their order.
        sent: Bytes sent by sender and receiver.
        messages: Messages sent, by sender.
    """

    build: Callable[[str, float], Replica]
    delays: Callable[[str, str, int], Sequence[float]]
    now: float = 0
    replicas: dict[str, Replica] = attrs.field(factory=dict)
    paused: dict[str, float] = attrs.field(factory=dict)
    stalled: dict[str, list[Event]] = attrs.field(factory=dict)
    events: list[tuple[float, int, Event]] = attrs.field(factory=list)
    order: Any = attrs.field(factory=itertools.count)
    sent: Counter[tuple[str, str]] = attrs.field(factory=Counter)
    messages: Counter[str] = attrs.field(factory=Counter)

    def start(self, host_id: str) -> None:
        """Starts or restarts the daemon of a host."""
        replica = self.build(host_id, self.now)
        self.replicas[host_id] = replica
        self.paused.pop(host_id, None)
        self.stalled.pop(host_id, None)
        self.begin(replica)

    def pause(self, host_id: str) -> None:
        """Stops a daemon without its noticing."""
        self.paused.setdefault(host_id, self.now)

    def wake(self, host_id: str) -> None:
        """Lets a paused daemon go on with what has piled up."""
        since = self.paused.pop(host_id, self.now)
        replica = self.replicas[host_id]
        if self.now - since > WAKE_GAP_S:
            replica.restart(self.now, self.now - since)
        for event in self.stalled.pop(host_id, ()):
            self.at(0, event.replica, event.action, *event.arguments)

    def advance(self, seconds: float) -> None:
        """Lets the time pass."""
        end = self.now + seconds
        while self.events and self.events[0][0] <= end:
            moment, _, event = heapq.heappop(self.events)
            self.now = moment
            self.run(event)
        self.now = end

    def at(
        self,
        delay: float,
        replica: Replica,
        action: Callable[..., None],
        *arguments: Any,
    ) -> None:
        """Plans what happens to a replica after a delay."""
        event = Event(replica, action, arguments)
        heapq.heappush(
            self.events,
            (self.now + delay, next(self.order), event),
        )

    def send(
        self,
        source: str,
        target: str,
        size: int,
        action: Callable[..., None],
        *arguments: Any,
    ) -> None:
        """Sends a message of some bytes, whose arrival is an action."""
        self.sent[source, target] += size
        self.messages[source] += 1
        replica = self.replicas.get(target)
        if replica is not None:
            for delay in self.delays(source, target, size):
                self.at(delay, replica, action, *arguments)

    def begin(self, replica: Replica) -> None:
        """Plans the first event of a replica that has started."""
        raise NotImplementedError

    def run(self, event: Event) -> None:
        """Lets an event happen, or puts it off while its host is paused."""
        host_id = event.replica.config.host.host_id
        if self.replicas.get(host_id) is not event.replica:
            return
        if host_id in self.paused:
            self.stalled.setdefault(host_id, []).append(event)
            return
        event.action(event.replica, *event.arguments)
