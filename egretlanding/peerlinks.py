"""Persistent connections to the daemons that this one sends calls to."""

import enum
from collections.abc import Callable
from typing import Any

import attrs
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.python.failure import Failure

from egretlanding.events import Event, Severity, log_event
from egretlanding.frames import CallReply, CallRequest, refusal_reply
from egretlanding.hosts import Host
from egretlanding.outcomes import Reason, Refusal
from egretlanding.peers import OnReply, PeerConnection, PeerContext, PeerFactory
from egretlanding.reads import after_reads
from egretlanding.silentconnections import SilentConnections

CONNECT_TIMEOUT_S = 0.5
# Time from an open connection to the hello of the other daemon, seconds.
HELLO_TIMEOUT_S = 1.0
BACKOFF_FIRST_S = 0.1
BACKOFF_LONGEST_S = 2
HEARTBEAT_S = 1
IDLE_LIMIT_S = 120
# Calls with a request or answers above this size use the bulk lane, bytes.
# Their frames would delay the small ones that are sent after them.
BULK_BYTES = 16_384


class Lane(enum.Enum):
    """The two kinds of connections to one daemon."""

    SHORT = enum.auto()
    BULK = enum.auto()


@attrs.define(eq=False)
class PendingCall:
    """A call that is to be sent or was sent to another daemon.

    Attributes:
        request: The call.
        on_reply: Called once with the reply.
        connection: The connection that carries it, None before it is sent.
        call_id: Number of the call on that connection.
        cancelled: Whether the call was abandoned.
    """

    request: CallRequest
    on_reply: OnReply
    connection: PeerConnection | None = None
    call_id: int = 0
    cancelled: bool = False

    def send(self, connection: PeerConnection) -> None:
        """Sends the call unless it was cancelled."""
        if self.cancelled:
            return
        self.connection = connection
        self.call_id = connection.call(self.request, self.on_reply)

    def is_sent(self) -> bool:
        """Returns whether any byte of the call may have left this daemon."""
        return self.connection is not None

    def cancel(self) -> None:
        """Abandons the call; its reply is dropped."""
        self.cancelled = True
        if self.connection:
            self.connection.cancel(self.call_id)

    def fail(self, detail: str) -> None:
        """Reports that no byte of the call left this daemon."""
        if not self.cancelled:
            self.on_reply(unsent_reply(detail))


@attrs.define(eq=False)
class LaneConnection:
    """The connection of one lane, opened when it is needed.

    Calls are sent only after the hello of the other daemon. Until then, the
    connection may still be waiting in the backlog of a daemon that stops.

    Attributes:
        connection: The last connection, None before the first.
        connecting: Whether a connection is being opened, up to the hello.
        queued: Calls that wait for the hello.
        failures: Consecutive failed attempts to connect.
        backoff_until: Time before which no attempt is made, seconds.
        last_used: Time at which the lane was last used, seconds.
        silent: Earlier connections, on which the daemon fell silent and calls
            are in flight.
    """

    connection: PeerConnection | None = None
    connecting: bool = False
    queued: list[PendingCall] = attrs.field(factory=list)
    failures: int = 0
    backoff_until: float = 0
    last_used: float = 0
    silent: SilentConnections = attrs.field(factory=SilentConnections)

    def is_open(self) -> bool:
        """Returns whether the connection can be used."""
        connection = self.connection
        return (
            connection is not None
            and connection.is_open()
            and connection.peer is not None
        )

    def is_unused(self, now: float) -> bool:
        """Returns whether the lane has had no use for a long time."""
        in_use = self.connecting or self.silent.connections
        return not in_use and now - self.last_used > IDLE_LIMIT_S

    def set_aside(self, connection: PeerConnection) -> None:
        """Leaves a silent connection to its calls in flight."""
        self.connection = None
        self.silent.add(connection)

    def record_failure(self, now: float) -> list[PendingCall]:
        """Sets the backoff and returns the calls that can't be sent."""
        pause = BACKOFF_FIRST_S * 2**self.failures
        self.failures += 1
        self.backoff_until = now + min(BACKOFF_LONGEST_S, pause)
        self.connecting = False
        queued = self.queued
        self.queued = []
        return queued

    def record_success(self) -> list[PendingCall]:
        """Returns the calls that wait for the connection."""
        self.connecting = False
        self.failures = 0
        queued = self.queued
        self.queued = []
        return queued


@attrs.define(eq=False)
class PeerLinks:
    """All outgoing connections to daemons: one of each lane for new calls.

    While a daemon is silent, its earlier connections stay open beside these
    for the calls in flight on them.

    Attributes:
        reactor: The reactor to connect with.
        context: The state and callbacks that all connections share.
        on_unreachable: Called with the id of a host after an attempt to
            connect failed.
        lanes: The connections by lane and by host, which includes its address.
    """

    reactor: Any
    context: PeerContext
    on_unreachable: Callable[[str], None] = lambda _host_id: None
    lanes: dict[tuple[Host, Lane], LaneConnection] = attrs.field(factory=dict)

    def incarnation_of(self, host: Host) -> int | None:
        """Returns the incarnation of a connected daemon, None for others."""
        incarnations = (
            lane.connection.peer.incarnation
            for (other, _), lane in self.lanes.items()
            if other.host_id == host.host_id
            and lane.connection is not None
            and lane.connection.is_open()
            and lane.connection.peer is not None
        )
        return next(incarnations, None)

    def connected_hosts(self) -> frozenset[str]:
        """Returns the ids of the hosts with an open connection."""
        return frozenset(
            host.host_id
            for (host, _), lane in self.lanes.items()
            if lane.is_open()
        )

    def send(self, host: Host, lane_kind: Lane, pending: PendingCall) -> None:
        """Sends a call now or as soon as a connection is open.

        Args:
            host: The host of the target.
            lane_kind: The lane to use.
            pending: The call; it records whether it was sent.
        """
        lane = self.connect(host, lane_kind)
        lane.last_used = self.reactor.seconds()
        if lane.connection and lane.is_open():
            pending.send(lane.connection)
        elif lane.connecting:
            lane.queued.append(pending)
        else:
            # The reply is sent only after this function has returned, as it is
            # after a failed attempt to connect.
            detail = 'connecting to the daemon failed a moment ago'
            self.reactor.callLater(0, pending.fail, detail)

    def connect(self, host: Host, lane_kind: Lane) -> LaneConnection:
        """Begins to open a connection unless it is open or in backoff."""
        lane = self.lanes.setdefault((host, lane_kind), LaneConnection())
        now = self.reactor.seconds()
        if lane.is_open() or lane.connecting or now < lane.backoff_until:
            return lane
        lane.connecting = True
        lane.last_used = now
        factory: Any = PeerFactory(self.context)
        endpoint = TCP4ClientEndpoint(
            self.reactor,
            host.address,
            host.peer_port,
            timeout=CONNECT_TIMEOUT_S,
        )
        connected = endpoint.connect(factory)
        connected.addCallbacks(
            self.on_connected,
            self.on_connect_failed,
            callbackArgs=(host, lane),
            errbackArgs=(host, lane),
        )
        return lane

    def on_connected(
        self,
        connection: PeerConnection,
        host: Host,
        lane: LaneConnection,
    ) -> None:
        """Waits for the hello of the other daemon."""
        lane.connection = connection
        timer = self.reactor.callLater(
            HELLO_TIMEOUT_S, self.end_without_hello, connection
        )

        def on_greeting(arrived: bool) -> None:
            if timer.active():
                timer.cancel()
            if arrived:
                self.on_greeted(connection, host, lane)
            else:
                detail = 'the daemon closed the connection before its hello'
                self.fail_lane(host, lane, detail)

        connection.greeting.on_end = on_greeting

    def end_without_hello(self, connection: PeerConnection) -> None:
        """Closes a connection unless its hello waits to be read."""

        def close() -> None:
            if connection.peer is None:
                connection.abort()

        after_reads(self.reactor, close)

    def on_greeted(
        self,
        connection: PeerConnection,
        host: Host,
        lane: LaneConnection,
    ) -> None:
        """Sends the calls that wait for the connection."""
        if lane.failures:
            log_event(
                Event.PEER_REACHABLE,
                'daemon accepts connections again',
                peer=host.host_id,
                after_failures=lane.failures,
            )
        if connection.peer:
            lane.silent.end_other_incarnations(connection.peer.incarnation)
        for pending in lane.record_success():
            pending.send(connection)

    def on_connect_failed(
        self,
        failure: Failure,
        host: Host,
        lane: LaneConnection,
    ) -> None:
        """Records that no connection was opened."""
        self.fail_lane(host, lane, str(failure.value))

    def fail_lane(self, host: Host, lane: LaneConnection, error: str) -> None:
        """Fails the calls that wait for a connection; none of them was sent."""
        if not lane.failures:
            log_event(
                Event.PEER_UNREACHABLE,
                'cannot connect to daemon',
                Severity.WARNING,
                peer=host.host_id,
                error=error,
            )
        queued = lane.record_failure(self.reactor.seconds())
        self.on_unreachable(host.host_id)
        lane.silent.end_unreachable()
        for pending in queued:
            pending.fail(f'no connection to the daemon ({error})')

    def end_backoff(self, host_id: str) -> None:
        """Allows new attempts to connect to a host at once."""
        for (host, _), lane in self.lanes.items():
            if host.host_id == host_id:
                lane.backoff_until = 0

    def check_heartbeats(self) -> None:
        """Closes unresponsive and unused connections, and pings the others."""
        now = self.reactor.seconds()
        for key, lane in tuple(self.lanes.items()):
            lane.silent.check_heartbeats()
            if lane.connection and lane.is_open():
                self.check_connection(key, lane, lane.connection)
            elif lane.is_unused(now):
                del self.lanes[key]

    def check_connection(
        self,
        key: tuple[Host, Lane],
        lane: LaneConnection,
        connection: PeerConnection,
    ) -> None:
        """Closes a connection if it is idle, else checks its heartbeat.

        If the daemon is silent, another connection is opened at once: it tells
        whether the daemon is reachable, and takes the new calls.
        """
        unused_s = self.reactor.seconds() - lane.last_used
        if unused_s > IDLE_LIMIT_S and connection.is_idle():
            connection.abort()
            return
        connection.check_heartbeat()
        if connection.silent_intervals and connection.is_open():
            log_event(
                Event.PEER_SILENT,
                'daemon is silent, new calls use another connection',
                Severity.WARNING,
                peer=key[0].host_id,
                calls=len(connection.pending_replies),
            )
            lane.set_aside(connection)
            self.connect(*key)

    def reset_heartbeats(self) -> None:
        """Restarts all heartbeats after a pause of this process."""
        for lane in self.lanes.values():
            lane.silent.reset_heartbeats()
            if lane.connection:
                lane.connection.reset_heartbeat()

    def close(self) -> None:
        """Closes all connections at once."""
        for lane in self.lanes.values():
            lane.silent.close()
            if lane.connection:
                lane.connection.abort()


def lane_for(size: int, is_long: bool) -> Lane:
    """Returns the lane for a call.

    Args:
        size: Size of the request or of the answers of its route, bytes.
        is_long: Whether the route declares long work.
    """
    return Lane.BULK if is_long or size > BULK_BYTES else Lane.SHORT


def unsent_reply(detail: str) -> CallReply:
    """Returns the reply for a call of which no byte left this daemon."""
    return refusal_reply(0, Refusal.not_run(Reason.NO_TARGET, detail))
