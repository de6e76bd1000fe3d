"""Tests of the persistent connections to other daemons."""

import attrs
import pytest
from twisted.internet.error import ConnectError
from twisted.internet.testing import MemoryReactorClock
from twisted.python.failure import Failure

from egretlanding.frames import (
    AnyFrame,
    CallReply,
    CallRequest,
    Hello,
    Ping,
    Pong,
    Ran,
    encode_frame,
)
from egretlanding.hosts import Host
from egretlanding.lanes import REST_AFTER_S, Lane, PendingCall
from egretlanding.outcomes import Execution, Reason, Refusal
from egretlanding.peerlinks import (
    HEARTBEAT_S,
    HELLO_TIMEOUT_S,
    PROBE_TIMEOUT_S,
    PeerLinks,
)
from egretlanding.peers import PeerConnection, PeerContext
from tests.wires import Wire, attach

HOST = Host('h1', '127.0.0.1', 1, 2, 3, 'west', 'zone-a', 'front')


def make_links(reactor: MemoryReactorClock) -> PeerLinks:
    """Builds links to which no daemon is connected."""
    context = PeerContext(
        hello=Hello('h0', 1, ready=True),
        on_call=lambda _connection, _call: None,
        on_cancel=lambda _connection, _call_id: None,
        on_close=lambda _connection: None,
    )
    return PeerLinks(reactor, context)


def test_a_refused_call_is_known_as_unsent_before_its_reply() -> None:
    reactor = MemoryReactorClock()
    links = make_links(reactor)
    links.connect(HOST, Lane.SHORT).record_failure(reactor.seconds())
    replies: list[CallReply] = []
    request = CallRequest(0, 'GET', '/', [], b'', 'route', 100, 50)
    pending = PendingCall(request, replies.append)
    links.send(HOST, Lane.SHORT, pending)
    assert not replies
    assert not pending.is_sent()
    reactor.advance(0)
    assert [reply.ran for reply in replies] == [Ran.NOT_RUN]


def test_refusals_of_keyed_calls_rule_out_no_earlier_run() -> None:
    late = Refusal.not_run(Reason.DEADLINE, 'late')
    assert late.for_keyed_call().execution is Execution.UNKNOWN
    malformed = Refusal.not_run(Reason.KEY_MALFORMED, 'no UUID')
    assert malformed.for_keyed_call().execution is Execution.NOT_RUN


def open_lane(
    reactor: MemoryReactorClock, links: PeerLinks
) -> tuple[list[CallReply], PeerConnection, Wire]:
    """Sends a call on a new connection that the other side accepted."""
    replies: list[CallReply] = []
    request = CallRequest(0, 'GET', '/', [], b'', 'route', 100, 50)
    links.send(HOST, Lane.SHORT, PendingCall(request, replies.append))
    factory = reactor.tcpClients[0][2]
    connection = factory.buildProtocol(None)._wrappedProtocol
    wire = attach(connection)
    factory._onConnection.callback(connection)
    return replies, connection, wire


# Guards against a call that fails as possibly run when the daemon beside the
# target stops before it accepts the connection.
def test_a_call_isnt_lost_on_a_connection_that_nobody_accepted() -> None:
    reactor = MemoryReactorClock()
    replies, _, wire = open_lane(reactor, make_links(reactor))
    wire.loseConnection()
    assert [reply.ran for reply in replies] == [Ran.NOT_RUN]


def test_a_call_is_sent_once_the_other_daemon_has_said_hello() -> None:
    reactor = MemoryReactorClock()
    replies, connection, wire = open_lane(reactor, make_links(reactor))
    assert b'/' not in wire.value()
    hello = encode_frame(Hello('h1', 1, ready=True))
    connection.dataReceived(len(hello).to_bytes(4, 'big') + hello)
    assert b'/' in wire.value()
    assert not replies


def test_a_daemon_that_says_no_hello_gets_no_call() -> None:
    reactor = MemoryReactorClock()
    replies, _, wire = open_lane(reactor, make_links(reactor))
    reactor.advance(HELLO_TIMEOUT_S)
    assert not wire.connected
    assert [reply.ran for reply in replies] == [Ran.NOT_RUN]


class AbortingWire(Wire):
    """A transport that reports its abort later, as TCP does."""

    def abortConnection(self) -> None:
        """Leaves the connection open for now."""


# Failure: a call that began just after its connection was aborted was sent on
# it, and failed as possibly run.
def test_a_call_is_not_sent_on_an_aborted_connection() -> None:
    reactor = MemoryReactorClock()
    links = make_links(reactor)
    _, connection, _ = open_lane(reactor, links)
    hello = encode_frame(Hello('h1', 1, ready=True))
    connection.dataReceived(len(hello).to_bytes(4, 'big') + hello)
    wire = AbortingWire()
    connection.transport = wire
    connection.abort()
    request = CallRequest(0, 'GET', '/late', [], b'', 'route', 100, 50)
    pending = PendingCall(request, lambda _reply: None)
    links.send(HOST, Lane.SHORT, pending)
    assert not pending.is_sent()
    assert len(reactor.tcpClients) == 2


# Guards against a connection that is closed although its hello has arrived.
def test_a_hello_that_has_arrived_is_read_before_its_time_out() -> None:
    reactor = MemoryReactorClock()
    _, connection, wire = open_lane(reactor, make_links(reactor))
    hello = encode_frame(Hello('h1', 1, ready=True))
    prefixed = len(hello).to_bytes(4, 'big') + hello
    # The reactor reads after the timers that were due.
    reactor.callLater(HELLO_TIMEOUT_S, connection.dataReceived, prefixed)
    reactor.advance(HELLO_TIMEOUT_S)
    assert wire.connected


@attrs.define(eq=False)
class SilentPeer:
    """Links to a daemon that has fallen silent with one call in flight.

    Attributes:
        reactor: The reactor.
        links: The links.
        replies: The replies to the call.
        connection: The connection that carries the call.
        unreachable: The ids of the hosts that were found unreachable.
    """

    reactor: MemoryReactorClock
    links: PeerLinks
    replies: list[CallReply]
    connection: PeerConnection
    unreachable: list[str]

    @classmethod
    def create(cls) -> 'SilentPeer':
        """Builds the links and lets one heartbeat pass without a byte."""
        reactor = MemoryReactorClock()
        links = make_links(reactor)
        replies, connection, _ = open_lane(reactor, links)
        greet(connection, 1)
        unreachable: list[str] = []
        links.on_unreachable = unreachable.append
        links.check_heartbeats()
        links.check_heartbeats()
        return cls(reactor, links, replies, connection, unreachable)

    def accept(self) -> tuple[PeerConnection, Wire]:
        """Accepts the latest attempt to connect."""
        factory = self.reactor.tcpClients[-1][2]
        connection = factory.buildProtocol(None)._wrappedProtocol
        wire = attach(connection)
        factory._onConnection.callback(connection)
        return connection, wire

    def refuse(self) -> None:
        """Lets the latest attempt to connect fail."""
        factory = self.reactor.tcpClients[-1][2]
        factory.clientConnectionFailed(None, Failure(ConnectError()))

    def call(self) -> list[CallReply]:
        """Sends another call and returns the list of its replies."""
        replies: list[CallReply] = []
        request = CallRequest(0, 'GET', '/new', [], b'', 'route', 100, 50)
        self.links.send(HOST, Lane.SHORT, PendingCall(request, replies.append))
        return replies

    def answer(self) -> None:
        """Lets the reply to the first call arrive."""
        receive(self.connection, CallReply(1, 200, [], b''))


def receive(connection: PeerConnection, frame: AnyFrame) -> None:
    """Lets a frame of the other daemon arrive."""
    encoded = encode_frame(frame)
    connection.dataReceived(len(encoded).to_bytes(4, 'big') + encoded)


def greet(connection: PeerConnection, incarnation: int) -> None:
    """Lets the hello of the other daemon arrive."""
    receive(connection, Hello('h1', incarnation, ready=True))


# Failure: the calls in flight to a daemon that was only busy for a second
# failed as possibly run.
def test_calls_in_flight_to_a_busy_daemon_are_answered() -> None:
    peer = SilentPeer.create()
    new_replies = peer.call()
    connection, wire = peer.accept()
    assert b'/new' not in wire.value()
    greet(connection, 1)
    assert b'/new' in wire.value()
    peer.answer()
    assert [reply.status for reply in peer.replies] == [200]
    assert not new_replies


# Failure: a call would wait for the reply of a daemon that can't be reached,
# until it is too late to answer its caller.
@pytest.mark.parametrize('accepts', [True, False])
def test_calls_in_flight_fail_once_a_silent_daemon_is_unreachable(
    accepts: bool,
) -> None:
    peer = SilentPeer.create()
    new_replies = peer.call()
    if accepts:
        peer.accept()
        peer.reactor.advance(HELLO_TIMEOUT_S)
    else:
        peer.refuse()
    assert [reply.ran for reply in peer.replies] == [Ran.UNKNOWN]
    assert [reply.ran for reply in new_replies] == [Ran.NOT_RUN]
    assert peer.unreachable == ['h1']


# Failure: a daemon that has spoken again would lose its calls because a
# connection to it could not be opened while it was busy.
def test_calls_go_on_if_the_daemon_speaks_before_the_attempt_fails() -> None:
    peer = SilentPeer.create()
    receive(peer.connection, Pong())
    peer.refuse()
    peer.answer()
    assert [reply.status for reply in peer.replies] == [200]


# Failure: a call with a long deadline would wait on a connection that has
# been silent for good.
def test_a_connection_that_stays_silent_is_closed() -> None:
    peer = SilentPeer.create()
    greet(peer.accept()[0], 1)
    peer.links.check_heartbeats()
    assert not peer.replies
    peer.links.check_heartbeats()
    assert [reply.ran for reply in peer.replies] == [Ran.UNKNOWN]


# Failure: a call would wait for a process that another one has replaced.
def test_calls_in_flight_fail_once_another_process_says_hello() -> None:
    peer = SilentPeer.create()
    greet(peer.accept()[0], 2)
    assert [reply.ran for reply in peer.replies] == [Ran.UNKNOWN]


# Failure: connections that were set aside would stay open for ever.
def test_a_connection_set_aside_closes_after_its_last_call() -> None:
    peer = SilentPeer.create()
    latest, _ = peer.accept()
    greet(latest, 1)
    peer.answer()
    peer.links.check_heartbeats()
    assert not peer.connection.is_open()
    assert peer.links.context.connections == {latest}


def test_connections_set_aside_are_closed_with_all_others() -> None:
    peer = SilentPeer.create()
    peer.links.close()
    assert not peer.connection.is_open()


# Failure: a pause of this process would count as a silence of the others.
def test_a_pause_does_not_count_for_connections_set_aside() -> None:
    peer = SilentPeer.create()
    greet(peer.accept()[0], 1)
    for _ in range(3):
        peer.links.check_heartbeats()
        peer.links.reset_heartbeats()
    assert not peer.replies


def connected_peer() -> tuple[SilentPeer, Wire]:
    """Returns a daemon that has answered the only call on its connection."""
    reactor = MemoryReactorClock()
    links = make_links(reactor)
    replies, connection, wire = open_lane(reactor, links)
    greet(connection, 1)
    receive(connection, CallReply(1, 200, [], b''))
    assert [reply.status for reply in replies] == [200]
    wire.clear()
    return SilentPeer(reactor, links, [], connection, []), wire


def rest(peer: SilentPeer) -> None:
    """Leaves a connection unused for some heartbeats, which are answered."""
    for _ in range(REST_AFTER_S + 1):
        peer.reactor.advance(HEARTBEAT_S)
        peer.links.check_heartbeats()
        receive(peer.connection, Pong())


def framed(frame: AnyFrame) -> bytes:
    """Returns a frame as it is sent."""
    encoded = encode_frame(frame)
    return len(encoded).to_bytes(4, 'big') + encoded


# Load: many hosts, few calls to each. The heartbeats on all connections took
# more processor time than the calls.
def test_an_unused_connection_gets_no_heartbeats() -> None:
    peer, wire = connected_peer()
    peer.links.check_heartbeats()
    assert wire.value() == framed(Ping())
    receive(peer.connection, Pong())
    rest(peer)
    wire.clear()
    rest(peer)
    assert not wire.value()
    assert peer.connection.is_open()


def test_a_call_waits_for_a_sign_of_life_on_an_unused_connection() -> None:
    peer, wire = connected_peer()
    rest(peer)
    wire.clear()
    first, second = peer.call(), peer.call()
    assert wire.value() == framed(Ping())
    receive(peer.connection, Pong())
    assert wire.value().count(b'/new') == 2
    for call_id in (2, 3):
        receive(peer.connection, CallReply(call_id, 200, [], b''))
    assert [reply.status for reply in (*first, *second)] == [200, 200]
    assert not peer.call()
    assert wire.value().count(b'/new') == 3


# Failure: a connection that fell silent while it was unused took calls, which
# failed as possibly run.
def test_a_call_avoids_a_connection_that_fell_silent_unused() -> None:
    peer, wire = connected_peer()
    rest(peer)
    replies = peer.call()
    peer.reactor.advance(PROBE_TIMEOUT_S)
    peer.reactor.advance(0)
    assert not peer.connection.is_open()
    assert b'/new' not in wire.value()
    connection, new_wire = peer.accept()
    greet(connection, 1)
    assert b'/new' in new_wire.value()
    assert not replies


@pytest.mark.parametrize('closes', [True, False])
def test_a_call_on_an_unused_connection_to_a_dead_daemon_is_not_run(
    closes: bool,
) -> None:
    peer, wire = connected_peer()
    rest(peer)
    replies = peer.call()
    if closes:
        wire.loseConnection()
    else:
        peer.reactor.advance(PROBE_TIMEOUT_S)
        peer.reactor.advance(0)
    peer.refuse()
    assert [reply.ran for reply in replies] == [Ran.NOT_RUN]


# Guards against a probe that ends because this process was busy, although the
# sign of life has arrived.
def test_a_sign_of_life_that_has_arrived_is_read_before_its_time_out() -> None:
    peer, wire = connected_peer()
    rest(peer)
    peer.call()
    peer.reactor.callLater(
        PROBE_TIMEOUT_S, peer.connection.dataReceived, framed(Pong())
    )
    peer.reactor.advance(PROBE_TIMEOUT_S)
    assert peer.connection.is_open()
    assert b'/new' in wire.value()
