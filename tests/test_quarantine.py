"""Requests that crash targets are refused, their neighbours are not."""

import random

import attrs
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from egretlanding.callnotices import merge_notice, quarantine_notices
from egretlanding.notices import NoticeTable
from egretlanding.outcomes import Execution, Reason
from egretlanding.quarantine import (
    CRASHES_TO_QUARANTINE,
    MAX_FACTS,
    MAX_SUSPECTS,
    SUSPICION_S,
    Quarantine,
    signature_of,
)

POISON = signature_of('orders', 'POST', '/orders', b'poison')
TARGETS = 5
SLOTS = 6


@attrs.define
class Fleet:
    """Targets that crash when they run the poison, and their daemons.

    Attributes:
        daemons: The quarantine of each daemon.
        spread: Whether daemons tell one another after each step.
    """

    daemons: list
    rng: random.Random
    spread: bool = True
    crashes: int = 0
    wrongly_refused: int = 0
    isolated: int = 0

    def step(self, now, is_poison_sent):
        """Fills one target, sends the poison, and lets the target end."""
        at = self.rng.randrange(TARGETS)
        in_flight = []
        neighbours = [f'n{self.rng.randrange(12)}' for _ in range(SLOTS - 1)]
        sent = [*neighbours, POISON] if is_poison_sent else neighbours
        self.rng.shuffle(sent)
        for signature in sent:
            refusal = self.daemons[at].check(signature, in_flight, now)
            if refusal is None:
                in_flight.append(signature)
            elif signature != POISON:
                assert refusal.execution is Execution.NOT_RUN
                self.wrongly_refused += refusal.reason is Reason.QUARANTINED
                self.isolated += refusal.reason is Reason.SUSPECT
        if POISON in in_flight:
            self.crashes += 1
            self.daemons[at].record_crash(
                f'h{at}:{self.crashes}', in_flight, now
            )
        else:
            for signature in in_flight:
                self.daemons[at].record_completed(signature)
        if self.spread:
            self.tell(now)

    def tell(self, now):
        for source in self.daemons:
            for fact in source.facts(now):
                for other in self.daemons:
                    other.merge(fact, now)


class Blaming(Quarantine):
    """Completed runs clear nobody and suspects run together."""

    def record_completed(self, signature):
        """Ignores the run."""

    def check(self, signature, in_flight, now):
        """Checks the request as if nothing else were running."""
        return super().check(signature, (), now)


def run_fleet(seed, steps=60, spread=True, quarantine=Quarantine):
    fleet = Fleet(
        [quarantine() for _ in range(TARGETS)], random.Random(seed), spread
    )
    for now in range(steps):
        fleet.step(now, fleet.rng.choice((True, False)))
    return fleet


@settings(deadline=None)
@given(st.integers(0, 100_000))
def test_poison_is_stopped_and_neighbours_run(seed):
    fleet = run_fleet(seed)
    assert fleet.crashes <= CRASHES_TO_QUARANTINE
    assert fleet.wrongly_refused == 0


def test_wrong_variants_are_seen():
    blaming = [run_fleet(seed, quarantine=Blaming) for seed in range(20)]
    assert sum(fleet.wrongly_refused for fleet in blaming) > 0
    silent = [run_fleet(seed, spread=False) for seed in range(20)]
    assert max(fleet.crashes for fleet in silent) > CRASHES_TO_QUARANTINE


def test_quarantine_lapses_and_gossip_does_not_prolong_it():
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
def test_cleared_request_is_cleared_everywhere_by_notice(order):
    source, table = Quarantine(), NoticeTable()
    told = []
    for crash in range(CRASHES_TO_QUARANTINE):
        source.record_crash(f'h:{crash}', ['popular'], 0)
        told.extend(quarantine_notices(source, 1))
    source.record_completed('popular')
    told.extend(quarantine_notices(source, 1))
    for place in order:
        table.add(told[place], 1)
    assert len(table.held) == 1
    other = Quarantine()
    for notice in table.to_send(1):
        merge_notice(other, notice, 1)
    assert not other.is_suspect('popular', 1)


def test_same_process_is_counted_once():
    quarantine = Quarantine()
    for _ in range(5):
        quarantine.record_crash('h:1', [POISON], 0)
    assert quarantine.check(POISON, [], 0) is None
    assert quarantine.check(POISON, [POISON], 0).reason is Reason.SUSPECT


@pytest.mark.parametrize('flood', [10 * MAX_SUSPECTS])
def test_memory_is_bounded_and_the_gravest_stay(flood):
    quarantine = Quarantine()
    for crash in range(CRASHES_TO_QUARANTINE):
        quarantine.record_crash(f'h:{crash}', [POISON], 0)
    for number in range(flood):
        quarantine.record_crash('g:1', [f'other-{number}'], 1)
    assert len(quarantine.suspects) <= MAX_SUSPECTS
    assert len(quarantine.facts(1)) <= MAX_FACTS
    assert quarantine.facts(1)[0].signature == POISON
