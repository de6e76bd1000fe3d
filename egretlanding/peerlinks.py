"""Persistent connections to the daemons that this one sends calls to."""

from collections.abc import Callable
from typing import Any

import attrs
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.python.failure import Failure

from egretlanding.events import Event, Severity, log_event
from egretlanding.frames import Ping
from egretlanding.hosts import Host
from egretlanding.lanes import (
    IDLE_LIMIT_S,
    Lane,
    LaneConnection,
    PendingCall,
)
from egretlanding.peers import (
    PeerConnection,
    PeerContext,
    PeerFactory,
)
from egretlanding.reads import after_reads

CONNECT_TIMEOUT_S = 0.5
# Time from an open connection to the hello of the other daemon, seconds.
HELLO_TIMEOUT_S = 1.0
# Time from a ping on a connection that was unused to its answer, seconds.
PROBE_TIMEOUT_S = 0.25
HEARTBEAT_S = 1


@attrs.define(eq=False)
class PeerLinks:
    """All outgoing connections to daemons: one of each lane for new calls.

    While a daemon is silent, its earlier connections stay open beside these
    for the calls in flight on them. An unused connection gets no heartbeats;
    the next call waits until the other daemon has answered a ping on it.

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
        """Sends a call now or as soon as a connection is known to work.

        Args:
            host: The host of the target.
            lane_kind: The lane to use.
            pending: The call; it records whether it was sent.
        """
        lane = self.connect(host, lane_kind)
        now = self.reactor.seconds()
        if lane.connection and lane.is_open() and lane.rests(now):
            self.probe(host, lane_kind, lane.connection)
        lane.last_used = now
        if lane.connecting:
            lane.queued.append(pending)
        elif lane.connection and lane.is_open():
            pending.send(lane.connection)
        else:
            # The reply is sent only after this function has returned, as it is
            # after a failed attempt to connect.
            detail = 'connecting to the daemon failed a moment ago'
            self.reactor.callLater(0, pending.fail, detail)

    def probe(
        self, host: Host, lane_kind: Lane, connection: PeerConnection
    ) -> None:
        """Pings on a connection before calls use it again.

        If no answer comes, the calls that wait for it use a new connection.

        Args:
            host: The host of the other daemon.
            lane_kind: The lane of the connection.
            connection: The connection.
        """
        lane = self.lanes[host, lane_kind]
        lane.connecting = True
        timer = self.reactor.callLater(
            PROBE_TIMEOUT_S, end_without_pong, self.reactor, connection
        )

        def on_pong(arrived: bool) -> None:
            if timer.active():
                timer.cancel()
            if arrived:
                for pending in lane.record_success():
                    pending.send(connection)
            else:
                lane.connecting = False
                self.connect(host, lane_kind)

        connection.pong.on_end = on_pong
        connection.send(Ping())

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
        """Closes an idle connection, or checks the heartbeat of one in use.

        If the daemon is silent, another connection is opened at once: it tells
        whether the daemon is reachable, and takes the new calls.
        """
        now = self.reactor.seconds()
        if now - lane.last_used > IDLE_LIMIT_S and connection.is_idle():
            connection.abort()
            return
        if lane.rests(now) or connection.pong.is_expected():
            connection.reset_heartbeat()
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


def end_without_pong(reactor: Any, connection: PeerConnection) -> None:
    """Closes a connection unless its pong waits to be read.

    Args:
        reactor: The reactor.
        connection: The connection, on which a ping was sent.
    """

    def close() -> None:
        if connection.pong.is_expected():
            connection.abort()
            connection.pong.end(arrived=False)

    after_reads(reactor, close)
