"""Measures what a daemon holds only in memory, filled to its bounds.

Usage: python -m lab.memorystate
"""

import gc
import tracemalloc
from collections.abc import Callable
from typing import Any

import attrs

from egretlanding.coldstart import ColdStart
from egretlanding.evacuations import Evacuations
from egretlanding.evidence import TargetEvidence
from egretlanding.frames import Statement
from egretlanding.quarantine import MAX_CRASHES, MAX_SUSPECTS, Quarantine
from egretlanding.records import MAX_DELETED, Record, RecordTable
from egretlanding.roster import MAX_DEPARTURES, Roster, TargetEntry
from egretlanding.statements import TargetStatements
from egretlanding.subsets import Distance
from lab.statesize import make_host

SIGNATURE_CHARS = 32
# As many as the largest mesh has.
TARGETS = 1_300
DOMAINS = 6
# Calls that begin at one target within a second when all its slots are busy
# with calls of 10 ms, as an example.
CALLS_PER_S = 900


def fill_quarantine() -> Quarantine:
    """Returns the evidence on as many requests and crashes as are kept."""
    quarantine = Quarantine()
    signatures = [f'{n:0{SIGNATURE_CHARS}}' for n in range(MAX_SUSPECTS)]
    for process in range(MAX_CRASHES):
        quarantine.record_crash(f'10.0.0.{process}:{10**18}', signatures, 0)
    return quarantine


def make_entry(number: int) -> TargetEntry:
    """Returns an entry by the number of its target."""
    return TargetEntry(
        instance=f'instance-{number:08}',
        address=f'10.0.{number // 250}.{number % 250}',
        port=8_300,
        service=f'service-{number % 140}',
        region='north',
        failure_domain=f'domain-{number % DOMAINS}',
        slots=9,
        born_ms=10**12 + number,
        sequence=number,
    )


def fill_roster() -> Roster:
    """Returns the targets of the largest mesh."""
    roster = Roster(7_000)
    for number in range(TARGETS):
        roster.update(make_entry(number), number)
    return roster


def fill_departures() -> Roster:
    """Returns as many removed targets as are remembered."""
    roster = Roster(7_000)
    for number in range(MAX_DEPARTURES):
        roster.update(make_entry(number), number)
        roster.remove(f'instance-{number:08}', 0)
    return roster


def fill_deletions() -> RecordTable:
    """Returns as many deleted records as are kept."""
    table = RecordTable()
    for number in range(MAX_DELETED):
        table.apply([Record(f'servers/{number:08}', number + 1, deleted=True)])
    return table


def fill_evacuations() -> Evacuations:
    """Returns the evacuation of all failure domains."""
    evacuations = Evacuations()
    for number in range(DOMAINS):
        evacuations.begin(f'domain-{number}', number, 0)
    return evacuations


def fill_statements() -> TargetStatements:
    """Returns what the target beside the daemon stated."""
    statements = TargetStatements()
    statements.hear('instance-1', Statement(2.5, leaving=True), 0, 0)
    return statements


def fill_evidence() -> list[Any]:
    """Returns what all targets stated to an ingress daemon."""
    evidence = [
        TargetEvidence(make_host(number), Distance.REGION, 0)
        for number in range(TARGETS)
    ]
    for target in evidence:
        target.record_statement(Statement(float(target.host.slots)))
    return evidence


def fill_cold_start() -> ColdStart:
    """Returns the window of calls at the target beside the daemon."""
    cold = ColdStart(8, 4)
    for number in range(CALLS_PER_S):
        cold.take(number / CALLS_PER_S)
    return cold


@attrs.frozen
class Fact:
    """A fact that is measured.

    Attributes:
        label: What is filled.
        fill: Builds it at its bound.
    """

    label: str
    fill: Callable[[], Any]


FACTS = (
    Fact(f'{MAX_SUSPECTS} suspects of {MAX_CRASHES} crashes', fill_quarantine),
    Fact('what the local target stated', fill_statements),
    Fact(f'evidence on {TARGETS} targets at an ingress', fill_evidence),
    Fact(f'entries of {TARGETS} targets', fill_roster),
    Fact(f'{MAX_DEPARTURES} removed targets', fill_departures),
    Fact(f'{MAX_DELETED} deleted records', fill_deletions),
    Fact(f'{DOMAINS} evacuated failure domains', fill_evacuations),
    Fact(f'window of {CALLS_PER_S} calls', fill_cold_start),
)


def measure(fact: Fact) -> float:
    """Returns the size of a fact at its bound, kB."""
    # The first use loads what is not part of the state.
    fact.fill()
    gc.collect()
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    held = fact.fill()
    gc.collect()
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del held
    return (after - before) / 1_000


if __name__ == '__main__':
    for fact in FACTS:
        print(f'| {fact.label} | {measure(fact):.1f} kB |')
