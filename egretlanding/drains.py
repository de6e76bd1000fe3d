"""Stops the call path of a daemon without interrupting any call."""

from typing import TYPE_CHECKING

import attrs
from twisted.internet.task import LoopingCall, deferLater

from egretlanding.events import Event, log_event

if TYPE_CHECKING:
    from egretlanding.calls import CallService

DRAIN_POLL_S = 0.02
# Time between two log lines on what a drain waits for, seconds.
DRAIN_REPORT_S = 1.0


@attrs.define(eq=False)
class Drain:
    """Waits for the calls in flight, and closes all ports and connections.

    Attributes:
        service: The call path.
    """

    service: 'CallService'

    async def run(self) -> None:
        """Ends when no call is in flight and all connections are closed."""
        service = self.service
        reactor = service.reactor
        reports = LoopingCall(self.report, Event.DRAIN_WAITING)
        reports.clock = reactor
        reports.start(DRAIN_REPORT_S)
        await deferLater(reactor, service.drain_notice_s)
        for port in service.ports:
            await port.stopListening()
        # No further request begins on a connection that closes here.
        service.http.drain()
        await self.finish_calls()
        reports.stop()
        self.report(Event.DRAIN_ENDED)
        service.close()

    async def finish_calls(self) -> None:
        """Waits for calls in flight, and for callers to read their answers."""
        service = self.service
        reactor = service.reactor
        deadline = reactor.seconds() + service.close_timeout_s
        while service.in_flight or (
            service.http.connections and reactor.seconds() < deadline
        ):
            if service.in_flight:
                deadline = reactor.seconds() + service.close_timeout_s
            await deferLater(reactor, DRAIN_POLL_S)

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
