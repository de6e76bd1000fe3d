"""The protocol of the connections that carry calls between daemons."""

import itertools
import time
from collections.abc import Callable
from typing import Any

import attrs
import msgspec
from twisted.internet.protocol import Factory, connectionDone
from twisted.protocols.basic import Int32StringReceiver
from twisted.python.failure import Failure

from egretlanding.bytebudget import ByteBudget
from egretlanding.containment import log_unexpected
from egretlanding.events import Event, Severity, log_event
from egretlanding.exceptions import FrameError
from egretlanding.frames import (
    MAX_FRAME_BYTES,
    AnyFrame,
    CallReply,
    CallRequest,
    Cancel,
    Hello,
    HostsState,
    Ping,
    Pong,
    Readiness,
    RecordsRequest,
    RecordsState,
    RecordsUpdate,
    Suspicion,
    decode_frame,
    encode_frame,
    refusal_reply,
)
from egretlanding.outcomes import Reason, Refusal
from egretlanding.peershares import PeerShare
from egretlanding.tcpwrites import enable_keepalive, write_now

# Consecutive heartbeat intervals without a byte after which a connection is
# closed with its calls, like the time-outs of TCP.
SILENT_INTERVALS_TO_CLOSE = 3
# Space that a frame keeps for what a call contains besides its body, bytes.
MAX_CALL_HEAD_BYTES = 262_144
MAX_CALL_BODY_BYTES = MAX_FRAME_BYTES - MAX_CALL_HEAD_BYTES

# Called with the reply to a call, or with a generated one if the connection
# was lost.
OnReply = Callable[[CallReply], None]
OnCall = Callable[['PeerConnection', CallRequest], None]
OnReadiness = Callable[['PeerConnection', bool], None]
OnHostsState = Callable[['PeerConnection', HostsState], None]
RecordsFrame = RecordsState | RecordsRequest | RecordsUpdate
OnRecords = Callable[['PeerConnection', RecordsFrame], None]
OnConnection = Callable[['PeerConnection'], None]
# Called once with whether a frame arrived before the connection ended.
OnArrival = Callable[[bool], None]


@attrs.define(eq=False)
class ExpectedFrame:
    """Waits for a frame of the other daemon.

    Attributes:
        on_end: Called when the frame arrived or the connection ended; None
            afterwards, and while no frame is expected.
    """

    on_end: OnArrival | None = None

    def is_expected(self) -> bool:
        """Returns whether the frame has yet to arrive."""
        return self.on_end is not None

    def end(self, *, arrived: bool) -> None:
        """Reports once whether the frame arrived."""
        on_end = self.on_end
        self.on_end = None
        if on_end:
            on_end(arrived)


class PeerConnection(Int32StringReceiver):
    """A connection to another daemon, in either direction.

    Attributes:
        context: The state and callbacks that all connections share.
        peer: The hello of the other daemon, None before it arrived.
        pending_replies: Callbacks for the replies to calls in flight, by
            call id.
        served: Tickets of running calls from the other daemon, by call id.
        call_ids: Source of call ids.
        ready: Whether the other daemon accepts calls.
        aborted: Whether this daemon has closed the connection at once.
        greeting: Reports the hello, or the end of a connection without one.
        pong: Reports the answer to a ping, or the end of the connection.
        bytes_received: Number of bytes received so far.
        bytes_at_last_check: Value of `bytes_received` at the last heartbeat,
            -1 if the next one must not count as silent.
        silent_intervals: Consecutive heartbeat intervals without a byte.
        share: What the connection holds of the byte budget.
        arrived_calls: Calls in the bytes that are being read, by call id. They
            begin once these are read, unless a cancellation is among them.
    """

    MAX_LENGTH = MAX_FRAME_BYTES

    def __init__(self, context: 'PeerContext') -> None:
        """Prepares a connection.

        Args:
            context: The state and callbacks that all connections share.
        """
        self.context = context
        self.peer: Hello | None = None
        self.pending_replies: dict[int, OnReply] = {}
        self.served: dict[int, int] = {}
        self.call_ids = itertools.count(1)
        self.ready = True
        self.aborted = False
        self.greeting = ExpectedFrame()
        self.pong = ExpectedFrame()
        self.bytes_received = 0
        self.bytes_at_last_check = -1
        self.silent_intervals = 0
        self.arrived_calls: dict[int, CallRequest] = {}
        self.share = PeerShare(self.context.budget)

    def connectionMade(self) -> None:
        """Registers the connection and sends the hello of this daemon."""
        transport: Any = self.transport
        transport.setTcpNoDelay(True)
        enable_keepalive(transport)
        self.context.connections.add(self)
        self.share.open(transport)
        self.send(self.context.hello)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Reports the calls in flight as lost; whether they ran is unknown."""
        self.context.connections.discard(self)
        self.share.close()
        pending_replies = self.pending_replies
        self.pending_replies = {}
        if pending_replies:
            log_event(
                Event.PEER_LOST,
                'connection to daemon lost with calls in flight',
                Severity.WARNING,
                peer=self.peer.host_id if self.peer else '',
                calls=len(pending_replies),
                closed_here=self.aborted,
                silent_intervals=self.silent_intervals,
                error=reason.getErrorMessage(),
            )
        for call_id, on_reply in pending_replies.items():
            on_reply(lost_reply(call_id))
        self.greeting.end(arrived=False)
        self.pong.end(arrived=False)
        self.context.on_close(self)

    def is_open(self) -> bool:
        """Returns whether frames can be sent."""
        transport: Any = self.transport
        return bool(transport and transport.connected and not self.aborted)

    def is_idle(self) -> bool:
        """Returns whether no call is in flight in either direction."""
        return not self.pending_replies and not self.served

    def send(self, frame: AnyFrame) -> None:
        """Sends a frame, or drops it if the connection is closed."""
        if self.is_open():
            encoded = encode_frame(frame)
            prefix = len(encoded).to_bytes(self.prefixLength, 'big')
            if not write_now(self.transport, b'%s%s' % (prefix, encoded)):
                self.share.account()

    def call(self, request: CallRequest, on_reply: OnReply) -> int:
        """Sends a call and returns its id on this connection.

        Args:
            request: The call; its id is set here.
            on_reply: Called once with the reply.
        """
        call_id = next(self.call_ids)
        if len(request.body) > MAX_CALL_BODY_BYTES:
            on_reply(oversized_reply(call_id))
            return call_id
        self.pending_replies[call_id] = on_reply
        self.send(msgspec.structs.replace(request, call_id=call_id))
        return call_id

    def cancel(self, call_id: int) -> None:
        """Abandons a call; its reply, if one comes, is dropped."""
        if self.pending_replies.pop(call_id, None):
            self.send(Cancel(call_id))

    def check_heartbeat(self) -> None:
        """Counts a silent interval or none, and sends a ping.

        Called once per heartbeat interval. A silent daemon may only be busy,
        so a connection with calls in flight closes after several intervals,
        and one without calls after the first.
        """
        if self.bytes_received == self.bytes_at_last_check:
            self.silent_intervals += 1
            is_lost = self.silent_intervals >= SILENT_INTERVALS_TO_CLOSE
            if is_lost or self.is_idle():
                self.abort()
                return
        self.bytes_at_last_check = self.bytes_received
        self.send(Ping())

    def reset_heartbeat(self) -> None:
        """Restarts the heartbeat after a pause of this process."""
        self.bytes_at_last_check = -1
        self.silent_intervals = 0

    def abort(self) -> None:
        """Closes the connection at once."""
        self.aborted = True
        transport: Any = self.transport
        transport.abortConnection()

    def dataReceived(self, data: bytes) -> None:
        """Decodes the frames in the received bytes, then begins the calls."""
        self.bytes_received += len(data)
        self.silent_intervals = 0
        super().dataReceived(data)
        self.share.update_arriving(len(self._unprocessed))
        begin_calls(self)

    def stringReceived(self, string: bytes) -> None:
        """Handles a frame; a malformed one closes the connection."""
        try:
            frame = decode_frame(string)
        except FrameError:
            self.abort()
            return
        try:
            self.handle(frame)
        except Exception as error:
            log_unexpected(f'frame of type {type(frame).__name__}', error)

    def lengthLimitExceeded(self, length: int) -> None:
        """Closes the connection, since a frame exceeds the size limit."""
        self.abort()

    def handle(self, frame: AnyFrame) -> None:
        """Passes a frame to its callback."""
        match frame:
            case CallReply():
                on_reply = self.pending_replies.pop(frame.call_id, None)
                if on_reply:
                    on_reply(frame)
            case CallRequest():
                self.arrived_calls[frame.call_id] = frame
            case Cancel():
                if self.arrived_calls.pop(frame.call_id, None) is None:
                    self.context.on_cancel(self, frame.call_id)
            case Suspicion():
                self.context.on_suspicion(frame)
            case HostsState():
                self.context.on_hosts_state(self, frame)
            case RecordsState() | RecordsRequest() | RecordsUpdate():
                self.context.on_records(self, frame)
            case Ping():
                self.send(Pong())
            case Pong():
                self.pong.end(arrived=True)
            case Hello() | Readiness():
                self.update_peer_state(frame)

    def update_peer_state(self, frame: Hello | Readiness) -> None:
        """Records who the other daemon is and whether it accepts calls."""
        if isinstance(frame, Hello):
            self.peer = frame
            self.context.on_hello(self)
        self.ready = frame.ready
        self.context.on_readiness(self, frame.ready)
        self.greeting.end(arrived=True)


@attrs.define(eq=False)
class PeerContext:
    """The state and callbacks that all connections of one daemon share.

    Attributes:
        hello: The frame with which this daemon introduces itself.
        on_call: Called with each call that arrives.
        on_cancel: Called when the other daemon abandons a call.
        on_close: Called when a connection was closed.
        on_hello: Called when the other daemon has introduced itself, before
            calls are sent on the connection.
        on_readiness: Called when the other daemon reports whether it accepts
            calls.
        on_suspicion: Called with a suspicion from another daemon.
        on_hosts_state: Called with the revision of the host list that another
            daemon holds.
        on_records: Called with each frame about the store's records.
        connections: The connections that are open, in both directions.
        budget: The byte budget of the process.
    """

    hello: Hello
    on_call: OnCall
    on_cancel: Callable[[PeerConnection, int], None]
    on_close: OnConnection
    on_hello: OnConnection = lambda _connection: None
    on_readiness: OnReadiness = lambda _connection, _ready: None
    on_suspicion: Callable[[Suspicion], None] = lambda _frame: None
    on_hosts_state: OnHostsState = lambda _connection, _frame: None
    on_records: OnRecords = lambda _connection, _frame: None
    connections: set[PeerConnection] = attrs.field(factory=set)
    budget: ByteBudget = attrs.field(factory=lambda: ByteBudget(time.monotonic))

    def announce(self, ready: bool) -> None:
        """Sends a change of readiness to all connected daemons."""
        if ready == self.hello.ready:
            return
        self.hello = Hello(self.hello.host_id, self.hello.incarnation, ready)
        self.broadcast(Readiness(ready))

    def broadcast(self, frame: AnyFrame) -> None:
        """Sends a frame on all connections."""
        for connection in tuple(self.connections):
            connection.send(frame)

    def end_output(self) -> None:
        """Ends what this daemon sends on all connections.

        Each closes once the other daemon has read everything. Closing it here
        could reset it while replies are on their way, because the other daemon
        still sends.
        """
        for connection in tuple(self.connections):
            transport: Any = connection.transport
            transport.loseWriteConnection()


class PeerFactory(Factory):
    """Builds connections that share one context."""

    noisy = False

    def __init__(self, context: PeerContext) -> None:
        """Stores the context.

        Args:
            context: The state and callbacks that all connections share.
        """
        self.context = context

    def buildProtocol(self, addr: Any) -> PeerConnection:
        """Builds one connection."""
        return PeerConnection(self.context)


def begin_calls(connection: PeerConnection) -> None:
    """Begins the calls that were read, if they can still be answered.

    Args:
        connection: The connection on which they arrived.
    """
    calls = connection.arrived_calls
    connection.arrived_calls = {}
    if not connection.is_open():
        return
    for call in calls.values():
        try:
            connection.context.on_call(connection, call)
        except Exception as error:
            log_unexpected('call of another daemon', error)


def oversized_reply(call_id: int) -> CallReply:
    """Returns the reply for a call that is too large for a frame."""
    return refusal_reply(
        call_id,
        Refusal.not_run(
            Reason.BODY_TOO_LARGE,
            f'a body between daemons has at most {MAX_CALL_BODY_BYTES} bytes',
        ),
    )


def lost_reply(call_id: int) -> CallReply:
    """Returns the reply for a call whose connection was lost."""
    return refusal_reply(
        call_id,
        Refusal.unknown(
            Reason.CONNECTION_LOST,
            'the connection to the daemon beside the target was lost',
        ),
    )
