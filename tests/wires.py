"""An in-memory transport for tests of protocols."""

import itertools
from collections.abc import Iterable

from twisted.internet.protocol import Protocol
from twisted.internet.testing import StringTransportWithDisconnection


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
