"""Tests that retries stay within a share of the calls of a window."""

import random

from hypothesis import given
from hypothesis import strategies as st

from egretlanding.objects import Policy
from egretlanding.outcomes import FailedAttempt, Progress, Reason
from egretlanding.retries import (
    MIN_TIME_TO_RETRY_S,
    CallContext,
    GiveUp,
    Retry,
    RetryBudget,
    WindowBudget,
    decide_retry,
)

WINDOW_S = 10
SLACK = 1
SHARE = 0.1
POLICY = Policy(retry_percent=10, max_attempts=2)


def make_budget() -> WindowBudget:
    """Returns a budget that has recorded no calls."""
    tokens = RetryBudget.with_initial_tokens(0).tokens
    budget = WindowBudget(tokens, WINDOW_S, SLACK)
    budget.update_daemon_count(1)
    return budget


@given(st.integers(0, 10_000), st.integers(1, 60))
def test_retries_in_a_window_are_bounded_by_recent_calls(
    seed: int,
    rate: int,
) -> None:
    rng = random.Random(seed)
    budget = make_budget()
    now: float = 0
    calls: list[float] = []
    retries: list[float] = []
    while now < 40:
        # Calls are rare for 13 s, which is longer than the window. Retries
        # earned before that time must not be available after it.
        is_quiet = 15 < now < 28
        now += rng.expovariate(1 if is_quiet else rate)
        calls.append(now)
        budget.record_first_attempt(POLICY, now)
        if budget.take(POLICY, now):
            retries.append(now)
    for start in retries:
        window = [t for t in retries if start <= t < start + WINDOW_S]
        recent = [t for t in calls if start - WINDOW_S <= t < start + WINDOW_S]
        assert len(window) <= SLACK + SHARE * len(recent) + 1


def test_window_budget_saves_no_retries_beyond_the_window() -> None:
    budgets = (make_budget(), RetryBudget.with_initial_tokens(0))
    taken = []
    for budget in budgets:
        for number in range(400):
            budget.record_first_attempt(POLICY, number * 0.02)
        later = 8 + 2 * WINDOW_S
        taken.append(sum(budget.take(POLICY, later) for _ in range(50)))
    assert taken[0] <= SLACK
    assert taken[1] > SLACK


def test_scarce_retries_go_to_callers_without_time_to_retry() -> None:
    budget = make_budget()
    for number in range(100):
        budget.record_first_attempt(POLICY, number * 0.01)
    for _ in range(6):
        assert budget.take(POLICY, 1)
    rejected = [
        FailedAttempt(Reason.SHED, Progress.SENT, confirmed_not_run=True)
    ]
    lost = [FailedAttempt(Reason.CONNECTION_LOST, Progress.SENT)]
    with_time = CallContext(
        deadline=1 + 2 * MIN_TIME_TO_RETRY_S, idempotent=True
    )
    without_time = CallContext(
        deadline=1 + MIN_TIME_TO_RETRY_S / 2, idempotent=True
    )
    assert isinstance(
        decide_retry(with_time, POLICY, rejected, budget, 1),
        GiveUp,
    )
    assert isinstance(
        decide_retry(without_time, POLICY, rejected, budget, 1), Retry
    )
    assert isinstance(decide_retry(with_time, POLICY, lost, budget, 1), Retry)


def test_retry_of_a_call_that_reached_no_target_needs_no_budget() -> None:
    budget = make_budget()
    not_arrived = FailedAttempt(
        Reason.QUEUE_FULL,
        Progress.SENT,
        confirmed_not_run=True,
        arrived=False,
    )
    context = CallContext(deadline=9, idempotent=False)
    assert not budget.earned
    budget.slack = 0
    for tries in range(1, 8):
        decision = decide_retry(
            context, POLICY, [not_arrived] * tries, budget, 1
        )
        assert isinstance(decision, Retry)
    many = [not_arrived] * 8
    assert isinstance(decide_retry(context, POLICY, many, budget, 1), GiveUp)


@given(st.integers(1, 2_000), st.integers(0, 300))
def test_daemons_share_the_common_slack(daemon_count: int, slack: int) -> None:
    budget = WindowBudget(
        RetryBudget.with_initial_tokens(0).tokens, WINDOW_S, slack
    )
    budget.update_daemon_count(daemon_count)
    assert daemon_count * budget.slack <= slack + 1e-6
