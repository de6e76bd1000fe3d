"""Sends calls to the target and finds out why it lost them."""

from collections.abc import Callable, Iterable

import attrs

from egretlanding.dialect import OWN_DIALECT, Dialect
from egretlanding.httpmessages import HttpRequest
from egretlanding.jobs import MS_PER_S, Job
from egretlanding.outcomes import FailedAttempt, Progress, Reason
from egretlanding.quarantine import Quarantine
from egretlanding.targethealth import TargetHealth
from egretlanding.targetpool import OnOutcome, TargetOutcome, TargetPool

CANCEL_PATH = '/cancel'


@attrs.define(eq=False)
class TargetCalls:
    """Sends calls to the target beside the daemon.

    Attributes:
        process: Names the daemon's process, as host:incarnation.
        pool: Connections to the target.
        health: Whether the target takes calls.
        quarantine: Requests that crash targets.
        on_crash: Called after the target crashed.
        dialect: The names of the headers.
    """

    process: str
    pool: TargetPool
    health: TargetHealth
    quarantine: Quarantine
    on_crash: Callable[[], None] = lambda: None
    dialect: Dialect = OWN_DIALECT

    def send(self, job: Job, now: float, on_outcome: OnOutcome) -> None:
        """Sends a call that has a slot."""
        call, dialect = job.call, self.dialect
        remaining_ms = max(1, int((job.deadline - now) * MS_PER_S))
        extra = [(dialect.target_deadline, str(remaining_ms))]
        if dialect.target_call:
            extra.append((dialect.target_call, self.name_of(job)))
        if dialect.wanted_instance and call.instance:
            extra.append((dialect.wanted_instance, call.instance))
        job.ticket = self.pool.run(
            HttpRequest(call.method, call.path, call.headers, call.body),
            extra,
            on_outcome,
            echoed=dialect.request_id,
        )

    def cancel(self, job: Job) -> None:
        """Ends a call at the target.

        A target that gives calls no names ends those whose connection closes.
        """
        if not self.dialect.target_call:
            if job.ticket:
                job.ticket.cancel()
            return
        request = HttpRequest('POST', CANCEL_PATH, [], b'')
        header = (self.dialect.target_call, self.name_of(job))
        self.pool.run(request, [header], lambda _outcome: None)

    def name_of(self, job: Job) -> str:
        """Returns the name by which the target knows a call."""
        return f'{self.process}.{job.job_id}'

    def note_loss(
        self,
        outcome: TargetOutcome,
        running: Iterable[Job],
        now: float,
        on_known: Callable[[], None],
    ) -> None:
        """Finds out whether the target's process is gone.

        The requests that it was running are noted before the others learn
        of the loss, since each of them may have brought it down.

        Args:
            outcome: How a call was lost.
            running: The calls that the target had.
            now: Monotonic time, seconds.
            on_known: Called once it is known, so that whoever sends the call
                elsewhere learns first what it may have done here.
        """
        if outcome.progress is Progress.UNSENT:
            self.health.check()
            on_known()
            return
        process = f'{self.process}.{self.health.epoch}'
        blamed = [job.signature for job in running]

        def take_verdict(alive: bool) -> None:
            if not alive:
                self.note_crash(process, blamed, now)
            on_known()

        # A process that ends may close its port last, so a connection alone
        # doesn't show that it lives.
        self.health.probe(take_verdict)

    def note_crash(self, process: str, blamed: list[str], now: float) -> None:
        """Blames the calls that a crashed target was running."""
        self.quarantine.record_crash(process, blamed, now)
        self.health.update(up=False, draining=False)
        self.on_crash()


def failed_attempt(outcome: TargetOutcome) -> FailedAttempt:
    """Returns what became of a call without a whole answer."""
    match outcome.progress:
        case Progress.UNSENT:
            reason, detail = Reason.NO_TARGET, 'the target refused to connect'
        case Progress.SENT:
            reason, detail = Reason.CONNECTION_LOST, 'the target was lost'
        case _:
            reason, detail = Reason.TRUNCATED, "the target's answer was cut"
    return FailedAttempt(reason, outcome.progress, detail=detail)
