"""The gRPC connections of the exchange: counted, bounded, from one address."""

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
            protocol: Its protocol, which holds the count.
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
    """An HTTP/2 connection whose bytes are counted and bounded.

    Attributes:
        count: The bytes so far, or those of the link's class.
        allowance: Bytes that may arrive before the next `allow`.
    """

    count: ByteCount
    allowance: int
    transport: Any

    def connection_made(self, transport: Any) -> None:
        """Starts the connection with a counted transport."""
        self.count = ByteCount()
        self.allowance = WINDOW_BYTES
        self.transport = transport
        counting: Any = CountingTransport(transport, self)
        super().connection_made(counting)

    def data_received(self, data: bytes) -> None:
        """Counts bytes, and cuts a sender that exceeds its allowance."""
        self.count.received += len(data)
        self.allowance -= len(data)
        if self.allowance < 0:
            self.transport.abort()
            return
        super().data_received(data)

    def allow(self, size: int) -> None:
        """Allows so many bytes to arrive from now on."""
        self.allowance = size

    def classify(self, traffic: Traffic, link: LinkClass) -> None:
        """Counts this connection's bytes, past and future, in a class."""
        if self.count is not traffic.counts[link]:
            self.count = traffic.move(self.count, link)


class CountedChannel(Channel):
    """A client's connection to one address.

    Attributes:
        source: The address to connect from.
        traffic: Where the bytes are counted.
        link: The class that they are counted in.
        lock: Held during a call, since the bound is for one reply.
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
            source: The address to connect from.
            traffic: Where the bytes are counted.
            link: The class that they are counted in.
        """
        super().__init__(*peer, config=CONFIGURATION)
        self.peer = peer
        self.source = source
        self.traffic = traffic
        self.link = link
        self.lock = asyncio.Lock()

    async def connect(self, allowance: int) -> None:
        """Connects if need be, and allows a reply of some size."""
        protocol: Any = await self.__connect__()
        protocol.allow(allowance)

    def _protocol_factory(self) -> CountingProtocol:
        plain = super()._protocol_factory()
        return CountingProtocol(plain.handler, plain.config, plain.h2_config)

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
    """A gRPC server that can tell the connection of a request.

    Attributes:
        connections: The open connections by the peer's address and port.
    """

    def __init__(self, handlers: list[Any]) -> None:
        """Prepares a server without opening a socket.

        Args:
            handlers: The services.
        """
        super().__init__(handlers, config=CONFIGURATION)
        self.connections: dict[PeerName, ServerConnection] = {}

    def abort_connections(self) -> None:
        """Cuts every connection."""
        for connection in tuple(self.connections.values()):
            connection.transport.abort()

    def _protocol_factory(self) -> 'ServerConnection':
        plain = super()._protocol_factory()
        return ServerConnection(self.connections, plain)


class ServerConnection(CountingProtocol):
    """A connection that another daemon opened.

    Attributes:
        connections: The table of open connections.
        name: The peer's address and port.
    """

    def __init__(
        self,
        connections: dict[PeerName, 'ServerConnection'],
        plain: H2Protocol,
    ) -> None:
        """Prepares a connection.

        Args:
            connections: The table to enter it in.
            plain: A protocol with the settings to use.
        """
        super().__init__(plain.handler, plain.config, plain.h2_config)
        self.connections = connections
        self.name: PeerName = ('', 0)

    def connection_made(self, transport: Any) -> None:
        """Enters the connection in the table."""
        super().connection_made(transport)
        self.name = transport.get_extra_info('peername')
        self.connections[self.name] = self

    def connection_lost(self, exc: BaseException | None) -> None:
        """Takes the connection off the table."""
        self.connections.pop(self.name, None)
        super().connection_lost(exc)
