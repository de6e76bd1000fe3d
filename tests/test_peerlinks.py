"""Tests of the persistent connections to other daemons."""

from twisted.internet.testing import MemoryReactorClock

from egretlanding.frames import CallReply, CallRequest, Hello, Ran
from egretlanding.hosts import Host
from egretlanding.outcomes import Execution, Reason, Refusal
from egretlanding.peerlinks import Lane, PeerLinks, PendingCall
from egretlanding.peers import PeerContext

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
