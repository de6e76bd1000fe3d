"""Tests of the choice of targets in a fleet where each daemon sends few calls.

Pattern: an ingress daemon of a large fleet sends each target a call in ten
seconds or less, so its own calls say little about the targets' load and speed.
"""

import pytest

from tests.callmodel import (
    ROUTE,
    Model,
    Policy,
    choose_at_random,
    choose_by_own_calls,
    choose_by_survey,
)

TARGETS = 24
INGRESSES = 60
SECONDS = 6
# Time that most calls of a light load take, seconds, that of one of them, and
# the pause between them.
USUAL_S = 0.01
OUTLIER_S = 0.06
PAUSE_S = 0.02
RECOVERY_S = 6


def ends_of(policy: Policy, load: float, slow: int = 0) -> Model:
    """Runs the model and returns it."""
    model = Model.of_fleet(
        policy, targets=TARGETS, ingresses=INGRESSES, slow=slow
    )
    model.run(load, SECONDS)
    return model


@pytest.mark.parametrize('slow', [0, 3])
def test_a_survey_finds_targets_that_answer_in_time(slow: int) -> None:
    load = 0.4
    surveyed = ends_of(choose_by_survey, load, slow)
    own = ends_of(choose_by_own_calls, load, slow)
    random = ends_of(choose_at_random, load, slow)
    assert surveyed.share('late') <= 0.75 * own.share('late')
    assert surveyed.share('late') <= 0.75 * random.share('late')
    assert not surveyed.ends['refused']


# Calls were refused by full targets, one after another, while others had free
# slots.
def test_a_survey_finds_the_last_free_slots() -> None:
    load = 0.9
    surveyed = ends_of(choose_by_survey, load)
    own = ends_of(choose_by_own_calls, load)
    random = ends_of(choose_at_random, load)
    assert surveyed.share('refused') <= own.share('refused') / 2
    assert surveyed.share('in time') > own.share('in time')
    assert surveyed.share('in time') > random.share('in time')
    assert surveyed.refusals < own.refusals


def test_a_survey_keeps_the_goodput_at_twice_the_capacity() -> None:
    load = 2
    surveyed = ends_of(choose_by_survey, load)
    own = ends_of(choose_by_own_calls, load)
    # Few attempts are made at targets that refuse them.
    assert surveyed.refusals <= surveyed.ends.total()
    assert surveyed.refusals <= own.refusals / 2
    bound = surveyed.capacity * SECONDS
    assert surveyed.ends['in time'] >= 0.9 * bound
    assert surveyed.ends['in time'] >= 0.97 * own.ends['in time']


# Failure: of equal targets, one whose first call happened to take long got none
# for five seconds, since nothing but a call shows that it is not slow.
def test_a_target_with_one_slow_call_soon_gets_calls_again() -> None:
    model = Model.of_fleet(choose_by_survey, targets=5, ingresses=1)
    for target in model.targets.values():
        target.speed = 1
    targets = tuple(model.targets.values())
    for target in targets:
        took_s = OUTLIER_S if target is targets[0] else USUAL_S
        target.admission.times.observe(ROUTE, took_s)
        target.admission.answered_at[ROUTE] = 0
    model.send_steadily(USUAL_S, PAUSE_S, 100 * PAUSE_S)
    assert model.share('in time') == 1
    assert targets[0].work_s >= 3 * USUAL_S


# Failure: the same with the evidence of a daemon's own calls, for half
# a minute.
def test_a_target_that_was_slow_for_a_moment_soon_gets_calls_again() -> None:
    model = Model.of_fleet(choose_by_own_calls, targets=5, ingresses=1)
    first, *others = model.targets.values()
    first.speed = USUAL_S / OUTLIER_S
    for target in others:
        target.speed = 1
    model.send_steadily(USUAL_S, PAUSE_S, 0.5)
    assert first.work_s >= OUTLIER_S
    first.speed = 1
    slow_s = first.work_s
    model.send_steadily(USUAL_S, PAUSE_S, RECOVERY_S)
    assert model.share('in time') == 1
    assert first.work_s - slow_s >= 5 * USUAL_S
