"""Admits calls to the slots of the one target beside a daemon."""

import math

import attrs

from egretlanding.limits import ConcurrencyLimit
from egretlanding.objects import Service, WorkClass
from egretlanding.outcomes import Reason, Refusal
from egretlanding.servicetimes import ServiceTimes
from egretlanding.slots import QueuedCall, Slots, Waiting


@attrs.frozen
class Start:
    """The call has a slot now.

    Attributes:
        call: The call.
    """

    call: QueuedCall


@attrs.frozen
class Wait:
    """The call is queued.

    Attributes:
        call: The call.
    """

    call: QueuedCall


@attrs.frozen
class Refuse:
    """The call will not run.

    Attributes:
        call: The call.
        refusal: Why; it never ran.
    """

    call: QueuedCall
    refusal: Refusal


Decision = Start | Wait | Refuse


@attrs.define
class Admission:
    """The slots and the queue of one target.

    A slot is free again only after `release`, which the daemon calls when
    the target has answered, refused, or closed the connection. A caller that
    gives up doesn't free the slot.

    Attributes:
        queue_limit: Calls that may wait.
        slots: The slots and the calls that hold them.
        times: Learned service times.
        waiting: Queued calls by id.
        draining: Whether new calls are refused.
    """

    queue_limit: int
    slots: Slots
    times: ServiceTimes = attrs.field(factory=ServiceTimes)
    waiting: dict[int, Waiting] = attrs.field(factory=dict)
    draining: bool = False

    @classmethod
    def from_service(cls, service: Service) -> 'Admission':
        """Builds the admission for a target of a service."""
        return cls(
            service.queue_limit,
            Slots(ConcurrencyLimit.of(service.slots)),
        )

    def predicted_wait(self, is_long: bool) -> float:
        """Returns how long a call that arrives now would wait, seconds."""
        ahead = [
            self.times.expected(queued.call.route)
            for queued in self.waiting.values()
            if queued.is_long == is_long
        ]
        if not ahead and self.slots.may_start(is_long):
            return 0
        same = map(self.times.expected, self.slots.routes_running(is_long))
        # A running call is on average half done.
        return (sum(ahead) + sum(same) / 2) / self.slots.usable(is_long)

    def next_wake(self, now: float) -> float | None:
        """Returns when `advance` must run at the latest, seconds."""
        times = [
            min(queued.call.deadline, now + self._patience(queued, now))
            for queued in self.waiting.values()
        ]
        return min(times, default=None)

    def offer(self, call: QueuedCall, now: float) -> Decision:
        """Admits a call, queues it or refuses it.

        Args:
            call: The call.
            now: Monotonic time, seconds.

        Returns:
            The decision; a call that waits is decided on by `advance`.
        """
        work = self.times.classify(call.route, call.work)
        queued = Waiting(
            call,
            work is WorkClass.LONG,
            self.slots.long_time(now),
        )
        refusal = self._refusal_of(queued, now)
        if refusal is not None:
            return Refuse(call, refusal)
        if self.slots.may_start(queued.is_long) and not self._is_behind(queued):
            return self._start(queued, now)
        if len(self.waiting) >= self.queue_limit:
            return Refuse(
                call,
                Refusal.not_run(Reason.QUEUE_FULL, 'the queue is full'),
            )
        self.waiting[call.call_id] = queued
        return Wait(call)

    def advance(self, now: float) -> tuple[Start | Refuse, ...]:
        """Refuses what has waited too long and fills the free slots."""
        refused = [
            self._drop(queued, now)
            for queued in tuple(self.waiting.values())
            if now >= queued.call.deadline or self._patience(queued, now) <= 0
        ]
        started = []
        while (queued := self._next()) is not None:
            self.waiting.pop(queued.call.call_id)
            started.append(self._start(queued, now))
        return (*refused, *started)

    def release(self, call_id: int, now: float) -> None:
        """Frees the slot of a call, because the target is done with it."""
        held = self.slots.vacate(call_id, now)
        elapsed = now - held.started
        usual = self.times.expected(held.call.route)
        self.times.observe(held.call.route, elapsed)
        running = len(self.slots.running) + 1
        self.slots.limit.record(elapsed, usual, running, now)

    def record_shed(self, call_id: int, now: float) -> None:
        """Frees the slot of a call that the target refused to run."""
        self.slots.vacate(call_id, now)
        self.slots.limit.record_shed(now)

    def cancel(self, call_id: int) -> bool:
        """Takes a call out of the queue.

        Returns:
            Whether it was queued; if so it never ran.
        """
        return self.waiting.pop(call_id, None) is not None

    def drain(self) -> None:
        """Refuses new calls from now on; admitted ones still run."""
        self.draining = True

    def _refusal_of(self, queued: Waiting, now: float) -> Refusal | None:
        call = queued.call
        if self.draining:
            return Refusal.not_run(Reason.DRAINING, 'the host is leaving')
        if now >= call.deadline:
            return Refusal.not_run(Reason.DEADLINE, 'the deadline has passed')
        wait = self.predicted_wait(queued.is_long)
        if (
            wait
            and now + wait + self.times.expected(call.route) > call.deadline
        ):
            return Refusal.not_run(
                Reason.DEADLINE,
                f'the call would wait about {wait:.3f} s',
            )
        if self._held_up(queued) and wait > call.short_wait_s:
            return Refusal.not_run(
                Reason.SHORT_WAIT,
                f'the call would wait about {wait:.3f} s beside long work',
            )
        return None

    def _is_behind(self, queued: Waiting) -> bool:
        return any(
            other.is_long == queued.is_long for other in self.waiting.values()
        )

    def _held_up(self, queued: Waiting) -> bool:
        return not queued.is_long and self.slots.long_running > 0

    def _patience(self, queued: Waiting, now: float) -> float:
        """Returns how much longer a call may wait behind long work."""
        if not self._held_up(queued):
            return math.inf
        waited = self.slots.long_time(now) - queued.long_time
        return queued.call.short_wait_s - waited

    def _next(self) -> Waiting | None:
        # One slot of several is kept for long work, which would starve else.
        starved = self.slots.is_long_starved
        return min(
            (
                queued
                for queued in self.waiting.values()
                if self.slots.may_start(queued.is_long)
            ),
            key=lambda queued: (
                queued.is_long != starved,
                queued.call.deadline,
                queued.call.call_id,
            ),
            default=None,
        )

    def _start(self, queued: Waiting, now: float) -> Start:
        self.slots.occupy(queued, now)
        return Start(queued.call)

    def _drop(self, queued: Waiting, now: float) -> Refuse:
        self.waiting.pop(queued.call.call_id)
        late = now >= queued.call.deadline
        reason = Reason.DEADLINE if late else Reason.SHORT_WAIT
        return Refuse(
            queued.call,
            Refusal.not_run(reason, 'the call waited too long'),
        )
