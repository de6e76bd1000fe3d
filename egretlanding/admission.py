"""Admission control for the one target that a daemon serves."""

import math
from collections.abc import Iterator
from operator import itemgetter

import attrs

from egretlanding.callqueue import NO_CALLS, CallQueue
from egretlanding.capacity import CapacityEstimator, Ending
from egretlanding.coldstart import ColdStart
from egretlanding.fairshares import FairShares
from egretlanding.limits import ConcurrencyLimit
from egretlanding.objects import Service, WorkClass
from egretlanding.outcomes import NO_CAPACITY_REASONS, Reason, Refusal
from egretlanding.pacing import Pace
from egretlanding.servicetimes import ServiceTimes
from egretlanding.slots import ClassifiedCall, SlotRequest, Slots

# Maximum total expected service time of the queued short calls per usable slot,
# seconds. Above it, the least urgent calls that have a `soft_deadline` are
# refused while their callers can retry.
MAX_QUEUED_WORK_PER_SLOT_S = 0.12


@attrs.frozen
class Start:
    """The call gets a slot and starts now.

    Attributes:
        call: The call.
    """

    call: SlotRequest


@attrs.frozen
class Wait:
    """The call is queued.

    Attributes:
        call: The call.
    """

    call: SlotRequest


@attrs.frozen
class Refuse:
    """The call will not run.

    Attributes:
        call: The call.
        refusal: Why it is refused; it has not run.
    """

    call: SlotRequest
    refusal: Refusal


Decision = Start | Wait | Refuse


@attrs.define
class Admission:
    """The slots and the queue of one target.

    A slot is free again only after `release` or `record_shed`, which the
    daemon calls when the target has answered, refused the call or closed the
    connection. A caller that disconnects doesn't free the slot, because the
    target may still be running the call, see `slotrelease.py`.

    Attributes:
        queue_limit: Calls that may be queued, short and long together.
        slots: The slots and the calls that hold them.
        times: Learned service times.
        short: Queue of short work.
        long: Queue of long work.
        draining: Whether new calls are refused because the host drains.
        pace: Spreads the starts of calls if the target limits their rate.
        cold: Limits the starts of calls while the target is cold.
        learned: Learns what the target takes well, None if that is off.
        shares: Guarantees each route a part of the target while it is
            overloaded, None if that is off.
    """

    queue_limit: int
    slots: Slots
    times: ServiceTimes = attrs.field(factory=ServiceTimes)
    short: CallQueue = attrs.field(factory=CallQueue)
    long: CallQueue = attrs.field(factory=CallQueue)
    draining: bool = False
    pace: Pace = attrs.field(factory=Pace)
    cold: ColdStart = attrs.field(factory=ColdStart)
    learned: CapacityEstimator | None = None
    shares: FairShares | None = None

    @classmethod
    def from_service(cls, service: Service) -> 'Admission':
        """Builds the admission for a target of a service."""
        return cls(
            service.queue_limit,
            Slots(ConcurrencyLimit.of(service.slots)),
        )

    def predicted_wait(self, is_long: bool) -> float:
        """Returns how long a new call would wait for a slot, seconds."""
        queue = self._queue(is_long)
        if not queue and self.slots.may_start(is_long):
            return 0
        running = map(self.times.expected, self.slots.routes_running(is_long))
        # A running call is on average half done.
        work = queue.expected_work(self.times) + sum(running) / 2
        return work / self.slots.usable(is_long)

    def next_advance_at(self, now: float) -> float | None:
        """Returns when `advance` must run at the latest, seconds.

        None if no call is queued.
        """
        expiring = [self.short.first_to_expire(), self.long.first_to_expire()]
        times = [
            latest_start(queued.call, self.times)
            for queued in expiring
            if queued
        ]
        if times and not may_begin(self, now):
            times.append(now + rate_wait_s(self, 1, now))
        short_call = self.short.shortest_long_wait()
        if short_call is not None and self.slots.is_behind_long(short_call):
            times.append(now + self.slots.wait_left(short_call, now))
        return min(times, default=None)

    def offer(self, call: SlotRequest, now: float) -> Decision:
        """Admits a call, queues it or refuses it.

        Args:
            call: The call.
            now: Monotonic time, seconds.

        Returns:
            The decision; `advance` decides later on a call that is queued.
        """
        work = self.times.classify(call.route, call.work)
        queued = ClassifiedCall(
            call,
            work is WorkClass.LONG,
            self.slots.long_busy_time(now),
        )
        if self.shares:
            self.shares.ask(call.route, now)
        refusal = self._refusal_of(queued, now)
        if refusal is not None:
            if self.shares:
                count_rejection(self, self.shares, call, refusal.reason, now)
            return Refuse(call, refusal)
        queue = self._queue(queued.is_long)
        can_start = self.slots.may_begin(queued)
        if can_start and not queue and may_begin(self, now):
            begin_call(self, queued, now)
            return Start(call)
        waiting = len(self.short) + len(self.long)
        if call.is_hedge or (
            waiting >= self.queue_limit and not is_covered(self, queued, now)
        ):
            if self.shares:
                count_rejection(self, self.shares, call, Reason.QUEUE_FULL, now)
            return Refuse(
                call,
                Refusal.not_run(
                    Reason.QUEUE_FULL,
                    "the call can't start now and can't be queued",
                ),
            )
        queue.add(queued, latest_start(call, self.times))
        return Wait(call)

    def advance(self, now: float) -> tuple[Start | Refuse, ...]:
        """Refuses calls that waited too long, then fills the free slots.

        Returns:
            The refusals and the starts, in this order.
        """
        refused = [
            *self._drop_overdue(now),
            *self._drop_behind_long(now),
            *self._drop_excess(now),
        ]
        if self.shares:
            for drop in refused:
                reason = drop.refusal.reason
                count_rejection(self, self.shares, drop.call, reason, now)
        started = []
        while (queued := self._next_startable(now)) is not None:
            self._queue(queued.is_long).remove(queued.call.call_id)
            begin_call(self, queued, now)
            started.append(Start(queued.call))
        return (*refused, *started)

    def release(
        self, call_id: int, now: float, ending: Ending = Ending.ANSWERED
    ) -> None:
        """Frees the slot of a call that the target has finished."""
        held = self.slots.vacate(call_id, now)
        elapsed_s = now - held.started
        if self.shares:
            self.shares.end(held.call, elapsed_s, now)
        expected_s = self.times.expected(held.call.route)
        self.times.observe(held.call.route, elapsed_s)
        running = len(self.slots.running) + 1
        self.slots.limit.record(elapsed_s, expected_s, running, now)
        if self.learned:
            end_learned(self, self.learned, call_id, ending, now)

    def record_shed(
        self, call_id: int, now: float, ending: Ending = Ending.REFUSED
    ) -> None:
        """Frees the slot of a call that the target refused to run."""
        held = self.slots.vacate(call_id, now)
        if self.shares:
            self.shares.end(held.call, now - held.started, now)
        self.slots.limit.record_shed(now)
        if self.learned:
            end_learned(self, self.learned, call_id, ending, now)

    def cancel(self, call_id: int) -> bool:
        """Removes a call from its queue.

        Returns:
            Whether it was queued; if so it has not run.
        """
        queued = self.short.remove(call_id) or self.long.remove(call_id)
        return queued is not None

    def drain(self) -> None:
        """Refuses new calls from now on; running and queued ones go on."""
        self.draining = True

    def _refusal_of(self, queued: ClassifiedCall, now: float) -> Refusal | None:
        call = queued.call
        if self.draining:
            return Refusal.not_run(Reason.DRAINING, 'the host is draining')
        if now >= call.deadline:
            return Refusal.not_run(Reason.DEADLINE, 'the deadline has passed')
        wait = self.predicted_wait(queued.is_long)
        if wait and (
            math.isfinite(call.soft_deadline) or is_covered(self, queued, now)
        ):
            wait = predicted_wait_by_urgency(self, queued, now)
        wait = max(wait, paced_wait(self, queued, now))
        if wait and now + wait >= latest_start(call, self.times):
            return Refusal.not_run(
                Reason.DEADLINE,
                f'the call would wait about {wait:.3f} s',
            )
        if self.slots.is_behind_long(queued) and wait > call.short_wait_s:
            return Refusal.not_run(
                Reason.SHORT_WAIT,
                f'the call would wait about {wait:.3f} s behind long work',
            )
        return None

    def _queue(self, is_long: bool) -> CallQueue:
        return self.long if is_long else self.short

    def _next_startable(self, now: float) -> ClassifiedCall | None:
        if not may_begin(self, now):
            return None
        queues = [self.short, self.long]
        # Short work goes first. If there are several slots and long work holds
        # none, long work gets the next one, because it would starve otherwise.
        if self.slots.is_long_starved:
            queues.reverse()
        if self.shares:
            candidates = covered_first(self, queues, now)
        else:
            candidates = [
                queue.most_urgent(self.times, now) for queue in queues
            ]
        startable = (
            queued
            for queued in candidates
            if queued is not None and self.slots.may_begin(queued)
        )
        return next(startable, None)

    def _drop_overdue(self, now: float) -> Iterator[Refuse]:
        for queue in (self.short, self.long):
            while (queued := queue.first_to_expire()) is not None:
                if now < latest_start(queued.call, self.times):
                    break
                yield self._drop(queued, Reason.DEADLINE)
            while (queued := displaced_call(self, queue, now)) is not None:
                yield self._drop(queued, Reason.DEADLINE)

    def _drop_behind_long(self, now: float) -> Iterator[Refuse]:
        while (queued := self.short.shortest_long_wait()) is not None:
            may_wait = self.slots.wait_left(queued, now) > 0
            if may_wait or not self.slots.is_behind_long(queued):
                return
            yield self._drop(queued, Reason.SHORT_WAIT)

    def _drop_excess(self, now: float) -> Iterator[Refuse]:
        if self.shares:
            while (extra := call_over_limit(self, now)) is not None:
                yield self._drop(extra, Reason.QUEUE_FULL)
        max_work_s = MAX_QUEUED_WORK_PER_SLOT_S * self.slots.usable(
            is_long=False,
        )
        while (
            self.short.time_sensitive
            and self.short.expected_work(self.times) > max_work_s
        ):
            excess = self.short.least_urgent(
                self.times, now, covered_calls(self, self.short, now)
            )
            if excess is None or not excess.call.caller_can_retry:
                return
            yield self._drop(excess, Reason.QUEUE_FULL)

    def _drop(self, queued: ClassifiedCall, reason: Reason) -> Refuse:
        self._queue(queued.is_long).remove(queued.call.call_id)
        return Refuse(
            queued.call,
            Refusal.not_run(reason, 'the call waited too long'),
        )


def may_begin(admission: Admission, now: float) -> bool:
    """Returns whether the limits on the rate let a call start now."""
    return admission.pace.allows(now) and admission.cold.allows(now)


def rate_wait_s(admission: Admission, calls: int, now: float) -> float:
    """Returns how long the limits on the rate keep some calls, seconds."""
    return max(
        admission.pace.wait_s(calls, now), admission.cold.wait_s(calls, now)
    )


def begin_call(
    admission: Admission, queued: ClassifiedCall, now: float
) -> None:
    """Gives a call a slot, and counts it against the target's limit."""
    admission.slots.occupy(queued, now)
    admission.pace.take(now)
    admission.cold.take(now)
    call = queued.call
    if admission.learned:
        admission.learned.begin(call.call_id, call.route, call.usual_s, now)
    if admission.shares:
        expected_s = admission.times.expected(call.route)
        admission.shares.begin(call, expected_s, now)


def count_rejection(
    admission: Admission,
    shares: FairShares,
    call: SlotRequest,
    reason: Reason,
    now: float,
) -> None:
    """Counts a rejected call if it was rejected for lack of room.

    A hedge is rejected whenever it can't start at once.
    """
    lacked_room = (
        reason in NO_CAPACITY_REASONS
        and now < call.deadline
        and not call.is_hedge
    )
    if lacked_room:
        shares.reject(call, admission.times.expected(call.route), now)


def covered_calls(
    admission: Admission,
    queue: CallQueue,
    now: float,
    extra: tuple[ClassifiedCall, ...] = (),
) -> frozenset[int]:
    """Returns the ids of the queued calls that guaranteed shares pay for.

    Args:
        admission: The shares, and the expected service times.
        queue: The queue.
        now: Monotonic time, seconds.
        extra: Calls to regard as queued.
    """
    if admission.shares is None:
        return NO_CALLS
    waiting = (*queue.waiting.values(), *extra)
    return admission.shares.covered(waiting, admission.times, now)


def is_covered(
    admission: Admission, queued: ClassifiedCall, now: float
) -> bool:
    """Returns whether a guaranteed share pays for a call not queued yet."""
    if admission.shares is None:
        return False
    queue = admission.long if queued.is_long else admission.short
    covered = covered_calls(admission, queue, now, (queued,))
    return queued.call.call_id in covered


def call_over_limit(admission: Admission, now: float) -> ClassifiedCall | None:
    """Returns the call to refuse if more are queued than may be.

    That happens only after a call that a guaranteed share pays for was queued.
    """
    queues = (admission.short, admission.long)
    waiting = sum(map(len, queues))
    if waiting <= admission.queue_limit:
        return None
    covered = frozenset().union(
        *(covered_calls(admission, queue, now) for queue in queues)
    )
    return max(
        (queued for queue in queues for queued in queue.waiting.values()),
        key=lambda queued: (
            queued.call.call_id not in covered,
            queued.call.urgency_key(
                admission.times.expected(queued.call.route), now
            ),
        ),
    )


def covered_first(
    admission: Admission, queues: list[CallQueue], now: float
) -> list[ClassifiedCall | None]:
    """Returns the next call of each queue, those of guaranteed shares first."""
    covered = [covered_calls(admission, queue, now) for queue in queues]
    candidates = [
        (not preferred, queue.most_urgent(admission.times, now, preferred))
        for queue, preferred in zip(queues, covered, strict=True)
    ]
    candidates.sort(key=itemgetter(0))
    return [queued for _, queued in candidates]


def end_learned(
    admission: Admission,
    learned: CapacityEstimator,
    call_id: int,
    ending: Ending,
    now: float,
) -> None:
    """Learns from the end of a call, and applies the learned limit."""
    learned.end(call_id, ending, now)
    apply_learned(admission, learned)


def apply_learned(admission: Admission, learned: CapacityEstimator) -> None:
    """Applies the learned limit, and the slots that an experiment reserves."""
    admission.slots.limit.learn(learned.limit)
    admission.slots.reserved_slots = learned.reserved_slots


def withdraw_call(
    admission: Admission,
    call_id: int,
    now: float,
    ending: Ending = Ending.UNKNOWN,
) -> None:
    """Frees the slot of a call whose time says nothing about its route."""
    held = admission.slots.vacate(call_id, now)
    if admission.shares:
        admission.shares.end(held.call, now - held.started, now)
    if admission.learned:
        end_learned(admission, admission.learned, call_id, ending, now)


def latest_start(call: SlotRequest, times: ServiceTimes) -> float:
    """Returns when a call must start at the latest, seconds."""
    latest = times.latest_start(call.route, call.deadline)
    return min(latest, call.queue_deadline(times.expected(call.route)))


def predicted_wait_by_urgency(
    admission: Admission,
    queued: ClassifiedCall,
    now: float,
) -> float:
    """Returns how long a call would wait behind more urgent ones, seconds.

    Unlike `Admission.predicted_wait`, it leaves out queued calls that are less
    urgent, since the call will start before them.

    Args:
        admission: The queues and slots of the target.
        queued: The call, which is not queued yet.
        now: Monotonic time, seconds.
    """
    expected = admission.times.expected
    ahead = [
        expected(other.call.route)
        for other in more_urgent_calls(admission, queued, now)
    ]
    slots = admission.slots
    running = map(expected, slots.routes_running(queued.is_long))
    # A running call is on average half done.
    return (sum(ahead) + sum(running) / 2) / slots.usable(queued.is_long)


def paced_wait(
    admission: Admission, queued: ClassifiedCall, now: float
) -> float:
    """Returns how long a call would wait for the rates of the target, seconds.

    Args:
        admission: The queues and the limits on the rate of the target.
        queued: The call, which is not queued yet.
        now: Monotonic time, seconds.
    """
    if admission.pace.rate_per_s is None and not admission.cold.is_cold(now):
        return 0
    calls = len(more_urgent_calls(admission, queued, now)) + 1
    return rate_wait_s(admission, calls, now)


def displaced_call(
    admission: Admission, queue: CallQueue, now: float
) -> ClassifiedCall | None:
    """Returns a queued call that can't begin in time at a cold target, if any.

    More urgent calls that arrived later take its start, while it still has time
    to run elsewhere.

    Args:
        admission: The queues and the limits on the rate of the target.
        queue: The queue.
        now: Monotonic time, seconds.
    """
    if not queue or not admission.cold.is_cold(now):
        return None
    spared = covered_calls(admission, queue, now)
    last = queue.least_urgent(admission.times, now, spared)
    if last is None:
        return None
    begins_at = now + rate_wait_s(admission, len(queue), now)
    is_late = begins_at >= latest_start(last.call, admission.times)
    return last if is_late else None


def more_urgent_calls(
    admission: Admission, queued: ClassifiedCall, now: float
) -> list[ClassifiedCall]:
    """Returns the queued calls of a call's class that start before it."""
    expected = admission.times.expected
    queue = admission.long if queued.is_long else admission.short
    own_key = queued.call.urgency_key(expected(queued.call.route), now)
    more_urgent = [
        other
        for other in queue.waiting.values()
        if other.call.urgency_key(expected(other.call.route), now) <= own_key
    ]
    if admission.shares is None:
        return more_urgent
    covered = covered_calls(admission, queue, now, (queued,))
    ahead = {other.call.call_id for other in more_urgent}
    if queued.call.call_id in covered:
        ahead &= covered
    else:
        ahead |= covered
    return [queue.waiting[call_id] for call_id in ahead]
