"""Bounds the bytes of a caller's request, also those not reported by a parser.

The parser collects a header until its line ends, and skips the extensions of
chunks, without telling how much it has read.
"""

from http import HTTPStatus

import attrs

from egretlanding.httpmessages import HttpLimits

# What a line may hold beside a target or the name and value of a header, such
# as the method and the version, bytes.
LINE_FRAMING_BYTES = 32
# Bytes received for each byte within a limit: a header of a single byte takes
# five, and a chunk of a single byte six.
MAX_FRAMING_RATIO = 8


class HeaderSizeError(ValueError):
    """The headers of a request exceed their limit."""

    status = HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE


class BodySizeError(ValueError):
    """The body of a request exceeds its limit."""

    status = HTTPStatus.REQUEST_ENTITY_TOO_LARGE


@attrs.define(eq=False)
class RequestSize:
    """The bytes of the request that is being received.

    Attributes:
        header_bytes: Size of the target and the headers reported so far.
        body_bytes: Size of the body so far.
        received_bytes: Bytes received since the last request was complete.
        line_bytes: Size of the line that has not ended yet, except for the
            part of it that was reported.
        reported_bytes: Bytes of the target that were reported in this read.
        is_body: Whether a part of the body was reported in this read.
        declared_bytes: Size of the body that the headers declare, 0 if none.
    """

    header_bytes: int = 0
    body_bytes: int = 0
    received_bytes: int = 0
    line_bytes: int = 0
    reported_bytes: int = 0
    is_body: bool = False
    declared_bytes: int = 0

    def reset(self) -> None:
        """Prepares for the next request."""
        self.header_bytes = 0
        self.body_bytes = 0
        self.received_bytes = 0
        self.declared_bytes = 0

    def begin_read(self, data: bytes) -> None:
        """Counts received bytes before they are parsed."""
        self.received_bytes += len(data)
        self.reported_bytes = 0
        self.is_body = False

    def add_target(self, size: int, limits: HttpLimits) -> None:
        """Counts a part of the request's target.

        Raises:
            HeaderSizeError: The headers exceed their limit.
        """
        self.reported_bytes += size
        self.add_header(size, limits)

    def add_header(self, size: int, limits: HttpLimits) -> None:
        """Counts a header.

        Raises:
            HeaderSizeError: The headers exceed their limit.
        """
        self.header_bytes += size
        if self.header_bytes > limits.header_bytes:
            raise HeaderSizeError('the headers exceed the size limit')

    def add_body(self, size: int, limits: HttpLimits) -> None:
        """Counts a part of the body.

        Raises:
            BodySizeError: The body exceeds its limit.
        """
        self.is_body = True
        if not self.body_bytes and self.declared_bytes > limits.body_bytes:
            raise BodySizeError('the declared length exceeds the size limit')
        self.body_bytes += size
        if self.body_bytes > limits.body_bytes:
            raise BodySizeError('the body exceeds the size limit')

    def end_read(self, data: bytes, limits: HttpLimits) -> None:
        """Checks the bytes that the parser took in without reporting them.

        Raises:
            HeaderSizeError: A line has not ended within the limit.
            BodySizeError: The framing of the body takes too many bytes.
        """
        self.line_bytes = self.unfinished_bytes(data)
        line_limit = limits.header_bytes + LINE_FRAMING_BYTES
        if self.header_bytes + self.line_bytes > line_limit:
            raise HeaderSizeError('a line exceeds the size limit')
        counted_limit = line_limit + limits.body_bytes
        if self.received_bytes > counted_limit * MAX_FRAMING_RATIO:
            raise BodySizeError('the framing exceeds the size limit')

    def unfinished_bytes(self, data: bytes) -> int:
        """Returns the size of the line without an end after a read."""
        if self.is_body:
            return 0
        line_start = data.rfind(b'\n') + 1
        earlier_bytes = 0 if line_start else self.line_bytes
        size = earlier_bytes + len(data) - line_start
        return max(0, size - self.reported_bytes)
