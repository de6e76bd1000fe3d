"""What a connection of a caller transfers, and its share of the byte budget."""

import math
from collections.abc import Callable
from http import HTTPStatus
from typing import TYPE_CHECKING, Any

import attrs
from twisted.internet.interfaces import IPullProducer
from zope.interface import implementer

from egretlanding.callerlimits import CallerLimits, Limited
from egretlanding.httpmessages import HttpResponse
from egretlanding.progress import (
    ANSWER_PERIOD_S,
    BODY_PERIOD_S,
    STALL_S,
    TransferProgress,
)
from egretlanding.tcpwrites import unread_bytes, unsent_bytes

if TYPE_CHECKING:
    from egretlanding.httpserver import HttpServer

# Unsent bytes of a connection from which its further requests wait.
MAX_UNSENT_BYTES = 65_536
# Memory that a connection, a request and a header take beside their bytes,
# rounded up, bytes.
CONNECTION_BYTES = 8_192
REQUEST_BYTES = 1_024
HEADER_BYTES = 192

NO_MEMORY_RESPONSE = HttpResponse(
    HTTPStatus.SERVICE_UNAVAILABLE,
    [
        ('content-type', 'text/plain'),
        ('retry-after', '1'),
        ('x-egretlanding-ran', 'no'),
        ('x-egretlanding-reason', 'memory'),
    ],
    b'the request did not run; too much arrives at once, try again later\n',
)

# Ranks in the order in which shares are cut. A request that runs is not cut.
STALLED_RANK = 0
ARRIVING_RANK = 1
READING_RANK = 2


@attrs.define
class Lingering:
    """A connection that reads on after its last response.

    Attributes:
        since: When that response was all sent, seconds; infinite before.
        dropped_bytes: Bytes read and dropped after it.
    """

    since: float = math.inf
    dropped_bytes: int = 0


@implementer(IPullProducer)
@attrs.define(eq=False)
class CallerTransfers:
    """The progress of one connection, and its share of the byte budget.

    Attributes:
        protocol: The connection.
        limits: What all connections share.
        held_bytes: Share of the byte budget.
        complete_bytes: Memory of the requests that have arrived completely.
        served: Number of requests that have arrived completely.
        arrival: Progress of the request that is arriving.
        reading: Progress of the caller that reads; None if all is sent.
        written_bytes: Number of bytes written.
        is_blocked: Whether nothing more is sent until the caller has read.
        lingering: What came after the last response.
        is_aborted: Whether the connection was closed to protect the process.
    """

    protocol: 'HttpServer'
    limits: CallerLimits
    held_bytes: int = 0
    complete_bytes: int = 0
    served: int = 0
    arrival: TransferProgress = attrs.field(
        factory=lambda: TransferProgress(BODY_PERIOD_S)
    )
    reading: TransferProgress | None = None
    written_bytes: int = 0
    is_blocked: bool = False
    lingering: Lingering = attrs.field(factory=Lingering)
    is_aborted: bool = False

    def open(self) -> None:
        """Begins to count the connection."""
        self.limits.budget.holders.add(self)
        self.account()

    def close(self) -> None:
        """Gives back the share, since the connection has ended."""
        self.limits.budget.remove(self)

    def arriving_bytes(self) -> int:
        """Returns the memory that the request takes that is arriving."""
        size = self.protocol.size
        fields_bytes = len(self.protocol.headers) * HEADER_BYTES
        return size.header_bytes + size.body_bytes + fields_bytes

    def account(self) -> None:
        """Updates the share; one that grows may be cut at once."""
        size = CONNECTION_BYTES + self.complete_bytes
        size += sum(
            len(exchange.response.body)
            for exchange in self.protocol.pending
            if exchange.response
        )
        if self.protocol.reading_request:
            size += self.arriving_bytes()
        if self.reading:
            size += unsent_bytes(self.protocol.transport)
        if size != self.held_bytes:
            self.limits.budget.resize(self, size)

    def update_arrival(self, clock: Callable[[], float]) -> None:
        """Records after a read what has arrived."""
        if self.protocol.reading_request:
            self.arrival.moved_at = clock()
        self.account()

    def is_stalled(self, now: float) -> bool:
        """Returns whether the caller reads nothing of what is sent."""
        reading = self.reading
        return reading is not None and now - reading.moved_at >= STALL_S

    def cut_rank(self, now: float) -> int | None:
        """Returns how early the share is cut, None for not at all.

        Stalled transfers go first, then requests that have not run, then
        answers that are being read.
        """
        protocol = self.protocol
        if self.reading:
            return STALLED_RANK if self.is_stalled(now) else READING_RANK
        is_arriving = protocol.reading_request or protocol.waiting
        if protocol.input_closed or not is_arriving:
            return None
        is_stalled = now - self.arrival.moved_at >= STALL_S
        return STALLED_RANK if is_stalled else ARRIVING_RANK

    def cut(self) -> None:
        """Rejects what has not run, or ends a connection that isn't read."""
        self.limits.count(Limited.MEMORY)
        if self.reading:
            self.abort()
            return
        protocol = self.protocol
        protocol.waiting.clear()
        self.complete_bytes = sum(
            exchange.held_bytes for exchange in protocol.pending
        )
        protocol.refuse(NO_MEMORY_RESPONSE)
        self.account()

    def abort(self) -> None:
        """Closes the connection at once, and gives back its share."""
        self.is_aborted = True
        self.protocol.input_closed = True
        self.protocol.server.connections.discard(self.protocol)
        self.close()
        transport: Any = self.protocol.transport
        transport.abortConnection()

    def check_arrival(self, now: float) -> None:
        """Refuses the request that is arriving if it does so too slowly."""
        protocol, body_bytes = self.protocol, self.protocol.size.body_bytes
        if protocol.is_paused():
            # The bytes wait here, so the caller isn't slow.
            self.arrival.restart(now, body_bytes)
        elif protocol.reading_headers:
            if now - self.arrival.began_at > protocol.limits.header_s:
                self.limits.count(Limited.SLOW_HEAD)
                protocol.reject(HTTPStatus.REQUEST_TIMEOUT)
        elif self.arrival.is_too_slow(now, body_bytes):
            self.limits.count(Limited.SLOW_BODY)
            protocol.reject(HTTPStatus.REQUEST_TIMEOUT)

    def check_reading(self, now: float) -> None:
        """Closes the connection if its caller reads too slowly or not."""
        if self.reading is None:
            return
        unread = unread_bytes(self.protocol.transport)
        if not unread:
            self.reading = None
        elif self.reading.is_too_slow(now, self.written_bytes - unread):
            self.limits.count(Limited.UNREAD_ANSWER)
            self.abort()
            return
        self.account()

    def block(self) -> None:
        """Watches what the kernel didn't accept, and waits for it if long.

        Further responses and requests wait while much is unsent.
        """
        transport: Any = self.protocol.transport
        unsent = unsent_bytes(transport)
        if not unsent:
            return
        if self.reading is None:
            self.reading = TransferProgress(ANSWER_PERIOD_S)
            read = self.written_bytes - unread_bytes(transport)
            self.reading.restart(self.protocol.server.clock(), read)
        if unsent > MAX_UNSENT_BYTES and not self.is_blocked:
            self.is_blocked = True
            transport.registerProducer(self, False)

    def unblock(self) -> None:
        """Allows further responses."""
        if self.is_blocked:
            self.is_blocked = False
            transport: Any = self.protocol.transport
            transport.unregisterProducer()

    def resumeProducing(self) -> None:
        """Goes on once nothing is left to send."""
        if not unsent_bytes(self.protocol.transport):
            self.unblock()
            self.protocol.flush()

    def stopProducing(self) -> None:
        """Does nothing, since the connection has ended."""
