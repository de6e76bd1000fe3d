"""An HTTP/1.1 client protocol for the local target, parsed by httptools."""

from collections.abc import Callable
from http import HTTPStatus
from typing import Any

import httptools
from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import Protocol, connectionDone
from twisted.python.failure import Failure

from egretlanding.eagerwrites import watch_silence, write_now
from egretlanding.frames import MAX_FRAME_BYTES, Headers
from egretlanding.httpheaders import (
    drop_hop_headers,
    has_one_length,
    has_safe_framing,
    header_values,
    keep_time,
)
from egretlanding.httpmessages import BODILESS, HttpRequest, HttpResponse

MAX_RESPONSE_BYTES = MAX_FRAME_BYTES // 2
MAX_HEADER_BYTES = 65_536

# Called with the whole response, or with None if the connection was lost
# before the response was whole.
OnResponse = Callable[[HttpResponse | None], None]


def encode_request(
    request: HttpRequest,
    host: str,
    extra: Headers | None = None,
) -> bytes:
    """Encodes a request with its framing headers.

    Args:
        request: The request, without headers for one connection only.
        host: Value of the host header if the request has none.
        extra: Headers to add.
    """
    lines = [f'{request.method} {request.path} HTTP/1.1']
    if not request.header('host'):
        lines.append(f'host: {host}')
    lines.extend(
        f'{name}: {value}' for name, value in (*request.headers, *(extra or ()))
    )
    lines.append(f'content-length: {len(request.body)}')
    head = '\r\n'.join(lines).encode('latin-1')
    return b'%s\r\n\r\n%s' % (head, request.body)


class HttpClient(Protocol):
    """Runs one request at a time on a kept connection.

    A response that doesn't say where it ends is whole if the target closed
    the connection in order; one that is reset was cut.

    Attributes:
        on_response: Called with the response of the request in flight.
        on_close: Called once when the connection is gone.
        usable: Whether another request may be sent.
        is_head: Whether the request in flight asks for headers only.
    """

    def __init__(self, on_close: Callable[['HttpClient'], None]) -> None:
        """Prepares the parser.

        Args:
            on_close: Called once when the connection is gone.
        """
        self.on_close = on_close
        self.on_response: OnResponse | None = None
        self.usable = True
        self.is_head = False
        self.echo: tuple[str, str] | None = None
        self.idle_since: float = 0
        self.keep_s: float = float('inf')
        self.reset()

    def reset(self) -> None:
        """Prepares for the next response."""
        self.parser = httptools.HttpResponseParser(self)
        self.headers: Headers = []
        self.chunks: list[bytes] = []
        self.body_bytes = 0
        self.header_bytes = 0
        self.ends_with_connection = False
        self.whole: HttpResponse | None = None

    def connectionMade(self) -> None:
        """Turns off Nagle's algorithm, since requests are written whole."""
        transport: Any = self.transport
        transport.setTcpNoDelay(True)
        watch_silence(transport)

    def send(
        self,
        encoded: bytes,
        on_response: OnResponse,
        *,
        is_head: bool = False,
        echo: tuple[str, str] | None = None,
    ) -> None:
        """Sends an encoded request.

        Args:
            encoded: The request.
            on_response: Called with the response, or None if it was cut.
            is_head: Whether the response has no body, as for HEAD.
            echo: Header and value that the response must repeat if it has
                the header; one with another value answers another request.
        """
        self.reset()
        self.echo = echo
        self.on_response = on_response
        self.is_head = is_head
        write_now(self.transport, encoded)

    def close(self) -> None:
        """Closes the connection at once."""
        self.usable = False
        transport: Any = self.transport
        transport.abortConnection()

    def dataReceived(self, data: bytes) -> None:
        """Feeds the parser; a malformed response cuts the connection."""
        if self.on_response is None:
            # Bytes that no request asked for can't be told from an answer.
            self.close()
            return
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.usable = False
            if self.whole is None:
                self.close()
        if self.whole is not None:
            self.finish(self.whole)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Reports a request in flight as cut."""
        self.usable = False
        if self.ends_with_connection and reason.check(ConnectionDone):
            self.on_message_complete()
        self.finish(self.whole)
        self.on_close(self)

    def on_message_begin(self) -> None:
        """Gives a connection up that says more than it was asked."""
        self.usable = self.usable and self.whole is None

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collects one header."""
        self.header_bytes += len(name) + len(value)
        if self.header_bytes > MAX_HEADER_BYTES:
            raise ValueError('the headers exceed their limit')
        self.headers.append(
            (name.decode('latin-1').lower(), value.decode('latin-1')),
        )

    def on_headers_complete(self) -> None:
        """Checks the framing; a response to HEAD is whole here."""
        status = self.parser.get_status_code()
        if status < HTTPStatus.OK or self.whole is not None:
            return
        if self.is_head or status in BODILESS:
            self.take(drop_hop_headers(self.headers))
        elif not has_one_length(self.headers):
            if not has_safe_framing(self.headers):
                raise ValueError('the response does not say where it ends')
            self.ends_with_connection = True

    def on_body(self, body: bytes) -> None:
        """Collects the body up to its limit."""
        self.body_bytes += len(body)
        if self.body_bytes > MAX_RESPONSE_BYTES:
            raise ValueError('the response exceeds its limit')
        self.chunks.append(body)

    def on_message_complete(self) -> None:
        """Keeps the whole response, unless it is an interim one."""
        if self.whole is not None:
            return
        if self.parser.get_status_code() < HTTPStatus.OK:
            self.headers = []
            return
        if self.is_strange():
            # A late answer to an earlier request; the wanted one follows.
            self.headers = []
            self.chunks = []
            self.usable = False
            return
        headers = drop_hop_headers(self.headers)
        self.take([pair for pair in headers if pair[0] != 'content-length'])

    def is_strange(self) -> bool:
        """Tells whether a response names another request than its own."""
        if self.echo is None:
            return False
        name, wanted = self.echo
        return any(
            key == name and value != wanted for key, value in self.headers
        )

    def take(self, headers: Headers) -> None:
        """Keeps a whole response."""
        found = header_values(self.headers, 'keep-alive')
        self.keep_s = keep_time(found, self.keep_s)
        self.usable = self.usable and self.parser.should_keep_alive()
        self.whole = HttpResponse(
            self.parser.get_status_code(),
            headers,
            b''.join(self.chunks),
        )

    def finish(self, response: HttpResponse | None) -> None:
        """Calls back for the request in flight, once."""
        on_response = self.on_response
        self.on_response = None
        if on_response:
            on_response(response)
