"""Tests that a truncated or ambiguous answer is reported as an error."""

import tracemalloc

import attrs
import pytest
from hypothesis import assume, given
from hypothesis import strategies as st
from twisted.internet.error import ConnectionDone, ConnectionLost
from twisted.python.failure import Failure

from egretlanding.answerbuffers import MAX_BODY_BYTES, AnswerBuffers
from egretlanding.httpclient import (
    MAX_ANSWER_BYTES,
    MAX_HEAD_BYTES,
    HttpClient,
    encode_request,
)
from egretlanding.httpmessages import HttpRequest, HttpResponse
from tests.wires import attach, feed

BODIES = st.binary(max_size=60)


def connect(
    *,
    is_head: bool = False,
) -> tuple[HttpClient, list[HttpResponse | None]]:
    """Returns a client with an open request, and the reported responses."""
    reported: list[HttpResponse | None] = []
    client = HttpClient(lambda _client: None)
    attach(client)
    client.send(b'', reported.append, is_head=is_head)
    return client, reported


def encode(body: bytes, *, chunked: bool) -> bytes:
    """Encodes an answer with a length or in chunks."""
    head = b'HTTP/1.1 200 OK\r\nx-a: 1\r\n'
    if chunked:
        chunks = b'%x\r\n%s\r\n' % (len(body), body) if body else b''
        return b'%stransfer-encoding: chunked\r\n\r\n%s0\r\n\r\n' % (
            head,
            chunks,
        )
    return b'%scontent-length: %d\r\n\r\n%s' % (head, len(body), body)


@given(BODIES, st.booleans(), st.lists(st.integers(0, 500), max_size=6))
def test_any_split_of_the_bytes_gives_the_same_answer(
    body: bytes,
    chunked: bool,
    cuts: list[int],
) -> None:
    client, reported = connect()
    interim = b'HTTP/1.1 100 Continue\r\n\r\n'
    encoded = b'%s%s' % (interim, encode(body, chunked=chunked))
    feed(client, encoded, cuts)
    assert reported == [HttpResponse(200, [('x-a', '1')], body)]
    assert client.usable


@given(BODIES, st.booleans(), st.data())
def test_a_truncated_answer_is_an_error(
    body: bytes,
    chunked: bool,
    data: st.DataObject,
) -> None:
    client, reported = connect()
    encoded = encode(body, chunked=chunked)
    size = data.draw(st.integers(0, len(encoded) - 1))
    client.dataReceived(encoded[:size])
    client.transport.loseConnection()
    assert reported == [None]


@pytest.mark.parametrize(
    'encoded',
    [
        b'HTTP/1.1 200 OK\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\nab',
        b'HTTP/1.1 200 OK\r\ncontent-length: 1\r\n'
        b'transfer-encoding: chunked\r\n\r\n0\r\n\r\n',
        b'HTTP/1.1 101 Switching\r\nupgrade: x\r\nconnection: upgrade\r\n\r\n',
        b'nonsense\r\n\r\n',
    ],
)
def test_an_answer_of_unknown_length_is_an_error(encoded: bytes) -> None:
    client, reported = connect()
    client.dataReceived(encoded)
    client.transport.loseConnection()
    assert reported == [None]
    assert not client.usable


@pytest.mark.parametrize('is_reset', [False, True])
def test_an_answer_without_a_length_ends_with_an_orderly_close(
    is_reset: bool,
) -> None:
    client, reported = connect()
    client.dataReceived(b'HTTP/1.1 200 OK\r\n\r\nbegin')
    client.dataReceived(b' and end')
    reason = ConnectionLost() if is_reset else ConnectionDone()
    client.connectionLost(Failure(reason))
    whole = HttpResponse(200, [], b'begin and end')
    expected = None if is_reset else whole
    assert reported == [expected]
    assert not client.usable


def test_a_late_answer_to_another_request_is_passed_over() -> None:
    client, reported = connect()
    client.send(b'', reported.append, echo=('request-id', 'mine'))
    late = b'HTTP/1.1 200 OK\r\nrequest-id: old\r\ncontent-length: 1\r\n\r\na'
    expected = (
        b'HTTP/1.1 200 OK\r\nrequest-id: mine\r\ncontent-length: 1\r\n\r\nb'
    )
    client.dataReceived(late)
    assert not reported
    client.dataReceived(expected)
    assert reported == [HttpResponse(200, [('request-id', 'mine')], b'b')]
    assert not client.usable


FRAMINGS = {
    'a length': (b'content-length: 4\r\n', b'body'),
    'an empty body': (b'content-length: 0\r\n', b''),
    'chunks': (
        b'transfer-encoding: chunked\r\n',
        b'4\r\nbody\r\n0\r\n\r\n',
    ),
    'no length': (b'', b''),
}


@attrs.frozen
class Exchange:
    """A request and the answer of its target.

    Attributes:
        request_id: Id of the request, which the answer repeats.
        status: Status of the answer.
        is_head: Whether it is a HEAD request.
        framing: A key of `FRAMINGS`.
    """

    request_id: str
    status: int
    is_head: bool
    framing: str

    @property
    def has_body(self) -> bool:
        """Whether the body that the framing announces follows the head."""
        return not self.is_head and self.status not in {204, 304}

    @property
    def ends_by_itself(self) -> bool:
        """Whether the end of the answer shows without a close."""
        return not self.has_body or self.framing != 'no length'

    def encode(self) -> bytes:
        """Returns the bytes of the answer."""
        headers, body = FRAMINGS[self.framing]
        head = b'HTTP/1.1 %d x\r\nrequest-id: %s\r\n%s\r\n' % (
            self.status,
            self.request_id.encode(),
            headers,
        )
        return b'%s%s' % (head, body) if self.has_body else head

    def send(self, client: HttpClient) -> list[HttpResponse | None]:
        """Sends the request; returns a list that gets what is reported."""
        reported: list[HttpResponse | None] = []
        echo = ('request-id', self.request_id)
        client.send(b'', reported.append, is_head=self.is_head, echo=echo)
        return reported


def exchanges(request_id: str) -> st.SearchStrategy[Exchange]:
    """Returns requests with any method, and answers of any form."""
    return st.builds(
        Exchange,
        st.just(request_id),
        st.sampled_from([200, 201, 204, 304, 404, 500, 503]),
        st.booleans(),
        st.sampled_from(sorted(FRAMINGS)),
    ).filter(lambda exchange: exchange.ends_by_itself)


# Failure: a late second copy of an answer without a body, or to HEAD, was
# taken for the answer to the next request on the connection.
@given(
    st.lists(exchanges('old'), min_size=1, max_size=3),
    exchanges('mine'),
    st.lists(st.integers(0, 500), max_size=4),
)
def test_no_form_of_a_late_answer_reaches_the_next_request(
    earlier: list[Exchange], expected: Exchange, cuts: list[int]
) -> None:
    client = HttpClient(lambda _client: None)
    attach(client)
    for number, exchange in enumerate(earlier):
        first = attrs.evolve(exchange, request_id=f'old{number}')
        assume(client.usable)
        assert len(first.send(client)) == 0
        client.dataReceived(first.encode())
    assume(client.usable)
    reported = expected.send(client)
    feed(client, first.encode() + expected.encode(), cuts)
    assert [response and response.status for response in reported] == [
        expected.status
    ]
    assert ('request-id', 'mine') in reported[0].headers
    assert not client.usable


# Failure: the head of a late answer whose body never follows hid the beginning
# of the next answer.
@pytest.mark.parametrize('framing', FRAMINGS)
@pytest.mark.parametrize(
    ('status', 'is_head'),
    [(200, True), (404, True), (204, False), (304, False)],
)
def test_an_answer_that_only_seems_to_have_a_body_is_the_last(
    status: int, is_head: bool, framing: str
) -> None:
    client = HttpClient(lambda _client: None)
    attach(client)
    exchange = Exchange('mine', status, is_head, framing)
    reported = exchange.send(client)
    client.dataReceived(exchange.encode())
    assert [response and response.status for response in reported] == [status]
    seems_empty = framing == 'an empty body'
    seems_empty |= framing == 'no length' and not is_head
    assert client.usable == seems_empty


# Failure: the body of a late answer counted against the expected answer.
def test_a_late_answer_leaves_the_whole_size_limit_to_the_expected_one() -> (
    None
):
    client, reported = connect()
    client.send(b'', reported.append, echo=('request-id', 'mine'))
    body = bytes(MAX_BODY_BYTES // 2 + 1)
    for request_id in (b'old', b'mine'):
        client.dataReceived(
            b'HTTP/1.1 200 OK\r\nrequest-id: %s\r\ncontent-length: %d\r\n\r\n'
            % (request_id, len(body))
        )
        client.dataReceived(body)
    assert reported == [HttpResponse(200, [('request-id', 'mine')], body)]


@pytest.mark.parametrize('excess', [0, 1])
def test_a_client_may_have_a_bound_of_its_own(excess: int) -> None:
    bound = 2 * MAX_ANSWER_BYTES
    reported: list[HttpResponse | None] = []
    client = HttpClient(lambda _client: None, AnswerBuffers(bound))
    attach(client)
    client.send(b'', reported.append)
    body = bytes(bound + excess)
    client.dataReceived(encode(body, chunked=False))
    assert [response is None for response in reported] == [excess > 0]


def test_the_keep_alive_timeout_of_a_target_is_read() -> None:
    client, _ = connect()
    client.dataReceived(
        b'HTTP/1.1 200 OK\r\nkeep-alive: max=9, timeout=5\r\n'
        b'content-length: 0\r\n\r\n',
    )
    assert client.keep_alive_s == 5


def test_an_answer_to_head_is_complete_after_its_headers() -> None:
    client, reported = connect(is_head=True)
    client.dataReceived(b'HTTP/1.1 200 OK\r\ncontent-length: 7\r\n\r\n')
    assert reported == [HttpResponse(200, [('content-length', '7')], b'')]
    client.send(b'', reported.append)
    client.dataReceived(encode(b'next', chunked=False))
    assert reported[1] == HttpResponse(200, [('x-a', '1')], b'next')


@pytest.mark.parametrize('status', [b'204 No Content', b'304 Not Modified'])
def test_an_answer_without_body_is_complete_after_its_headers(
    status: bytes,
) -> None:
    client, reported = connect()
    client.dataReceived(b'HTTP/1.1 %s\r\nx-a: 1\r\n\r\n' % status)
    assert reported == [HttpResponse(int(status[:3]), [('x-a', '1')], b'')]


def test_bytes_after_the_answer_make_the_connection_unusable() -> None:
    client, reported = connect()
    whole = encode(b'whole', chunked=False)
    client.dataReceived(b'%sHTTP/1.1 200 OK' % whole)
    assert reported == [HttpResponse(200, [('x-a', '1')], b'whole')]
    assert not client.usable


def test_a_request_is_forwarded_unchanged() -> None:
    headers = [('host', 'given'), ('x-b', '\xe9')]
    request = HttpRequest('PUT', '/a%2Fb/../c?d=%00', headers, b'body')
    encoded = encode_request(request, 'default', [('x-c', '1')])
    assert encoded == (
        b'PUT /a%2Fb/../c?d=%00 HTTP/1.1\r\nhost: given\r\nx-b: \xe9\r\n'
        b'x-c: 1\r\ncontent-length: 4\r\n\r\nbody'
    )


HEAD = b'HTTP/1.1 200 OK\r\nrequest-id: mine\r\n'
CHUNKED_HEAD = b'%stransfer-encoding: chunked\r\n\r\n' % HEAD
LATE = b'HTTP/1.1 200 OK\r\nrequest-id: old\r\ncontent-length: 0\r\n\r\n'
ENDLESS_HEADS = {
    'a reason': (b'HTTP/1.1 200 ', b'x'),
    'a header name': (HEAD, b'x'),
    'a header value': (b'%sa: ' % HEAD, b'x'),
    'blanks before a value': (b'%sa: ' % HEAD, b' '),
    'headers': (HEAD, b'a: b\r\n'),
    'interim answers': (b'', b'HTTP/1.1 100 Continue\r\n\r\n'),
    'headers of interim answers': (b'HTTP/1.1 103 Hints\r\n', b'a: b\r\n'),
    'lines before the answer': (b'', b'\r\n'),
}
ENDLESS_BODIES = {
    'bytes without a length': (b'%s\r\n' % HEAD, b'x'),
    'chunks': (CHUNKED_HEAD, b'1\r\nx\r\n'),
    'a chunk extension': (b'%s1;' % CHUNKED_HEAD, b'x'),
    'a chunk size': (CHUNKED_HEAD, b'0'),
    'a trailer': (b'%s0\r\na: ' % CHUNKED_HEAD, b'x'),
    'trailers': (b'%s0\r\n' % CHUNKED_HEAD, b'a: b\r\n'),
    'answers to other requests': (b'', LATE),
}


def bytes_until_close(begin: bytes, piece: bytes, read_bytes: int) -> int:
    """Returns how much of an answer without end a client takes in.

    Args:
        begin: The beginning of the answer.
        piece: The bytes that follow it again and again.
        read_bytes: Size of each read, bytes.
    """
    client, reported = connect()
    client.send(b'', reported.append, echo=('request-id', 'mine'))
    client.dataReceived(begin)
    more = piece * (read_bytes // len(piece))
    taken = len(begin)
    while not reported and taken < 2 * MAX_ANSWER_BYTES:
        client.dataReceived(more)
        taken += len(more)
    assert reported == [None]
    assert not client.usable
    assert not client.transport.connected
    return taken


# A target that never ended its head filled the daemon's memory.
@pytest.mark.parametrize('read_bytes', [1_000, 65_536])
@pytest.mark.parametrize('name', ENDLESS_HEADS)
def test_a_head_without_end_ends_the_request(
    name: str, read_bytes: int
) -> None:
    begin, piece = ENDLESS_HEADS[name]
    taken = bytes_until_close(begin, piece, read_bytes)
    assert taken <= MAX_HEAD_BYTES + read_bytes


# A target that sent framing without end held a connection for as long.
@pytest.mark.parametrize('name', ENDLESS_BODIES)
def test_a_body_without_end_ends_the_request(name: str) -> None:
    begin, piece = ENDLESS_BODIES[name]
    taken = bytes_until_close(begin, piece, 65_536)
    assert taken <= MAX_ANSWER_BYTES + 65_536


# A limit on heads must not depend on how the network splits them.
@given(st.integers(-2, 2), st.lists(st.integers(0, 70_000), max_size=4))
def test_any_split_of_a_long_head_is_judged_alike(
    excess: int, cuts: list[int]
) -> None:
    client, reported = connect()
    head = b'%scontent-length: 4\r\na: ' % HEAD
    padding = b'x' * (MAX_HEAD_BYTES - len(head) - len(b'\r\n\r\n') + excess)
    feed(client, b'%s%s\r\n\r\nbody' % (head, padding), cuts)
    assert [bool(response) for response in reported] == [excess <= 0]


# A body in chunks of two bytes took twenty times its size in memory.
def test_a_body_in_small_chunks_takes_little_memory() -> None:
    client, reported = connect()
    client.dataReceived(CHUNKED_HEAD)
    more = b'2\r\nxx\r\n' * 1_000
    tracemalloc.start()
    for _ in range(400):
        client.dataReceived(more)
    taken = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    assert not reported
    assert taken < 2 * 400 * 2_000


# Failure: a target broke off in the head of its answer, and callers got a
# success with an empty or short body that was framed as whole.
@pytest.mark.parametrize('framing', ['content-length: 4', 'x-b: 2', ''])
@pytest.mark.parametrize('interim', [b'', b'HTTP/1.1 100 Continue\r\n\r\n'])
def test_a_head_that_breaks_off_is_no_answer(
    framing: str, interim: bytes
) -> None:
    lines = ('HTTP/1.1 200 OK', 'server-stamp: s', framing, 'x-a: 1')
    head = '\r\n'.join((*filter(None, lines), '', '')).encode()
    for size in range(head.index(b'\r\n\r\n') + 4):
        client, reported = connect()
        client.dataReceived(interim + head[:size])
        client.transport.loseConnection()
        assert reported == [None]


# The same where the rest of the head seems to come with a repeated answer.
def test_an_answer_behind_a_broken_head_does_not_complete_it() -> None:
    begun = b'HTTP/1.1 200 OK\r\nserver-stamp: s\r\n'
    old = b'%srequest-id: old\r\ncontent-length: 1\r\n\r\na' % begun
    for size in (1, 9, 17, 25, len(begun)):
        client, reported = connect()
        client.send(b'', reported.append, echo=('request-id', 'mine'))
        client.dataReceived(begun[:size] + old)
        client.transport.loseConnection()
        assert reported == [None]
