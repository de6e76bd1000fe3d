"""Tests of the connections between daemons: replies, frames, heartbeats."""

from collections.abc import Iterator
from typing import Any

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st
from twisted.internet.error import ConnectionLost
from twisted.python.failure import Failure

from egretlanding.events import SINKS, Event, Severity
from egretlanding.frames import (
    MAX_FRAME_BYTES,
    CallReply,
    CallRequest,
    Hello,
    Ran,
    Readiness,
    encode_frame,
)
from egretlanding.peers import (
    PeerConnection,
    PeerContext,
)
from tests.wires import attach, feed

Fields = dict[str, object]
REPLIES = st.lists(st.binary(max_size=50), min_size=1, max_size=5)


def connect() -> tuple[PeerConnection, list[Any]]:
    """Returns a connection and the list of what its callbacks received."""
    received: list[Any] = []
    context = PeerContext(
        Hello('a', 1),
        lambda _connection, call: received.append(call),
        lambda _connection, call_id: received.append(call_id),
        lambda _connection: received.append('closed'),
        lambda _connection, ready: received.append(ready),
    )
    connection = PeerConnection(context)
    attach(connection)
    return connection, received


def make_request() -> CallRequest:
    """Returns a call request."""
    return CallRequest(0, 'GET', '/', [], b'', 'route', 100, 50)


def encode_with_length(frame: Any) -> bytes:
    """Encodes a frame with its length prefix."""
    encoded = encode_frame(frame)
    return len(encoded).to_bytes(4, 'big') + encoded


@given(REPLIES, st.randoms(), st.lists(st.integers(0, 999), max_size=6))
def test_replies_out_of_order_and_split_reach_their_own_caller(
    bodies: list[bytes],
    rng: Any,
    cuts: list[int],
) -> None:
    connection, _ = connect()
    reply_by_call: dict[int, CallReply] = {}

    def store_reply(reply: CallReply) -> None:
        reply_by_call[reply.call_id] = reply

    ids = [connection.call(make_request(), store_reply) for _ in bodies]
    replies = [
        CallReply(call_id, 200, [], body)
        for call_id, body in zip(ids, bodies, strict=True)
    ]
    shuffled = rng.sample(replies, len(replies))
    # Each reply is sent twice; the second one must be ignored.
    encoded = b''.join(map(encode_with_length, [*shuffled, *shuffled]))
    feed(connection, encoded, cuts)
    assert reply_by_call == {reply.call_id: reply for reply in replies}


@given(st.binary(max_size=50), st.data())
def test_a_cut_reply_leaves_the_outcome_unknown(
    body: bytes,
    data: st.DataObject,
) -> None:
    connection, received = connect()
    replies: list[CallReply] = []
    encoded = encode_with_length(
        CallReply(
            connection.call(make_request(), replies.append), 200, [], body
        ),
    )
    size = data.draw(st.integers(0, len(encoded) - 1))
    connection.dataReceived(encoded[:size])
    connection.transport.loseConnection()
    assert [reply.ran for reply in replies] == [Ran.UNKNOWN]
    assert received == ['closed']


@given(st.binary(min_size=1, max_size=30))
def test_a_malformed_frame_closes_the_connection(garbage: bytes) -> None:
    connection, received = connect()
    connection.dataReceived(len(garbage).to_bytes(4, 'big') + garbage)
    assert not connection.is_open() or received == [True]


def test_a_connection_without_frames_is_closed_unless_process_paused() -> None:
    connection, _ = connect()
    connection.check_heartbeat()
    connection.reset_heartbeat()
    connection.check_heartbeat()
    connection.dataReceived(encode_with_length(Readiness(False)))
    connection.check_heartbeat()
    assert connection.is_open()
    connection.check_heartbeat()
    assert not connection.is_open()


# Guards against calls that fail as possibly run because the daemon that runs
# them is busy for two seconds, for example with a new configuration.
def test_the_reply_of_a_busy_daemon_arrives() -> None:
    connection, _ = connect()
    replies: list[CallReply] = []
    call_id = connection.call(make_request(), replies.append)
    for _ in range(3):
        connection.check_heartbeat()
    reply = CallReply(call_id, 200, [], b'')
    connection.dataReceived(encode_with_length(reply))
    assert replies == [reply]


# Failure: a busy daemon began calls whose cancellation had arrived with them,
# so that targets ran them for callers that had left.
def test_a_call_that_was_cancelled_before_it_was_read_does_not_begin() -> None:
    sender, _ = connect()
    receiver, received = connect()
    for path in ('/kept', '/left'):
        request = msgspec.structs.replace(make_request(), path=path)
        call_id = sender.call(request, lambda _reply: None)
    sender.cancel(call_id)
    receiver.dataReceived(sender.transport.value())
    calls = [call.path for call in received if isinstance(call, CallRequest)]
    assert calls == ['/kept']


def test_a_call_that_began_is_cancelled() -> None:
    sender, _ = connect()
    receiver, received = connect()
    call_id = sender.call(make_request(), lambda _reply: None)
    receiver.dataReceived(sender.transport.value())
    sender.transport.clear()
    sender.cancel(call_id)
    receiver.dataReceived(sender.transport.value())
    assert received[-1] == call_id


@pytest.fixture(name='lines')
def collect_lines() -> Iterator[list[Fields]]:
    lines: list[Fields] = []

    def write(
        event: Event, _message: str, _severity: Severity, fields: Any
    ) -> None:
        if event is Event.PEER_LOST:
            lines.append(fields)

    SINKS.insert(0, write)
    yield lines
    SINKS.remove(write)


# Failure: the log did not tell a daemon that was given up as silent from one
# that had closed the connection.
def test_the_log_says_which_side_closed_a_connection_and_why(
    lines: list[Fields],
) -> None:
    silent, _ = connect()
    silent.call(make_request(), lambda _reply: None)
    for _ in range(4):
        silent.check_heartbeat()
    closed, _ = connect()
    closed.call(make_request(), lambda _reply: None)
    closed.connectionLost(Failure(ConnectionLost()))
    causes = [(line['closed_here'], line['silent_intervals']) for line in lines]
    assert causes == [(True, 3), (False, 0)]
    assert 'non-clean' in str(lines[1]['error'])


# Bytes of a frame that never ends must not be held beyond the limit.
def test_a_frame_beyond_the_limit_closes_the_connection() -> None:
    connection, received = connect()
    connection.dataReceived((MAX_FRAME_BYTES + 1).to_bytes(4, 'big'))
    assert received == ['closed']


# Guards against the loss of all calls of a connection because one of them
# failed with an unexpected error.
def test_a_call_that_fails_leaves_its_connection_and_other_calls(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    connection, received = connect()
    replies: list[CallReply] = []
    call_id = connection.call(make_request(), replies.append)

    def fail(*_args: Any) -> None:
        raise LookupError

    monkeypatch.setattr(connection.context, 'on_call', fail)
    reply = CallReply(call_id, 200, [], b'')
    connection.dataReceived(
        encode_with_length(make_request()) + encode_with_length(reply)
    )
    assert replies == [reply]
    assert 'closed' not in received


# Guards against the loss of all calls of a connection because the body of one
# of them is larger than a frame may be.
def test_a_call_with_an_oversized_body_is_not_sent() -> None:
    sender, _ = connect()
    receiver, received = connect()
    replies: list[CallReply] = []
    body = bytes(MAX_FRAME_BYTES)
    request = CallRequest(0, 'GET', '/', [], body, 'route', 100, 50)
    sender.call(request, replies.append)
    sender.call(make_request(), replies.append)
    receiver.dataReceived(sender.transport.value())
    assert [reply.ran for reply in replies] == [Ran.NOT_RUN]
    assert 'closed' not in received
