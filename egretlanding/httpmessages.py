"""Whole HTTP requests and responses.

The classes are msgspec structs, since each call makes several of them.
"""

from http import HTTPStatus

import attrs
import msgspec

from egretlanding.frames import Headers
from egretlanding.httpheaders import LENGTH

REASONS = {status.value: status.phrase.encode() for status in HTTPStatus}
BODILESS = frozenset((HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED))


@attrs.frozen
class HttpLimits:
    """What callers may send, and how long they may take.

    Attributes:
        header_bytes: Most bytes of the headers of a request.
        body_bytes: Most bytes of the body of a request.
        header_s: Longest time from the first byte of a request to the end
            of its headers, seconds.
        idle_s: Longest time that a connection is kept without a request,
            seconds.
    """

    header_bytes: int = 65_536
    body_bytes: int = 1_048_576
    header_s: float = 30
    idle_s: float = 600


class HttpRequest(msgspec.Struct):
    """A whole HTTP request.

    Attributes:
        method: The method in capitals.
        path: The request target, with the query string.
        headers: Names in lower case and values, in order, without those
            for one connection only.
        body: The whole body.
        keep_alive: Whether the connection stays open afterwards.
    """

    method: str
    path: str
    headers: Headers
    body: bytes
    keep_alive: bool = True

    def header(self, name: str, default: str = '') -> str:
        """Returns the first value of a header, named in lower case."""
        return next(
            (value for key, value in self.headers if key == name),
            default,
        )


class HttpResponse(msgspec.Struct):
    """A whole HTTP response.

    Attributes:
        status: The status code.
        headers: Names and values, without the framing headers; the response
            to HEAD keeps its length.
        body: The whole body.
    """

    status: int
    headers: Headers
    body: bytes

    def to_bytes(self, *, keep_alive: bool = True) -> bytes:
        """Encodes the response with its framing headers."""
        reason = REASONS.get(self.status, b'Status')
        lines = [b'HTTP/1.1 %d %s' % (self.status, reason)]
        lines.extend(
            f'{name}: {value}'.encode('latin-1') for name, value in self.headers
        )
        if self.needs_length():
            lines.append(b'content-length: %d' % len(self.body))
        if not keep_alive:
            lines.append(b'connection: close')
        return b'%s\r\n\r\n%s' % (b'\r\n'.join(lines), self.body)

    def needs_length(self) -> bool:
        """Tells whether the length of the body is to be added.

        Some statuses have no body, and the response to HEAD carries the
        length of the body that it leaves out.
        """
        if self.status in BODILESS:
            return False
        return all(name != LENGTH for name, _ in self.headers)
