"""Tests that requests are parsed completely, in order and unambiguously."""

import tracemalloc
from collections.abc import Iterator

import pytest
from hypothesis import given
from hypothesis import strategies as st

from egretlanding.events import SINKS, Event, Severity
from egretlanding.httpmessages import HttpLimits, HttpRequest, HttpResponse
from egretlanding.httpserver import HttpExchange, HttpServer, HttpServerFactory
from tests.wires import Wire, attach, feed

UNSAFE_REQUESTS = (
    b'POST /a HTTP/1.1\r\ncontent-length: 3\r\ncontent-length: 3\r\n\r\nabc',
    b'POST /a HTTP/1.1\r\ncontent-length: 3\r\n'
    b'transfer-encoding: chunked\r\n\r\n0\r\n\r\n',
    b'POST /a HTTP/1.1\r\ntransfer-encoding: gzip, chunked\r\n\r\n0\r\n\r\n',
    b'POST /a HTTP/1.1\r\ntransfer-encoding: chunked\r\n'
    b'transfer-encoding: chunked\r\n\r\n0\r\n\r\n',
    b'POST /a HTTP/1.1\r\ncontent-length: +3\r\n\r\nabc',
    b'GET /a HTTP/1.1\r\nx: 1\r\n y: 2\r\n\r\n',
    b'GET /a HTTP/1.1\r\nx y: 1\r\n\r\n',
    b'GET /a HTTP/1.1\r\nupgrade: h2c\r\nconnection: upgrade\r\n\r\n',
    b'CONNECT a:1 HTTP/1.1\r\n\r\n',
    b'GET /a HTTP/1.1\r\nx: %s\r\n\r\n' % (b'y' * 70_000),
    b'nonsense\r\n\r\n',
)
FRAMINGS = st.sampled_from(('length', 'chunked'))
REQUESTS = st.lists(
    st.tuples(
        st.sampled_from(('GET', 'POST', 'DELETE')),
        st.from_regex(r'/[a-z%/.?=&;]{0,12}', fullmatch=True),
        st.binary(max_size=40),
        FRAMINGS,
    ),
    min_size=1,
    max_size=4,
)


class ClosingWire(Wire):
    """A transport that closes only after the present read, as TCP does."""

    def loseConnection(self) -> None:
        """Leaves the connection open for now."""
        self.disconnecting = True

    def resumeProducing(self) -> None:
        """Reads no further once the connection is to close."""


def connect() -> tuple[HttpServer, list[HttpExchange], Wire]:
    """Returns a connected server, its handled requests and its transport."""
    exchanges: list[HttpExchange] = []
    server = HttpServerFactory(exchanges.append).buildProtocol(None)
    return server, exchanges, attach(server)


def encode(method: str, path: str, body: bytes, framing: str) -> bytes:
    """Encodes a request with a length or in chunks."""
    head = f'{method} {path} HTTP/1.1\r\nhost: h\r\nX-Odd: \xe9\r\n'
    if framing == 'length':
        with_length = f'{head}content-length: {len(body)}\r\n\r\n'
        return with_length.encode('latin-1') + body
    chunks = b'%x\r\n%s\r\n' % (len(body), body) if body else b''
    chunked = f'{head}transfer-encoding: chunked\r\n\r\n'
    return b'%s%s0\r\n\r\n' % (chunked.encode('latin-1'), chunks)


@given(REQUESTS, st.lists(st.integers(0, 10_000), max_size=8))
def test_any_split_of_the_bytes_gives_the_same_requests(
    requests: list[tuple[str, str, bytes, str]],
    cuts: list[int],
) -> None:
    server, exchanges, _ = connect()
    feed(server, b''.join(encode(*request) for request in requests), cuts)
    parsed = [
        (exchange.request.method, exchange.request.path)
        for exchange in exchanges
    ]
    assert parsed == [request[:2] for request in requests]
    assert [exchange.request.body for exchange in exchanges] == [
        request[2] for request in requests
    ]
    assert all(
        exchange.request.header('x-odd') == '\xe9' for exchange in exchanges
    )


@given(REQUESTS, st.data())
def test_a_truncated_request_is_never_passed_to_the_handler(
    requests: list[tuple[str, str, bytes, str]],
    data: st.DataObject,
) -> None:
    server, exchanges, _ = connect()
    encoded = encode(*requests[0])
    server.dataReceived(encoded[: data.draw(st.integers(0, len(encoded) - 1))])
    assert not exchanges


@given(st.permutations(range(4)))
def test_answers_leave_in_the_order_of_the_requests(order: list[int]) -> None:
    server, exchanges, wire = connect()
    paths = [f'/{number}' for number in range(4)]
    server.dataReceived(
        b''.join(encode('GET', path, b'', 'length') for path in paths),
    )
    for number in order:
        exchanges[number].respond(HttpResponse(200, [], b'<%d>' % number))
    answer_offsets = [
        wire.value().index(b'<%d>' % number) for number in range(4)
    ]
    assert answer_offsets == sorted(answer_offsets)


@pytest.mark.parametrize('unsafe_request', UNSAFE_REQUESTS)
def test_an_ambiguous_request_is_refused_as_not_run(
    unsafe_request: bytes,
) -> None:
    server, exchanges, wire = connect()
    server.dataReceived(unsafe_request)
    server.dataReceived(encode('GET', '/smuggled', b'', 'length'))
    assert not exchanges
    assert wire.value().startswith((b'HTTP/1.1 4', b'HTTP/1.1 5'))
    assert b'x-egretlanding-ran: no' in wire.value()
    assert not wire.connected


def test_a_refusal_waits_for_the_answers_before_it() -> None:
    server, exchanges, wire = connect()
    server.dataReceived(b'GET /a HTTP/1.1\r\n\r\n%s' % UNSAFE_REQUESTS[0])
    assert not wire.value()
    exchanges[0].respond(HttpResponse(200, [], b'whole'))
    assert wire.value().index(b'whole') < wire.value().index(b'400 Bad')


def test_headers_of_one_connection_are_removed() -> None:
    server, exchanges, _ = connect()
    server.dataReceived(
        b'GET /a HTTP/1.1\r\nconnection: x-mine, keep-alive\r\nx-mine: 1\r\n'
        b'keep-alive: 5\r\nte: trailers\r\nx-kept: 2\r\n\r\n',
    )
    assert exchanges[0].request.headers == [('x-kept', '2')]


@pytest.mark.parametrize(('status', 'expected'), [(200, 1), (204, 0), (304, 0)])
def test_only_statuses_with_a_body_get_a_length(
    status: int,
    expected: int,
) -> None:
    encoded = HttpResponse(status, [], b'').to_bytes()
    assert encoded.count(b'content-length') == expected


def test_pipelined_requests_are_bounded() -> None:
    server, exchanges, wire = connect()
    for _ in range(16):
        server.dataReceived(encode('GET', '/a', b'', 'length'))
    assert wire.producerState == 'paused'
    exchanges[0].respond(HttpResponse(200, [], b''))
    assert wire.producerState == 'producing'


def test_header_returns_the_first_value_or_the_default() -> None:
    request = HttpRequest('GET', '/', [('a', '1'), ('a', '2')], b'')
    assert (request.header('a'), request.header('b', 'none')) == ('1', 'none')


class Lines(list[tuple[Event, dict[str, object]]]):
    """Collects log events in place of a sink."""

    def write(
        self,
        event: Event,
        _message: str,
        _severity: Severity,
        fields: dict[str, object],
    ) -> None:
        """Stores one event and its fields."""
        self.append((event, fields))


@pytest.fixture(name='lines')
def collect_lines() -> Iterator[Lines]:
    lines = Lines()
    SINKS.insert(0, lines.write)
    yield lines
    SINKS.remove(lines.write)


def test_a_connection_closed_with_a_request_in_flight_is_logged(
    lines: Lines,
) -> None:
    server, _, _ = connect()
    server.dataReceived(encode('GET', '/a', b'', 'length'))
    server.server.close()
    assert [event for event, _ in lines] == [Event.ANSWER_LOST]
    assert lines[0][1]['closed_by'] == 'daemon'
    assert lines[0][1]['unanswered'] == 1
    assert server.server.lost_answers == {'daemon': 1}


def test_a_caller_that_leaves_before_its_answer_loses_no_answer(
    lines: Lines,
) -> None:
    server, _, wire = connect()
    server.dataReceived(encode('GET', '/a', b'', 'length'))
    wire.loseConnection()
    assert not lines
    assert not server.server.lost_answers


POST = b'POST /a HTTP/1.1\r\n'
CHUNKED_POST = b'%stransfer-encoding: chunked\r\n\r\n' % POST
ENDLESS_REQUESTS = {
    'a target': (b'GET /', b'x'),
    'a header name': (POST, b'x'),
    'a header value': (b'%sa: ' % POST, b'x'),
    'blanks before a value': (b'%sa: ' % POST, b' '),
    'headers': (POST, b'a: b\r\n'),
    'lines before a request': (b'', b'\r\n'),
    'a chunk extension': (b'%s1;' % CHUNKED_POST, b'x'),
    'a chunk size': (CHUNKED_POST, b'0'),
    'extensions of small chunks': (
        CHUNKED_POST,
        b'1;%s\r\nx\r\n' % (b'x' * 999),
    ),
    'a trailer': (b'%s0\r\na: ' % CHUNKED_POST, b'x'),
    'trailers': (b'%s0\r\n' % CHUNKED_POST, b'a: b\r\n'),
}
READ_BYTES = 8_192
SMALL_LIMITS = HttpLimits(header_bytes=4_096, body_bytes=65_536)


# A request whose header line never ended was read without a limit.
@pytest.mark.parametrize('name', ENDLESS_REQUESTS)
def test_a_request_without_end_is_refused(name: str) -> None:
    server, exchanges, wire = connect()
    server.server.limits = SMALL_LIMITS
    server.limits = SMALL_LIMITS
    begin, piece = ENDLESS_REQUESTS[name]
    server.dataReceived(begin)
    more = piece * (READ_BYTES // len(piece))
    reads = 0
    while wire.connected and reads < 200:
        server.dataReceived(more)
        reads += 1
    assert not wire.connected
    assert not exchanges
    assert wire.value().startswith((b'HTTP/1.1 431', b'HTTP/1.1 413'))


# An unfinished header line of any length passed the published limit.
@given(
    st.sampled_from((b'GET /%s', b'GET / HTTP/1.1\r\na: %s')),
    st.lists(st.integers(0, 10_000), max_size=4),
)
def test_a_head_is_refused_as_soon_as_it_exceeds_the_limit(
    unfinished: bytes, cuts: list[int]
) -> None:
    server, _, wire = connect()
    server.server.limits = SMALL_LIMITS
    server.limits = SMALL_LIMITS
    feed(server, unfinished % (b'x' * 4_200), cuts)
    assert wire.value().startswith(b'HTTP/1.1 431')


# The bound on unfinished lines must not refuse what is within the limit.
@given(
    st.integers(1, 4_090),
    st.sampled_from((b'\r\nb: c', b'')),
    st.lists(st.integers(0, 10_000), max_size=6),
)
def test_any_split_of_a_head_within_the_limit_is_served(
    url_bytes: int, more: bytes, cuts: list[int]
) -> None:
    server, exchanges, _ = connect()
    server.server.limits = SMALL_LIMITS
    server.limits = SMALL_LIMITS
    head = b'GET /%s HTTP/1.1%s\r\n' % (b'u' * (url_bytes - 1), more)
    rest = SMALL_LIMITS.header_bytes - url_bytes - len(b'abc')
    feed(server, b'%sa: %s\r\n\r\n' % (head, b'x' * rest), cuts)
    assert len(exchanges) == 1


# Failure: the separators of headers counted as framing of a body, of which a
# small limit on bodies allowed almost none.
@pytest.mark.parametrize('body_bytes', [0, 10])
def test_a_small_limit_on_bodies_leaves_room_for_headers(
    body_bytes: int,
) -> None:
    server, exchanges, _ = connect()
    server.server.limits = HttpLimits(header_bytes=4_096, body_bytes=body_bytes)
    headers = b'n: %s\r\n' % (b'x' * 33) * 115
    server.dataReceived(b'GET /a HTTP/1.1\r\n%s' % headers)
    server.dataReceived(b'\r\n')
    assert len(exchanges) == 1


# A body in chunks of two bytes took twenty times its size in memory.
def test_a_body_in_small_chunks_takes_little_memory() -> None:
    server, _, wire = connect()
    server.dataReceived(CHUNKED_POST)
    more = b'2\r\nxx\r\n' * 1_000
    tracemalloc.start()
    for _ in range(400):
        server.dataReceived(more)
    taken = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    assert wire.connected
    assert taken < 2 * 400 * 2_000


# Guards against connections closed as idle under a timeout that a newer
# configuration has raised.
@pytest.mark.parametrize(('before_s', 'after_s'), [(2, 10), (10, 2)])
def test_an_idle_connection_keeps_the_longer_of_two_idle_timeouts(
    before_s: float,
    after_s: float,
) -> None:
    now = 0
    factory = HttpServerFactory(lambda _exchange: None, lambda: now)
    factory.limits = HttpLimits(idle_s=before_s)
    wire = attach(factory.buildProtocol(None))
    factory.limits = HttpLimits(idle_s=after_s)
    now = 9
    factory.check_timeouts()
    assert wire.connected
    now = 11
    factory.check_timeouts()
    assert not wire.connected


# Guards against a request that waits without end, and a connection that is
# closed, because a handler failed with an unexpected error.
def test_a_request_whose_handler_fails_is_answered(lines: Lines) -> None:
    def handle(exchange: HttpExchange) -> None:
        if exchange.request.path == '/fails':
            raise LookupError
        exchange.respond(HttpResponse(200, [], b''))

    server = HttpServerFactory(handle).buildProtocol(None)
    wire = attach(server)
    for path in ('/fails', '/a'):
        server.dataReceived(encode('GET', path, b'', 'length'))
    statuses = [
        line.split(b' ')[1]
        for line in wire.value().splitlines()
        if line.startswith(b'HTTP')
    ]
    assert statuses == [b'500', b'200']
    assert wire.connected
    assert [event for event, _ in lines] == [Event.TASK_FAILED]


# Guards against a request without an answer because the answer could not be
# encoded.
def test_an_answer_that_cannot_be_encoded_is_replaced(lines: Lines) -> None:
    server, exchanges, wire = connect()
    server.dataReceived(encode('GET', '/a', b'', 'length'))
    exchanges[0].respond(HttpResponse(200, [('a', '\u20ac')], b''))
    assert wire.value().startswith(b'HTTP/1.1 500 ')
    assert not server.pending
    assert [event for event, _ in lines] == [Event.TASK_FAILED]


# Failure: a request behind one whose answer closed the connection was passed
# on, although no answer could be sent any more.
def test_a_request_behind_the_last_answer_is_not_passed_on() -> None:
    handled: list[str] = []

    def refuse(exchange: HttpExchange) -> None:
        handled.append(exchange.request.path)
        exchange.respond(HttpResponse(503, [], b''))

    factory = HttpServerFactory(refuse)
    factory.is_draining = True
    server = factory.buildProtocol(None)
    wire = ClosingWire()
    wire.protocol = server
    server.makeConnection(wire)
    first, second = (
        encode('GET', path, b'', 'length') for path in ('/a', '/b')
    )
    server.dataReceived(b''.join((first, second, b'nonsense\r\n\r\n')))
    assert handled == ['/a']
    assert wire.value().count(b'HTTP/1.1') == 1
