"""An in-memory transport for tests of protocols."""

import itertools
from collections.abc import Iterable

import attrs
from twisted.internet.defer import Deferred, succeed
from twisted.internet.protocol import Protocol
from twisted.internet.testing import StringTransportWithDisconnection

from egretlanding.httpclient import HttpClient
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
        client = HttpClient(self.on_connection_closed)
        attach(client)
        self.clients.append(client)
        return succeed(client)
