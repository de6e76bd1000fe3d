"""gRPC connections of the control exchange with byte counts and limits."""

import asyncio
from typing import Any

from grpclib.client import Channel
from grpclib.config import Configuration
from grpclib.protocol import H2Protocol
from grpclib.server import Server

from egretlanding.traffic import ByteCount, LinkClass, Traffic

WINDOW_BYTES = 65_535

CONFIGURATION = Configuration(
    http2_connection_window_size=WINDOW_BYTES,
    http2_stream_window_size=WINDOW_BYTES,
)

PeerName = tuple[str, int]


class CountingTransport:
    """Counts the bytes that are written to a transport."""

    def __init__(self, transport: Any, protocol: 'CountingProtocol') -> None:
        """Wraps a transport.

        Args:
            transport: The transport.
            protocol: Its protocol, which holds the byte count.
        """
        self.transport = transport
        self.protocol = protocol

    def __getattr__(self, name: str) -> Any:
        return getattr(self.transport, name)

    def write(self, data: bytes) -> None:
        """Writes and counts bytes."""
        self.protocol.count.sent += len(data)
        self.transport.write(data)


class CountingProtocol(H2Protocol):
    """An HTTP/2 connection whose bytes are counted and limited.

    Attributes:
        count: The bytes of this connection until `classify` is called, then
            the total of its link class.
        allowance: Bytes that may still arrive before the next `allow`.
    """

    count: ByteCount
    allowance: int
    transport: Any

    def connection_made(self, transport: Any) -> None:
        """Starts the connection with a transport that counts bytes."""
        self.count = ByteCount()
        self.allowance = WINDOW_BYTES
        self.transport = transport
        counting: Any = CountingTransport(transport, self)
        super().connection_made(counting)

    def data_received(self, data: bytes) -> None:
        """Counts bytes, and disconnects a peer that exceeds its allowance."""
        self.count.received += len(data)
        self.allowance -= len(data)
        if self.allowance < 0:
            self.transport.abort()
            return
        super().data_received(data)

    def allow(self, size: int) -> None:
        """Sets how many bytes may arrive from now on."""
        self.allowance = size

    def classify(self, traffic: Traffic, link: LinkClass) -> None:
        """Adds this connection's bytes, past and future, to a link class."""
        if self.count is not traffic.counts[link]:
            self.count = traffic.add_to_class(self.count, link)


class CountedChannel(Channel):
    """A client connection to one address.

    Attributes:
        peer: Address and port to connect to.
        source: The local address to connect from.
        traffic: The byte counts of this daemon.
        link: The link class of the connection.
        lock: Held during an exchange, since the allowance is for one reply.
    """

    def __init__(
        self,
        peer: PeerName,
        source: str,
        traffic: Traffic,
        link: LinkClass,
    ) -> None:
        """Prepares a connection without opening it.

        Args:
            peer: Address and port to connect to.
            source: The local address to connect from.
            traffic: The byte counts of this daemon.
            link: The link class of the connection.
        """
        super().__init__(*peer, config=CONFIGURATION)
        self.peer = peer
        self.source = source
        self.traffic = traffic
        self.link = link
        self.lock = asyncio.Lock()

    async def connect(self, allowance: int) -> None:
        """Connects unless connected, and allows a reply of this size.

        Args:
            allowance: Maximum size of the reply, bytes.
        """
        protocol: Any = await self.__connect__()
        protocol.allow(allowance)

    def _protocol_factory(self) -> CountingProtocol:
        template = super()._protocol_factory()
        return CountingProtocol(
            template.handler, template.config, template.h2_config
        )

    async def _create_connection(self) -> CountingProtocol:
        loop = asyncio.get_running_loop()
        _, protocol = await loop.create_connection(
            self._protocol_factory,
            *self.peer,
            local_addr=(self.source, 0),
        )
        protocol.classify(self.traffic, self.link)
        return protocol


class CountedServer(Server):
    """A gRPC server that can look up the connection of a request.

    Attributes:
        connections: The open connections by remote address and port.
    """

    def __init__(self, handlers: list[Any]) -> None:
        """Prepares a server without opening a socket.

        Args:
            handlers: The services.
        """
        super().__init__(handlers, config=CONFIGURATION)
        self.connections: dict[PeerName, ServerConnection] = {}

    def abort_connections(self) -> None:
        """Closes all connections at once."""
        for connection in tuple(self.connections.values()):
            connection.transport.abort()

    def _protocol_factory(self) -> 'ServerConnection':
        template = super()._protocol_factory()
        return ServerConnection(self.connections, template)


class ServerConnection(CountingProtocol):
    """A connection that another daemon opened.

    Attributes:
        connections: The table of open connections.
        name: The remote address and port.
    """

    def __init__(
        self,
        connections: dict[PeerName, 'ServerConnection'],
        template: H2Protocol,
    ) -> None:
        """Prepares a connection.

        Args:
            connections: The table of open connections.
            template: A protocol with the handler and configuration to use.
        """
        super().__init__(template.handler, template.config, template.h2_config)
        self.connections = connections
        self.name: PeerName = ('', 0)

    def connection_made(self, transport: Any) -> None:
        """Adds the connection to the table."""
        super().connection_made(transport)
        self.name = transport.get_extra_info('peername')
        self.connections[self.name] = self

    def connection_lost(self, exc: BaseException | None) -> None:
        """Removes the connection from the table."""
        self.connections.pop(self.name, None)
        super().connection_lost(exc)
