"""Tests of the frames between daemons: whole, to their own caller."""

from typing import Any

from hypothesis import given
from hypothesis import strategies as st

from egretlanding.frames import (
    CallReply,
    CallRequest,
    Hello,
    Ran,
    Readiness,
    encode_frame,
)
from egretlanding.peers import PeerConnection, PeerNode
from tests.wires import attach, feed

REPLIES = st.lists(st.binary(max_size=50), min_size=1, max_size=5)


def connect() -> tuple[PeerConnection, list[Any]]:
    """Returns a connection and what its node hears."""
    heard: list[Any] = []
    node = PeerNode(
        Hello('a', 1),
        lambda _connection, call: heard.append(call),
        lambda _connection, call_id: heard.append(call_id),
        lambda _connection: heard.append('closed'),
        lambda _connection, ready: heard.append(ready),
    )
    connection = PeerConnection(node)
    attach(connection)
    return connection, heard


def request() -> CallRequest:
    """Returns a call."""
    return CallRequest(0, 'GET', '/', [], b'', 'route', 100, 50)


def packed(frame: Any) -> bytes:
    """Encodes a frame with its length."""
    encoded = encode_frame(frame)
    return len(encoded).to_bytes(4, 'big') + encoded


@given(REPLIES, st.randoms(), st.lists(st.integers(0, 999), max_size=6))
def test_replies_out_of_order_and_split_reach_their_own_caller(
    bodies: list[bytes],
    rng: Any,
    cuts: list[int],
) -> None:
    connection, _ = connect()
    taken: dict[int, CallReply] = {}

    def take(reply: CallReply) -> None:
        taken[reply.call_id] = reply

    ids = [connection.call(request(), take) for _ in bodies]
    replies = [
        CallReply(call_id, 200, [], body)
        for call_id, body in zip(ids, bodies, strict=True)
    ]
    late = rng.sample(replies, len(replies))
    # A repeated reply finds nobody who waits for it.
    encoded = b''.join(map(packed, [*late, *late]))
    feed(connection, encoded, cuts)
    assert taken == {reply.call_id: reply for reply in replies}


@given(st.binary(max_size=50), st.data())
def test_a_cut_reply_leaves_the_outcome_unknown(
    body: bytes,
    data: st.DataObject,
) -> None:
    connection, heard = connect()
    taken: list[CallReply] = []
    encoded = packed(
        CallReply(connection.call(request(), taken.append), 200, [], body),
    )
    size = data.draw(st.integers(0, len(encoded) - 1))
    connection.dataReceived(encoded[:size])
    connection.transport.loseConnection()
    assert [reply.ran for reply in taken] == [Ran.UNKNOWN]
    assert heard == ['closed']


@given(st.binary(min_size=1, max_size=30))
def test_a_malformed_frame_cuts_the_connection(garbage: bytes) -> None:
    connection, heard = connect()
    connection.dataReceived(len(garbage).to_bytes(4, 'big') + garbage)
    assert not connection.is_open() or heard == [True]


def test_a_silent_connection_is_cut_and_a_pause_is_forgiven() -> None:
    connection, _ = connect()
    connection.check_heartbeat()
    connection.forgive_silence()
    connection.check_heartbeat()
    connection.dataReceived(packed(Readiness(False)))
    connection.check_heartbeat()
    assert connection.is_open()
    connection.check_heartbeat()
    assert not connection.is_open()
