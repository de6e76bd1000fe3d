"""The slots of one target, and how many of them long work may hold."""

import math

import attrs

from egretlanding.limits import ConcurrencyLimit
from egretlanding.objects import WorkClass

# The number of slots divided by this, rounded up, is kept free of long work: a
# third. Long work may hold one slot in any case.
RESERVE_DIVISOR = 3
# Shorter remaining waits count as zero, seconds. The clock can't resolve them,
# so a timer for one would fire again and again without ending the wait.
CLOCK_RESOLUTION_S = 0.0001
# Time that each priority rank below the first adds to the due time by which the
# queue orders a call, seconds.
PRIORITY_STEP_S = 0.1
# Longest wait in the queue of a call that can't be answered by its
# `soft_deadline` any more, seconds.
LATE_CALL_MAX_WAIT_S = 0.25
# Multiple of the expected service time within which most calls of a route end.
MARGIN_RATIO = 1.5
# Callers with no more time than this are assumed unable to retry after a
# refusal, seconds.
MIN_TIME_TO_RETRY_S = 0.6


@attrs.frozen
class SlotRequest:
    """A call that asks for a slot.

    Attributes:
        call_id: Number of the call in this daemon.
        route: Name of the route.
        work: The class that the route declares.
        deadline: When its answer becomes useless, seconds.
        short_wait_s: Longest wait behind long work if it is short, seconds.
        arrived: When it arrived, seconds.
        is_hedge: Whether another attempt of the call is under way.
        soft_deadline: When its answer begins to lose value, seconds; infinite
            if the policy sets no such time before the deadline.
        priority: Rank of the call when not all calls can be served in time;
            0 is served first.
        is_confined: Whether the call can't run in every region.
        usual_s: Usual run time of the route over all targets, by what the
            sender has learned, seconds; zero if unknown.
        size: Length of its body, bytes.
    """

    call_id: int
    route: str
    work: WorkClass
    deadline: float
    short_wait_s: float
    arrived: float
    is_hedge: bool = False
    soft_deadline: float = math.inf
    priority: int = 0
    is_confined: bool = False
    usual_s: float = 0
    size: int = 0

    @property
    def caller_can_retry(self) -> bool:
        """Whether the caller has time to retry after a refusal.

        Callers of calls without a `soft_deadline` are always assumed to have
        that time.
        """
        is_time_sensitive = math.isfinite(self.soft_deadline)
        return (
            not is_time_sensitive
            or self.deadline - self.arrived > MIN_TIME_TO_RETRY_S
        )

    def queue_deadline(self, expected_s: float) -> float:
        """Returns until when the call may stay in the queue, seconds.

        A call that would miss its `soft_deadline` is refused early, while its
        caller still has time to retry. A call whose caller can't retry has no
        such limit; it stays queued as long as its deadline can be met.

        Args:
            expected_s: Expected service time of the call, seconds.
        """
        if not self.caller_can_retry:
            return math.inf
        latest_timely_start = self.soft_deadline - MARGIN_RATIO * expected_s
        return max(latest_timely_start, self.arrived + LATE_CALL_MAX_WAIT_S)

    def urgency_key(self, expected_s: float, now: float) -> tuple[bool, float]:
        """Returns the sort key of the call; the most urgent sorts first.

        Calls that can still be answered by their `soft_deadline` come first,
        the earliest due first. Among calls that are already late the last due
        comes first, because it is the least late. A call whose caller can't
        retry is never treated as late, since the work that waits for its
        answer would be lost too.

        Args:
            expected_s: Expected service time of the call, seconds.
            now: Monotonic time, seconds.
        """
        due = min(self.soft_deadline, self.deadline)
        expected_end = now + MARGIN_RATIO * expected_s
        is_late = self.caller_can_retry and expected_end > self.soft_deadline
        penalty_s = self.priority * PRIORITY_STEP_S
        return is_late, penalty_s - due if is_late else penalty_s + due


@attrs.frozen
class ClassifiedCall:
    """A call with the class that it is admitted as.

    Attributes:
        call: The call.
        is_long: Whether it counts as long work.
        long_busy_at_arrival: `Slots.long_busy_time` when it arrived, seconds.
    """

    call: SlotRequest
    is_long: bool
    long_busy_at_arrival: float

    @property
    def max_long_busy(self) -> float:
        """`Slots.long_busy_time` up to which it may be queued, seconds.

        Infinite for long work, which may wait until its latest start.
        """
        if self.is_long:
            return math.inf
        return self.long_busy_at_arrival + self.call.short_wait_s


@attrs.frozen
class Running:
    """A call that holds a slot.

    Attributes:
        call: The call.
        is_long: Whether it counts as long work.
        started: When it got the slot, seconds.
    """

    call: SlotRequest
    is_long: bool
    started: float


@attrs.define
class Slots:
    """The slots of one target.

    Long work holds at most two thirds of them, but always may hold one.

    A short call waits behind long work for a bounded time. This time passes
    only while long work holds at least one slot, see `long_busy_time`.

    Attributes:
        limit: Calls that may run at a time, adapted to the target.
        running: Calls that hold a slot, by id.
        reserved_slots: Slots that an experiment keeps free for a moment. The
            decisions on queued calls don't regard them.
        long_busy_counted: Time for which long work held slots, up to
            `counted_until`, seconds.
        counted_until: When a slot was last occupied or vacated, seconds.
        max_bytes: Bytes that the bodies of the running calls may have together,
            0 for no bound. A call that runs alone may have more.
    """

    limit: ConcurrencyLimit
    running: dict[int, Running] = attrs.field(factory=dict)
    reserved_slots: int = 0
    long_busy_counted: float = 0
    counted_until: float = 0
    max_bytes: int = 0

    @property
    def long_limit(self) -> int:
        """Slots that long work may hold at a time, at least one."""
        reserve = -(-self.limit.current // RESERVE_DIVISOR)
        return max(1, self.limit.current - reserve)

    @property
    def long_running(self) -> int:
        """Slots that long work holds now."""
        return sum(held.is_long for held in self.running.values())

    @property
    def is_long_starved(self) -> bool:
        """Whether there are several slots and long work holds none."""
        return self.long_running == 0 and self.limit.current > 1

    def long_busy_time(self, now: float) -> float:
        """Returns for how long in total long work has held slots, seconds."""
        if not self.long_running:
            return self.long_busy_counted
        return self.long_busy_counted + now - self.counted_until

    def usable(self, is_long: bool) -> int:
        """Returns how many slots calls of a class can use."""
        if is_long:
            return self.long_limit
        return max(1, self.limit.current - self.long_running)

    def may_start(self, is_long: bool) -> bool:
        """Returns whether there is a slot for a call of a class now."""
        # The limit may fall during an experiment; one call can always run.
        usable = max(1, self.limit.current - self.reserved_slots)
        if len(self.running) >= usable:
            return False
        return not is_long or self.long_running < self.long_limit

    def may_begin(self, queued: ClassifiedCall) -> bool:
        """Returns whether there is a slot for a call, and room for its body."""
        if not self.may_start(queued.is_long):
            return False
        if not self.max_bytes or not self.running:
            return True
        held = sum(other.call.size for other in self.running.values())
        return held + queued.call.size <= self.max_bytes

    def is_behind_long(self, queued: ClassifiedCall) -> bool:
        """Returns whether the call is short and long work holds a slot."""
        return not queued.is_long and self.long_running > 0

    def wait_left(self, queued: ClassifiedCall, now: float) -> float:
        """Returns how much longer a call may wait behind long work, seconds."""
        left_s = queued.max_long_busy - self.long_busy_time(now)
        return left_s if left_s > CLOCK_RESOLUTION_S else 0

    def routes_running(self, is_long: bool) -> list[str]:
        """Returns the route of each running call of a class."""
        return [
            held.call.route
            for held in self.running.values()
            if held.is_long == is_long
        ]

    def occupy(self, queued: ClassifiedCall, now: float) -> None:
        """Gives a call a slot."""
        self._count_long_busy(now)
        call = queued.call
        self.running[call.call_id] = Running(call, queued.is_long, now)

    def vacate(self, call_id: int, now: float) -> Running:
        """Frees the slot of a call.

        Returns:
            The call and the time when it started.
        """
        self._count_long_busy(now)
        return self.running.pop(call_id)

    def _count_long_busy(self, now: float) -> None:
        self.long_busy_counted = self.long_busy_time(now)
        self.counted_until = now
