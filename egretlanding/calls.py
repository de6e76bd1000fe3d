"""The call path of one daemon behind one interface."""

from typing import Any

import attrs
from twisted.internet.defer import Deferred, succeed

from egretlanding.config import DaemonConfig
from egretlanding.frames import Hello
from egretlanding.httpserver import HttpServerFactory
from egretlanding.ingress import Ingress, View
from egretlanding.peers import PeerFactory, PeerNode
from egretlanding.target import TargetPool


@attrs.define(eq=False)
class CallService:
    """Takes calls and sends them to targets."""

    reactor: Any
    config: DaemonConfig
    ingress: Ingress

    @classmethod
    def from_config(
        cls,
        reactor: Any,
        config: DaemonConfig,
        incarnation: int,
    ) -> 'CallService':
        """Builds the call path without opening a socket."""
        node = PeerNode(
            hello=Hello(config.host_id, incarnation),
            on_call=lambda connection, call: ingress.run_local(
                connection,
                call,
            ),
            on_cancel=lambda _connection, _call_id: None,
            on_leaving=lambda _connection: None,
            on_close=lambda _connection: None,
        )
        pool = TargetPool(reactor, config.target_address, config.target_port)
        ingress = Ingress(reactor, config.host_id, node, pool)
        return cls(reactor, config, ingress)

    def listen(self) -> None:
        """Opens the ports for callers and other daemons."""
        for port, factory in (
            (self.config.call_port, HttpServerFactory(self.ingress.handle)),
            (self.config.peer_port, PeerFactory(self.ingress.node)),
        ):
            self.reactor.listenTCP(
                port,
                factory,
                interface=self.config.address,
            )

    def apply(self, view: View | None) -> None:
        """Swaps the configuration that new calls are served with."""
        self.ingress.view = view

    def drain(self) -> Deferred[None]:
        """Ends the call path."""
        return succeed(None)

    def dump(self) -> dict[str, Any]:
        """Returns the state of the call path."""
        return {}

    def explain(self, method: str, path: str) -> dict[str, Any]:
        """Says why a call would go where."""
        return {'method': method, 'path': path}
