"""Tests of the persistent connections to other daemons."""

from twisted.internet.testing import MemoryReactorClock

from egretlanding.frames import (
    CallReply,
    CallRequest,
    Hello,
    Ran,
    encode_frame,
)
from egretlanding.hosts import Host
from egretlanding.outcomes import Execution, Reason, Refusal
from egretlanding.peerlinks import (
    HELLO_TIMEOUT_S,
    Lane,
    PeerLinks,
    PendingCall,
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
