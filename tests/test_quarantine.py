"""Tests that requests which crash targets are refused, and no others."""

import random

import attrs
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from egretlanding.notices import NoticeTable
from egretlanding.outcomes import Execution, Reason
from egretlanding.quarantine import (
    CRASHES_TO_QUARANTINE,
    MAX_FACTS,
    MAX_SUSPECTS,
    SUSPICION_S,
    Quarantine,
    request_signature,
)
from egretlanding.quarantinenotices import merge_notice, quarantine_notices

POISON = request_signature('orders', 'POST', '/orders', b'poison')
TARGETS = 5
SLOTS = 6


@attrs.define
class Fleet:
    """Targets that crash when they run the poison request, with daemons.

    Attributes:
        daemons: The quarantine of each daemon.
        shares_facts: Whether daemons exchange facts after each step.
        crashes: Number of crashes of targets.
        wrongly_refused: Number of quarantined requests that were harmless.
        refused_as_suspects: Number of harmless requests refused because
            another suspect was running.
    """

    daemons: list
    rng: random.Random
    shares_facts: bool = True
    crashes: int = 0
    wrongly_refused: int = 0
    refused_as_suspects: int = 0

    def step(self, now, is_poison_sent):
        """Sends requests to one target, which crashes or completes them."""
        target = self.rng.randrange(TARGETS)
        in_flight = []
        harmless = [f'n{self.rng.randrange(12)}' for _ in range(SLOTS - 1)]
        sent = [*harmless, POISON] if is_poison_sent else harmless
        self.rng.shuffle(sent)
        for signature in sent:
            refusal = self.daemons[target].check(signature, in_flight, now)
            if refusal is None:
                in_flight.append(signature)
            elif signature != POISON:
                assert refusal.execution is Execution.NOT_RUN
                self.wrongly_refused += refusal.reason is Reason.QUARANTINED
                self.refused_as_suspects += refusal.reason is Reason.SUSPECT
        if POISON in in_flight:
            self.crashes += 1
            self.daemons[target].record_crash(
                f'h{target}:{self.crashes}', in_flight, now
            )
        else:
            for signature in in_flight:
                self.daemons[target].record_completed(signature)
        if self.shares_facts:
            self.share_facts(now)

    def share_facts(self, now):
        for source in self.daemons:
            for fact in source.facts(now):
                for other in self.daemons:
                    other.merge(fact, now)


class Unprotected(Quarantine):
    """Wrong: lacks the rules that protect harmless requests."""

    def record_completed(self, signature):
        """Does not clear the request."""

    def check(self, signature, in_flight, now):
        """Checks the request as if the target were running no other."""
        return super().check(signature, (), now)


def run_fleet(seed, steps=60, shares_facts=True, quarantine=Quarantine):
    fleet = Fleet(
        [quarantine() for _ in range(TARGETS)],
        random.Random(seed),
        shares_facts,
    )
    for now in range(steps):
        fleet.step(now, fleet.rng.choice((True, False)))
    return fleet


@settings(deadline=None)
@given(st.integers(0, 100_000))
def test_poison_is_refused_and_other_requests_run(seed):
    fleet = run_fleet(seed)
    assert fleet.crashes <= CRASHES_TO_QUARANTINE
    assert fleet.wrongly_refused == 0


def test_wrong_variants_are_detected():
    unprotected = [
        run_fleet(seed, quarantine=Unprotected) for seed in range(20)
    ]
    assert sum(fleet.wrongly_refused for fleet in unprotected) > 0
    unconnected = [run_fleet(seed, shares_facts=False) for seed in range(20)]
    assert max(fleet.crashes for fleet in unconnected) > CRASHES_TO_QUARANTINE


def test_exchanged_facts_do_not_prolong_a_quarantine():
    daemons = [Quarantine() for _ in range(3)]
    for crash in range(CRASHES_TO_QUARANTINE):
        daemons[0].record_crash(f'h:{crash}', [POISON], 0)
    for now in range(0, SUSPICION_S, 10):
        for source in daemons:
            for fact in source.facts(now):
                for other in daemons:
                    other.merge(fact, now)
        assert daemons[2].check(POISON, [], now).reason is Reason.QUARANTINED
    for daemon in daemons:
        daemon.expire(SUSPICION_S)
        assert not daemon.suspects
        assert daemon.check(POISON, [], SUSPICION_S) is None


def test_completed_run_clears_a_request():
    quarantine = Quarantine()
    for crash in range(2):
        quarantine.record_crash(f'h:{crash}', ['popular'], 0)
    quarantine.record_completed('popular')
    for crash in range(2, 4):
        quarantine.record_crash(f'h:{crash}', ['popular'], 1)
    assert quarantine.check('popular', ['popular'], 1) is None


@given(st.permutations(range(4)))
def test_notice_clears_a_request_on_other_daemons(order):
    source, table = Quarantine(), NoticeTable()
    notices = []
    for crash in range(CRASHES_TO_QUARANTINE):
        source.record_crash(f'h:{crash}', ['popular'], 0)
        notices.extend(quarantine_notices(source, 1))
    source.record_completed('popular')
    notices.extend(quarantine_notices(source, 1))
    for position in order:
        table.add(notices[position], 1)
    assert len(table.held) == 1
    other = Quarantine()
    for notice in table.notices_for_summary(1):
        merge_notice(other, notice, 1)
    assert not other.is_suspect('popular', 1)


def test_crashes_of_one_process_count_once():
    quarantine = Quarantine()
    for _ in range(5):
        quarantine.record_crash('h:1', [POISON], 0)
    assert quarantine.check(POISON, [], 0) is None
    assert quarantine.check(POISON, [POISON], 0).reason is Reason.SUSPECT


@pytest.mark.parametrize('suspect_count', [10 * MAX_SUSPECTS])
def test_most_severe_suspects_stay_in_bounded_memory(suspect_count):
    quarantine = Quarantine()
    for crash in range(CRASHES_TO_QUARANTINE):
        quarantine.record_crash(f'h:{crash}', [POISON], 0)
    for number in range(suspect_count):
        quarantine.record_crash('g:1', [f'other-{number}'], 1)
    assert len(quarantine.suspects) <= MAX_SUSPECTS
    assert len(quarantine.facts(1)) <= MAX_FACTS
    assert quarantine.facts(1)[0].signature == POISON
