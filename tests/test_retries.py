"""Tests of retries and hedges, and of what refusals say about runs."""

import random

import attrs
import pytest
from hypothesis import given
from hypothesis import strategies as st

from egretlanding.objects import Policy
from egretlanding.outcomes import (
    REASON_TRAITS,
    Execution,
    FailedAttempt,
    Progress,
    Reason,
)
from egretlanding.pauses import MIN_PAUSE_S, PauseDetector
from egretlanding.retries import (
    MAX_DEPTH,
    RETRY_HEADER,
    CallContext,
    HedgeTimer,
    Retry,
    RetryBudget,
    attempts_to_cancel,
    decide_retry,
)

POLICY = Policy(max_attempts=3, retry_percent=10)
attempts = st.builds(
    FailedAttempt,
    st.sampled_from(list(Reason)),
    st.sampled_from(list(Progress)),
    confirmed_not_run=st.booleans(),
    keyed=st.booleans(),
    retried_below=st.booleans(),
)
contexts = st.builds(
    CallContext,
    st.sampled_from([5, 50]),
    st.booleans(),
    st.sampled_from(['', 'owner']),
    st.integers(0, MAX_DEPTH),
    st.booleans(),
)


def may_have_run(failed):
    return any(
        not attempt.confirmed_not_run
        and (attempt.keyed or attempt.progress is not Progress.UNSENT)
        for attempt in failed
    )


class AssumesNotRun(FailedAttempt):
    """An attempt that is wrongly assumed not to have run."""

    execution = Execution.NOT_RUN


def check_retry(context, failed):
    budget = RetryBudget.with_initial_tokens(0)
    decision = decide_retry(context, POLICY, failed, budget, 10)
    if not isinstance(decision, Retry):
        is_unknown = decision.refusal.execution is Execution.UNKNOWN
        assert is_unknown == may_have_run(failed)
        return
    assert context.idempotent or context.key_owner or not may_have_run(failed)
    assert decision == Retry(context.key_owner)
    assert len(failed) < POLICY.max_attempts
    assert context.deadline > 10
    assert not context.is_retry
    assert not any(attempt.retried_below for attempt in failed)


@given(contexts, st.lists(attempts, min_size=1, max_size=4))
def test_only_idempotent_or_unrun_or_owned_calls_are_retried(context, failed):
    check_retry(context, failed)


@pytest.mark.parametrize('deadline', [5, 50])
def test_guess_that_a_lost_call_did_not_run_is_seen(deadline):
    lost = AssumesNotRun(Reason.CONNECTION_LOST, Progress.SENT)
    with pytest.raises(AssertionError):
        check_retry(CallContext(deadline, idempotent=False), [lost])


@given(st.integers(0, 100), st.integers(1, 2_000))
def test_retries_stay_within_the_percentage(percent, calls):
    policy = Policy(retry_percent=percent)
    budget = RetryBudget.with_initial_tokens(0)
    retries = 0
    for _ in range(calls):
        budget.record_first_attempt(policy, 0)
        retries += budget.take(policy, 0)
    assert retries <= 3 + calls * percent / 100 + 1e-6


def count_runs_at_lowest_level(depth, use_header):
    """Counts the runs at the lowest of nested levels if each attempt fails."""
    policy = Policy(max_attempts=3, retry_percent=100)
    failure = FailedAttempt(Reason.CONNECTION_LOST, Progress.SENT)

    def call(level, is_retry):
        if level == depth:
            return 1, False
        budget = RetryBudget.with_initial_tokens(0)
        context = CallContext(9, True, depth=level, is_retry=is_retry)
        runs, failed, decision = 0, [], Retry()
        while isinstance(decision, Retry):
            headers = context.headers(len(failed), 0)
            is_marked = use_header and headers[RETRY_HEADER] == '1'
            runs_below, retried = call(level + 1, is_marked)
            runs += runs_below
            was_retried = use_header and retried
            failed.append(attrs.evolve(failure, retried_below=was_retried))
            decision = decide_retry(context, policy, failed, budget, 0)
            budget.take(policy, 0)
        return runs, retried or len(failed) > 1

    return call(0, False)[0]


@pytest.mark.parametrize('depth', range(1, 8))
def test_retries_do_not_multiply_across_nested_calls(depth):
    assert count_runs_at_lowest_level(depth, use_header=True) <= 3
    if depth > 1:
        assert count_runs_at_lowest_level(depth, use_header=False) == 3**depth


def test_too_deeply_nested_calls_are_refused():
    assert CallContext(9, True, depth=MAX_DEPTH).check_depth() is None
    refusal = CallContext(9, True, depth=MAX_DEPTH + 1).check_depth()
    assert refusal.reason is Reason.TOO_DEEP


def test_only_idempotent_calls_are_hedged_and_late():
    timer = HedgeTimer()
    rng = random.Random(1)
    for _ in range(5_000):
        timer.observe(rng.uniform(0, 0.1))
    policy = Policy(hedge_ms=20)
    context = CallContext(9, idempotent=True)
    quantile = pytest.approx(0.095, rel=0.2)
    assert timer.delay(context, policy) == quantile
    assert timer.delay(context, Policy(hedge_ms=500)) == pytest.approx(0.5)
    assert timer.delay(context, Policy()) is None
    for unhedged in (
        attrs.evolve(context, idempotent=False),
        attrs.evolve(context, is_retry=True),
        attrs.evolve(context, key_owner='owner'),
    ):
        assert timer.delay(unhedged, policy) is None
    assert attempts_to_cancel({1: 'a', 2: 'b'}, 2) == {1: 'a'}


def test_every_reason_has_a_status_and_a_remedy():
    assert REASON_TRAITS.keys() == set(Reason)
    assert all(
        traits.status >= 400 and traits.remedy
        for traits in REASON_TRAITS.values()
    )


def test_pause_is_detected_once():
    detector = PauseDetector(0)
    assert not detector.pause_length_s(MIN_PAUSE_S / 2)
    assert detector.pause_length_s(30) == 30
    detector.beat(30)
    assert not detector.pause_length_s(30.1)
