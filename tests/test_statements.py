"""Tests of what counts as a statement of a target, and for how long."""

import attrs
import msgspec
import pytest

from egretlanding.egress import Egress, apply_listing
from egretlanding.evidence import TargetEvidence
from egretlanding.frames import CallReply, CallRequest, Ran, Statement
from egretlanding.hosts import Host
from egretlanding.httpmessages import HttpResponse
from egretlanding.objects import Service
from egretlanding.platform.names import DIALECT
from egretlanding.statements import TargetStatements, statement_in
from egretlanding.subsets import Distance, Locality
from egretlanding.targets import TargetTable, record_statement
from tests.wires import connect_egress

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


def run(egress: Egress, instance: str) -> list[CallReply]:
    """Runs a call for a process; returns the list that its reply comes to."""
    replies: list[CallReply] = []
    call = CallRequest(0, 'GET', '/', [], b'', 'r', 1_000, 50)
    call = msgspec.structs.replace(call, instance=instance)
    egress.run(call, 0, replies.append)
    return replies


def state(*headers: bytes) -> bytes:
    """Returns an answer with some headers."""
    head = (b'HTTP/1.1 200 OK', b'server-stamp: s', b'content-length: 0')
    return b'\r\n'.join((*head, *headers, b'', b''))


# Failure: a refusal told callers that the target's process leaves, though an
# earlier process had said so; they left out the new one for good.
def test_a_refusal_states_nothing_of_an_earlier_process() -> None:
    egress, pool, _ = connect_egress(DIALECT)
    apply_listing(egress, 'i-1', 100, draining=False)
    replies = run(egress, 'i-1')
    pool.clients[0].dataReceived(state(b'server-leaving: 1'))
    stated = Statement(None, leaving=True, born_ms=100)
    assert [reply.stated for reply in replies] == [stated]
    apply_listing(egress, 'i-2', 200, draining=False)
    egress.health.update(up=False, draining=False)
    assert [reply.stated for reply in run(egress, 'i-2')] == [None]


# Failure: the calls of a new process kept to the limit of the one before it
# until one of them was answered, which took seconds with a low limit.
def test_a_limit_ends_when_another_process_is_listed() -> None:
    egress, pool, _ = connect_egress(DIALECT)
    listings = [('i-1', 100), ('i-1', 200), ('i-2', 300)]
    for number, (instance, born_ms) in enumerate(listings, 1):
        apply_listing(egress, instance, born_ms, draining=False)
        run(egress, instance)
        assert egress.sent == number
        pool.clients[0].dataReceived(state(b'server-limit: 0.3'))
        assert [reply.ran for reply in run(egress, instance)] == [Ran.NOT_RUN]


# Failure: a daemon that already knew that the process had started again under
# its name left it out for good, because the daemon beside it didn't know yet.
def test_what_a_process_stated_before_it_started_again_does_not_count() -> None:
    egress, pool, _ = connect_egress(DIALECT)
    apply_listing(egress, 'i-1', HOST.born_ms, draining=False)
    run(egress, 'i-1')
    pool.clients[0].dataReceived(state(b'server-leaving: 1'))
    refusal = run(egress, 'i-1')[0]
    assert refusal.stated
    targets, later = build_table(), attrs.evolve(HOST, born_ms=9)
    targets.update_hosts([later], 1)
    record_statement(targets, later, refusal.stated)
    assert targets.usable_targets(1)
    targets.update_hosts([HOST], 2)
    record_statement(targets, HOST, refusal.stated)
    assert not targets.usable_targets(2)


# Failure: the same in the other direction.
def test_nothing_is_adopted_that_was_stated_before_a_start() -> None:
    statements = TargetStatements()
    statements.record_start('i-1', 9)
    statements.adopt('i-1', Statement(5, leaving=True, born_ms=5))
    assert not statements.says_leaving('i-1')
    statements.adopt('i-1', Statement(5, leaving=True, born_ms=9))
    assert statements.says_leaving('i-1')


# Failure: a daemon with an outdated list made the daemon beside the target
# forget what it had been told of the process that runs now.
def test_nothing_is_adopted_for_a_process_that_is_not_listed() -> None:
    statements = TargetStatements()
    statements.record_start('i-2', 200)
    statements.adopt('i-2', Statement(5))
    statements.adopt('i-1', Statement(9))
    assert statements.known_of('i-2') == Statement(5, born_ms=200)
    assert statements.known_of('i-1') is None
