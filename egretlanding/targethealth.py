"""Checks the health of the target beside the daemon."""

from collections.abc import Callable
from http import HTTPStatus
from typing import Any

import attrs
import msgspec

from egretlanding.events import Event, Severity, log_event
from egretlanding.httpclient import HttpClient, encode_request
from egretlanding.httpmessages import HttpRequest
from egretlanding.outcomes import Progress
from egretlanding.targetpool import OutgoingRequest, TargetOutcome, TargetPool

CHECK_INTERVAL_S = 1
DOWN_CHECK_INTERVAL_S = 0.2
PROBE_TIMEOUT_S = 0.5
# Time after which a check that got no complete answer is given up, seconds.
CHECK_TIMEOUT_S = 3
LOAD_PATH = '/load'
MISSED_CHECKS_TO_DOWN = 3

HEALTH_CHECKS: dict[str, type['TargetHealth']] = {}


def health_check(
    name: str,
) -> Callable[[type['TargetHealth']], type['TargetHealth']]:
    """Registers a class that checks whether the target accepts calls.

    Args:
        name: The value of the setting `target_check`.

    Returns:
        A decorator that records the class and returns it unchanged.
    """

    def register(cls: type['TargetHealth']) -> type['TargetHealth']:
        HEALTH_CHECKS[name] = cls
        return cls

    return register


class LoadReport(msgspec.Struct):
    """What the target reports about itself; it may be out of date.

    Attributes:
        draining: Whether it accepts no new calls.
    """

    draining: bool = False


@health_check('report')
@attrs.define(eq=False)
class TargetHealth:
    """Checks whether the target accepts calls, by its port and its report.

    A target whose port refuses connections is down at once; one that
    doesn't answer is down after a few checks. A report of draining stops
    calls only as long as each check repeats it.

    Attributes:
        reactor: The reactor that runs the checks.
        pool: Connections to the target.
        on_change: Called when the target starts or stops accepting calls.
        up: Whether the target answers.
        draining: Whether it reported that it accepts no new calls.
        epoch: Number of times that it came up, which distinguishes its
            successive processes.
        missed_checks: Consecutive checks without an answer.
        checking: Whether a check is under way.
        timer: The delayed call of the next check.
    """

    reactor: Any
    pool: TargetPool
    on_change: Callable[[], None] = lambda: None
    up: bool = False
    draining: bool = False
    epoch: int = 0
    missed_checks: int = 0
    checking: bool = False
    timer: Any = None

    @property
    def takes_calls(self) -> bool:
        """Whether calls may be sent to the target."""
        return self.up and not self.draining

    def start(self) -> None:
        """Checks now and periodically from then on."""
        self.check()
        delay = CHECK_INTERVAL_S if self.up else DOWN_CHECK_INTERVAL_S
        self.timer = self.reactor.callLater(delay, self.start)

    def stop(self) -> None:
        """Stops the periodic checks."""
        if self.timer and self.timer.active():
            self.timer.cancel()

    def check(self) -> None:
        """Requests the target's report.

        A previous check that is still under way counts as missed instead.
        """
        if self.checking:
            self.record_missed_check()
            return
        self.checking = True
        request = HttpRequest('GET', LOAD_PATH, [], b'')
        handle = self.pool.run(request, [], self.on_check_end)
        # This does nothing once the check has ended.
        self.reactor.callLater(CHECK_TIMEOUT_S, handle.cancel)

    def on_call_refused(self) -> None:
        """Checks at once whether a target that refused a call is draining."""
        self.check()

    def probe(self, on_probe_end: Callable[[bool], None]) -> None:
        """Checks whether the target's process has ended.

        Args:
            on_probe_end: Called once with whether the process may be alive;
                one that is only slow to answer counts as alive.
        """
        reported: list[bool] = []

        def report_once(alive: bool) -> None:
            if not reported:
                reported.append(alive)
                on_probe_end(alive)

        def expire() -> None:
            report_once(True)
            handle.cancel()

        timer = self.reactor.callLater(PROBE_TIMEOUT_S, expire)

        def on_outcome(outcome: TargetOutcome) -> None:
            if timer.active():
                timer.cancel()
            # An invalid answer also shows that the process lives.
            report_once(outcome.response is not None or outcome.is_malformed)

        request = HttpRequest('GET', LOAD_PATH, [], b'')
        outgoing = OutgoingRequest(encode_request(request, self.pool.address))
        handle = self.pool.send_on_new_connection(outgoing, on_outcome)

    def record_missed_check(self) -> None:
        """Counts a check that got no answer."""
        self.missed_checks += 1
        if self.missed_checks >= MISSED_CHECKS_TO_DOWN:
            self.update(up=False, draining=self.draining)

    def on_check_end(self, outcome: TargetOutcome) -> None:
        """Updates the state by the outcome of a check."""
        self.checking = False
        response = outcome.response
        if response is None:
            if outcome.progress is Progress.UNSENT:
                self.missed_checks = MISSED_CHECKS_TO_DOWN
            self.record_missed_check()
            return
        self.missed_checks = 0
        # A target without a load endpoint is up as long as it answers.
        report = LoadReport()
        if response.status == HTTPStatus.OK:
            report = decode_report(response.body)
        self.update(up=True, draining=report.draining)

    def update(self, *, up: bool, draining: bool) -> None:
        """Stores a new state, and reports and logs a change."""
        took_calls_before = self.takes_calls
        if up != self.up:
            self.log_change(up)
        self.epoch += int(up and not self.up)
        self.up = up
        self.draining = draining
        if self.takes_calls != took_calls_before:
            self.on_change()

    def log_change(self, up: bool) -> None:
        """Logs that the target came up or went down."""
        if up:
            log_event(Event.TARGET_REACHABLE, 'target answers')
        else:
            log_event(
                Event.TARGET_UNREACHABLE,
                'target does not answer; check the process of the target',
                Severity.WARNING,
            )


@health_check('connect')
@attrs.define(eq=False)
class ConnectHealth(TargetHealth):
    """Checks whether the target accepts calls, by opening connections.

    This is for targets where a report takes up a slot or is unreliable.
    Connections are tried only after a call was lost, until one succeeds.
    """

    def start(self) -> None:
        """Assumes that the target is up until a call is lost."""
        self.update(up=True, draining=False)

    def check(self) -> None:
        """Tries to connect unless an attempt is under way."""
        if self.checking:
            return
        self.checking = True
        self.probe(self.on_connect_check_end)

    def on_call_refused(self) -> None:
        """Does nothing, since a target that refuses a call is alive."""

    def probe(self, on_probe_end: Callable[[bool], None]) -> None:
        """Checks whether the target's process accepts a connection."""

        def connected(client: HttpClient) -> None:
            self.pool.release(client)
            on_probe_end(True)

        self.pool.connect().addCallbacks(
            connected,
            lambda _failure: on_probe_end(False),
        )

    def on_connect_check_end(self, alive: bool) -> None:
        """Updates the state, and schedules a retry if connecting failed."""
        self.checking = False
        self.update(up=alive, draining=self.draining)
        if not alive:
            self.schedule_retry()

    def schedule_retry(self) -> None:
        """Schedules the next attempt to connect unless one is scheduled."""
        if not (self.timer and self.timer.active()):
            self.timer = self.reactor.callLater(
                DOWN_CHECK_INTERVAL_S, self.check
            )

    def update(self, *, up: bool, draining: bool) -> None:
        """Stores a new state, and schedules a retry if the target is down."""
        super().update(up=up, draining=draining)
        if not up:
            self.schedule_retry()


def decode_report(body: bytes) -> LoadReport:
    """Decodes a load report; a malformed one counts as an empty report."""
    try:
        return msgspec.json.decode(body, type=LoadReport)
    except (msgspec.MsgspecError, UnicodeDecodeError):
        return LoadReport()
