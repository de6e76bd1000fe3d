"""Tests of the pause before refused callers retry."""

from egretlanding.retryafter import (
    FIRST_PAUSE_S,
    LATER_PAUSE_SHARE,
    RetryAfterEstimator,
)


def test_pause_after_the_first_refusal_is_short() -> None:
    pauses = RetryAfterEstimator()
    pauses.observe('orders', 3)
    assert pauses.pause_s('orders', 3) == FIRST_PAUSE_S


def test_later_pause_is_a_share_of_the_time_left() -> None:
    pauses = RetryAfterEstimator()
    pauses.observe('orders', 3)
    assert pauses.pause_s('orders', 2) == 2 * LATER_PAUSE_SHARE
    assert pauses.pause_s('orders', 0.1) == FIRST_PAUSE_S


def test_each_route_has_its_own_longest_time() -> None:
    pauses = RetryAfterEstimator()
    pauses.observe('orders', 3)
    pauses.observe('bills', 1)
    assert pauses.pause_s('bills', 1) == FIRST_PAUSE_S
