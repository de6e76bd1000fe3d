"""In-memory transports and connections for tests."""

import itertools
from collections.abc import Iterable
from typing import Any

import attrs
from twisted.internet.defer import Deferred, succeed
from twisted.internet.protocol import Protocol
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransportWithDisconnection

from egretlanding.admission import Admission
from egretlanding.dialect import Dialect
from egretlanding.egress import Egress
from egretlanding.frames import Hello, RecordsRequest, RecordsUpdate
from egretlanding.httpclient import HttpClient
from egretlanding.idempotency import KeyTable
from egretlanding.objects import Service
from egretlanding.quarantine import Quarantine
from egretlanding.recordrelay import RecordRelay
from egretlanding.targetcalls import TargetCalls
from egretlanding.targethealth import ConnectHealth
from egretlanding.targetpool import TargetPool


class Wire(StringTransportWithDisconnection):
    """Records what a protocol writes, and accepts TCP options."""

    def setTcpNoDelay(self, enabled: bool) -> None:
        """Does nothing."""

    def setTcpKeepAlive(self, enabled: bool) -> None:
        """Does nothing."""

    def loseWriteConnection(self) -> None:
        """Closes the connection, as the other side does at its end."""
        self.loseConnection()

    def abortConnection(self) -> None:
        """Closes the connection at once."""
        self.loseConnection()


def attach(protocol: Protocol) -> Wire:
    """Connects a protocol to a new in-memory transport."""
    wire = Wire()
    wire.protocol = protocol
    protocol.makeConnection(wire)
    return wire


def feed(protocol: Protocol, encoded: bytes, cuts: Iterable[int]) -> None:
    """Feeds bytes to a protocol, split at the given offsets."""
    bounds = sorted({0, len(encoded), *(cut % len(encoded) for cut in cuts)})
    for begin, end in itertools.pairwise(bounds):
        protocol.dataReceived(encoded[begin:end])


@attrs.define(eq=False)
class WirePool(TargetPool):
    """A pool whose connections are in memory.

    Attributes:
        clients: The connections that were opened.
    """

    clients: list[HttpClient] = attrs.field(factory=list)

    def connect(self) -> Deferred[HttpClient]:
        """Opens a connection."""
        self.open_count += 1
        client = HttpClient(self.on_connection_closed, self.buffers)
        attach(client)
        self.clients.append(client)
        return succeed(client)


def connect_egress(dialect: Dialect) -> tuple[Egress, WirePool, Clock]:
    """Returns an egress, its connections to a target and their clock."""
    clock = Clock()
    pool = WirePool(clock, '127.0.0.1', 1, limit=4)
    health = ConnectHealth(clock, pool)
    health.start()
    quarantine = Quarantine()
    egress = Egress(
        clock,
        TargetCalls('h:1', pool, health, quarantine, dialect=dialect),
        health,
        Admission.from_service(Service(regions=())),
        KeyTable.for_daemon('orders', 'h', 1),
        quarantine,
        dialect=dialect,
    )
    return egress, pool, clock


@attrs.define(eq=False)
class RecordingConnection:
    """A connection to another daemon that records the frames sent on it.

    Attributes:
        peer: The hello of the other daemon.
        sent: The frames.
        bytes_received: Bytes that have arrived on it.
        connected: Whether frames can be sent.
    """

    peer: Hello
    sent: list[Any] = attrs.field(factory=list)
    bytes_received: int = 0
    connected: bool = True

    def is_open(self) -> bool:
        """Returns whether frames can be sent."""
        return self.connected

    def send(self, frame: Any) -> None:
        """Records a frame."""
        self.sent.append(frame)


def reply_of(relay: RecordRelay, request: RecordsRequest) -> RecordsUpdate:
    """Returns the reply of a daemon to a request for records."""
    connection: Any = RecordingConnection(Hello('any', 1))
    relay.handle_frame(connection, request)
    return connection.sent[-1]
