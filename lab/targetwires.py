"""Connections to simulated targets, in memory."""

from typing import Any

import attrs
from twisted.internet.defer import Deferred, succeed
from twisted.internet.testing import StringTransportWithDisconnection

from egretlanding.httpclient import HttpClient
from egretlanding.targetpool import TargetPool


class TargetWire(StringTransportWithDisconnection):
    """A connection to a simulated target."""

    target: Any = None

    def setTcpNoDelay(self, enabled: bool) -> None:
        """Does nothing."""

    def abortConnection(self) -> None:
        """Closes the connection at once."""
        self.loseConnection()

    def write(self, data: bytes) -> None:
        """Hands a request to the target."""
        self.target.receive(self.protocol)


@attrs.define(eq=False)
class SimulatedPool(TargetPool):
    """Opens connections to a simulated target."""

    target: Any = None

    def connect(self) -> Deferred[HttpClient]:
        """Opens a connection."""
        self.open_count += 1
        client = HttpClient(self.on_connection_closed, self.buffers)
        wire: Any = TargetWire()
        wire.target = self.target
        wire.protocol = client
        client.makeConnection(wire)
        return succeed(client)
