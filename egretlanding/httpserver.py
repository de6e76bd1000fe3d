"""The HTTP/1.1 server protocol for calls, based on the httptools parser."""

import itertools
import time
from collections import Counter, deque
from collections.abc import Callable
from http import HTTPStatus
from io import BytesIO
from typing import Any

import attrs
import httptools
from twisted.internet.protocol import Factory, Protocol, connectionDone
from twisted.python.failure import Failure

from egretlanding.bytebudget import ByteBudget
from egretlanding.callerlimits import (
    MAX_DESCRIPTORS,
    CallerLimits,
    Limited,
    descriptor_limit,
    max_side_connections,
)
from egretlanding.callertransfers import REQUEST_BYTES, CallerTransfers
from egretlanding.containment import log_unexpected
from egretlanding.events import Event, Severity, log_event
from egretlanding.frames import Headers
from egretlanding.httpheaders import LENGTH, drop_hop_headers, has_safe_framing
from egretlanding.httpmessages import HttpLimits, HttpRequest, HttpResponse
from egretlanding.requestsize import (
    BodySizeError,
    HeaderSizeError,
    RequestSize,
)
from egretlanding.tcpwrites import unsent_bytes, write_now

MAX_PIPELINED = 16
# Time for which a connection reads on after its last response, seconds, and
# most bytes that it reads. Closing it with unread bytes would reset it, and the
# caller could lose the end of the response.
LINGER_S = 0.5
MAX_LINGER_BYTES = 1_048_576
MAX_SIDE_BODY_BYTES = 65_536
# Limits of requests at the ports for readiness and metrics, which have no body
# and need no more than one idle connection for each who asks.
SIDE_LIMITS = HttpLimits(body_bytes=MAX_SIDE_BODY_BYTES, header_s=3, idle_s=60)
# When all connections are in use, one of this many is closed.
CONNECTIONS_PER_CLOSED = 8

NOT_RUN_HEADERS = (
    ('content-type', 'text/plain'),
    ('x-egretlanding-ran', 'no'),
    ('x-egretlanding-reason', 'malformed-request'),
)
MALFORMED_REQUEST_TEXT = (
    b'the request is not served; send well-formed HTTP/1.1 within limits'
)
FAILED_RESPONSE = HttpResponse(
    HTTPStatus.INTERNAL_SERVER_ERROR,
    [('content-type', 'text/plain')],
    b'handling the request failed; see the log of the daemon\n',
)
CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'


# Headers that aren't forwarded: the server itself answers an expectation, and
# the length is set again when the request is encoded for the target.
CONSUMED_HEADERS = frozenset((LENGTH, 'expect'))


class FramingError(ValueError):
    """Two parsers could disagree on where the request ends."""

    status = HTTPStatus.BAD_REQUEST


@attrs.define(eq=False)
class HttpExchange:
    """One HTTP request and its response.

    Attributes:
        request: The request.
        protocol: The connection that it arrived on.
        response: The response, None until it is known.
        on_disconnect: Called when the caller disconnects before the response.
        held_bytes: Memory that the request takes, bytes.
    """

    request: HttpRequest
    protocol: 'HttpServer'
    response: HttpResponse | None = None
    on_disconnect: Callable[[], None] | None = None
    held_bytes: int = REQUEST_BYTES

    def respond(self, response: HttpResponse) -> None:
        """Sets the response; responses are sent in the order of requests."""
        self.response = response
        self.protocol.flush()

    def fail(self) -> None:
        """Answers that handling the request failed, unless it is answered."""
        if self.response is None:
            self.respond(FAILED_RESPONSE)


Handler = Callable[[HttpExchange], None]


class HttpServer(Protocol):
    """Serves one connection of a caller.

    Attributes:
        server: The factory, with the handler and the open connections.
        pending: Requests that were passed on and whose response is not sent,
            oldest first.
        waiting: Requests behind them that are not passed on yet.
        is_starting: Whether requests that waited are being passed on.
        input_closed: Whether further bytes of the caller are ignored.
        closing: Whether the daemon has begun to close the connection.
        size: The bytes of the request that is being received.
        limits: The limits that apply to the connection; they are replaced only
            when a request begins or the connection becomes idle.
        transfers: What arrives and leaves, and its share of the budget.
    """

    def __init__(self, factory: 'HttpServerFactory') -> None:
        """Prepares the parser.

        Args:
            factory: The factory, with the handler and the open connections.
        """
        self.server = factory
        self.pending: deque[HttpExchange] = deque()
        self.waiting: deque[HttpExchange] = deque()
        self.is_starting = False
        self.parser = httptools.HttpRequestParser(self)
        self.input_closed = False
        self.closing = False
        self.limits = factory.limits
        # Time since which the server waits for the caller: when the connection
        # became idle or a request began to arrive, seconds.
        self.waiting_since: float = 0
        self.reading_headers = False
        self.size = RequestSize()
        self.transfers = CallerTransfers(self, factory.caller_limits)
        self.reset()

    def reset(self) -> None:
        """Clears the state of the request that was parsed."""
        self.url = b''
        self.headers: Headers = []
        # Unlike a bytearray, it returns its content without a copy.
        self.body = BytesIO()
        self.size.reset()
        self.reading_request = False

    def connectionMade(self) -> None:
        """Registers the connection, and turns off Nagle's algorithm.

        Responses are written in one piece, so that it would only delay them.
        """
        transport: Any = self.transport
        transport.setTcpNoDelay(True)
        self.waiting_since = self.server.clock()
        self.server.connections.add(self)
        self.transfers.open()

    def dataReceived(self, data: bytes) -> None:
        """Parses received bytes; a malformed request closes the connection."""
        if self.closing:
            self.drop(data)
        if self.input_closed or self.closing:
            return
        self.size.begin_read(data)
        try:
            self.parser.feed_data(data)
            self.size.end_read(data, self.limits)
        except httptools.HttpParserUpgrade:
            self.reject(HTTPStatus.NOT_IMPLEMENTED)
        except (
            HeaderSizeError,
            BodySizeError,
            httptools.HttpParserCallbackError,
        ) as error:
            cause = error.__context__ or error
            self.reject(getattr(cause, 'status', HTTPStatus.BAD_REQUEST))
        except httptools.HttpParserError:
            self.reject(HTTPStatus.BAD_REQUEST)
        self.transfers.update_arrival(self.server.clock)

    def drop(self, data: bytes) -> None:
        """Drops bytes behind the last response; too many end the connection."""
        self.transfers.lingering.dropped_bytes += len(data)
        if self.transfers.lingering.dropped_bytes > MAX_LINGER_BYTES:
            transport: Any = self.transport
            transport.abortConnection()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Reports to open requests that their caller disconnected."""
        self.input_closed = True
        self.server.connections.discard(self)
        self.transfers.close()
        abandoned = [
            exchange for exchange in self.pending if not exchange.response
        ]
        self.pending.clear()
        self.waiting.clear()
        self.report_lost_answers(len(abandoned))
        for exchange in abandoned:
            if exchange.on_disconnect:
                exchange.on_disconnect()

    def report_lost_answers(self, unanswered: int) -> None:
        """Logs and counts answers that the caller can't have received.

        A caller that disconnects before the answer is not reported here.

        Args:
            unanswered: Number of requests without a response.
        """
        if self.transfers.is_aborted:
            # Counted by its reason, and logged for all such callers together.
            return
        unsent = unsent_bytes(self.transport)
        if not unsent and not (unanswered and self.server.is_closed):
            return
        closed_by = 'daemon' if self.server.is_closed else 'caller'
        self.server.lost_answers[closed_by] += 1
        log_event(
            Event.ANSWER_LOST,
            'a connection of a caller ended before its answer was sent',
            Severity.WARNING,
            closed_by=closed_by,
            unanswered=unanswered,
            unsent_bytes=unsent,
            draining=self.server.is_draining,
        )

    def reject(self, status: int) -> None:
        """Refuses an invalid request, after the responses to earlier ones."""
        if not self.input_closed:
            self.refuse(
                HttpResponse(
                    status, list(NOT_RUN_HEADERS), MALFORMED_REQUEST_TEXT
                )
            )

    def refuse(self, response: HttpResponse) -> None:
        """Answers what is arriving, and drops it and all that follows."""
        self.input_closed = True
        exchange = HttpExchange(
            HttpRequest('', '', [], b'', keep_alive=False), self, response
        )
        self.reset()
        self.transfers.complete_bytes += exchange.held_bytes
        self.waiting.append(exchange)
        self.start_waiting()

    def drain(self) -> None:
        """Closes the connection unless a request arrives or is served."""
        if not self.pending and not self.reading_request:
            self.write(b'', last=True)

    def check_timeouts(self, now: float) -> None:
        """Closes the connection if its caller is idle or slow for too long."""
        self.transfers.check_reading(now)
        if self.closing:
            self.end_lingering(now)
        if self.input_closed:
            return
        if self.reading_request:
            self.transfers.check_arrival(now)
        elif not self.pending and self.is_idle_too_long(now):
            self.drain()

    def end_lingering(self, now: float) -> None:
        """Closes the connection some time after all responses were sent."""
        if unsent_bytes(self.transport):
            return
        self.transfers.lingering.since = min(
            self.transfers.lingering.since, now
        )
        if now - self.transfers.lingering.since >= LINGER_S:
            transport: Any = self.transport
            transport.loseConnection()

    def is_idle_too_long(self, now: float) -> bool:
        """Returns whether an idle connection has exceeded its idle timeout.

        A caller may rely on the timeout that was in force when the connection
        became idle or on the present one, so the longer of the two applies.
        """
        idle_s = max(self.limits.idle_s, self.server.limits.idle_s)
        return now - self.waiting_since > idle_s

    def flush(self) -> None:
        """Writes the responses that are complete, in the order of requests."""
        while self.pending and not self.transfers.is_blocked:
            response = self.pending[0].response
            if response is None:
                break
            exchange = self.pending.popleft()
            self.transfers.complete_bytes -= exchange.held_bytes
            is_idle = not self.pending and not self.waiting
            last = self.server.is_draining and is_idle
            keep_alive = exchange.request.keep_alive and not last
            encoded = encode_response(response, keep_alive=keep_alive)
            self.write(encoded, last=not keep_alive)
            if not keep_alive:
                self.transfers.account()
                return
        self.start_waiting()
        if not self.pending:
            # The idle connection keeps the limits that are in force now, since
            # the caller may rely on this idle timeout.
            self.limits = self.server.limits
            self.waiting_since = self.server.clock()
        self.apply_backpressure()
        self.transfers.account()

    def start_waiting(self) -> None:
        """Passes on requests while few enough are pending.

        One packet may hold many requests, and the caller of a slow one must not
        occupy more of the daemon than others.
        """
        if self.is_starting:
            return
        self.is_starting = True
        while (
            self.waiting
            and not self.closing
            and not self.transfers.is_blocked
            and len(self.pending) < MAX_PIPELINED
        ):
            self.start(self.waiting.popleft())
        self.is_starting = False

    def start(self, exchange: HttpExchange) -> None:
        """Passes a request to the handler, unless it is refused already."""
        self.pending.append(exchange)
        self.apply_backpressure()
        if exchange.response:
            self.flush()
            return
        try:
            self.server.handler(exchange)
        except Exception as error:
            log_unexpected('handler of requests', error)
            exchange.fail()

    def apply_backpressure(self) -> None:
        """Pauses reading while the caller has enough to wait for or to read."""
        transport: Any = self.transport
        if self.is_paused():
            transport.pauseProducing()
        elif transport.connected:
            transport.resumeProducing()

    def is_paused(self) -> bool:
        """Returns whether nothing is read from the caller at present."""
        too_many = len(self.pending) >= MAX_PIPELINED
        return too_many or self.transfers.is_blocked or bool(self.waiting)

    def write(self, encoded: bytes, *, last: bool = False) -> None:
        """Writes to the caller, and closes the connection if `last` is set.

        Nothing is written once the connection has begun to close. After a
        response, only the output ends at first; requests behind it are dropped.
        A connection without a response closes at once, so that a request that
        crosses the close counts as unread.
        """
        if self.closing:
            return
        transport: Any = self.transport
        self.transfers.written_bytes += len(encoded)
        if not write_now(transport, encoded):
            self.transfers.block()
        if not last:
            return
        self.transfers.unblock()
        self.closing = True
        if encoded:
            transport.resumeProducing()
            transport.loseWriteConnection()
        else:
            transport.loseConnection()

    def on_message_begin(self) -> None:
        """Records that a request began to arrive."""
        self.limits = self.server.limits
        self.reading_headers = True
        self.reading_request = True
        self.waiting_since = self.server.clock()
        self.transfers.arrival.restart(self.waiting_since)

    def on_url(self, url: bytes) -> None:
        """Collects a piece of the request target."""
        self.url += url
        self.size.add_target(len(url), self.limits)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collects one header."""
        self.size.add_header(len(name) + len(value), self.limits)
        self.headers.append(
            (name.decode('latin-1').lower(), value.decode('latin-1')),
        )

    def on_headers_complete(self) -> None:
        """Checks the framing, and answers `expect: 100-continue`."""
        self.reading_headers = False
        if self.parser.should_upgrade() or not has_safe_framing(self.headers):
            raise FramingError
        if ('expect', '100-continue') in self.headers:
            self.write(CONTINUE)

    def on_body(self, body: bytes) -> None:
        """Collects a piece of the body, up to the size limit."""
        if not self.size.body_bytes:
            self.size.declared_bytes = declared_length(self.headers)
        self.size.add_body(len(body), self.limits)
        self.body.write(body)

    def on_message_complete(self) -> None:
        """Passes the complete request on, if it can be answered."""
        if self.closing or self.input_closed:
            return
        request = HttpRequest(
            self.parser.get_method().decode('ascii'),
            self.url.decode('latin-1'),
            [
                pair
                for pair in drop_hop_headers(self.headers)
                if pair[0] not in CONSUMED_HEADERS
            ],
            self.body.getvalue(),
            self.parser.should_keep_alive(),
        )
        exchange = HttpExchange(request, self)
        exchange.held_bytes += self.transfers.arriving_bytes()
        self.transfers.complete_bytes += exchange.held_bytes
        self.transfers.served += 1
        self.reset()
        self.waiting.append(exchange)
        self.start_waiting()


def declared_length(headers: Headers) -> int:
    """Returns the length of the body that the headers declare, 0 if none."""
    lengths = (text for name, text in headers if name == LENGTH)
    return int(next(lengths, '0'))


def encode_response(response: HttpResponse, *, keep_alive: bool) -> bytes:
    """Encodes a response, or one that reports a failure in its place."""
    try:
        return response.to_bytes(keep_alive=keep_alive)
    except Exception as error:
        log_unexpected('encoding of a response', error)
        return FAILED_RESPONSE.to_bytes(keep_alive=keep_alive)


def closing_order(connection: HttpServer) -> tuple[bool, float]:
    """Returns the sort key of connections by the order of their closing."""
    return connection.transfers.served > 0, connection.waiting_since


class HttpServerFactory(Factory):
    """Builds a server protocol for each connection of a caller.

    Attributes:
        is_draining: Whether connections are closed after their pending
            responses.
        is_closed: Whether all connections were closed.
        lost_answers: Connections that ended before an answer was sent, by
            who closed them.
        caller_limits: The byte budget, and counts of limited callers.
        max_connections: Most open connections.
        side_ports: The connections at other ports, such as for readiness.
    """

    noisy = False

    def __init__(
        self,
        handler: Handler,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Prepares a factory without connections.

        Args:
            handler: Called with each complete request.
            clock: Returns the time, seconds.
        """
        self.handler = handler
        self.clock = clock
        self.limits = HttpLimits()
        self.connections: set[HttpServer] = set()
        self.is_draining = False
        self.is_closed = False
        self.lost_answers: Counter[str] = Counter()
        self.caller_limits = CallerLimits(ByteBudget(clock))
        self.side_ports: list[HttpServerFactory] = []
        self.max_connections = MAX_DESCRIPTORS

    def build_side_port(self, handler: Handler) -> 'HttpServerFactory':
        """Builds the connections at another port of the same process.

        Args:
            handler: Called with each complete request at that port.
        """
        side = HttpServerFactory(handler, self.clock)
        side.limits = SIDE_LIMITS
        side.caller_limits = self.caller_limits
        side.max_connections = max_side_connections(descriptor_limit())
        self.side_ports.append(side)
        return side

    def buildProtocol(self, addr: Any) -> HttpServer | None:
        """Builds the protocol of one connection, or closes it if none is free.

        Twisted closes a connection without a protocol.
        """
        if len(self.connections) >= self.max_connections:
            self.close_waiting()
        if len(self.connections) >= self.max_connections:
            self.caller_limits.count(Limited.CONNECTIONS)
            return None
        return HttpServer(self)

    def close_waiting(self) -> None:
        """Closes some connections that have no request in progress.

        Those that never sent a whole request go first, then those that have
        waited for the longest time.
        """
        now = self.clock()
        waiting = [
            connection
            for connection in self.connections
            if not connection.pending or connection.transfers.is_stalled(now)
        ]
        waiting.sort(key=closing_order)
        count = max(1, self.max_connections // CONNECTIONS_PER_CLOSED)
        for connection in itertools.islice(waiting, count):
            self.caller_limits.count(Limited.CONNECTIONS)
            connection.transfers.abort()

    def check_timeouts(self) -> None:
        """Closes connections whose callers are idle or slow for too long."""
        now = self.clock()
        for factory in (self, *self.side_ports):
            for connection in tuple(factory.connections):
                connection.check_timeouts(now)
        self.caller_limits.report(now)

    def end_lingering(self) -> None:
        """Closes connections some time after their last response was sent."""
        now = self.clock()
        for connection in tuple(self.connections):
            if connection.closing:
                connection.end_lingering(now)

    def drain(self) -> None:
        """Closes each connection on which no request arrives or is served."""
        for connection in tuple(self.connections):
            connection.drain()

    def close(self) -> None:
        """Closes all connections, those with pending requests too."""
        self.is_closed = True
        for connection in tuple(self.connections):
            connection.write(b'', last=True)
            transport: Any = connection.transport
            transport.loseConnection()

    def unsent_bytes(self) -> int:
        """Returns the size of the responses that callers have yet to read."""
        return sum(
            unsent_bytes(connection.transport)
            for connection in self.connections
        )
