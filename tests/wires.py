"""A transport without a network, for tests of protocols."""

import itertools
from collections.abc import Iterable

from twisted.internet.protocol import Protocol
from twisted.internet.testing import StringTransportWithDisconnection


class Wire(StringTransportWithDisconnection):
    """Keeps what a protocol writes and knows the options of TCP."""

    def setTcpNoDelay(self, enabled: bool) -> None:
        """Does nothing."""

    def setTcpKeepAlive(self, enabled: bool) -> None:
        """Does nothing."""

    def abortConnection(self) -> None:
        """Cuts the connection."""
        self.loseConnection()


def attach(protocol: Protocol) -> Wire:
    """Connects a protocol to a new wire."""
    wire = Wire()
    wire.protocol = protocol
    protocol.makeConnection(wire)
    return wire


def feed(protocol: Protocol, encoded: bytes, cuts: Iterable[int]) -> None:
    """Feeds bytes to a protocol, split at some places."""
    bounds = sorted({0, len(encoded), *(cut % len(encoded) for cut in cuts)})
    for begin, end in itertools.pairwise(bounds):
        protocol.dataReceived(encoded[begin:end])
