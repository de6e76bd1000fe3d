"""An HTTP/1.1 client protocol for the local target, parsed by httptools."""

from collections.abc import Callable
from typing import Any

import httptools
from twisted.internet.protocol import Protocol, connectionDone
from twisted.python.failure import Failure

from egretlanding.frames import MAX_FRAME_BYTES, Headers
from egretlanding.httpserver import HttpRequest, HttpResponse

MAX_RESPONSE_BYTES = MAX_FRAME_BYTES // 2
FRAMING_HEADERS = frozenset(
    ('connection', 'content-length', 'keep-alive', 'transfer-encoding'),
)

# Called with the whole response, or with None if the connection was lost
# before the response was whole.
OnResponse = Callable[[HttpResponse | None], None]


def encode_request(request: HttpRequest, host: str) -> bytes:
    """Encodes a request with its framing headers.

    Args:
        request: The request.
        host: Value of the host header.
    """
    lines = [
        f'{request.method} {request.path} HTTP/1.1',
        f'host: {host}',
        f'content-length: {len(request.body)}',
    ]
    lines.extend(
        f'{name}: {value}'
        for name, value in request.headers
        if name != 'host' and name not in FRAMING_HEADERS
    )
    head = '\r\n'.join(lines).encode('latin-1')
    return b'%s\r\n\r\n%s' % (head, request.body)


class HttpClient(Protocol):
    """Runs one request at a time on a kept connection.

    Attributes:
        on_response: Called with the response of the request in flight.
        on_close: Called once when the connection is gone.
        usable: Whether another request may be sent.
    """

    def __init__(self, on_close: Callable[['HttpClient'], None]) -> None:
        """Prepares the parser.

        Args:
            on_close: Called once when the connection is gone.
        """
        self.on_close = on_close
        self.on_response: OnResponse | None = None
        self.usable = True
        self.parser = httptools.HttpResponseParser(self)
        self.headers: Headers = []
        self.chunks: list[bytes] = []
        self.body_bytes = 0

    def connectionMade(self) -> None:
        """Turns off Nagle's algorithm, since requests are written whole."""
        transport: Any = self.transport
        transport.setTcpNoDelay(True)

    def send(self, encoded: bytes, on_response: OnResponse) -> None:
        """Sends an encoded request.

        Args:
            encoded: The request.
            on_response: Called with the response, or None if it was cut.
        """
        self.on_response = on_response
        transport: Any = self.transport
        transport.write(encoded)

    def close(self) -> None:
        """Closes the connection at once."""
        self.usable = False
        transport: Any = self.transport
        transport.abortConnection()

    def dataReceived(self, data: bytes) -> None:
        """Feeds the parser; a malformed response cuts the connection."""
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.close()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Reports a request in flight as cut."""
        self.usable = False
        self.finish(None)
        self.on_close(self)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collects one header."""
        key = name.decode('latin-1').lower()
        if key not in FRAMING_HEADERS:
            self.headers.append((key, value.decode('latin-1')))

    def on_body(self, body: bytes) -> None:
        """Collects the body up to its limit."""
        self.body_bytes += len(body)
        if self.body_bytes > MAX_RESPONSE_BYTES:
            raise ValueError('the response exceeds its limit')
        self.chunks.append(body)

    def on_message_complete(self) -> None:
        """Hands over the whole response."""
        response = HttpResponse(
            self.parser.get_status_code(),
            self.headers,
            b''.join(self.chunks),
        )
        self.headers = []
        self.chunks = []
        self.body_bytes = 0
        self.usable = self.usable and self.parser.should_keep_alive()
        self.finish(response)

    def finish(self, response: HttpResponse | None) -> None:
        """Calls back for the request in flight, once."""
        on_response = self.on_response
        self.on_response = None
        if on_response:
            on_response(response)
