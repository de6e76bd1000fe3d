"""Tests that a call isn't taken as not run by a refusal of another one."""

import random

from egretlanding.egress import Egress
from egretlanding.frames import CallReply, CallRequest, Ran
from egretlanding.platform.names import DIALECT
from tests.wires import connect_egress

DEADLINE_MS = 1_000


def run(egress: Egress, request_id: str) -> list[CallReply]:
    """Runs a call with an id; returns the list that its reply comes to."""
    replies: list[CallReply] = []
    headers = [('request-id', request_id)]
    call = CallRequest(0, 'POST', '/', headers, b'', 'r', DEADLINE_MS, 50)
    egress.run(call, 0, replies.append)
    return replies


def refusal(request_id: str = '') -> bytes:
    """Returns a refusal of a request, which names it if the id is given."""
    echo = b'request-id: %s\r\n' % request_id.encode() if request_id else b''
    head = b'HTTP/1.1 503 Service Unavailable\r\nnot-run: 1\r\n'
    return b'%s%scontent-length: 0\r\n\r\n' % (head, echo)


def answer(request_id: str) -> bytes:
    """Returns the answer to a request."""
    return (
        b'HTTP/1.1 200 OK\r\nserver-stamp: s\r\nrequest-id: %s\r\n'
        b'content-length: 1\r\n\r\na' % request_id.encode()
    )


def test_a_refusal_that_names_its_request_is_believed() -> None:
    egress, pool, _ = connect_egress(DIALECT)
    replies = run(egress, 'one')
    pool.clients[0].dataReceived(refusal('one'))
    assert [reply.ran for reply in replies] == [Ran.NOT_RUN]


# Failure: a target wrote an earlier refusal once more on a kept connection, and
# a call that it was running counted as not run.
def test_an_earlier_refusal_that_is_repeated_does_not_end_a_later_call() -> (
    None
):
    egress, pool, _ = connect_egress(DIALECT)
    run(egress, 'one')
    pool.clients[0].dataReceived(refusal('one'))
    replies = run(egress, 'two')
    pool.clients[0].dataReceived(refusal('one'))
    assert not replies
    pool.clients[0].dataReceived(answer('two'))
    assert [reply.ran for reply in replies] == [Ran.YES]


# Failure: the same where the call is sent again, so that both refusals would
# name it.
def test_a_call_is_not_sent_again_where_it_was_refused() -> None:
    egress, pool, _ = connect_egress(DIALECT)
    run(egress, 'one')
    pool.clients[0].dataReceived(refusal('one'))
    for number in range(3):
        run(egress, f'other-{number}')
        pool.clients[0].dataReceived(answer(f'other-{number}'))
    assert len(pool.clients) == 1
    replies = run(egress, 'one')
    assert len(pool.clients) == 2
    pool.clients[0].dataReceived(refusal('one'))
    assert not replies
    pool.clients[1].dataReceived(answer('one'))
    assert [reply.ran for reply in replies] == [Ran.YES]


# Failure: the same with a refusal that doesn't name its request.
def test_a_refusal_without_an_id_does_not_say_which_call_did_not_run() -> None:
    egress, pool, _ = connect_egress(DIALECT)
    replies = run(egress, 'one')
    pool.clients[0].dataReceived(refusal())
    assert [reply.ran for reply in replies] == [Ran.UNKNOWN]


def test_refused_ids_of_a_connection_are_bounded() -> None:
    egress, pool, _ = connect_egress(DIALECT)
    rng = random.Random(1)
    for _ in range(1_000):
        request_id = f'{rng.getrandbits(64):x}'
        run(egress, request_id)
        client = next(client for client in pool.clients if client.on_response)
        client.dataReceived(refusal(request_id))
    assert len(pool.clients) > 3
    assert all(len(client.failed_echoes) <= 256 for client in pool.clients)
