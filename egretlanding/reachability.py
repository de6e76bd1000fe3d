"""Tracks which hosts accept calls, from what their daemons report."""

from collections.abc import Callable
from typing import Any

import attrs

from egretlanding.peers import PeerConnection, PeerContext
from egretlanding.servicestates import ServiceStates

# Time for which a host stays unready after its connection was lost, seconds.
UNREADY_TTL_S = 10


@attrs.define(eq=False)
class Reachability:
    """Updates the ingress when hosts start or stop accepting calls.

    Attributes:
        reactor: The reactor that gives the time.
        context: The connections to other daemons.
        service_states: State of the services that the ingress calls.
        on_reachable: Called with the id of a host whose daemon says that it
            accepts calls.
    """

    reactor: Any
    context: PeerContext
    service_states: ServiceStates
    on_reachable: Callable[[str], None] = lambda _host_id: None

    def announce(self, ready: bool) -> None:
        """Announces to all daemons, this one too, whether it accepts calls."""
        self.context.announce(ready)
        own_host_id = self.context.hello.host_id
        if ready:
            self.service_states.mark_ready(own_host_id)
        else:
            self.service_states.mark_unready([own_host_id], float('inf'))

    def handle_readiness(self, connection: PeerConnection, ready: bool) -> None:
        """Records whether another daemon accepts calls."""
        if connection.peer is None:
            return
        host_id = connection.peer.host_id
        if ready:
            # Attempts to connect that failed before don't count any more.
            self.service_states.mark_ready(host_id)
            self.service_states.record_reachable(host_id)
            self.on_reachable(host_id)
        else:
            until = self.reactor.seconds() + UNREADY_TTL_S
            self.service_states.mark_unready([host_id], until)

    def handle_unreachable(self, host_id: str) -> None:
        """Records that another daemon is unreachable."""
        self.service_states.record_unreachable(host_id, self.reactor.seconds())

    def handle_leaving(self, host_id: str, ttl_s: float) -> None:
        """Sends no new calls to a host that a notice reports as leaving."""
        if host_id != self.context.hello.host_id:
            until = self.reactor.seconds() + ttl_s
            self.service_states.mark_unready([host_id], until)

    def refresh(self) -> None:
        """Renews the marks of connected hosts that are unready.

        The marks of hosts without a connection expire.
        """
        for connection in self.context.connections:
            if not connection.ready:
                self.handle_readiness(connection, ready=False)
        self.service_states.expire_unready(self.reactor.seconds())
