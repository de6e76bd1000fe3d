"""A stand-in for a target: an HTTP server with a limited number of slots.

Headers of a call control how it runs: `x-service-ms` is its service time,
`x-answer-bytes` is the number of bytes that pad its answer, and with `x-crash`
the process kills itself while the call runs. Every execution is recorded and
can be read at `/executions`.
"""

import json
import os
import signal
import time
from typing import Any

import attrs
import defopt
from twisted.internet import reactor as default_reactor
from twisted.internet.defer import Deferred
from twisted.internet.endpoints import TCP4ServerEndpoint
from twisted.web import http
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET, Site

REPORT_INTERVAL_S = 2.0
CANCELLED_STATUS = 499


@attrs.frozen
class Execution:
    """One execution of a call.

    Attributes:
        key: The idempotency key, empty if there is none.
        path: Path and query of the request.
        body: The first bytes of the body.
        began: Start of the execution, s since the epoch.
    """

    key: str
    path: str
    body: str
    began: float


@attrs.define(eq=False)
class TargetState:
    """The state of a target.

    Attributes:
        reactor: The reactor that schedules the ends of calls.
        name: Name of the host, returned in each answer.
        slots: Number of calls that can run at the same time.
        cold_until: When the cold start ends, s of the monotonic clock.
        busy: Number of calls that run now.
        slowdown: Factor by which service times are multiplied.
        draining: Whether new calls are refused.
        executions: Every execution, in order of their start.
        running: The results of the running calls by call id; each fires
            with the status code when its call ends.
        reported_busy: Number of running calls in the last load report.
        refused: Number of refused calls.
        connections: Unused, always zero.
    """

    reactor: Any
    name: str
    slots: int
    cold_until: float
    busy: int = 0
    slowdown: float = 1
    draining: bool = False
    executions: list[Execution] = attrs.field(factory=list)
    running: dict[str, Any] = attrs.field(factory=dict)
    reported_busy: int = 0
    refused: int = 0
    connections: int = 0

    def service_s(self, request: Any) -> float:
        """Returns the service time of a call, s."""
        requested_s = float(request.getHeader('x-service-ms') or 0) / 1_000
        cold_factor = 3 if time.monotonic() < self.cold_until else 1
        return requested_s * self.slowdown * cold_factor

    def stop_when_idle(self) -> None:
        """Stops the process once no call runs."""
        self.draining = True
        if self.busy:
            self.reactor.callLater(0.02, self.stop_when_idle)
        else:
            self.reactor.callLater(0.1, self.reactor.stop)

    def update_load_report(self) -> None:
        """Updates the load report, and again after each report interval."""
        self.reported_busy = self.busy
        self.reactor.callLater(REPORT_INTERVAL_S, self.update_load_report)


class CallResource(Resource):
    """Answers administrative paths and runs all other requests as calls."""

    isLeaf = True

    def __init__(self, state: TargetState) -> None:
        """Stores the state."""
        super().__init__()
        self.state = state

    def render(self, request: Any) -> Any:
        """Answers an administrative path or runs a call."""
        path = request.path.decode()
        admin_handler = {
            '/healthz': self.health,
            '/load': self.load_report,
            '/executions': self.executions,
            '/control': self.control,
            '/cancel': self.cancel,
        }.get(path)
        return admin_handler(request) if admin_handler else self.run(request)

    def health(self, _request: Any) -> bytes:
        """Answers health checks with success in every state."""
        return b'ok'

    def load_report(self, _request: Any) -> bytes:
        """Returns the last load report, which may be outdated."""
        return json.dumps(
            {
                'busy': self.state.reported_busy,
                'slots': self.state.slots,
                'draining': self.state.draining,
                'refused': self.state.refused,
            },
        ).encode()

    def executions(self, _request: Any) -> bytes:
        """Returns every execution."""
        return json.dumps(
            [attrs.asdict(run) for run in self.state.executions],
        ).encode()

    def control(self, request: Any) -> bytes:
        """Changes the slowdown, or starts or ends draining."""
        changes = json.load(request.content)
        self.state.slowdown = changes.get('slowdown', self.state.slowdown)
        self.state.draining = changes.get('drain', self.state.draining)
        return b'ok'

    def cancel(self, request: Any) -> bytes:
        """Cancels a running call, which is then answered with status 499."""
        call_id = request.getHeader('x-call-id') or ''
        done = self.state.running.pop(call_id, None)
        if done and not done.called:
            done.callback(CANCELLED_STATUS)
        return b'ok'

    def run(self, request: Any) -> Any:
        """Runs a call, or refuses it if no slot is free or while draining.

        A refused call has no effect and is not recorded as an execution.
        """
        state = self.state
        if state.draining or state.busy >= state.slots:
            request.setResponseCode(http.SERVICE_UNAVAILABLE)
            request.setHeader('x-not-run', '1')
            state.refused += 1
            return b'no slot'
        body = request.content.read()
        state.executions.append(
            Execution(
                key=request.getHeader('idempotency-key') or '',
                path=request.uri.decode(),
                body=body[:64].decode('latin-1'),
                began=time.time(),
            ),
        )
        if request.getHeader('x-crash'):
            os.kill(os.getpid(), signal.SIGKILL)
        state.busy += 1
        done: Deferred[int] = Deferred()
        done.addCallback(self.finish, request, body)
        self.schedule(request, done)
        return NOT_DONE_YET

    def schedule(self, request: Any, done: Deferred[int]) -> None:
        """Schedules the end of a call, at its deadline at the latest."""
        call_id = request.getHeader('x-call-id')
        if call_id:
            self.state.running[call_id] = done
        limit_ms = request.getHeader('x-deadline-ms')
        limit_s = float(limit_ms) / 1_000 if limit_ms else 3_600
        service_s = self.state.service_s(request)
        code = http.OK if service_s <= limit_s else http.GATEWAY_TIMEOUT
        self.state.reactor.callLater(
            min(service_s, limit_s),
            self.end,
            call_id,
            done,
            code,
        )

    def end(self, call_id: str, done: Deferred[int], code: int) -> None:
        """Ends a call unless it was cancelled."""
        self.state.running.pop(call_id, None)
        if not done.called:
            done.callback(code)

    def finish(self, code: int, request: Any, body: bytes) -> None:
        """Frees the slot and answers."""
        self.state.busy -= 1
        if request._disconnected:
            return
        request.setResponseCode(code)
        request.setHeader('x-target', self.state.name)
        size = int(request.getHeader('x-answer-bytes') or 0)
        request.write(b'%s:%s' % (self.state.name.encode(), body))
        request.write(b'.' * size)
        request.finish()


def serve(
    *,
    name: str,
    port: int,
    slots: int = 6,
    cold_start_ms: int = 0,
) -> None:
    """Runs a target stand-in until it receives a signal to stop.

    Args:
        name: Name of the host.
        port: TCP port to listen on.
        slots: Number of calls that can run at the same time.
        cold_start_ms: Time after the start during which calls take three
            times as long, ms.
    """
    reactor: Any = default_reactor
    state = TargetState(
        reactor=reactor,
        name=name,
        slots=slots,
        cold_until=time.monotonic() + cold_start_ms / 1_000,
    )
    endpoint = TCP4ServerEndpoint(reactor, port, interface='127.0.0.1')
    endpoint.listen(Site(CallResource(state)))
    state.update_load_report()
    signal.signal(
        signal.SIGTERM,
        lambda *_args: reactor.callFromThread(state.stop_when_idle),
    )
    reactor.run(installSignalHandlers=False)


def main() -> None:
    """Runs the command line."""
    defopt.run(serve)
