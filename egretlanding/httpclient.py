"""The HTTP/1.1 client protocol for targets, based on the httptools parser."""

from collections.abc import Callable
from http import HTTPStatus
from typing import Any

import httptools
from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import Protocol, connectionDone
from twisted.python.failure import Failure

from egretlanding.answerbuffers import MAX_BODY_BYTES, AnswerBuffers
from egretlanding.answerstates import (
    AnswerState,
    OnInterim,
    check_interim,
    check_status,
)
from egretlanding.frames import Headers
from egretlanding.httpheaders import (
    announces_body,
    drop_hop_headers,
    has_explicit_length,
    has_safe_framing,
    header_values,
    keep_alive_timeout,
)
from egretlanding.httpmessages import BODILESS, HttpRequest, HttpResponse
from egretlanding.tcpwrites import (
    BodyWriter,
    enable_keepalive,
    is_writing_body,
    write_now,
)

# Bounds on what a target sends for one request: the bytes up to the end of the
# answer's head, and all bytes with their framing.
MAX_HEAD_BYTES = 65_536
# The framing may be as long as the body.
FRAMING_FACTOR = 2
MAX_ANSWER_BYTES = MAX_BODY_BYTES * FRAMING_FACTOR

# Failed requests after which a connection is not used again.
MAX_FAILED_REQUESTS = 256

# Called with the complete response, or with None if the connection was lost
# before that.
OnResponse = Callable[[HttpResponse | None], None]


def encode_request(
    request: HttpRequest,
    host: str,
    extra: Headers | None = None,
) -> bytes:
    """Encodes a request with its framing headers.

    Args:
        request: The request, without hop-by-hop headers.
        host: Value of the host header for a request without one.
        extra: Headers to add.
    """
    head = encode_request_head(request, host, extra)
    return b'%s%s' % (head, request.body)


def encode_request_head(
    request: HttpRequest,
    host: str,
    extra: Headers | None = None,
) -> bytes:
    """Encodes a request up to its body.

    Args:
        request: The request, without hop-by-hop headers.
        host: Value of the host header for a request without one.
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
    return b'%s\r\n\r\n' % head


class AnswerSizeError(ValueError):
    """A target sends more for one request than its answer may have."""


class HttpClient(Protocol):
    """Sends requests over a keep-alive connection, without pipelining.

    A response without a length is complete if the target closes the
    connection properly, and truncated if the connection is reset.

    Attributes:
        on_response: Called with the response to the request in flight.
        on_close: Called once when the connection was closed.
        usable: Whether another request may be sent.
        is_head: Whether the request in flight is a HEAD request.
        idle_since: Time of the end of the last request, seconds.
        keep_alive_s: Keep-alive timeout that the target announced, seconds.
        state: What is known of the answer so far, besides its parts.
        complete_response: The response once it is complete.
        echo: Header name and value of the request in flight, if responses
            that have this header must repeat the value.
        failed_echoes: Values of `echo` of requests that were answered with a
            failure. A faulty target may repeat such an answer at any time, so
            the same request must not be sent on this connection again.
        received_bytes: Bytes received since the request was sent.
        max_bytes: Bound on `received_bytes`, which rises once the head of the
            answer is complete.
        buffers: Bounds the bodies of answers, this one and all together.
    """

    def __init__(
        self,
        on_close: Callable[['HttpClient'], None],
        buffers: AnswerBuffers | None = None,
    ) -> None:
        """Prepares the parser.

        Args:
            on_close: Called once when the connection was closed.
            buffers: Bounds the bodies of answers; None for bounds of its own.
        """
        self.on_close = on_close
        self.buffers = buffers or AnswerBuffers()
        self.on_response: OnResponse | None = None
        self.usable = True
        self.is_head = False
        self.echo: tuple[str, str] | None = None
        self.idle_since: float = 0
        self.keep_alive_s: float = float('inf')
        self.failed_echoes: set[str] = set()
        self.reset()

    def reset(self) -> None:
        """Resets the parser for the next response."""
        self.parser = httptools.HttpResponseParser(self)
        self.headers: Headers = []
        self.body = bytearray()
        self.received_bytes = 0
        self.max_bytes = MAX_HEAD_BYTES
        self.state = AnswerState()
        self.complete_response: HttpResponse | None = None

    def connectionMade(self) -> None:
        """Turns off Nagle's algorithm, and turns TCP keep-alive on.

        Requests are written in one piece, so that the algorithm would only
        delay them.
        """
        transport: Any = self.transport
        transport.setTcpNoDelay(True)
        enable_keepalive(transport)

    def send(
        self,
        encoded: bytes,
        on_response: OnResponse,
        *,
        is_head: bool = False,
        echo: tuple[str, str] | None = None,
        on_interim: OnInterim | None = None,
        long_body: bytes = b'',
    ) -> None:
        """Sends an encoded request.

        Args:
            encoded: The request.
            on_response: Called with the response, or None if it was truncated.
            is_head: Whether it is a HEAD request, whose response has no body.
            echo: Header name and value; a response with this header and
                another value belongs to another request.
            on_interim: Called at the first interim answer.
            long_body: The body if it isn't part of `encoded`.
        """
        self.reset()
        self.echo = echo
        self.state.on_interim = on_interim
        self.on_response = on_response
        self.is_head = is_head
        write_now(self.transport, encoded)
        if long_body:
            BodyWriter.start(self.transport, long_body)

    def close(self) -> None:
        """Closes the connection at once."""
        self.usable = False
        self.state.closed_here = True
        # Only the target's own close can complete a response.
        self.state.ends_with_connection = False
        transport: Any = self.transport
        transport.abortConnection()

    def cut(self) -> None:
        """Gives up the answer that is arriving, and frees its memory."""
        self.max_bytes = 0
        self.body.clear()
        self.close()

    def dataReceived(self, data: bytes) -> None:
        """Parses received bytes; a malformed response closes the connection."""
        if self.on_response is None:
            # Unrequested bytes could be mistaken for the next response.
            self.close()
            return
        try:
            self.parse(data)
        except (
            AnswerSizeError,
            httptools.HttpParserError,
            httptools.HttpParserUpgrade,
        ):
            self.usable = False
            if self.complete_response is None:
                self.state.is_malformed = not exceeds_bounds(self)
                self.close()
        if self.complete_response is not None:
            self.finish(self.complete_response)

    def parse(self, data: bytes) -> None:
        """Parses received bytes, up to the bound on the head and the answer.

        The parser keeps a part of a header, and skips framing, without telling
        how much it has read, so the bytes are counted before it gets them.

        Raises:
            AnswerSizeError: The bound was reached before the end.
        """
        allowed = self.max_bytes - self.received_bytes
        self.received_bytes += len(data)
        if len(data) <= allowed:
            self.parser.feed_data(data)
            return
        self.parser.feed_data(data[:allowed])
        # The end of the head raises the bound.
        if self.received_bytes > self.max_bytes:
            raise AnswerSizeError('the answer exceeds the size limit')
        self.parser.feed_data(data[allowed:])

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Ends the request in flight, as truncated unless it is complete."""
        self.usable = False
        closed_properly = bool(reason.check(ConnectionDone))
        if self.state.ends_with_connection and closed_properly:
            self.on_message_complete()
        if self.state.awaits_last and closed_properly:
            # The interim answer before the close was the last one.
            self.state.is_malformed = True
        self.finish(self.complete_response)
        self.on_close(self)

    def on_message_begin(self) -> None:
        """Marks the connection unusable if another response follows."""
        self.state.awaits_last = False
        self.usable = self.usable and self.complete_response is None

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collects one header."""
        self.headers.append(
            (name.decode('latin-1').lower(), value.decode('latin-1')),
        )

    def on_headers_complete(self) -> None:
        """Checks the head; a response without a body is complete here.

        Raises:
            ValueError: The status is invalid, or it isn't certain where the
                response ends.
        """
        if self.complete_response is not None:
            return
        status = self.parser.get_status_code()
        check_status(status)
        if status < HTTPStatus.OK:
            check_interim(self.headers)
            return
        self.max_bytes = self.buffers.max_body_bytes * FRAMING_FACTOR
        if is_of_other_request(self.headers, self.echo):
            check_end(status, self.headers)
        elif self.is_head or status in BODILESS:
            # A late copy of a head that announces a body would hide the
            # beginning of the next response.
            self.usable = self.usable and not announces_body(self.headers)
            self.store_response(drop_hop_headers(self.headers))
        elif not has_explicit_length(self.headers):
            check_framing(self.headers)
            self.state.ends_with_connection = True

    def on_body(self, body: bytes) -> None:
        """Collects a piece of the body, up to the size limits."""
        self.body += body
        self.buffers.update(self)
        # An answer that was cut here has no bound left.
        too_long = len(self.body) > self.buffers.max_body_bytes
        if too_long or not self.max_bytes:
            raise AnswerSizeError('the body exceeds the size limit')

    def on_message_complete(self) -> None:
        """Stores the response, unless it is interim or of another request."""
        if self.complete_response is not None:
            return
        if self.parser.get_status_code() < HTTPStatus.OK:
            self.headers = []
            self.state.end_interim()
            return
        if is_of_other_request(self.headers, self.echo):
            # A late response to an earlier request; the expected one follows.
            self.headers = []
            self.body.clear()
            self.usable = False
            return
        headers = drop_hop_headers(self.headers)
        self.store_response(
            [pair for pair in headers if pair[0] != 'content-length']
        )

    def store_response(self, headers: Headers) -> None:
        """Stores the complete response and reads the keep-alive headers."""
        keep_alive_values = header_values(self.headers, 'keep-alive')
        self.keep_alive_s = keep_alive_timeout(
            keep_alive_values, self.keep_alive_s
        )
        self.usable = self.usable and self.parser.should_keep_alive()
        status = self.parser.get_status_code()
        if self.echo and status >= HTTPStatus.MULTIPLE_CHOICES:
            self.failed_echoes.add(self.echo[1])
            has_room = len(self.failed_echoes) < MAX_FAILED_REQUESTS
            self.usable = self.usable and has_room
        self.complete_response = HttpResponse(status, headers, bytes(self.body))
        # An idle connection must not hold the last body.
        self.body = bytearray()

    def finish(self, response: HttpResponse | None) -> None:
        """Reports the end of the request in flight, once."""
        if is_writing_body(self.transport):
            # The next request would follow in the middle of this one's body.
            self.usable = False
        on_response = self.on_response
        self.on_response = None
        self.buffers.remove(self)
        if on_response:
            on_response(response)


def is_of_other_request(headers: Headers, echo: tuple[str, str] | None) -> bool:
    """Returns whether a response belongs to another request.

    Args:
        headers: The headers of the response.
        echo: Header name and value that it must repeat if it has that header.
    """
    if echo is None:
        return False
    name, expected = echo
    return any(key == name and value != expected for key, value in headers)


def check_framing(headers: Headers) -> None:
    """Checks that all parsers agree on where a response ends.

    Raises:
        ValueError: They may not.
    """
    if not has_safe_framing(headers):
        raise ValueError('the end of the response is ambiguous')


def check_end(status: int, headers: Headers) -> None:
    """Checks that a late response ends where its head says.

    Args:
        status: Its status.
        headers: Its headers.

    Raises:
        ValueError: It may end elsewhere, and hide the expected response.
    """
    is_certain = (
        not announces_body(headers)
        if status in BODILESS
        else has_explicit_length(headers)
    )
    if not is_certain:
        raise ValueError('the end of a late response is uncertain')


def exceeds_bounds(client: HttpClient) -> bool:
    """Returns whether the last answer was longer than it may be, or cut."""
    too_many = client.received_bytes > client.max_bytes
    return too_many or len(client.body) > client.buffers.max_body_bytes
