"""Tests of the questions to a few targets before a call is sent."""

import random
from typing import Any

import attrs
import pytest
from twisted.internet.task import Clock

from egretlanding.balancing import SURVEY_SIZE, AttemptSpec, Balancer, Choice
from egretlanding.egress import answer_ping
from egretlanding.evidence import MAX_EXPECTED_AGE_S
from egretlanding.failureshare import FailureShare
from egretlanding.frames import REFUSES, CallRequest, Ping, Pong
from egretlanding.hosts import Host
from egretlanding.objects import Service, WorkClass
from egretlanding.outcomes import Reason, Refusal
from egretlanding.platform.names import DIALECT
from egretlanding.subsets import Distance, Locality
from egretlanding.surveys import SURVEY_TIMEOUT_S, Surveyor
from egretlanding.targets import NEAR_FULL_PAUSE_S, record_delay
from egretlanding.tokens import TokenBucket
from tests.wires import connect_egress

ROUTE = 'lookup'
WANTED = AttemptSpec(1, ROUTE, deadline=100)
OWN_HOST = 'h'
NAMES = (OWN_HOST, 'a', 'b', 'c')
RNG = random.Random(7)


@attrs.define(eq=False)
class Questions:
    """Takes the place of the connections to other daemons.

    Attributes:
        asked: The callbacks of the questions, by host.
        unconnected: Hosts to which no connection is open.
    """

    asked: dict[str, Any] = attrs.field(factory=dict)
    unconnected: frozenset[str] = frozenset()

    def ask(self, host: Host, _question: Ping, on_pong: Any) -> bool:
        """Keeps a question, if it can be sent."""
        if host.host_id in self.unconnected:
            return False
        self.asked[host.host_id] = on_pong
        return True

    def answer(self, host_id: str, delay_ms: int) -> None:
        """Replies to a question."""
        self.asked[host_id](Pong(1, 0, delay_ms))


def make_balancer() -> Balancer:
    """Returns a balancer with four targets of its region and a remote one."""
    balancer = Balancer.for_service(
        Locality(OWN_HOST, 'north', 'z1'),
        Service(regions=(), cold_start_ms=0),
        TokenBucket.full(0, 1_000, 0),
    )
    hosts = [
        Host(name, '', 1, 2, 3, 'north', f'z{index}', 'orders')
        for index, name in enumerate(NAMES, 1)
    ]
    far = Host('far', '', 1, 2, 3, 'south', 's1', 'orders')
    balancer.targets.update_hosts([*hosts, far], 0)
    return balancer


@attrs.define(eq=False)
class Surveyed:
    """A survey of the targets of a service.

    Attributes:
        balancer: Chooses by its outcome.
        clock: The clock.
        links: The questions to other daemons.
        ends: Number of times that the survey has ended.
    """

    balancer: Balancer
    clock: Clock
    links: Questions
    ends: int = 0

    @classmethod
    def begin(cls, *unconnected: str) -> 'Surveyed':
        """Asks all targets of the region, some of which aren't connected."""
        links: Any = Questions(unconnected=frozenset(unconnected))
        egress, _pool, clock = connect_egress(DIALECT)
        surveyed = cls(make_balancer(), clock, links)
        surveyor = Surveyor(clock, links, OWN_HOST, egress)
        targets = surveyed.balancer.targets
        sample = [targets.evidence[name] for name in NAMES]
        surveyor.ask(targets, sample, Ping(route=ROUTE), surveyed.record_end)
        return surveyed

    def record_end(self) -> None:
        """Counts an end."""
        self.ends += 1

    def choose(self) -> Choice:
        """Returns the chosen target; there must be one."""
        now = self.clock.seconds()
        choice = self.balancer.choose_soonest(WANTED, now, RNG)
        assert isinstance(choice, Choice)
        return choice


def test_the_target_that_can_answer_first_is_chosen() -> None:
    surveyed = Surveyed.begin()
    surveyed.links.answer('a', 300)
    surveyed.links.answer('b', 200)
    assert surveyed.ends == 1
    surveyed.links.answer('c', 100)
    assert surveyed.ends == 1
    assert surveyed.choose().host.host_id == 'c'


def test_a_call_does_not_wait_for_a_daemon_that_is_slow() -> None:
    surveyed = Surveyed.begin()
    surveyed.links.answer('a', 300)
    assert not surveyed.ends
    surveyed.clock.advance(SURVEY_TIMEOUT_S)
    assert surveyed.ends == 1
    assert surveyed.choose().host.host_id == 'a'


def test_a_survey_ends_at_once_if_nobody_can_be_asked() -> None:
    surveyed = Surveyed.begin(*NAMES)
    assert surveyed.ends == 1
    assert not surveyed.clock.getDelayedCalls()
    assert surveyed.choose().distance is not Distance.REMOTE


@pytest.mark.parametrize(
    ('own_ms', 'other_ms', 'expected'),
    [(100, 110, {OWN_HOST}), (160, 100, {'a'}), (110, 100, {OWN_HOST, 'a'})],
)
def test_similar_targets_share_calls_and_near_ones_come_first(
    own_ms: int, other_ms: int, expected: set[str]
) -> None:
    surveyed = Surveyed.begin()
    targets = surveyed.balancer.targets
    record_delay_ms(targets, OWN_HOST, own_ms)
    record_delay_ms(targets, 'a', other_ms)
    chosen = {surveyed.choose().host.host_id for _ in range(60)}
    assert chosen == expected


# Failure: a target that had been slow once got no calls any more, as long as
# others had room.
def test_a_target_without_calls_lately_counts_as_an_average_one() -> None:
    surveyed = Surveyed.begin()
    targets = surveyed.balancer.targets
    targets.times.observe(ROUTE, 0.2)
    record_delay_ms(targets, 'a', 300)
    record_delay(targets, 'b', ROUTE, Pong(1, 0, 0, is_bound=True), 0)
    assert surveyed.choose().host.host_id == 'b'
    record_delay(targets, 'b', ROUTE, Pong(1, 1, 900, is_bound=True), 0)
    assert surveyed.choose().host.host_id == 'a'


def test_a_target_that_would_refuse_the_call_is_not_chosen() -> None:
    surveyed = Surveyed.begin()
    targets = surveyed.balancer.targets
    record_delay_ms(targets, 'a', 300)
    record_delay_ms(targets, 'b', 100)
    record_delay(targets, 'b', ROUTE, Pong(1, 9, REFUSES), 0)
    assert surveyed.choose().host.host_id == 'a'


def record_delay_ms(targets: Any, name: str, delay_ms: int) -> None:
    """Records an expected delay, heard now."""
    record_delay(targets, name, ROUTE, Pong(1, 0, delay_ms), 0)


def test_an_old_reply_is_not_relied_on() -> None:
    surveyed = Surveyed.begin()
    surveyed.links.answer('c', 1)
    surveyed.clock.advance(2 * MAX_EXPECTED_AGE_S)
    chosen = {surveyed.choose().host.host_id for _ in range(60)}
    assert 'c' not in chosen


def test_a_full_target_is_not_asked() -> None:
    balancer = make_balancer()
    balancer.targets.record_refusal('a', ROUTE, 0)
    for _ in range(20):
        sample = {
            one.host.host_id for one in balancer.survey_sample(WANTED, 0, RNG)
        }
        assert len(sample) == SURVEY_SIZE
        assert 'a' not in sample


# Failure: calls were sent to one full target after another, each of which had
# said that it would refuse them.
def test_targets_that_would_refuse_get_no_calls_for_a_while() -> None:
    balancer = make_balancer()
    for name in NAMES:
        record_delay(balancer.targets, name, ROUTE, Pong(1, 9, REFUSES), 0)
    choice = balancer.choose_soonest(WANTED, 0, RNG)
    assert isinstance(choice, Choice)
    assert choice.host.host_id == 'far'
    record_delay(balancer.targets, 'far', ROUTE, Pong(1, 9, REFUSES), 0)
    refusal = balancer.choose_soonest(WANTED, 0, RNG)
    assert isinstance(refusal, Refusal)
    assert refusal.reason is Reason.QUEUE_FULL
    later = balancer.choose_soonest(WANTED, 1.1 * NEAR_FULL_PAUSE_S, RNG)
    assert isinstance(later, Choice)


def test_a_daemon_without_evidence_names_no_delay() -> None:
    egress, _pool, _clock = connect_egress(DIALECT)
    assert answer_ping(egress, Ping(5, ROUTE)) == Pong(5, is_bound=True)
    assert answer_ping(egress, Ping()) == Pong()


# A target that fails its calls quickly would seem to be the fastest.
@pytest.mark.parametrize('failing', [0.3, 0.6])
def test_a_target_that_fails_quickly_is_not_the_soonest(failing: float) -> None:
    failures, rng = FailureShare(), random.Random(3)
    for _ in range(200):
        failures.observe(failed=rng.random() < failing)
    assert failures.until_success(1) > 1 / (1 - failing / 2)
    for _ in range(100):
        failures.observe(failed=True)
    assert failures.until_success(1) > 9


# Failure: a target that rejected each call, because another process had its
# address, was chosen again and again for the delay that its daemon named.
def test_a_target_that_rejected_a_call_is_chosen_less() -> None:
    surveyed = Surveyed.begin()
    targets = surveyed.balancer.targets
    record_delay_ms(targets, 'a', 100)
    record_delay_ms(targets, 'b', 100)
    targets.record_failure('a', 0)
    chosen = {surveyed.choose().host.host_id for _ in range(60)}
    assert chosen == {'b'}


# Failure: the calls that a target makes while it runs another one were refused
# at once while all targets were full, though they would have kept their place.
@pytest.mark.parametrize('keeps_place', [True, False])
def test_a_full_target_refuses_only_calls_that_can_come_again(
    keeps_place: bool,
) -> None:
    egress, _pool, _clock = connect_egress(DIALECT)
    egress.admission.slots.limit.fix(1)
    egress.admission.times.observe(ROUTE, 0.2)
    for number in (1, 2):
        call = CallRequest(
            number, 'GET', '/', [], b'', ROUTE, 3_000, 50, WorkClass.SHORT
        )
        egress.run(call, 0, lambda _reply: None)
    pong = answer_ping(egress, Ping(3, ROUTE, keeps_place=keeps_place))
    assert (pong.delay_ms == REFUSES) is not keeps_place
