"""Learns how many concurrent calls a target takes well, and its speed.

The estimates belong to one process of the target. They rest on the calls that
it ran, each compared with the usual time of its route over all targets, because
routes differ in their work. See docs/design/learned-limits.md.
"""

import enum
import math
from operator import attrgetter

import attrs

from egretlanding.experiments import SAMPLE_CALLS, Experiment, Experiments
from egretlanding.throughput import (
    ABOVE_DECAY_S,
    LEVEL_DECAY_S,
    Level,
    best_limit,
)
from egretlanding.usualtimes import MIN_TIME_S, UsualTimes

# Weight of a call in the speed, and in the slower average of the time that the
# number of concurrent calls doesn't explain.
SPEED_WEIGHT = 0.1
REFERENCE_WEIGHT = 0.02
# One call counts as at most this many times slower or faster than usual.
MAX_RATIO = 8
# A call without an answer shows that the target is full only if it ran for
# this multiple of its usual time; a shorter one may be a cancelled hedge.
LOST_RATIO = 3
# Time between two computations of the limit, seconds.
LIMIT_PERIOD_S = 0.5
# Time constant with which the speed returns to 1 without calls, seconds.
SPEED_DECAY_S = 30
# A change by more than this factor is reported to operators.
REPORTED_FACTOR = 1.25


# The limit is at least the slots divided by this, rounded up, so that a wrong
# estimate costs a bounded part of the target.
FLOOR_DIVISOR = 3
# Calls at the limit after which the next level is tried. Trying all levels at
# once would overload a target that slows down beyond its limit.
TRIED_SAMPLES = 8

# Calls of a target's process that are needed before its limit is lowered.
WARM_CALLS = 25
# Instance, start in ms since the epoch, 0 if unknown, and the number of times
# that the target was seen to go down.
Process = tuple[str, int, int]


class Ending(enum.Enum):
    """How a call at the target ended."""

    ANSWERED = 'answered'
    REFUSED = 'refused'
    UNANSWERED = 'unanswered'
    # Not sent, or answered with an error, so that its time says nothing.
    UNKNOWN = 'unknown'


@attrs.frozen
class Flight:
    """A call that runs at the target.

    Attributes:
        route: Name of its route.
        started: When it started, seconds.
        concurrency: Calls that ran when it had started, itself included. Their
            mean over its run would depend on how long it ran.
    """

    route: str
    started: float
    concurrency: int


@attrs.frozen
class CapacityChange:
    """A change of the estimates by more than `REPORTED_FACTOR`.

    Attributes:
        limit: The limit now.
        speed: The speed now, 1 is usual.
        previous_limit: The limit when it was last reported.
        previous_speed: The speed at that time.
        cause: What the change rests on.
    """

    limit: int
    speed: float
    previous_limit: int
    previous_speed: float
    cause: str


@attrs.define
class CapacityEstimator:
    """Learns the concurrency limit and the speed of one target.

    Attributes:
        slots: Upper bound of the limit.
        limit: Calls that the target takes well at a time.
        process: The target's process: its instance, start time in ms since the
            epoch, and the number of times that it came up.
        usual: Usual run times over all targets, by route.
        levels: What was observed at each number of concurrent calls.
        flights: The calls that run, by id.
        log_time: Moving average of the logarithm of the relative time.
        reference: Slower moving average of what `levels` don't explain.
        samples: Calls that `log_time` rests on.
        learned_at: When a call was last learned from, seconds.
        computed_at: When the limit was last computed, or the estimator built,
            seconds.
        reported: Limit and speed that were last reported as a change.
        experiments: Experiments with fewer calls than `limit`.
    """

    slots: int
    limit: int
    process: Process = ('', 0, 0)
    usual: UsualTimes = attrs.field(factory=UsualTimes)
    levels: list[Level] = attrs.field(factory=list)
    flights: dict[int, Flight] = attrs.field(factory=dict)
    log_time: float = 0
    reference: float = 0
    samples: int = 0
    learned_at: float = -math.inf
    computed_at: float = 0
    reported: tuple[int, float] = (0, 1)
    experiments: Experiments = attrs.field(factory=Experiments)

    @classmethod
    def of(cls, slots: int, now: float = 0) -> 'CapacityEstimator':
        """Builds the estimator of a target of which nothing is known.

        Args:
            slots: Upper bound of the limit.
            now: Monotonic time, seconds.
        """
        estimator = cls(slots, slots, computed_at=now)
        estimator.resize(slots)
        estimator.reported = (slots, 1)
        return estimator

    def speed(self, now: float) -> float:
        """Returns the speed of the target, 1 is usual."""
        age = max(0, now - self.learned_at)
        return math.exp(-self.log_time * math.exp(-age / SPEED_DECAY_S))

    @property
    def free(self) -> int:
        """Calls that can start at once."""
        return max(0, self.limit - self.reserved_slots - len(self.flights))

    @property
    def reserved_slots(self) -> int:
        """Calls below the limit that an experiment keeps from running."""
        running = self.experiments.running
        return 0 if running is None else running.reserved_slots

    @property
    def floor(self) -> int:
        """The lowest limit."""
        return -(-self.slots // FLOOR_DIVISOR)

    def resize(self, slots: int) -> None:
        """Sets the target's number of slots."""
        if slots == len(self.levels):
            return
        was_unlimited = self.limit >= self.slots
        self.slots = slots
        self.levels = [*self.levels, *(Level() for _ in range(slots))][:slots]
        self.limit = slots if was_unlimited else min(self.limit, slots)
        self.experiments = Experiments()

    def reset_for_process(self, process: Process) -> None:
        """Drops the estimates if the target's process is another one."""
        is_same = may_be_same(process, self.process)
        self.process = process
        if is_same:
            return
        self.limit = self.slots
        self.levels = [Level() for _ in range(self.slots)]
        self.log_time = 0
        self.reference = 0
        self.samples = 0
        self.learned_at = -math.inf
        self.experiments = Experiments()
        # Calls of the previous process say nothing about this one.
        self.flights = {
            call_id: attrs.evolve(flight, route='')
            for call_id, flight in self.flights.items()
        }

    def begin(
        self, call_id: int, route: str, usual_s: float, now: float
    ) -> None:
        """Records the start of a call.

        Args:
            call_id: Number of the call.
            route: Name of its route.
            usual_s: Usual time of the route by what its sender has learned,
                seconds; zero if unknown.
            now: Monotonic time, seconds.
        """
        if usual_s:
            self.usual.observe(route, usual_s)
        concurrency = len(self.flights) + 1
        self.flights[call_id] = Flight(route, now, concurrency)
        self.experiments.begin_call(concurrency, self.limit, now)

    def end(self, call_id: int, ending: Ending, now: float) -> None:
        """Records the end of a call."""
        flight = self.flights.pop(call_id, None)
        usual_s = self.usual.usual_s(flight.route) if flight else None
        if flight is None or not flight.route:
            return
        elapsed = max(MIN_TIME_S, now - flight.started)
        if ending is Ending.REFUSED:
            self._level(flight.concurrency).observe_failure()
        elif usual_s is not None:
            self._learn(ending, elapsed / usual_s, flight, now)
        self._compute(now)
        better = self.experiments.advance(self.limit, self.floor, now)
        if better:
            self._apply(better)

    def take_change(self, now: float) -> CapacityChange | None:
        """Returns the change since the estimates that were reported last.

        The change counts as reported then. It is None within `REPORTED_FACTOR`.
        """
        limit, speed = self.limit, self.speed(now)
        previous_limit, previous_speed = self.reported
        ratios = (limit / max(1, previous_limit), speed / previous_speed)
        if all(
            1 / REPORTED_FACTOR <= ratio <= REPORTED_FACTOR for ratio in ratios
        ):
            return None
        cause = 'the time of calls'
        if limit != previous_limit:
            cause = self._cause_of_limit()
        if not self.samples:
            cause = 'another process of the target'
        self.reported = (limit, speed)
        return CapacityChange(
            limit, speed, previous_limit, previous_speed, cause
        )

    def _cause_of_limit(self) -> str:
        if self.limit < self.reported[0]:
            above = self.levels[self.limit :]
            if any(level.failed > level.weight for level in above):
                return 'more calls were refused or lost'
            return 'more calls complete no more'
        return 'more calls are tried'

    def _learn(
        self, ending: Ending, ratio: float, flight: Flight, now: float
    ) -> None:
        level = self._level(flight.concurrency)
        log_time = math.log(min(MAX_RATIO, max(1 / MAX_RATIO, ratio)))
        if ending is Ending.UNANSWERED and ratio > LOST_RATIO:
            level.observe_failure()
        if ending is not Ending.ANSWERED:
            return
        self.experiments.end_call(flight.concurrency, flight.started, log_time)
        self.samples += 1
        prior_weight = 1 / (self.samples + 1)
        self.log_time += max(SPEED_WEIGHT, prior_weight) * (
            log_time - self.log_time
        )
        residual = log_time - self.reference
        # What the level explains is no change of the target's speed.
        self.reference += max(REFERENCE_WEIGHT, prior_weight) * (
            residual - level.log_time
        )
        level.observe(residual)
        self.learned_at = now

    def _apply(self, better: Experiment) -> None:
        """Lowers the limit to that of an experiment."""
        slowdown = better.before.log_time - better.during.log_time
        span = math.log(better.usual_limit / better.lowered_limit)
        self.limit = better.lowered_limit
        # Between the two limits, the calls are assumed to slow down evenly.
        for number in range(better.lowered_limit, better.usual_limit + 1):
            share = math.log(number / better.lowered_limit) / span
            log_time = better.during.log_time + share * slowdown
            level = self.levels[number - 1]
            level.log_time = log_time - self.reference
            level.weight = SAMPLE_CALLS

    def _compute(self, now: float) -> None:
        elapsed = now - self.computed_at
        if elapsed < LIMIT_PERIOD_S:
            return
        self.computed_at = now
        for number, level in enumerate(self.levels, start=1):
            is_above = number > self.limit
            level.decay(elapsed, ABOVE_DECAY_S if is_above else LEVEL_DECAY_S)
        attempts = sum(map(attrgetter('attempts'), self.levels))
        if attempts < WARM_CALLS or self.experiments.running:
            return
        best = best_limit(self.levels, self.limit)
        if best > self.limit:
            is_tried = self.levels[self.limit - 1].weight >= TRIED_SAMPLES
            best = self.limit + 1 if is_tried else self.limit
        self.limit = max(best, self.floor)

    def _level(self, concurrency: int) -> Level:
        return self.levels[min(max(1, concurrency), len(self.levels)) - 1]


def may_be_same(process: Process, other: Process | None) -> bool:
    """Returns whether two descriptions may be of one process of a target.

    A start that was unknown and is named now is that of the same process.
    """
    if other is None:
        return False
    instance, born_ms, epoch = process
    is_born_same = 0 in {born_ms, other[1]} or born_ms == other[1]
    return is_born_same and (instance, epoch) == (other[0], other[2])
