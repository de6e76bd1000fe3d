"""An HTTP/1.1 server protocol for calls, parsed by httptools."""

import time
from collections import deque
from collections.abc import Callable
from http import HTTPStatus
from typing import Any

import attrs
import httptools
from twisted.internet.protocol import Factory, Protocol, connectionDone
from twisted.python.failure import Failure

from egretlanding.eagerwrites import write_now
from egretlanding.frames import Headers
from egretlanding.httpheaders import LENGTH, drop_hop_headers, has_safe_framing
from egretlanding.httpmessages import HttpLimits, HttpRequest, HttpResponse

MAX_PIPELINED = 16

NOT_RUN_HEADERS = (
    ('content-type', 'text/plain'),
    ('x-egretlanding-ran', 'no'),
    ('x-egretlanding-reason', 'malformed-request'),
)
MALFORMED = (
    b'the request is not served; send well-formed HTTP/1.1 within limits'
)
CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'


# The server has answered an expectation, and frames the body anew.
CONSUMED_HEADERS = frozenset((LENGTH, 'expect'))


class FramingError(ValueError):
    """Two readers could disagree on where the request ends."""

    status = HTTPStatus.BAD_REQUEST


class HeaderSizeError(ValueError):
    """The headers of a request exceed their limit."""

    status = HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE


class BodySizeError(ValueError):
    """The body of a request exceeds its limit."""

    status = HTTPStatus.REQUEST_ENTITY_TOO_LARGE


@attrs.define(eq=False)
class Exchange:
    """One request with the means to answer it.

    Attributes:
        request: The request.
        protocol: The connection that it came by.
        response: The answer once it is known.
        on_abandon: Called when the caller goes away before the answer.
    """

    request: HttpRequest
    protocol: 'HttpServer'
    response: HttpResponse | None = None
    on_abandon: Callable[[], None] | None = None

    def respond(self, response: HttpResponse) -> None:
        """Answers the request; answers leave in the order of requests."""
        self.response = response
        self.protocol.flush()


Handler = Callable[[Exchange], None]


class HttpServer(Protocol):
    """Serves one connection of a caller.

    Attributes:
        server: Who handles the requests and knows the connections.
        pending: Requests that aren't answered yet, oldest first.
    """

    def __init__(self, factory: 'HttpServerFactory') -> None:
        """Prepares the parser.

        Args:
            factory: Who handles the requests and knows the connections.
        """
        self.server = factory
        self.pending: deque[Exchange] = deque()
        self.parser = httptools.HttpRequestParser(self)
        self.refused = False
        self.limits = factory.limits
        # When the connection fell idle or a request began to arrive, seconds.
        self.since: float = 0
        self.in_headers = False
        self.reset()

    def reset(self) -> None:
        """Forgets the request that was being parsed."""
        self.url = b''
        self.headers: Headers = []
        self.chunks: list[bytes] = []
        self.header_bytes = 0
        self.body_bytes = 0
        self.receiving = False

    def connectionMade(self) -> None:
        """Turns off Nagle's algorithm, since answers are written whole."""
        transport: Any = self.transport
        transport.setTcpNoDelay(True)
        self.since = self.server.clock()
        self.server.connections.add(self)

    def dataReceived(self, data: bytes) -> None:
        """Feeds the parser; a malformed request closes the connection."""
        if self.refused:
            return
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self.reject(HTTPStatus.NOT_IMPLEMENTED)
        except httptools.HttpParserCallbackError as error:
            cause = error.__context__
            self.reject(getattr(cause, 'status', HTTPStatus.BAD_REQUEST))
        except httptools.HttpParserError:
            self.reject(HTTPStatus.BAD_REQUEST)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Tells the requests in flight that their caller is gone."""
        self.refused = True
        self.server.connections.discard(self)
        abandoned = [entry for entry in self.pending if not entry.response]
        self.pending.clear()
        for entry in abandoned:
            if entry.on_abandon:
                entry.on_abandon()

    def reject(self, status: int) -> None:
        """Refuses what can't be parsed, after the answers before it."""
        self.refused = True
        entry = Exchange(HttpRequest('', '', [], b'', keep_alive=False), self)
        self.pending.append(entry)
        entry.respond(HttpResponse(status, list(NOT_RUN_HEADERS), MALFORMED))

    def drain(self) -> None:
        """Closes the connection unless requests wait for answers."""
        if not self.pending:
            self.write(b'', last=True)

    def check_time(self, now: float) -> None:
        """Ends a connection whose caller is idle or slow for too long."""
        if self.refused or self.pending:
            return
        if self.in_headers and now - self.since > self.limits.header_s:
            self.reject(HTTPStatus.REQUEST_TIMEOUT)
        elif not self.receiving and now - self.since > self.limits.idle_s:
            self.drain()

    def flush(self) -> None:
        """Writes the answers that are due, oldest first."""
        while self.pending:
            response = self.pending[0].response
            if response is None:
                break
            entry = self.pending.popleft()
            last = self.server.leaving and not self.pending
            keep_alive = entry.request.keep_alive and not last
            encoded = response.to_bytes(keep_alive=keep_alive)
            self.write(encoded, last=not keep_alive)
            if not keep_alive:
                return
        if not self.pending:
            # The limit that the caller may know of is the one in force now.
            self.limits = self.server.limits
            self.since = self.server.clock()
        self.regulate()

    def regulate(self) -> None:
        """Stops reading while too many pipelined requests wait."""
        transport: Any = self.transport
        if len(self.pending) >= MAX_PIPELINED:
            transport.pauseProducing()
        elif transport.connected:
            transport.resumeProducing()

    def write(self, encoded: bytes, *, last: bool = False) -> None:
        """Writes to the caller and closes after the last answer."""
        transport: Any = self.transport
        write_now(transport, encoded)
        if last:
            transport.loseConnection()

    def on_message_begin(self) -> None:
        """Notes when a request began to arrive."""
        self.limits = self.server.limits
        self.in_headers = True
        self.receiving = True
        if not self.pending:
            self.since = self.server.clock()

    def on_url(self, url: bytes) -> None:
        """Collects the request target."""
        self.url += url
        self.limit_headers(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collects one header."""
        self.limit_headers(len(name) + len(value))
        self.headers.append(
            (name.decode('latin-1').lower(), value.decode('latin-1')),
        )

    def on_headers_complete(self) -> None:
        """Checks the framing and answers an expectation of the caller."""
        self.in_headers = False
        if self.parser.should_upgrade() or not has_safe_framing(self.headers):
            raise FramingError
        if ('expect', '100-continue') in self.headers:
            self.write(CONTINUE)

    def on_body(self, body: bytes) -> None:
        """Collects the body up to its limit."""
        self.body_bytes += len(body)
        if self.body_bytes > self.limits.body_bytes:
            raise BodySizeError('the body exceeds its limit')
        self.chunks.append(body)

    def on_message_complete(self) -> None:
        """Hands the whole request to the handler."""
        request = HttpRequest(
            self.parser.get_method().decode('ascii'),
            self.url.decode('latin-1'),
            [
                pair
                for pair in drop_hop_headers(self.headers)
                if pair[0] not in CONSUMED_HEADERS
            ],
            b''.join(self.chunks),
            self.parser.should_keep_alive(),
        )
        self.reset()
        entry = Exchange(request, self)
        self.pending.append(entry)
        self.regulate()
        self.server.handler(entry)

    def limit_headers(self, size: int) -> None:
        """Counts header bytes against their limit."""
        self.header_bytes += size
        if self.header_bytes > self.limits.header_bytes:
            raise HeaderSizeError('the headers exceed their limit')


class HttpServerFactory(Factory):
    """Builds a server protocol for each connection of a caller."""

    noisy = False

    def __init__(
        self,
        handler: Handler,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Stores the handler.

        Args:
            handler: Called with each whole request.
            clock: Returns the time, seconds.
        """
        self.handler = handler
        self.clock = clock
        self.limits = HttpLimits()
        self.connections: set[HttpServer] = set()
        self.leaving = False

    def buildProtocol(self, addr: Any) -> HttpServer:
        """Builds the protocol of one connection."""
        return HttpServer(self)

    def check_times(self) -> None:
        """Ends connections whose callers are idle or slow for too long."""
        now = self.clock()
        for connection in tuple(self.connections):
            connection.check_time(now)

    def drain(self) -> None:
        """Closes each connection once its requests are answered."""
        for connection in tuple(self.connections):
            connection.drain()
