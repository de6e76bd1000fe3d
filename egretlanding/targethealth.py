"""Watches the target beside the daemon."""

from collections.abc import Callable
from http import HTTPStatus
from typing import Any

import attrs
import msgspec

from egretlanding.events import Event, Severity, log_event
from egretlanding.httpclient import HttpClient, encode_request
from egretlanding.httpmessages import HttpRequest
from egretlanding.outcomes import Progress
from egretlanding.targetpool import Outgoing, TargetOutcome, TargetPool

CHECK_S = 1
CHECK_DOWN_S = 0.2
PROBE_TIMEOUT_S = 0.5
LOAD_PATH = '/load'
MISSES_TO_DOWN = 3

HEALTH: dict[str, type['TargetHealth']] = {}


def health_check(
    name: str,
) -> Callable[[type['TargetHealth']], type['TargetHealth']]:
    """Registers a way to find out whether the target takes calls.

    Args:
        name: The value of the setting `target_check`.

    Returns:
        A decorator that records the class and returns it unchanged.
    """

    def register(cls: type['TargetHealth']) -> type['TargetHealth']:
        HEALTH[name] = cls
        return cls

    return register


class LoadReport(msgspec.Struct):
    """What the target says of itself; it may lag.

    Attributes:
        draining: Whether it takes no new calls.
    """

    draining: bool = False


@health_check('report')
@attrs.define(eq=False)
class TargetHealth:
    """Whether the target takes calls, by its port and its own report.

    A target whose port refuses connections is down at once; one that
    doesn't answer is down after a few checks. A report alone never brings
    calls to a stop for longer than it is repeated.

    Attributes:
        reactor: The reactor that runs the checks.
        pool: Connections to the target.
        on_change: Called when the target starts or stops taking calls.
        up: Whether the target answers.
        draining: Whether it said that it takes no new calls.
        epoch: Times that it came up, which tells its processes apart.
        misses: Checks without an answer in a row.
        checking: Whether a check is under way.
        timer: Starts the next check.
    """

    reactor: Any
    pool: TargetPool
    on_change: Callable[[], None] = lambda: None
    up: bool = False
    draining: bool = False
    epoch: int = 0
    misses: int = 0
    checking: bool = False
    timer: Any = None

    @property
    def takes_calls(self) -> bool:
        """Tells whether calls may be sent to the target."""
        return self.up and not self.draining

    def start(self) -> None:
        """Checks now and from then on."""
        self.check()
        delay = CHECK_S if self.up else CHECK_DOWN_S
        self.timer = self.reactor.callLater(delay, self.start)

    def stop(self) -> None:
        """Ends the checks."""
        if self.timer and self.timer.active():
            self.timer.cancel()

    def check(self) -> None:
        """Asks the target for its report."""
        if self.checking:
            self.miss()
            return
        self.checking = True
        request = HttpRequest('GET', LOAD_PATH, [], b'')
        self.pool.run(request, [], self.take_outcome)

    def note_denial(self) -> None:
        """Asks a target that refused a call whether it is leaving."""
        self.check()

    def probe(self, on_verdict: Callable[[bool], None]) -> None:
        """Finds out whether the target's process is gone.

        Args:
            on_verdict: Called once with whether it may be alive; one that
                is just slow to answer is.
        """
        verdicts: list[bool] = []

        def give(alive: bool) -> None:
            if not verdicts:
                verdicts.append(alive)
                on_verdict(alive)

        timer = self.reactor.callLater(PROBE_TIMEOUT_S, give, True)

        def take(outcome: TargetOutcome) -> None:
            if timer.active():
                timer.cancel()
            give(outcome.response is not None)

        request = HttpRequest('GET', LOAD_PATH, [], b'')
        outgoing = Outgoing(encode_request(request, self.pool.address))
        self.pool.send_fresh(outgoing, take)

    def miss(self) -> None:
        """Counts a check without an answer."""
        self.misses += 1
        if self.misses >= MISSES_TO_DOWN:
            self.update(up=False, draining=self.draining)

    def take_outcome(self, outcome: TargetOutcome) -> None:
        """Takes the outcome of a check."""
        self.checking = False
        response = outcome.response
        if response is None:
            if outcome.progress is Progress.UNSENT:
                self.misses = MISSES_TO_DOWN
            self.miss()
            return
        self.misses = 0
        # A target without a load endpoint is up as long as it answers.
        report = LoadReport()
        if response.status == HTTPStatus.OK:
            report = decode_report(response.body)
        self.update(up=True, draining=report.draining)

    def update(self, *, up: bool, draining: bool) -> None:
        """Takes over a new state and tells of a change."""
        before = self.takes_calls
        if up != self.up:
            self.log(up)
        self.epoch += int(up and not self.up)
        self.up = up
        self.draining = draining
        if self.takes_calls != before:
            self.on_change()

    def log(self, up: bool) -> None:
        """Writes the event of a target that came up or went down."""
        if up:
            log_event(Event.TARGET_REACHABLE, 'target answers')
        else:
            log_event(
                Event.TARGET_UNREACHABLE,
                'target does not answer; look at its own process',
                Severity.WARNING,
            )


@health_check('connect')
@attrs.define(eq=False)
class ConnectHealth(TargetHealth):
    """Whether the target takes calls, by whether it takes connections.

    For targets whose reports cost a slot or mislead. Connections are opened
    only after a call was lost, and until one succeeds.
    """

    def start(self) -> None:
        """Counts the target as up until a call shows otherwise."""
        self.update(up=True, draining=False)

    def check(self) -> None:
        """Tries a connection unless one is being tried."""
        if self.checking:
            return
        self.checking = True
        self.probe(self.take_verdict)

    def note_denial(self) -> None:
        """Does nothing, since a target that refuses a call lives."""

    def probe(self, on_verdict: Callable[[bool], None]) -> None:
        """Finds out whether the target's process takes connections."""

        def connected(client: HttpClient) -> None:
            self.pool.keep(client)
            on_verdict(True)

        self.pool.connect().addCallbacks(
            connected,
            lambda _failure: on_verdict(False),
        )

    def take_verdict(self, alive: bool) -> None:
        """Takes over what a connection showed, and tries again if it failed."""
        self.checking = False
        self.update(up=alive, draining=self.draining)
        if not alive:
            self.watch_return()

    def watch_return(self) -> None:
        """Tries connections until the target takes one."""
        if not (self.timer and self.timer.active()):
            self.timer = self.reactor.callLater(CHECK_DOWN_S, self.check)

    def update(self, *, up: bool, draining: bool) -> None:
        """Takes over a new state, and watches for the return of a target."""
        super().update(up=up, draining=draining)
        if not up:
            self.watch_return()


def decode_report(body: bytes) -> LoadReport:
    """Returns a load report; one that can't be read says nothing."""
    try:
        return msgspec.json.decode(body, type=LoadReport)
    except (msgspec.MsgspecError, UnicodeDecodeError):
        return LoadReport()
