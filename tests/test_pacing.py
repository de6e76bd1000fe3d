"""Tests that a target's calls keep to the limit that it names."""

import bisect
import random

import attrs
from hypothesis import given
from hypothesis import strategies as st
from twisted.internet.task import Clock

from egretlanding.admission import Admission, Refuse, Start
from egretlanding.frames import Statement
from egretlanding.objects import Service, WorkClass
from egretlanding.pacing import Pace
from egretlanding.slots import SlotRequest
from egretlanding.statements import TargetStatements
from egretlanding.targets import MAX_OFFERS_PER_S, limited_pause_s

# The rule of the users: in any window of this length, half as much again as
# the limit allows and some more.
WINDOW_S = 4
EXCESS_RATIO = 1.5
EXCESS_CALLS = 5
STEP_S = 0.01
FLEET = 1_300


def most_in_window(starts: list[float]) -> int:
    """Returns the most calls that started within a window of the rule."""
    return max(
        bisect.bisect(starts, begin + WINDOW_S) - index
        for index, begin in enumerate([*starts, 0])
    )


def make_request(number: int, now: float, deadline_s: float) -> SlotRequest:
    """Returns a short call that allows some time."""
    return SlotRequest(
        number, 'r', WorkClass.SHORT, now + deadline_s, 1, now, False, now + 0.4
    )


# Failure: a target got calls by its free slots, whatever limit it named.
@given(
    st.lists(st.floats(0, 60), min_size=1, max_size=6),
    st.integers(0, 3),
    st.integers(1, 40),
)
def test_no_window_has_more_calls_than_the_highest_limit_in_it_allows(
    rates: list[float], restarts: int, per_step: int
) -> None:
    starts: list[float] = []
    now: float = 100
    for number, rate in enumerate([*rates, *rates[-1:] * restarts]):
        if number == 0 or number >= len(rates):
            pace = Pace()
        pace.change(rate, now)
        for _ in range(int(WINDOW_S / STEP_S)):
            now += STEP_S
            offered = range(per_step)
            allowed = sum(take_if_allowed(pace, now) for _ in offered)
            starts.extend([now] * allowed)
    # Two limits may fall into one window.
    excess = EXCESS_RATIO * WINDOW_S * max(rates) + EXCESS_CALLS
    assert most_in_window(starts) <= excess


def take_if_allowed(pace: Pace, now: float) -> bool:
    """Starts a call if the pace allows it; returns whether it does."""
    allowed = pace.allows(now)
    if allowed:
        pace.take(now)
    return allowed


@given(st.floats(0.5, 60))
def test_a_target_gets_nearly_all_the_calls_that_it_takes(rate: float) -> None:
    pace = Pace()
    pace.change(rate, 0)
    steps = range(1, int(20 / STEP_S))
    started = sum(take_if_allowed(pace, step * STEP_S) for step in steps)
    assert started >= 20 * rate * 0.9 - 1


def test_a_target_that_takes_no_call_is_asked_now_and_then() -> None:
    pace = Pace()
    pace.change(0, 0)
    steps = range(int(20 / STEP_S))
    started = [step for step in steps if take_if_allowed(pace, step * STEP_S)]
    assert 2 <= len(started) <= 6


# Failure: calls beyond the limit waited until their callers gave up.
def test_calls_beyond_the_limit_are_refused_at_once() -> None:
    admission = Admission.from_service(Service(regions=(), slots=6))
    admission.pace.change(10, 0)
    decisions = [
        admission.offer(make_request(number, 1, 3), 1) for number in range(40)
    ]
    refused = [found for found in decisions if isinstance(found, Refuse)]
    assert len(refused) >= 30
    times = [1 + number * STEP_S for number in range(100)]
    later = [found for now in times for found in admission.advance(now)]
    assert not any(isinstance(found, Refuse) for found in later)
    assert sum(isinstance(found, Start) for found in later) >= 3


def test_a_queued_call_is_due_when_the_limit_allows_it() -> None:
    admission = Admission.from_service(Service(regions=(), slots=6))
    admission.pace.change(10, 0)
    start = 0.1
    for number in range(4):
        admission.offer(make_request(number, start, 3), start)
    due = admission.next_advance_at(start)
    assert due is not None
    assert due - start > STEP_S
    assert any(isinstance(found, Start) for found in admission.advance(due))


def hear(
    statements: TargetStatements, rate: float | None, sent_at: float
) -> float | None:
    """Applies an answer that arrives 0.2 s after its call was sent."""
    statements.hear('i-1', Statement(rate), sent_at, sent_at + 0.2)
    return statements.current.rate_per_s


def test_an_answer_to_an_earlier_call_does_not_end_a_limit() -> None:
    statements = TargetStatements()
    assert hear(statements, None, 1) is None
    assert hear(statements, 5, 2) == 5
    assert hear(statements, None, 1.9) == 5
    assert hear(statements, 4, 2.1) == 4
    assert hear(statements, None, 2.5) is None


# Failure: a daemon that started again forgot the limit of its target.
def test_a_limit_is_learned_from_other_daemons_until_the_target_answers() -> (
    None
):
    statements = TargetStatements()
    assert statements.known_of('i-1') is None
    statements.adopt('i-1', Statement(5))
    statements.adopt('i-1', Statement(8))
    assert statements.known_of('i-1') == Statement(5)
    assert hear(statements, None, 3) is None
    statements.adopt('i-1', Statement(5))
    assert statements.known_of('i-1') == Statement(None)


def test_a_process_that_starts_again_under_its_name_states_nothing() -> None:
    statements = TargetStatements()
    statements.record_start('i-1', 100)
    statements.hear('i-1', Statement(5, leaving=True), 1, 2)
    statements.hear('i-1', Statement(5), 2, 3)
    statements.record_start('i-1', 100)
    assert statements.says_leaving('i-1')
    statements.record_start('i-1', 900)
    assert statements.known_of('i-1') is None
    statements.hear('i-1', Statement(5, leaving=True), 11, 12)
    statements.hear('i-2', Statement(), 13, 14)
    assert not statements.says_leaving('i-2')
    assert statements.known_of('i-2') == Statement()


@attrs.define
class Callers:
    """The daemons of a fleet that all offer calls to one limited target.

    Attributes:
        admission: The slots, queue and limit of the target.
        resume: When each daemon offers its next call, seconds.
        offers: Number of calls offered.
        starts: When calls started, seconds.
    """

    admission: Admission
    resume: list[float]
    offers: int = 0
    starts: list[float] = attrs.field(factory=list)

    def step(self, now: float, pause_s: float) -> None:
        """Lets all daemons that don't pause offer a call."""
        decisions = list(self.admission.advance(now))
        for number, resume in enumerate(self.resume):
            if resume > now:
                continue
            self.offers += 1
            request = make_request(self.offers, now, 2)
            decisions.append(self.admission.offer(request, now))
            self.resume[number] = now + pause_s
        started = [found for found in decisions if isinstance(found, Start)]
        self.starts.extend(now for _ in started)
        for found in started:
            self.admission.release(found.call.call_id, now)


# Failure: each of many daemons kept offering calls to a target whose limit the
# others had used up.
def test_a_whole_fleet_shares_one_limit_without_many_calls_in_vain() -> None:
    rate = 20
    rng = random.Random(1)
    admission = Admission.from_service(Service(regions=(), slots=6))
    admission.pace.change(rate, 0)
    resume = [rng.uniform(0, 4) for _ in range(FLEET)]
    callers = Callers(admission, resume)
    clock = Clock()
    while clock.seconds() < 20:
        clock.advance(STEP_S)
        callers.step(clock.seconds(), limited_pause_s(rate, FLEET))
    assert callers.offers <= 20 * 1.1 * MAX_OFFERS_PER_S
    assert len(callers.starts) >= 20 * rate * 0.95
    allowed = EXCESS_RATIO * WINDOW_S * rate + EXCESS_CALLS
    assert most_in_window(callers.starts) <= allowed
