"""The control exchange between daemons over gRPC."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any, Protocol, TypeVar

import attrs
from grpclib.const import Status
from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError
from result import Err, Ok, Result

from egretlanding import wire
from egretlanding.channels import CountedChannel, CountedServer, PeerName
from egretlanding.exceptions import ExchangeError, FrameError
from egretlanding.exchange_grpc import ExchangeBase, ExchangeStub
from egretlanding.exchange_pb2 import HostsRequest, ReleaseRequest
from egretlanding.hosts import Host
from egretlanding.messages import HostsUpdate, ReleaseUpdate, Summary
from egretlanding.traffic import LinkClass, Traffic

COMPARE_TIMEOUT_S = 2
PULL_TIMEOUT_S = 10
REQUEST_TIMEOUT_S = 2
MAX_SUMMARY_BYTES = 65_536
MAX_UPDATE_BYTES = 8_388_608
MAX_CHANNELS = 16

EXCHANGE_FAILURES = (
    FrameError,
    GRPCError,
    OSError,
    ProtocolError,
    StreamTerminatedError,
    TimeoutError,
    ValueError,
)

ReplyT = TypeVar('ReplyT')
StubCall = Callable[[ExchangeStub], Awaitable[Any]]


class Responder(Protocol):
    """Provides the replies to the requests of other daemons."""

    def link_class_to(self, host_id: str) -> LinkClass:
        """Returns the class of the link to a host."""

    def compare(self, summary: Summary) -> Summary:
        """Processes a received summary and returns this daemon's."""

    def release_for(self, base_digest: str) -> ReleaseUpdate | None:
        """Returns the release in force as a delta against a base."""

    def hosts_for(self, base_revision: int) -> HostsUpdate:
        """Returns the host list as a delta against a base."""


class ExchangeService(ExchangeBase):
    """Answers the requests of other daemons.

    Attributes:
        responder: Provides the replies.
        traffic: Counts the bytes by link class.
        server: The server that owns the sockets.
    """

    def __init__(self, responder: Responder, traffic: Traffic) -> None:
        """Creates the server without opening a socket.

        Args:
            responder: Provides the replies.
            traffic: Counts the bytes by link class.
        """
        self.responder = responder
        self.traffic = traffic
        self.server = CountedServer([self])

    async def start(self, address: str, port: int) -> None:
        """Opens the listening socket."""
        await self.server.start(address, port)

    async def stop(self) -> None:
        """Closes the sockets."""
        self.server.close()
        self.server.abort_connections()
        await self.server.wait_closed()

    async def Compare(self, stream: Any) -> None:
        """Exchanges summaries."""
        message = await self.receive(stream)
        try:
            summary = wire.summary_from_wire(message)
        except FrameError as error:
            raise GRPCError(Status.INVALID_ARGUMENT, str(error)) from error
        self.classify(stream, summary.host_id)
        reply = self.responder.compare(summary)
        await stream.send_message(wire.summary_to_wire(reply))

    async def PullRelease(self, stream: Any) -> None:
        """Replies with the release in force."""
        message = await self.receive(stream)
        update = self.responder.release_for(message.base_digest.hex())
        if update is None:
            raise GRPCError(Status.NOT_FOUND, 'no release is in force here')
        await stream.send_message(wire.release_update_to_wire(update))

    async def PullHosts(self, stream: Any) -> None:
        """Replies with the host list."""
        message = await self.receive(stream)
        update = self.responder.hosts_for(message.base_revision)
        await stream.send_message(wire.hosts_update_to_wire(update))

    async def receive(self, stream: Any) -> Any:
        """Receives a request, with limits on its time and size."""
        connection = self.server.connections.get(stream.peer.addr())
        if connection:
            connection.allow(MAX_SUMMARY_BYTES)
        async with asyncio.timeout(REQUEST_TIMEOUT_S):
            message = await stream.recv_message()
        if message is None:
            raise GRPCError(Status.INVALID_ARGUMENT, 'the request is empty')
        return message

    def classify(self, stream: Any, host_id: str) -> None:
        """Counts a connection's bytes in the link class of its host."""
        connection = self.server.connections.get(stream.peer.addr())
        if connection:
            link = self.responder.link_class_to(host_id)
            connection.classify(self.traffic, link)


@attrs.define(eq=False)
class ExchangeClient:
    """Sends requests to other daemons.

    It keeps at most `MAX_CHANNELS` connections open, unless more are in use.

    Attributes:
        host: This daemon's host.
        traffic: Counts the bytes by link class.
        channels: Connections by address, the least recently used first.
    """

    host: Host
    traffic: Traffic
    channels: dict[PeerName, CountedChannel] = attrs.field(factory=dict)

    async def compare(
        self,
        host: Host,
        summary: Summary,
    ) -> Result[Summary, ExchangeError]:
        """Exchanges summaries with another daemon."""
        message = wire.summary_to_wire(summary)
        return await self.call(
            host,
            lambda stub: stub.Compare(message),
            wire.summary_from_wire,
            COMPARE_TIMEOUT_S,
        )

    async def pull_release(
        self,
        host: Host,
        base_digest: str,
    ) -> Result[ReleaseUpdate, ExchangeError]:
        """Requests the release in force, as a delta against a base."""
        request = ReleaseRequest(base_digest=bytes.fromhex(base_digest))
        return await self.call(
            host,
            lambda stub: stub.PullRelease(request),
            wire.release_update_from_wire,
            PULL_TIMEOUT_S,
        )

    async def pull_hosts(
        self,
        host: Host,
        base_revision: int,
    ) -> Result[HostsUpdate, ExchangeError]:
        """Requests the host list, as a delta against a base."""
        request = HostsRequest(base_revision=base_revision)
        return await self.call(
            host,
            lambda stub: stub.PullHosts(request),
            wire.hosts_update_from_wire,
            PULL_TIMEOUT_S,
        )

    async def call(
        self,
        host: Host,
        send: StubCall,
        decode: Callable[[Any], ReplyT],
        timeout_s: float,
    ) -> Result[ReplyT, ExchangeError]:
        """Sends one request, with limits on its time and size.

        Args:
            host: Host of the daemon to send it to.
            send: Sends the request with a stub.
            decode: Decodes the reply.
            timeout_s: Timeout of connection and request together, s.
        """
        channel = self.channel_to(host)
        try:
            async with asyncio.timeout(timeout_s), channel.lock:
                await channel.connect(MAX_UPDATE_BYTES)
                return Ok(decode(await send(ExchangeStub(channel))))
        except EXCHANGE_FAILURES as error:
            self.close_channel(channel)
            return Err(_exchange_error(host, error))

    def channel_to(self, host: Host) -> CountedChannel:
        """Returns the connection to a host, creating it if there is none."""
        peer = (host.address, host.exchange_port)
        channel = self.channels.pop(peer, None)
        if channel is None:
            link = LinkClass.between(self.host, host)
            channel = CountedChannel(
                peer,
                self.host.address,
                self.traffic,
                link,
            )
        self.channels[peer] = channel
        self.close_idle()
        return channel

    def close_idle(self) -> None:
        """Closes the least recently used idle connections over the limit."""
        excess = len(self.channels) - MAX_CHANNELS
        # The last one is about to be used even if its lock is not taken yet.
        *older, _ = self.channels.values()
        idle = [channel for channel in older if not channel.lock.locked()]
        for channel in idle[: max(0, excess)]:
            self.close_channel(channel)

    def close_channel(self, channel: CountedChannel) -> None:
        """Closes a connection."""
        if self.channels.get(channel.peer) is channel:
            del self.channels[channel.peer]
        channel.close()

    def close(self) -> None:
        """Closes all connections."""
        for channel in tuple(self.channels.values()):
            self.close_channel(channel)


def _exchange_error(host: Host, error: Exception) -> ExchangeError:
    return ExchangeError(
        f'{host.host_id} at {host.address}:{host.exchange_port} gave no '
        f'usable reply ({error!r})',
        'check that its daemon runs and that the network allows connections',
    )
