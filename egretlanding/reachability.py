"""Which hosts take calls, by what their daemons say of themselves."""

from typing import Any

import attrs

from egretlanding.peers import PeerConnection, PeerNode
from egretlanding.serviceroutes import ServiceRoutes

# Time for which a host without a connection is believed not ready, seconds.
UNREADY_S = 10


@attrs.define(eq=False)
class Reachability:
    """Keeps the routes in line with the readiness of hosts.

    Attributes:
        reactor: The reactor that gives the time.
        node: The connections to other daemons.
        routes: What is known of the services.
    """

    reactor: Any
    node: PeerNode
    routes: ServiceRoutes

    def announce(self, ready: bool) -> None:
        """Tells all daemons, this one too, whether it takes calls."""
        self.node.announce(ready)
        own = self.node.hello.host_id
        if ready:
            self.routes.mark_ready(own)
        else:
            self.routes.mark_unready([own], float('inf'))

    def take_readiness(self, connection: PeerConnection, ready: bool) -> None:
        """Learns whether another daemon takes calls."""
        if connection.peer is None:
            return
        host_id = connection.peer.host_id
        if ready:
            self.routes.mark_ready(host_id)
        else:
            until = self.reactor.seconds() + UNREADY_S
            self.routes.mark_unready([host_id], until)

    def take_unreachable(self, host_id: str) -> None:
        """Learns that another daemon can't be connected to."""
        self.routes.record_unreachable(host_id, self.reactor.seconds())

    def take_leaving(self, host_id: str, ttl_s: float) -> None:
        """Sends no new calls to a host that is said to be leaving."""
        if host_id != self.node.hello.host_id:
            until = self.reactor.seconds() + ttl_s
            self.routes.mark_unready([host_id], until)

    def refresh(self) -> None:
        """Goes on believing what connected daemons said of themselves."""
        for connection in self.node.connections:
            if not connection.ready:
                self.take_readiness(connection, ready=False)
        self.routes.expire(self.reactor.seconds())
