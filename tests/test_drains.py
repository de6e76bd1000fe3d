"""Tests of what a stop of the call path waits for, without processes."""

from collections.abc import Callable
from functools import partial
from typing import Any

import attrs
import pytest
from twisted.internet.defer import Deferred, succeed
from twisted.internet.testing import MemoryReactorClock

from egretlanding.calls import CallService
from egretlanding.frames import Hello, Pong, encode_frame
from egretlanding.hosts import Host
from egretlanding.httpmessages import HttpResponse
from egretlanding.httpserver import HttpExchange, HttpServer, HttpServerFactory
from egretlanding.lanes import Lane, LaneConnection
from egretlanding.peers import PeerConnection, PeerContext, PeerFactory
from egretlanding.sidecarconfig import SidecarConfig
from egretlanding.tcpwrites import UNTRIED_BUFFER
from tests.wires import Wire

GRACE_S = 6
STEP_S = 0.05
HOST = Host('h2', '127.0.0.2', 1, 2, 3, 'north', 'z1', 'orders')
REQUEST = b'GET /a HTTP/1.1\r\nhost: h\r\n\r\n'
CONFIG = SidecarConfig(
    host_id='h1',
    address='127.0.0.1',
    callers='127.0.0.1:1',
    peers='127.0.0.1:2',
    readiness='127.0.0.1:3',
    metrics_port=4,
    target='127.0.0.1:5',
    region='north',
    failure_domain='z1',
    regions=('z1=north',),
    service='orders',
    store='127.0.0.1:6',
)


class SlowWire(Wire):
    """A transport whose other side reads nothing before `read_all`."""

    offset = 0

    def __init__(self) -> None:
        super().__init__()
        self.dataBuffer = b''
        self.half_closed = False
        self.half_closes = True
        self.aborted = False
        setattr(self, UNTRIED_BUFFER, [])

    def write(self, data: bytes) -> None:
        self.dataBuffer += data

    def loseConnection(self) -> None:
        self.disconnecting = True
        self.close_once_sent()

    def loseWriteConnection(self) -> None:
        self.half_closed = True
        self.close_once_sent()

    def abortConnection(self) -> None:
        self.aborted = True
        super().loseConnection()

    def read_all(self) -> None:
        """Reads everything, and answers the end of a stream with another."""
        super().write(self.dataBuffer)
        self.dataBuffer = b''
        self.close_once_sent()

    def close_once_sent(self) -> None:
        """Closes the connection if that was asked for and nothing is left."""
        answers_close = self.half_closed and self.half_closes
        if not self.dataBuffer and (self.disconnecting or answers_close):
            super().loseConnection()


@attrs.define(eq=False)
class Stop:
    """A call path that is stopped, and its clock.

    Attributes:
        reactor: The clock.
        service: The call path.
        exchanges: The requests that it received.
        ended: Whether the stop has ended.
    """

    reactor: MemoryReactorClock
    service: CallService
    exchanges: list[HttpExchange] = attrs.field(factory=list)
    ended: bool = False

    @classmethod
    def create(cls) -> 'Stop':
        """Builds a call path, of which nothing was stopped yet."""
        reactor = MemoryReactorClock()
        service = CallService.from_config(reactor, CONFIG, 1)  # type: ignore[arg-type]
        service.drain_notice_s = 3
        service.close_timeout_s = GRACE_S
        service.grace_s = GRACE_S
        stop = cls(reactor, service)
        service.http.handler = stop.exchanges.append
        return stop

    def caller(self) -> tuple[HttpServer, SlowWire]:
        """Connects a caller."""
        server = self.service.http.buildProtocol(None)
        return server, attach_slowly(server)

    def peer(self) -> tuple[PeerConnection, SlowWire]:
        """Connects another daemon."""
        context = self.service.links.context
        connection = PeerFactory(context).buildProtocol(None)
        return connection, attach_slowly(connection)

    def begin(self) -> None:
        """Begins the stop."""
        drained: Deferred[None] = self.service.drain()
        drained.addCallback(lambda _nothing: self.end())

    def end(self) -> None:
        """Records the end of the stop."""
        self.ended = True

    def advance(self, seconds: float) -> None:
        """Lets time pass."""
        self.reactor.pump([STEP_S] * round(seconds / STEP_S))


def attach_slowly(protocol: Any) -> SlowWire:
    """Connects a protocol to a transport that nobody reads yet."""
    wire = SlowWire()
    wire.protocol = protocol
    protocol.makeConnection(wire)
    return wire


# Failure: idle connections stayed open while another call was in flight.
def test_idle_connections_close_though_a_call_is_in_flight() -> None:
    stop = Stop.create()
    stop.service.ingress.active_calls.add(object())  # type: ignore[arg-type]
    _, idle = stop.caller()
    stop.begin()
    stop.advance(2.9)
    assert idle.connected
    stop.advance(0.3)
    assert not idle.connected


# Failure: a request whose bytes still arrived was cut when the ports closed.
def test_a_request_that_is_arriving_is_read_to_its_end() -> None:
    stop = Stop.create()
    server, wire = stop.caller()
    server.dataReceived(REQUEST[:-4])
    stop.begin()
    stop.advance(3.2)
    server.dataReceived(REQUEST[-4:])
    stop.exchanges[0].respond(HttpResponse(200, [], b'whole'))
    wire.read_all()
    assert wire.value().endswith(b'whole')
    assert b'connection: close' in wire.value()


# Failure: the end of an answer was lost 0.4 s after the last call had ended.
def test_a_slow_caller_reads_its_answer_until_the_grace_time_ends() -> None:
    stop = Stop.create()
    server, wire = stop.caller()
    server.dataReceived(REQUEST)
    stop.begin()
    stop.exchanges[0].respond(HttpResponse(200, [], b'whole'))
    stop.advance(5)
    assert not stop.ended
    wire.read_all()
    stop.advance(0.2)
    assert wire.value().endswith(b'whole')
    assert stop.ended


def test_a_stop_ends_within_the_grace_time_though_a_caller_never_reads() -> (
    None
):
    stop = Stop.create()
    server, _ = stop.caller()
    server.dataReceived(REQUEST)
    stop.begin()
    stop.exchanges[0].respond(HttpResponse(200, [], b'whole'))
    stop.advance(GRACE_S)
    assert stop.ended


# Failure: the connections to other daemons were aborted with replies in them.
def test_replies_to_other_daemons_are_sent_before_a_stop_ends() -> None:
    stop = Stop.create()
    connection, wire = stop.peer()
    stop.begin()
    reply = b'reply'
    connection.transport.write(reply)
    stop.advance(4)
    assert not stop.ended
    assert not wire.aborted
    wire.read_all()
    stop.advance(0.2)
    assert wire.value().endswith(reply)
    assert stop.ended


# Failure: a daemon that didn't answer held every stop of the others up to the
# end of the grace time.
def test_a_daemon_that_never_closes_does_not_hold_a_stop() -> None:
    stop = Stop.create()
    _, wire = stop.peer()
    wire.half_closes = False
    wire.read_all()
    stop.begin()
    stop.advance(3.1)
    assert not stop.ended
    stop.advance(1.2)
    assert stop.ended


def test_a_stop_ends_in_time_though_a_daemon_never_reads() -> None:
    stop = Stop.create()
    connection, _ = stop.peer()
    stop.begin()
    connection.transport.write(b'reply')
    stop.advance(GRACE_S)
    assert stop.ended


# Failure: a daemon that was busy or paused closed connections as idle or
# unresponsive although requests or replies on them waited to be read.
def test_what_has_arrived_is_read_before_connections_are_closed() -> None:
    stop = Stop.create()
    server, caller_wire = stop.caller()
    connection, peer_wire = stop.peer()
    stop.service.links.lanes[HOST, Lane.SHORT] = LaneConnection(connection)
    connection.peer = Hello('h2', 1)
    connection.check_heartbeat()
    stop.reactor.rightNow += stop.service.http.limits.idle_s + 1
    stop.service.links.lanes[HOST, Lane.SHORT].last_used = stop.reactor.rightNow
    stop.service.tick()
    # The reactor reads after the timers that were due.
    server.dataReceived(REQUEST)
    pong = encode_frame(Pong())
    connection.dataReceived(len(pong).to_bytes(4, 'big') + pong)
    stop.reactor.advance(0)
    assert caller_wire.connected
    assert not peer_wire.aborted
    assert len(stop.exchanges) == 1


def test_idle_and_unresponsive_connections_are_closed() -> None:
    stop = Stop.create()
    _, caller_wire = stop.caller()
    connection, peer_wire = stop.peer()
    stop.service.links.lanes[HOST, Lane.SHORT] = LaneConnection(connection)
    connection.peer = Hello('h2', 1)
    connection.check_heartbeat()
    stop.reactor.rightNow += stop.service.http.limits.idle_s + 1
    stop.service.tick()
    stop.reactor.advance(0)
    assert not caller_wire.connected
    assert peer_wire.aborted


@attrs.define(eq=False)
class PortOfBusyReactor:
    """A port after whose closing the reactor has a request to read.

    Attributes:
        reactor: The clock.
        read: Reads the request.
    """

    reactor: MemoryReactorClock
    read: Callable[[], None]

    def stopListening(self) -> Deferred[None]:
        """Closes the port; the reactor reads in its next round."""
        self.reactor.callLater(0, self.read)
        return succeed(None)


# Failure: a request that had arrived when a stop closed the idle connections
# was neither read nor answered.
def test_a_request_that_has_arrived_is_served_when_the_ports_close() -> None:
    stop = Stop.create()
    server, wire = stop.caller()
    read = partial(server.dataReceived, REQUEST)
    stop.service.ports.append(PortOfBusyReactor(stop.reactor, read))
    stop.begin()
    stop.advance(3.1)
    stop.exchanges[0].respond(HttpResponse(200, [], b'whole'))
    wire.read_all()
    assert wire.value().endswith(b'whole')


# Failure: an unexpected error in one step of a stop kept the process running
# until it was killed.
@pytest.mark.parametrize(
    ('owner', 'step'),
    [
        (HttpServerFactory, 'drain'),
        (HttpServerFactory, 'close'),
        (PeerContext, 'end_output'),
    ],
)
def test_a_stop_ends_though_a_step_of_it_fails(
    owner: type, step: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    def fail(_owner: Any) -> None:
        raise LookupError

    monkeypatch.setattr(owner, step, fail)
    stop = Stop.create()
    stop.begin()
    stop.advance(GRACE_S)
    assert stop.ended
