"""Complete HTTP requests and responses.

The classes are msgspec structs for speed, since each call creates several.
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
    """Limits on the requests of callers.

    Attributes:
        header_bytes: Maximum size of the headers of a request, bytes.
        body_bytes: Maximum size of the body of a request, bytes.
        header_s: Maximum time from the first byte of a request to the end
            of its headers, seconds.
        idle_s: Time after which a connection without a request is closed,
            seconds.
    """

    header_bytes: int = 65_536
    body_bytes: int = 1_048_576
    header_s: float = 30
    idle_s: float = 600


class HttpRequest(msgspec.Struct):
    """A complete HTTP request.

    Attributes:
        method: The method in capitals.
        path: The request target, with the query string.
        headers: Names in lower case and values, in order, without
            hop-by-hop headers.
        body: The complete body.
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
    """A complete HTTP response.

    Attributes:
        status: The status code.
        headers: Names and values, without framing headers, except that a
            response to HEAD keeps its length.
        body: The complete body.
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
        """Returns whether to add a content-length header.

        Some statuses have no body, and a response to HEAD already carries
        the length of the omitted body.
        """
        if self.status in BODILESS:
            return False
        return all(name != LENGTH for name, _ in self.headers)
