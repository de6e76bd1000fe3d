"""Tests of what counts as a statement of a target, and for how long."""

import attrs
import pytest

from egretlanding.evidence import TargetEvidence
from egretlanding.frames import Statement
from egretlanding.hosts import Host
from egretlanding.httpmessages import HttpResponse
from egretlanding.objects import Service
from egretlanding.platform.names import DIALECT
from egretlanding.statements import statement_in
from egretlanding.subsets import Distance, Locality
from egretlanding.targets import TargetTable, record_statement

SEAL = ('server-stamp', 's')
HOST = Host('h', 'h', 1, 2, 3, 'r', 'd', 'orders', instance='i-1', born_ms=5)


@pytest.mark.parametrize(
    ('status', 'headers', 'expected'),
    [
        (200, [SEAL, ('server-limit', '2.5')], Statement(2.5)),
        (503, [('server-limit', '0'), ('not-run', '1')], Statement(0)),
        (200, [SEAL, ('server-leaving', '1')], Statement(None, leaving=True)),
        (500, [], Statement()),
        # Another process answers, or bytes that no target can have sent.
        (421, [('server-limit', '2')], None),
        (200, [('server-limit', '2')], None),
        (200, [SEAL, ('server-limit', 'many')], None),
        (200, [SEAL, ('server-limit', '-1')], None),
        (200, [SEAL, ('server-limit', 'nan')], None),
    ],
)
def test_only_sound_answers_of_the_target_state_something(
    status: int, headers: list[tuple[str, str]], expected: Statement | None
) -> None:
    response = HttpResponse(status, headers, b'')
    assert statement_in(response, DIALECT) == expected


def build_table() -> TargetTable:
    """Returns the targets of a service with one host."""
    targets = TargetTable(Locality('a', 'r', 'd'), Service(regions=('r',)))
    targets.update_hosts([HOST], 0)
    return targets


# Failure: a daemon sent calls to a target that it knew to leave, because the
# daemon beside that target had started again and didn't know.
def test_a_target_that_leaves_is_not_used_until_another_process_is_listed() -> (
    None
):
    targets = build_table()
    record_statement(targets, HOST, Statement(leaving=True))
    record_statement(targets, HOST, Statement())
    assert not targets.usable_targets(1)
    targets.update_hosts([HOST], 2)
    assert not targets.usable_targets(2)
    targets.update_hosts([attrs.evolve(HOST, born_ms=6)], 3)
    assert targets.usable_targets(3)


def test_a_statement_of_an_earlier_process_does_not_count() -> None:
    targets = build_table()
    later = attrs.evolve(HOST, instance='i-2')
    targets.update_hosts([later], 1)
    record_statement(targets, HOST, Statement(leaving=True))
    assert targets.usable_targets(1)


def test_a_limit_is_remembered_while_the_process_stays() -> None:
    target = TargetEvidence(HOST, Distance.REGION, 0)
    target.record_statement(Statement(3))
    target.update_host(attrs.evolve(HOST, slots=2), Distance.REGION)
    assert target.rate_per_s is not None
    target.update_host(attrs.evolve(HOST, instance='i-9'), Distance.REGION)
    assert target.heard is None
