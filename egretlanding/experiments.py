"""Short experiments with fewer concurrent calls at a target.

While all slots are always taken, nothing shows how calls would perform if fewer
ran at a time. An experiment keeps some slots free for a moment, and then lets
as many calls run as before, because the target may have recovered by itself
meanwhile. Its cost has a bound: the capacity that an experiment leaves unused
is a debt, which must be paid off by time without one.
"""

import math

import attrs

# Calls whose times are compared, before, during and after an experiment.
SAMPLE_CALLS = 12
# Calls that may end before the whole sample has ended, so that a few very long
# ones don't prolong an experiment.
MAX_CALLS = 18
# Each half of an experiment ends after this time at the latest, seconds.
MAX_HALF_S = 5
# Share of the calls that may run during an experiment. A greater one leaves
# less unused, but tells a slowdown from noise only with many more calls.
LOWERED_SHARE = 0.5
# Calls that may run at least during an experiment.
MIN_LOWERED = 2
# The lowered limit must complete this share of what the usual one does.
MIN_COMPLETED_SHARE = 0.9
# Standard errors by which the times must differ.
NOISE_DEVIATIONS = 2.5
# Share of the target's capacity that experiments may cost.
COST_SHARE = 0.01
# Rise of the mean logarithm of the times that permits an experiment in spite of
# a debt.
SLOWER_LOG = math.log(2)
# The debt that is permitted then, as a multiple of the last experiment's cost.
MAX_DEBT_RATIO = 3
# Time for which slots must have been taken without a break, seconds. A shorter
# slowness would end before an experiment does.
MIN_BUSY_S = 3
# Weight of a sample in the usual times of the target.
USUAL_WEIGHT = 0.2


@attrs.define
class Sample:
    """The relative times of some calls.

    Attributes:
        calls: Number of calls.
        log_time: Mean logarithm of their times.
        squares: Sum of the squared differences from that mean.
    """

    calls: int = 0
    log_time: float = 0
    squares: float = 0

    @property
    def variance(self) -> float:
        """The square of the standard error of the mean."""
        return self.squares / max(1, self.calls * (self.calls - 1))

    @property
    def is_full(self) -> bool:
        """Whether it has enough calls to be compared."""
        return self.calls >= SAMPLE_CALLS

    def observe(self, log_time: float) -> None:
        """Adds the time of a call."""
        self.calls += 1
        difference = log_time - self.log_time
        self.log_time += difference / self.calls
        self.squares += difference * (log_time - self.log_time)


@attrs.define
class Experiment:
    """A time in which fewer calls run, and one in which as many as before do.

    Attributes:
        usual_limit: Calls that may run in the second half.
        lowered_limit: Calls that may run in the first half.
        began: When it began, seconds.
        before: Times of calls before it.
        during: Times of the first calls that began while as many ran as the
            lowered limit allows. The first ones to end would be the short ones.
        after: Times of calls of the second half.
        started: Calls that began at the lowered limit.
        ended: Those of them that ended.
        last_start: When the last call of `during` began, seconds.
        restored: When the second half began, seconds.
    """

    usual_limit: int
    lowered_limit: int
    began: float
    before: Sample
    during: Sample = attrs.field(factory=Sample)
    after: Sample = attrs.field(factory=Sample)
    started: int = 0
    ended: int = 0
    last_start: float = math.inf
    restored: float = math.inf

    @property
    def is_lowered(self) -> bool:
        """Whether the first half runs."""
        return math.isinf(self.restored)

    @property
    def reserved_slots(self) -> int:
        """Slots that it keeps free."""
        return self.usual_limit - self.lowered_limit if self.is_lowered else 0

    @property
    def cost_s(self) -> float:
        """The capacity that the first half left unused, seconds."""
        unused_share = 1 - self.lowered_limit / self.usual_limit
        return unused_share * (self.restored - self.began)

    @property
    def is_better(self) -> bool:
        """Whether the target completes enough with the lowered limit."""
        return (
            self.after.is_full
            and self.is_faster_than(self.before)
            and self.is_faster_than(self.after, self.least_gain)
        )

    @property
    def least_gain(self) -> float:
        """Gain in the times at which the lowered limit completes enough."""
        ratio = self.usual_limit / self.lowered_limit
        return math.log(MIN_COMPLETED_SHARE * ratio)

    def is_over(self, now: float) -> bool:
        """Returns whether it ended."""
        if self.is_lowered:
            return False
        return (
            self.after.is_full
            or now - self.restored > MAX_HALF_S
            or not self.is_faster_than(self.before)
        )

    def is_faster_than(self, usual: Sample, least_gain: float = 0) -> bool:
        """Returns whether calls were faster by more than a gain and the noise.

        Args:
            usual: Times with the usual limit.
            least_gain: The gain, as a logarithm.
        """
        noise = NOISE_DEVIATIONS * self.error(usual)
        gain = usual.log_time - self.during.log_time
        return self.ended >= SAMPLE_CALLS and gain > max(least_gain, noise)

    def error(self, usual: Sample) -> float:
        """Returns the standard error of the gain against a sample."""
        return math.sqrt(usual.variance + self.during.variance)

    def begin_call(self, concurrency: int, now: float) -> None:
        """Records the start of a call."""
        if concurrency == self.lowered_limit and self.is_lowered:
            self.started += 1
            if self.started == SAMPLE_CALLS:
                self.last_start = now

    def end_call(
        self, concurrency: int, started: float, log_time: float
    ) -> None:
        """Records the time of a call that ended."""
        if concurrency > self.lowered_limit and started >= self.restored:
            self.after.observe(log_time)
        elif concurrency == self.lowered_limit and started >= self.began:
            self.ended += 1
            if self.is_lowered and started <= self.last_start:
                self.during.observe(log_time)

    def advance(self, now: float) -> None:
        """Begins the second half when the first one is over."""
        is_sampled = self.during.is_full or self.ended >= MAX_CALLS
        is_late = now - self.began > MAX_HALF_S
        if self.is_lowered and (is_sampled or is_late or self._is_futile()):
            self.restored = now

    def _is_futile(self) -> bool:
        # Half of the sample shows most targets that don't become faster.
        if self.during.calls < SAMPLE_CALLS // 2:
            return False
        gain = self.before.log_time - self.during.log_time
        return 2 * gain < NOISE_DEVIATIONS * self.error(self.before)


@attrs.define
class Experiments:
    """The experiments at one target.

    Attributes:
        running: The one that runs, None if none does.
        before: Times of recent calls while slots were always taken.
        busy_since: Since when more calls ran than during an experiment,
            seconds. Fewer would show without one how they perform.
        usual_log: Moving average of the logarithm of the times, without those
            of a slowdown that no experiment has followed yet.
        is_slower: Whether the last sample showed such a slowdown.
        debt_s: Capacity that experiments without a change cost, less what is
            permitted for the time since, seconds.
        last_cost_s: What the last of them cost, seconds.
        paid_until: When `debt_s` was last reduced, seconds.
    """

    running: Experiment | None = None
    before: Sample = attrs.field(factory=Sample)
    busy_since: float = math.inf
    usual_log: float = 0
    is_slower: bool = False
    debt_s: float = 0
    last_cost_s: float = 0
    paid_until: float = math.inf

    def begin_call(self, concurrency: int, limit: int, now: float) -> None:
        """Records the start of a call."""
        if self.running is not None:
            self.running.begin_call(concurrency, now)
        elif concurrency <= lowered(limit):
            self._observe_break(now)

    def end_call(
        self, concurrency: int, started: float, log_time: float
    ) -> None:
        """Records the time of a call that was answered."""
        if self.running is not None:
            self.running.end_call(concurrency, started, log_time)
        elif started >= self.busy_since:
            self.before.observe(log_time)

    def advance(self, limit: int, floor: int, now: float) -> Experiment | None:
        """Begins or ends an experiment.

        Args:
            limit: Calls that may run usually.
            floor: Calls that may run at least.
            now: Monotonic time, seconds.

        Returns:
            The experiment that ended, if it showed that its limit is better.
        """
        self.debt_s -= COST_SHARE * max(0, now - self.paid_until)
        self.debt_s = max(0, self.debt_s)
        self.paid_until = now
        if self.running is None:
            is_busy = now - self.busy_since > MIN_BUSY_S
            if is_busy and self.before.is_full:
                self._begin_if_due(limit, max(floor, lowered(limit)), now)
            return None
        self.running.advance(now)
        return self._end_if_over(self.running, now)

    def _begin_if_due(self, limit: int, lowered_limit: int, now: float) -> None:
        before = self.before
        self.before = Sample()
        was_slower = self.is_slower
        self.is_slower = before.log_time > self.usual_log + SLOWER_LOG
        # Part of the calls of the first slower sample began before the change.
        is_settled = was_slower or not self.is_slower
        max_debt_s = MAX_DEBT_RATIO * self.last_cost_s if self.is_slower else 0
        is_due = is_settled and self.debt_s <= max_debt_s
        if is_due and lowered_limit < limit:
            self.usual_log = before.log_time
            self.is_slower = False
            self.running = Experiment(limit, lowered_limit, now, before)
        elif not self.is_slower:
            rise = before.log_time - self.usual_log
            self.usual_log += USUAL_WEIGHT * rise

    def _end_if_over(
        self, experiment: Experiment, now: float
    ) -> Experiment | None:
        if not experiment.is_over(now):
            return None
        self.running = None
        self._observe_break(now)
        if experiment.is_better:
            return experiment
        self.last_cost_s = experiment.cost_s
        self.debt_s += self.last_cost_s
        return None

    def _observe_break(self, now: float) -> None:
        self.before = Sample()
        self.busy_since = now


def lowered(limit: int) -> int:
    """Returns how many calls may run during an experiment."""
    return max(MIN_LOWERED, int(limit * LOWERED_SHARE))
