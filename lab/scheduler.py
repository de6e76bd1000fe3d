"""Runs replicas in one process with simulated time and network."""

import heapq
import itertools
from collections import Counter
from collections.abc import Callable, Sequence
from typing import Any

import attrs

from egretlanding.replica import Replica

MIN_PAUSE_S = 1.0


@attrs.frozen
class Event:
    """A scheduled action on a replica.

    Attributes:
        replica: The replica; the event is dropped if its host has restarted.
        action: Function called with the replica and the arguments.
        arguments: Further arguments.
    """

    replica: Replica
    action: Callable[..., None]
    arguments: tuple[Any, ...]


@attrs.define
class Scheduler:
    """Discrete-event simulation of replicas and their messages.

    Attributes:
        build: Builds the replica of a host that starts.
        delays: Returns the delay of each copy of a message, seconds, from
            its sender, receiver and size in bytes; none if it is lost.
        now: Model time, seconds.
        replicas: The running replicas by host id.
        paused: When each paused host was paused, seconds.
        deferred: Events due at a paused host, run when it resumes.
        events: Heap of scheduled events, each with its time and number.
        sequence: Numbers events, so that those due at the same time run
            in the order in which they were scheduled.
        sent: Bytes sent by sender and receiver.
        messages: Messages sent, by sender.
    """

    build: Callable[[str, float], Replica]
    delays: Callable[[str, str, int], Sequence[float]]
    now: float = 0
    replicas: dict[str, Replica] = attrs.field(factory=dict)
    paused: dict[str, float] = attrs.field(factory=dict)
    deferred: dict[str, list[Event]] = attrs.field(factory=dict)
    events: list[tuple[float, int, Event]] = attrs.field(factory=list)
    sequence: Any = attrs.field(factory=itertools.count)
    sent: Counter[tuple[str, str]] = attrs.field(factory=Counter)
    messages: Counter[str] = attrs.field(factory=Counter)

    def start(self, host_id: str) -> None:
        """Starts or restarts the daemon of a host."""
        replica = self.build(host_id, self.now)
        self.replicas[host_id] = replica
        self.paused.pop(host_id, None)
        self.deferred.pop(host_id, None)
        self.schedule_first_event(replica)

    def pause(self, host_id: str) -> None:
        """Pauses a daemon's process without informing the daemon."""
        self.paused.setdefault(host_id, self.now)

    def resume(self, host_id: str) -> None:
        """Resumes a paused daemon and runs the events that were deferred."""
        paused_at = self.paused.pop(host_id, self.now)
        replica = self.replicas[host_id]
        if self.now - paused_at > MIN_PAUSE_S:
            replica.restart(self.now, self.now - paused_at)
        for event in self.deferred.pop(host_id, ()):
            self.schedule(0, event.replica, event.action, *event.arguments)

    def advance(self, seconds: float) -> None:
        """Runs the events of the next seconds."""
        end = self.now + seconds
        while self.events and self.events[0][0] <= end:
            event_time, _, event = heapq.heappop(self.events)
            self.now = event_time
            self.run(event)
        self.now = end

    def schedule(
        self,
        delay: float,
        replica: Replica,
        action: Callable[..., None],
        *arguments: Any,
    ) -> None:
        """Schedules an action on a replica after a delay, seconds."""
        event = Event(replica, action, arguments)
        heapq.heappush(
            self.events,
            (self.now + delay, next(self.sequence), event),
        )

    def send(
        self,
        sender: str,
        receiver: str,
        size: int,
        action: Callable[..., None],
        *arguments: Any,
    ) -> None:
        """Sends a message.

        Args:
            sender: Host or store that sends it.
            receiver: Host that receives it.
            size: Its size, bytes.
            action: Called with the receiving replica when it arrives.
            arguments: Further arguments of the action.
        """
        self.sent[sender, receiver] += size
        self.messages[sender] += 1
        replica = self.replicas.get(receiver)
        if replica is not None:
            for delay in self.delays(sender, receiver, size):
                self.schedule(delay, replica, action, *arguments)

    def schedule_first_event(self, replica: Replica) -> None:
        """Schedules the first event of a replica that has started."""
        raise NotImplementedError

    def run(self, event: Event) -> None:
        """Runs an event, or defers it while its host is paused."""
        host_id = event.replica.config.host.host_id
        if self.replicas.get(host_id) is not event.replica:
            return
        if host_id in self.paused:
            self.deferred.setdefault(host_id, []).append(event)
            return
        event.action(event.replica, *event.arguments)
