"""Connections between daemons that carry calls."""

import itertools
from collections.abc import Callable
from typing import Any

import attrs
import msgspec
from twisted.internet.protocol import Factory, connectionDone
from twisted.protocols.basic import Int32StringReceiver
from twisted.python.failure import Failure

from egretlanding.eagerwrites import watch_silence, write_now
from egretlanding.events import Event, Severity, log_event
from egretlanding.exceptions import FrameError
from egretlanding.frames import (
    MAX_FRAME_BYTES,
    AnyFrame,
    CallReply,
    CallRequest,
    Cancel,
    Hello,
    HostsHeld,
    Ping,
    Pong,
    Readiness,
    RecordsHeld,
    RecordsSent,
    RecordsWanted,
    Suspicion,
    decode_frame,
    encode_frame,
    refusal_reply,
)
from egretlanding.outcomes import Reason, Refusal

# Called with the reply to a call, or with a synthetic one if it was lost.
OnReply = Callable[[CallReply], None]
OnCall = Callable[['PeerConnection', CallRequest], None]
OnReadiness = Callable[['PeerConnection', bool], None]
OnHostsHeld = Callable[['PeerConnection', HostsHeld], None]
RecordsFrame = RecordsHeld | RecordsWanted | RecordsSent
OnRecords = Callable[['PeerConnection', RecordsFrame], None]
OnConnection = Callable[['PeerConnection'], None]


class PeerConnection(Int32StringReceiver):
    """A connection to another daemon, in either direction.

    Attributes:
        node: Who handles the frames that arrive.
        peer: How the other daemon introduced itself, None before it did.
        waiting: What to call with the replies to calls in flight.
        served: Jobs of calls from the other daemon, by the call's number.
        ready: Whether the other daemon takes calls.
        heard: Bytes that arrived so far.
    """

    MAX_LENGTH = MAX_FRAME_BYTES

    def __init__(self, node: 'PeerNode') -> None:
        """Prepares a connection.

        Args:
            node: Who handles the frames that arrive.
        """
        self.node = node
        self.peer: Hello | None = None
        self.waiting: dict[int, OnReply] = {}
        self.served: dict[int, int] = {}
        self.call_ids = itertools.count(1)
        self.ready = True
        self.heard = 0
        self.heard_before = -1

    def connectionMade(self) -> None:
        """Introduces this daemon to the other one."""
        transport: Any = self.transport
        transport.setTcpNoDelay(True)
        watch_silence(transport)
        self.node.connections.add(self)
        self.send(self.node.hello)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Answers the calls in flight: nobody knows whether they ran."""
        self.node.connections.discard(self)
        waiting = self.waiting
        self.waiting = {}
        if waiting:
            log_event(
                Event.PEER_LOST,
                'a connection to a daemon was lost with calls in flight',
                Severity.WARNING,
                peer=self.peer.host_id if self.peer else '',
                calls=len(waiting),
            )
        for call_id, on_reply in waiting.items():
            on_reply(lost_reply(call_id))
        self.node.on_close(self)

    def is_open(self) -> bool:
        """Tells whether frames can be sent."""
        transport: Any = self.transport
        return bool(transport and transport.connected)

    def is_idle(self) -> bool:
        """Tells whether no call is in flight in either direction."""
        return not self.waiting and not self.served

    def send(self, frame: AnyFrame) -> None:
        """Writes a frame, or drops it if the connection is gone."""
        if self.is_open():
            encoded = encode_frame(frame)
            prefix = len(encoded).to_bytes(self.prefixLength, 'big')
            write_now(self.transport, b'%s%s' % (prefix, encoded))

    def call(self, request: CallRequest, on_reply: OnReply) -> int:
        """Sends a call and returns its number on this connection.

        Args:
            request: The call; its number is set here.
            on_reply: Called once with the reply.
        """
        call_id = next(self.call_ids)
        self.waiting[call_id] = on_reply
        self.send(msgspec.structs.replace(request, call_id=call_id))
        return call_id

    def cancel(self, call_id: int) -> None:
        """Abandons a call; its reply, if one comes, is dropped."""
        if self.waiting.pop(call_id, None):
            self.send(Cancel(call_id))

    def check_heartbeat(self) -> None:
        """Cuts a silent connection, else asks for a sign of life.

        Called once per heartbeat interval. The replies of a silent daemon
        would come too late; cutting tells the calls that wait for them.
        """
        if self.heard == self.heard_before:
            self.abort()
            return
        self.heard_before = self.heard
        self.send(Ping())

    def forgive_silence(self) -> None:
        """Starts the heartbeat anew, after a pause of the own process."""
        self.heard_before = -1

    def abort(self) -> None:
        """Cuts the connection at once."""
        transport: Any = self.transport
        transport.abortConnection()

    def dataReceived(self, data: bytes) -> None:
        """Counts and decodes what arrived."""
        self.heard += len(data)
        super().dataReceived(data)

    def stringReceived(self, string: bytes) -> None:
        """Decodes and handles a frame; a malformed one cuts."""
        try:
            frame = decode_frame(string)
        except FrameError:
            self.abort()
            return
        self.handle(frame)

    def lengthLimitExceeded(self, length: int) -> None:
        """Cuts a connection that can't be understood any more."""
        self.abort()

    def handle(self, frame: AnyFrame) -> None:
        """Handles a frame."""
        match frame:
            case CallReply():
                on_reply = self.waiting.pop(frame.call_id, None)
                if on_reply:
                    on_reply(frame)
            case CallRequest():
                self.node.on_call(self, frame)
            case Cancel():
                self.node.on_cancel(self, frame.call_id)
            case Suspicion():
                self.node.on_suspicion(frame)
            case HostsHeld():
                self.node.on_hosts_held(self, frame)
            case RecordsHeld() | RecordsWanted() | RecordsSent():
                self.node.on_records(self, frame)
            case Ping():
                self.send(Pong())
            case Hello() | Readiness():
                self.take_readiness(frame)

    def take_readiness(self, frame: Hello | Readiness) -> None:
        """Learns who the other daemon is and whether it takes calls."""
        if isinstance(frame, Hello):
            self.peer = frame
        self.ready = frame.ready
        self.node.on_readiness(self, frame.ready)


@attrs.define(eq=False)
class PeerNode:
    """What the connections of one daemon share.

    Attributes:
        hello: How this daemon introduces itself.
        on_call: Called with each call that arrives.
        on_cancel: Called when the other daemon abandons a call.
        on_close: Called when a connection is gone.
        on_readiness: Called when the other daemon starts or stops taking
            calls.
        on_suspicion: Called with what another daemon knows of a request.
        on_hosts_held: Called with which host list another daemon holds.
        on_records: Called with what another daemon tells or asks of the
            store's records.
        connections: The connections that are open, in both directions.
    """

    hello: Hello
    on_call: OnCall
    on_cancel: Callable[[PeerConnection, int], None]
    on_close: OnConnection
    on_readiness: OnReadiness = lambda _connection, _ready: None
    on_suspicion: Callable[[Suspicion], None] = lambda _frame: None
    on_hosts_held: OnHostsHeld = lambda _connection, _frame: None
    on_records: OnRecords = lambda _connection, _frame: None
    connections: set[PeerConnection] = attrs.field(factory=set)

    def announce(self, ready: bool) -> None:
        """Tells all daemons whether this one takes calls for its target."""
        if ready == self.hello.ready:
            return
        self.hello = Hello(self.hello.host_id, self.hello.incarnation, ready)
        self.broadcast(Readiness(ready))

    def broadcast(self, frame: AnyFrame) -> None:
        """Sends a frame on all connections."""
        for connection in tuple(self.connections):
            connection.send(frame)


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


def lost_reply(call_id: int) -> CallReply:
    """Returns the answer to a call whose connection was lost."""
    return refusal_reply(
        call_id,
        Refusal.unknown(
            Reason.CONNECTION_LOST,
            'the connection to the daemon beside the target was lost',
        ),
    )
