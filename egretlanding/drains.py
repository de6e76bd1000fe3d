"""Stops the call path of a daemon without interrupting any call."""

from typing import TYPE_CHECKING, Any

import attrs
from twisted.internet.task import LoopingCall, deferLater

from egretlanding.containment import contained
from egretlanding.events import Event, log_event
from egretlanding.tcpwrites import unsent_bytes

if TYPE_CHECKING:
    from egretlanding.calls import CallService

DRAIN_POLL_S = 0.02
# Time between two log lines on what a drain waits for, seconds.
DRAIN_REPORT_S = 1.0
# Part of the grace time that is kept for the process to end, seconds.
EXIT_MARGIN_S = 0.3
# Time for other daemons to close connections on which all was sent, seconds.
PEER_CLOSE_TIMEOUT_S = 1.0
# Largest part of the time of a drain for which the ports stay open.
NOTICE_SHARE = 0.6


@attrs.define(eq=False)
class Drain:
    """Waits for the calls in flight, and closes all ports and connections.

    Attributes:
        service: The call path.
        notice_until: Time at which the ports close, monotonic seconds.
        ends_at: Time at which the drain ends at the latest, monotonic seconds.
    """

    service: 'CallService'
    notice_until: float
    ends_at: float

    @classmethod
    def of_service(cls, service: 'CallService') -> 'Drain':
        """Builds a drain that begins now."""
        now = service.reactor.seconds()
        longest_s = max(0, service.grace_s - EXIT_MARGIN_S)
        notice_s = min(service.drain_notice_s, longest_s * NOTICE_SHARE)
        return cls(service, now + notice_s, now + longest_s)

    async def run(self) -> None:
        """Ends when no call is in flight and all connections are closed.

        It ends before the grace time is over, whatever is left, and also if a
        step fails with an unexpected error.
        """
        reports = LoopingCall(self.report, Event.DRAIN_WAITING)
        reports.clock = self.service.reactor
        reports.start(DRAIN_REPORT_S)
        steps = (self.close_ports, self.finish_calls, self.finish_replies)
        for step in steps:
            with contained(f'stop, {step.__name__}'):
                await step()
        reports.stop()
        self.report(Event.DRAIN_ENDED)
        with contained('stop, close'):
            self.service.close()

    async def close_ports(self) -> None:
        """Closes the ports and idle connections at the end of the notice."""
        service = self.service
        reactor = service.reactor
        await deferLater(reactor, self.notice_until - reactor.seconds())
        # A port that closes resets the connections that wait to be accepted,
        # with their requests.
        for port in service.ports:
            accept_all(port)
        await deferLater(reactor, 0)
        for port in service.ports:
            await port.stopListening()
        # What has arrived is read in the next round of the reactor; no further
        # request begins on a connection that closes after it.
        await deferLater(reactor, 0)
        service.http.drain()

    async def finish_calls(self) -> None:
        """Waits for calls in flight, and for callers to read their answers."""
        service = self.service
        now = service.reactor.seconds()
        last_busy = now
        while now < min(self.ends_at, last_busy + service.close_timeout_s):
            if service.in_flight:
                last_busy = now
            elif not service.http.connections:
                break
            await deferLater(service.reactor, DRAIN_POLL_S)
            service.http.end_lingering()
            now = service.reactor.seconds()

    async def finish_replies(self) -> None:
        """Waits for other daemons to read the replies to their calls."""
        service = self.service
        context = service.links.context
        now = service.reactor.seconds()
        closing_until = now + PEER_CLOSE_TIMEOUT_S
        open_now = frozenset(context.connections)
        context.end_output()
        while now < self.ends_at:
            left = open_now & context.connections
            is_sent = not any(unsent_bytes(peer.transport) for peer in left)
            if not left or (is_sent and now >= closing_until):
                break
            await deferLater(service.reactor, DRAIN_POLL_S)
            now = service.reactor.seconds()

    def report(self, event: Event) -> None:
        """Logs what the drain waits for, or what it leaves at its end."""
        service = self.service
        log_event(
            event,
            'drain of the call path',
            callers=len(service.http.connections),
            in_flight=len(service.ingress.active_calls),
            at_target=len(service.egress.table.jobs),
            unsent_bytes=service.http.unsent_bytes(),
        )


def accept_all(port: Any) -> None:
    """Lets a port accept all waiting connections in the reactor's next round.

    Args:
        port: A listening TCP port; one without a backlog, as in tests, is not
            changed.
    """
    if hasattr(port, 'backlog'):
        port.numberAccepts = max(port.numberAccepts, port.backlog + 1)
