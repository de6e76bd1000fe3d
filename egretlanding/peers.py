"""Connections between daemons that carry calls."""

import itertools
from collections.abc import Callable
from http import HTTPStatus
from typing import Any

import attrs
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.protocol import Factory, connectionDone
from twisted.protocols.basic import Int32StringReceiver
from twisted.python.failure import Failure

from egretlanding.exceptions import FrameError
from egretlanding.frames import (
    MAX_FRAME_BYTES,
    AnyMessage,
    CallReply,
    CallRequest,
    Cancel,
    Hello,
    Leaving,
    Ran,
    decode_message,
    encode_message,
)
from egretlanding.hosts import Host

CONNECT_TIMEOUT_S = 1

# Called with the reply to a call, or with a synthetic one if it was lost.
OnReply = Callable[[CallReply], None]
OnCall = Callable[['PeerConnection', CallRequest], None]


class PeerConnection(Int32StringReceiver):
    """A connection to another daemon, in either direction.

    Attributes:
        on_call: Called with each call that the other daemon sends.
        on_cancel: Called when the other daemon abandons a call.
        on_leaving: Called when the other daemon takes no new calls.
        on_close: Called once when the connection is gone.
        waiting: What to call with the replies to calls in flight.
    """

    MAX_LENGTH = MAX_FRAME_BYTES

    def __init__(self, node: 'PeerNode') -> None:
        """Prepares a connection.

        Args:
            node: Who handles the messages that arrive.
        """
        self.node = node
        self.peer: Hello | None = None
        self.leaving = False
        self.waiting: dict[int, OnReply] = {}
        self.call_ids = itertools.count(1)

    def connectionMade(self) -> None:
        """Introduces this daemon to the other one."""
        transport: Any = self.transport
        transport.setTcpNoDelay(True)
        self.send(self.node.hello)
        if self.node.draining:
            self.send(Leaving())

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Answers the calls in flight: nobody knows whether they ran."""
        waiting = self.waiting
        self.waiting = {}
        for call_id, on_reply in waiting.items():
            on_reply(lost_reply(call_id))
        self.node.on_close(self)

    def is_open(self) -> bool:
        """Tells whether messages can be sent."""
        transport: Any = self.transport
        return bool(transport and transport.connected)

    def send(self, message: AnyMessage) -> None:
        """Writes a message."""
        self.sendString(encode_message(message))

    def call(self, request: CallRequest, on_reply: OnReply) -> int:
        """Sends a call and returns its number on this connection.

        Args:
            request: The call; its number is set here.
            on_reply: Called once with the reply.
        """
        call_id = next(self.call_ids)
        self.waiting[call_id] = on_reply
        self.send(renumber(request, call_id))
        return call_id

    def cancel(self, call_id: int) -> None:
        """Abandons a call; its reply, if one comes, is dropped."""
        if self.waiting.pop(call_id, None):
            self.send(Cancel(call_id))

    def stringReceived(self, string: bytes) -> None:
        """Decodes and handles a message; a malformed one cuts."""
        try:
            message = decode_message(string)
        except FrameError:
            self.lengthLimitExceeded(len(string))
            return
        self.handle(message)

    def lengthLimitExceeded(self, length: int) -> None:
        """Cuts a connection that can't be understood any more."""
        transport: Any = self.transport
        transport.abortConnection()

    def handle(self, message: AnyMessage) -> None:
        """Handles a message."""
        match message:
            case CallReply():
                on_reply = self.waiting.pop(message.call_id, None)
                if on_reply:
                    on_reply(message)
            case CallRequest():
                self.node.on_call(self, message)
            case Cancel():
                self.node.on_cancel(self, message.call_id)
            case Hello():
                self.peer = message
            case Leaving():
                self.leaving = True
                self.node.on_leaving(self)


def renumber(request: CallRequest, call_id: int) -> CallRequest:
    """Returns a call with another number."""
    return CallRequest(
        call_id,
        request.method,
        request.path,
        request.headers,
        request.body,
        request.route,
        request.remaining_ms,
        request.depth,
        request.key,
        request.idempotent,
    )


def lost_reply(call_id: int) -> CallReply:
    """Returns the answer to a call whose connection was lost."""
    return CallReply(
        call_id, HTTPStatus.BAD_GATEWAY, [], b'', Ran.UNKNOWN, 'connection_lost'
    )


@attrs.define(eq=False)
class PeerNode:
    """What the connections of one daemon share.

    Attributes:
        hello: How this daemon introduces itself.
        on_call: Called with each call that arrives.
        on_cancel: Called when a call is abandoned.
        on_leaving: Called when the other daemon takes no new calls.
        on_close: Called when a connection is gone.
        draining: Whether this daemon takes no new calls.
    """

    hello: Hello
    on_call: OnCall
    on_cancel: Callable[[PeerConnection, int], None]
    on_leaving: Callable[[PeerConnection], None]
    on_close: Callable[[PeerConnection], None]
    draining: bool = False


class PeerFactory(Factory):
    """Builds connections that share a node."""

    noisy = False

    def __init__(self, node: PeerNode) -> None:
        """Stores the node.

        Args:
            node: What the connections share.
        """
        self.node = node

    def buildProtocol(self, addr: Any) -> PeerConnection:
        """Builds one connection."""
        return PeerConnection(self.node)


async def connect_peer(
    reactor: Any,
    host: Host,
    node: PeerNode,
) -> PeerConnection:
    """Opens a connection to the daemon of a host.

    Raises:
        ConnectError: The daemon can't be reached.
    """
    factory: Any = PeerFactory(node)
    endpoint = TCP4ClientEndpoint(
        reactor,
        host.address,
        host.peer_port,
        timeout=CONNECT_TIMEOUT_S,
    )
    return await endpoint.connect(factory)
