"""A TCP proxy that injects network faults and is controlled over HTTP.

A link forwards one listening port to one port of a process. Its rules define
the faults, for all clients or only for clients with certain source addresses.
Tests use the latter to cut off the daemons of one region from those of another.
"""

from collections import deque
from typing import Any

import attrs
import defopt
import msgspec
from klein import Klein
from twisted.internet import reactor as default_reactor
from twisted.internet.endpoints import TCP4ServerEndpoint
from twisted.internet.protocol import ClientFactory, Factory, Protocol
from twisted.web.server import Site

from standins.faults import (
    LOOPBACK,
    NO_FAULTS,
    DirectionFaults,
    LinkRequest,
    LinkRule,
    apply_faults,
)

POLL_INTERVAL_S = 0.01
MS_PER_S = 1_000


@attrs.define(eq=False)
class Link:
    """A listening port, the port it forwards to, and its rules.

    Attributes:
        name: The link's name.
        target_port: The port that connections are forwarded to.
        target_address: The address that connections are forwarded to.
        rules: The rules; the first one that matches a client applies.
        bytes_to_server: Number of bytes forwarded to the process.
        bytes_to_client: Number of bytes forwarded to clients.
        connections: The open connections of clients.
    """

    name: str
    target_port: int
    target_address: str = LOOPBACK
    rules: tuple[LinkRule, ...] = ()
    bytes_to_server: int = 0
    bytes_to_client: int = 0
    connections: set['ClientConnection'] = attrs.field(factory=set)

    def rule_for(self, source: str) -> LinkRule:
        """Returns the rule that applies to a client address."""
        matching = (
            rule for rule in self.rules if source.startswith(rule.sources)
        )
        return next(matching, NO_FAULTS)

    def change_rules(self, rules: tuple[LinkRule, ...]) -> None:
        """Applies new rules and resets the connections that they cut."""
        self.rules = rules
        for client in tuple(self.connections):
            if self.rule_for(client.source).cut:
                client.abort()


class Pipe:
    """Forwards the bytes of one direction of one connection."""

    def __init__(
        self,
        reactor: Any,
        client: 'ClientConnection',
        direction: str,
    ) -> None:
        """Creates a pipe with an empty queue and no destination.

        Args:
            reactor: The reactor that schedules delayed bytes.
            client: The connection with the client.
            direction: The name of the field of `LinkRule` for the direction.
        """
        self.reactor = reactor
        self.client = client
        self.direction = direction
        self.queue: deque[tuple[float, bytes]] = deque()
        self.forwarded_bytes = 0
        self.next_write_at: float = 0
        self.resume_scheduled = False
        self.destination: Any = None
        self.source_closed = False

    @property
    def faults(self) -> DirectionFaults:
        """Returns the faults that apply now."""
        rule = self.client.link.rule_for(self.client.source)
        faults: DirectionFaults = getattr(rule, self.direction)
        return faults

    def enqueue(self, chunk: bytes) -> None:
        """Queues bytes that were received."""
        due = self.reactor.seconds() + self.faults.delay_ms / MS_PER_S
        self.queue.append((due, chunk))
        self.forward_due()

    def close_when_empty(self) -> None:
        """Closes the destination once all queued bytes are forwarded."""
        self.source_closed = True
        self.forward_due()

    def forward_due(self) -> None:
        """Forwards the bytes that are due and schedules the rest."""
        while self.queue and self.may_forward():
            self.forward(self.queue.popleft()[1])
        if self.queue and not self.resume_scheduled:
            self.resume_scheduled = True
            self.reactor.callLater(POLL_INTERVAL_S, self.resume)
        elif self.source_closed and not self.queue and self.destination:
            self.destination.loseConnection()

    def resume(self) -> None:
        """Forwards queued bytes after the poll interval."""
        self.resume_scheduled = False
        if not self.client.aborted:
            self.forward_due()

    def may_forward(self) -> bool:
        """Returns whether the next bytes may be forwarded now."""
        now = self.reactor.seconds()
        blocked = self.destination is None or self.faults.blackhole
        return not blocked and now >= max(self.queue[0][0], self.next_write_at)

    def forward(self, chunk: bytes) -> None:
        """Applies the faults to bytes and writes them to the destination."""
        faults = self.faults
        written = apply_faults(faults, chunk, self.forwarded_bytes)
        self.forwarded_bytes += len(chunk)
        self.client.count_bytes(self.direction, len(written))
        self.destination.write(written)
        if faults.bytes_per_s:
            started_at = max(self.next_write_at, self.reactor.seconds())
            self.next_write_at = started_at + len(chunk) / faults.bytes_per_s
        if (
            faults.close_after is not None
            and self.forwarded_bytes >= faults.close_after
        ):
            self.client.close()


class ClientConnection(Protocol):
    """The connection between a client and the proxy."""

    def __init__(self, reactor: Any, link: Link) -> None:
        """Creates the pipes of both directions.

        Args:
            reactor: The reactor to connect with.
            link: The link that the client connected to.
        """
        self.reactor = reactor
        self.link = link
        self.source = ''
        self.aborted = False
        self.to_server = Pipe(reactor, self, 'to_server')
        self.to_client = Pipe(reactor, self, 'to_client')

    def connectionMade(self) -> None:
        """Connects to the process unless a rule cuts this client."""
        transport: Any = self.transport
        transport.setTcpNoDelay(True)
        self.source = transport.getPeer().host
        self.link.connections.add(self)
        if self.link.rule_for(self.source).cut:
            self.abort()
            return
        self.to_client.destination = transport
        self.reactor.connectTCP(
            self.link.target_address,
            self.link.target_port,
            ServerConnectionFactory(self),
        )

    def dataReceived(self, data: bytes) -> None:
        """Forwards bytes to the process."""
        self.to_server.enqueue(data)

    def connectionLost(self, reason: Any = None) -> None:
        """Closes the connection to the process once it has all bytes."""
        self.link.connections.discard(self)
        self.to_server.close_when_empty()

    def count_bytes(self, direction: str, size: int) -> None:
        """Adds forwarded bytes to the counter of the link."""
        if direction == 'to_server':
            self.link.bytes_to_server += size
        else:
            self.link.bytes_to_client += size

    def close(self) -> None:
        """Closes both connections once written bytes are sent."""
        for pipe in (self.to_server, self.to_client):
            if pipe.destination:
                pipe.destination.loseConnection()

    def abort(self) -> None:
        """Resets both connections at once."""
        self.aborted = True
        connections = (self.transport, self.to_server.destination)
        for connection in filter(None, connections):
            connection.abortConnection()


class ServerConnection(Protocol):
    """The connection between the proxy and the process."""

    def __init__(self, client: ClientConnection) -> None:
        """Stores the connection with the client.

        Args:
            client: The connection with the client.
        """
        self.client = client

    def connectionMade(self) -> None:
        """Forwards what the client has sent so far."""
        transport: Any = self.transport
        transport.setTcpNoDelay(True)
        self.client.to_server.destination = transport
        self.client.to_server.forward_due()

    def dataReceived(self, data: bytes) -> None:
        """Forwards bytes to the client."""
        self.client.to_client.enqueue(data)

    def connectionLost(self, reason: Any = None) -> None:
        """Closes the client's connection once it has all bytes."""
        self.client.to_client.close_when_empty()


class ServerConnectionFactory(ClientFactory):
    """Builds the connection to the process for one client."""

    noisy = False

    def __init__(self, client: ClientConnection) -> None:
        """Stores the connection with the client.

        Args:
            client: The connection with the client.
        """
        self.client = client

    def buildProtocol(self, addr: Any) -> ServerConnection:
        """Builds the connection to the process."""
        return ServerConnection(self.client)

    def clientConnectionFailed(self, connector: Any, reason: Any) -> None:
        """Resets the client's connection if the process is unreachable."""
        self.client.abort()


class LinkFactory(Factory):
    """Builds the client connections of one link."""

    noisy = False

    def __init__(self, reactor: Any, link: Link) -> None:
        """Stores the reactor and the link.

        Args:
            reactor: The reactor to connect with.
            link: The link that clients connect to.
        """
        self.reactor = reactor
        self.link = link

    def buildProtocol(self, addr: Any) -> ClientConnection:
        """Builds the connection of one client."""
        return ClientConnection(self.reactor, self.link)


def control_app(reactor: Any, links: dict[str, Link]) -> Klein:
    """Returns the HTTP application through which tests control the proxy."""
    app = Klein()

    @app.route('/links', methods=['POST'])
    async def add(request: Any) -> bytes:
        spec = msgspec.json.decode(request.content.read(), type=LinkRequest)
        link = Link(spec.name, spec.target_port, spec.target_address)
        endpoint = TCP4ServerEndpoint(
            reactor,
            spec.port,
            interface=spec.address,
        )
        port = await endpoint.listen(LinkFactory(reactor, link))
        links[link.name] = link
        return str(port.getHost().port).encode()

    @app.route('/links/<name>/rules', methods=['PUT'])
    def change(request: Any, name: str) -> bytes:
        body = request.content.read()
        links[name].change_rules(
            msgspec.json.decode(body, type=tuple[LinkRule, ...]),
        )
        return b'ok'

    @app.route('/links', methods=['GET'])
    def counters(_request: Any) -> bytes:
        return msgspec.json.encode(
            {
                link.name: [link.bytes_to_server, link.bytes_to_client]
                for link in links.values()
            },
        )

    return app


def serve(*, control_port: int) -> None:
    """Runs the fault proxy until it receives a signal to stop.

    Args:
        control_port: TCP port of the HTTP interface for tests.
    """
    reactor: Any = default_reactor
    app = control_app(reactor, {})
    endpoint = TCP4ServerEndpoint(reactor, control_port, interface=LOOPBACK)
    endpoint.listen(Site(app.resource()))
    reactor.run()


def main() -> None:
    """Runs the command line."""
    defopt.run(serve)
