"""Decides whether failed attempts are retried and when calls are hedged."""

import math
from collections import deque
from collections.abc import Iterable

import attrs

from egretlanding.objects import Policy
from egretlanding.outcomes import (
    Execution,
    FailedAttempt,
    Reason,
    Refusal,
    combine_failures,
)
from egretlanding.slots import MIN_TIME_TO_RETRY_S
from egretlanding.tokens import TokenBucket
from egretlanding.units import PERCENT

DEPTH_HEADER = 'x-call-depth'
RETRY_HEADER = 'x-call-retry'
DEADLINE_HEADER = 'x-timeout-ms'
KEY_HEADER = 'idempotency-key'

MAX_DEPTH = 8
# Failed attempts, including those that daemons refused, after which a call is
# given up.
MAX_FAILED_ATTEMPTS = 8
# Retries that a new budget allows at once.
INITIAL_TOKENS = 3
# Retries earned per second whatever the number of calls.
BASE_TOKENS_PER_S = 0.1
# Most retries that a budget can save up.
MAX_TOKENS = 30
HEDGE_QUANTILE = 0.95
# Most retries in a window that one daemon makes beyond the percentage of its
# calls.
MAX_SLACK = 1.5
# Number of slices of a window; the calls of one slice are counted together.
WINDOW_SLICES = 20
# Retries are scarce if fewer are left than this ratio times those spent within
# the window.
SCARCE_RATIO = 1
# Size of the steps, on a logarithmic scale, in which the estimate moves.
QUANTILE_STEP = 0.05

# Another attempt would fail for the same reason, or nobody waits for it.
FINAL_REASONS = frozenset(
    (
        Reason.QUARANTINED,
        Reason.KEY_MALFORMED,
        Reason.KEY_REUSED,
        Reason.TOO_DEEP,
        Reason.CANCELLED,
    )
)


@attrs.frozen
class CallContext:
    """The properties of a call that its retries and hedges depend on.

    Attributes:
        deadline: Monotonic time after which its answer is useless, seconds.
        idempotent: Whether the call may run more than once.
        key_owner: Id of the host that owns the call's idempotency key, or
            empty.
        depth: Number of nested calls above this one, from the caller's header.
        is_retry: Whether a call above this one was already retried or hedged.
    """

    deadline: float
    idempotent: bool
    key_owner: str = ''
    depth: int = 0
    is_retry: bool = False

    def check_depth(self) -> Refusal | None:
        """Returns a refusal if too many nested calls led to this one."""
        if self.depth <= MAX_DEPTH:
            return None
        return Refusal.not_run(
            Reason.TOO_DEEP,
            f'the call is nested {self.depth} levels deep',
        )

    def headers(self, attempt: int, now: float) -> dict[str, str]:
        """Returns the headers that an attempt carries to its target.

        The target copies them to the calls that it makes while it runs this
        one.

        Args:
            attempt: Number of the attempt, from 0.
            now: Monotonic time, seconds.
        """
        was_retried = self.is_retry or attempt > 0
        remaining_ms = max(0, int((self.deadline - now) * 1_000))
        return {
            DEPTH_HEADER: str(self.depth + 1),
            RETRY_HEADER: str(int(was_retried)),
            DEADLINE_HEADER: str(remaining_ms),
        }


@attrs.define
class RetryBudget:
    """Limits retries and hedges to a percentage of first attempts.

    Tokens are also added at a low constant rate, so that routes with few
    calls can retry too.

    Attributes:
        tokens: Holds one token for each retry that may be made.
    """

    tokens: TokenBucket

    @classmethod
    def with_initial_tokens(cls, now: float) -> 'RetryBudget':
        """Builds a budget that allows a few retries at once."""
        return cls(
            TokenBucket(BASE_TOKENS_PER_S, MAX_TOKENS, INITIAL_TOKENS, now),
        )

    def record_first_attempt(self, policy: Policy, now: float) -> None:
        """Earns the share of a retry that a first attempt allows."""
        self.tokens.put(policy.retry_percent / PERCENT, now)

    def take(self, policy: Policy, now: float) -> bool:
        """Takes one retry from the budget.

        Returns:
            Whether the policy and the budget allowed it.
        """
        return policy.retry_percent > 0 and self.tokens.take(1, now)

    def refund(self, now: float) -> None:
        """Gives back a retry that caused no work, such as a refused hedge."""
        self.tokens.put(1, now)

    def allows(self, policy: Policy, now: float) -> bool:
        """Returns whether a retry could be taken now."""
        return policy.retry_percent > 0 and self.available(now) >= 1

    def available(self, now: float) -> float:
        """Returns the number of retries that could be taken now."""
        return self.tokens.available(now)

    def is_scarce(self, now: float) -> bool:
        """Returns False: this budget never asks callers to retry themselves."""
        return False

    def update_daemon_count(self, daemon_count: int) -> None:
        """Does nothing, since this budget does not depend on other daemons."""


@attrs.define
class WindowBudget(RetryBudget):
    """Limits retries to this daemon's part of those of the fleet in a window.

    In each window, the fleet may retry a percentage of its calls, and make a
    fixed number of further retries, the slack. Each daemon keeps to that
    percentage of its own calls and to an equal part of the slack, so that
    the daemons need not coordinate.

    Attributes:
        window_s: Length of the window, seconds.
        fleet_slack: Retries of all daemons beyond the percentage of their
            calls.
        slack: The part of `fleet_slack` that this daemon may make.
        earned: Retries earned by first attempts: the time when each slice
            began, seconds, and the retries earned in it.
        spent: Times of the retries made, seconds.
        earned_total: Sum of the retries in `earned`.
    """

    window_s: float = 10
    fleet_slack: float = 0
    slack: float = 0
    earned: deque[tuple[float, float]] = attrs.field(factory=deque)
    spent: deque[float] = attrs.field(factory=deque)
    earned_total: float = 0

    def record_first_attempt(self, policy: Policy, now: float) -> None:
        """Earns the share of a retry that a first attempt allows."""
        share = policy.retry_percent / PERCENT
        if (
            self.earned
            and now - self.earned[-1][0] < self.window_s / WINDOW_SLICES
        ):
            slice_start, slice_share = self.earned.pop()
            self.earned.append((slice_start, slice_share + share))
        else:
            self.earned.append((now, share))
        self.earned_total += share

    def available(self, now: float) -> float:
        """Returns the number of retries that could be taken now."""
        self.expire(now)
        return self.slack + self.earned_total - len(self.spent)

    def is_scarce(self, now: float) -> bool:
        """Returns whether few retries are left compared with those spent."""
        return self.available(now) < len(self.spent) * SCARCE_RATIO

    def take(self, policy: Policy, now: float) -> bool:
        """Takes one retry if the policy and the budget allow it."""
        if not self.allows(policy, now):
            return False
        self.spent.append(now)
        return True

    def refund(self, now: float) -> None:
        """Gives back a retry that caused no work, such as a refused hedge."""
        if self.spent:
            self.spent.pop()

    def allows(self, policy: Policy, now: float) -> bool:
        """Returns whether a retry could be taken now."""
        return policy.retry_percent > 0 and self.available(now) >= 1

    def update_daemon_count(self, daemon_count: int) -> None:
        """Sets the slack of this daemon to an equal part of the fleet's.

        Args:
            daemon_count: The number of daemons.
        """
        self.slack = min(MAX_SLACK, self.fleet_slack / daemon_count)

    def expire(self, now: float) -> None:
        """Drops the retries earned or spent before the window."""
        oldest = now - self.window_s
        while self.earned and self.earned[0][0] < oldest:
            self.earned_total -= self.earned.popleft()[1]
        while self.spent and self.spent[0] < oldest:
            self.spent.popleft()


@attrs.frozen
class Retry:
    """Another attempt may be made if `RetryBudget.take` allows it.

    Attributes:
        only_host: Id of the only host that it may be sent to, or empty to
            send it to another host.
    """

    only_host: str = ''


@attrs.frozen
class GiveUp:
    """No more attempts are made.

    Attributes:
        refusal: What the caller gets.
    """

    refusal: Refusal


def decide_retry(
    context: CallContext,
    policy: Policy,
    failed: list[FailedAttempt],
    budget: RetryBudget,
    now: float,
) -> Retry | GiveUp:
    """Decides whether another attempt follows a failed one.

    A call that may have run is retried only if it is idempotent, or at the
    owner of its idempotency key, which runs it at most once.

    Args:
        context: The call.
        policy: The effective policy of the call.
        failed: The attempts that failed, at least one, in order.
        budget: The retry budget.
        now: Monotonic time, seconds.

    Returns:
        Whether to retry, or else the refusal that the caller gets.
    """
    refusal = combine_failures(failed)
    may_repeat = (
        context.idempotent
        or bool(context.key_owner)
        or refusal.execution is Execution.NOT_RUN
    )
    stop_conditions = (
        not may_repeat,
        refusal.reason in FINAL_REASONS,
        context.is_retry,
        any(attempt.retried_below for attempt in failed),
        sum(attempt.arrived for attempt in failed) >= policy.max_attempts,
        len(failed) >= MAX_FAILED_ATTEMPTS,
        now >= context.deadline,
        counts_as_retry(failed) and not budget.allows(policy, now),
        counts_as_retry(failed)
        and caller_can_retry(context, failed, budget, now),
    )
    return GiveUp(refusal) if any(stop_conditions) else Retry(context.key_owner)


def caller_can_retry(
    context: CallContext,
    failed: list[FailedAttempt],
    budget: RetryBudget,
    now: float,
) -> bool:
    """Returns whether the retry of a refused call is left to its caller.

    While retries are scarce, they are kept for calls whose callers have no
    time to retry after a refusal, such as the calls that a target makes while
    it runs another call.

    Args:
        context: The call.
        failed: The attempts that failed, in order.
        budget: The retry budget.
        now: Monotonic time, seconds.
    """
    did_not_run = combine_failures(failed).execution is Execution.NOT_RUN
    has_time = context.deadline - now > MIN_TIME_TO_RETRY_S
    return did_not_run and has_time and budget.is_scarce(now)


def counts_as_retry(failed: Iterable[FailedAttempt]) -> bool:
    """Returns whether the next attempt counts against the retry budget.

    The budget limits the work that retries cause at targets. The first
    attempt that reaches a target is no retry in this sense, however many
    daemons refused the call before.
    """
    return any(attempt.arrived for attempt in failed)


@attrs.define
class HedgeTimer:
    """Estimates how long almost all calls of a route take.

    Attributes:
        quantile: Estimate of the 95th percentile of latency, seconds.
    """

    quantile: float = 0

    def observe(self, latency_s: float) -> None:
        """Updates the estimate with the latency of an answer."""
        if not self.quantile:
            self.quantile = latency_s
            return
        # A step up is 19 times a step down, so the estimate is stable when
        # one answer in twenty is slower.
        if latency_s > self.quantile:
            self.quantile *= math.exp(QUANTILE_STEP * HEDGE_QUANTILE)
        else:
            self.quantile *= math.exp(QUANTILE_STEP * (HEDGE_QUANTILE - 1))

    def delay(
        self,
        context: CallContext,
        policy: Policy,
    ) -> float | None:
        """Returns the time after which a call that got no answer is hedged.

        Returns:
            Time since the first attempt, seconds, or None if the call
            must not be hedged.
        """
        if not policy.hedge_ms or not context.idempotent:
            return None
        if context.is_retry or context.key_owner or policy.max_attempts == 1:
            return None
        return max(policy.hedge_ms / 1_000, self.quantile)


def attempts_to_cancel(
    open_attempts: dict[int, str], winner: int
) -> dict[int, str]:
    """Returns the attempts to cancel once one of them has got an answer.

    Args:
        open_attempts: Host ids by attempt, including the winner.
        winner: The attempt that got the answer.
    """
    return {
        attempt: host_id
        for attempt, host_id in open_attempts.items()
        if attempt != winner
    }
