"""Sends calls to the target and detects whether a lost call crashed it."""

from collections.abc import Callable, Iterable, Mapping

import attrs

from egretlanding.answerstates import OnInterim
from egretlanding.dialect import DEFAULT_DIALECT, Dialect
from egretlanding.httpmessages import HttpRequest
from egretlanding.jobs import MS_PER_S, Job
from egretlanding.outcomes import FailedAttempt, Progress, Reason, Refusal
from egretlanding.quarantine import Quarantine, host_of
from egretlanding.targethealth import TargetHealth
from egretlanding.targetpool import OnOutcome, TargetOutcome, TargetPool

CANCEL_PATH = '/cancel'


@attrs.define(eq=False)
class TargetCalls:
    """Sends calls to the target beside the daemon.

    Attributes:
        process: Name of the daemon's process, as host:incarnation.
        pool: Connections to the target.
        health: Whether the target accepts calls.
        quarantine: The requests that are suspected of crashing targets.
        on_crash: Called after a crash of the target was recorded.
        on_voided: Called with the signature of an answered request and the
            hosts of the crashes that no longer count against it.
        on_trial: Called with the signature of a refused request before a trial
            run of it.
        dialect: The header names that the target uses.
    """

    process: str
    pool: TargetPool
    health: TargetHealth
    quarantine: Quarantine
    on_crash: Callable[[], None] = lambda: None
    on_voided: Callable[[str, frozenset[str]], None] = (
        lambda _signature, _hosts: None
    )
    on_trial: Callable[[str], None] = lambda _signature: None
    dialect: Dialect = DEFAULT_DIALECT

    @property
    def host_id(self) -> str:
        """Id of the target's host."""
        return host_of(self.process)

    def refusal_of(
        self, job: Job, running: Iterable[Job], now: float
    ) -> Refusal | None:
        """Refuses a call whose request may crash the target.

        Args:
            job: The call.
            running: The calls that are running at the target.
            now: Monotonic time, seconds.

        Returns:
            A refusal, or None if the call may run.
        """
        signatures = [other.signature for other in running]
        return self.quarantine.check(
            job.signature, signatures, now, self.host_id
        )

    def send(
        self,
        job: Job,
        now: float,
        on_outcome: OnOutcome,
        on_interim: OnInterim | None = None,
    ) -> None:
        """Sends a call to the target after it was given a slot."""
        if self.quarantine.begin_trial(job.signature, self.host_id):
            self.on_trial(job.signature)
        call, dialect = job.call, self.dialect
        remaining_ms = max(1, int((job.deadline - now) * MS_PER_S))
        extra = [(dialect.target_deadline, str(remaining_ms))]
        if dialect.target_call:
            extra.append((dialect.target_call, self.target_call_id(job)))
        if dialect.required_instance and call.instance:
            extra.append((dialect.required_instance, call.instance))
        job.request_handle = self.pool.run(
            HttpRequest(call.method, call.path, call.headers, call.body),
            extra,
            on_outcome,
            echoed=dialect.request_id,
            on_interim=on_interim,
        )

    def cancel(self, job: Job) -> None:
        """Asks the target to stop running a call.

        If the dialect has no header for call ids, the connection is closed
        instead.
        """
        if not self.dialect.target_call:
            if job.request_handle:
                job.request_handle.cancel()
            return
        request = HttpRequest('POST', CANCEL_PATH, [], b'')
        header = (self.dialect.target_call, self.target_call_id(job))
        self.pool.run(request, [header], lambda _outcome: None)

    def target_call_id(self, job: Job) -> str:
        """Returns the id that the target is given for a call."""
        return f'{self.process}.{job.job_id}'

    def handle_lost_call(
        self,
        outcome: TargetOutcome,
        running: Iterable[Job],
        now: float,
        on_recorded: Callable[[], None],
    ) -> None:
        """Checks whether the target crashed when a call was lost.

        If it did, the requests that it was running are recorded as suspects
        before the loss is reported, since any of them may be the cause.

        Args:
            outcome: How a call was lost.
            running: The calls that were running at the target.
            now: Monotonic time, seconds.
            on_recorded: Called once a crash was recorded or ruled out, so
                that a retry elsewhere begins only after the crash is known.
        """
        if outcome.progress is Progress.UNSENT:
            self.health.check()
            on_recorded()
            return
        process = f'{self.process}.{self.health.epoch}'
        # The earliest run of each request, since the loop goes backwards.
        began = {
            job.signature: job.started
            for job in sorted(running, key=started_at, reverse=True)
        }

        def on_probe_end(alive: bool) -> None:
            if not alive:
                self.record_crash(process, began, now)
            on_recorded()

        # An ending process may close its port last, so an accepted connection
        # alone doesn't prove that it is alive.
        self.health.probe(on_probe_end)

    def record_completed(self, signature: str) -> None:
        """Records that the target has answered a request."""
        hosts = self.quarantine.record_completed(signature)
        if hosts:
            self.on_voided(signature, hosts)

    def record_crash(
        self, process: str, began: Mapping[str, float], now: float
    ) -> None:
        """Records the requests that the target was running when it crashed.

        Args:
            process: The process of the target.
            began: When it began to run each of them, by signature, seconds.
            now: When it crashed, seconds.
        """
        self.quarantine.record_crash(process, began, now, began)
        self.health.update(up=False, draining=False)
        self.on_crash()


def started_at(job: Job) -> float:
    """Returns when a call was sent to the target, seconds."""
    return job.started


def failed_attempt(outcome: TargetOutcome) -> FailedAttempt:
    """Returns the record of a call that got no complete answer."""
    match outcome.progress:
        case _ if outcome.is_malformed:
            reason, detail = (
                Reason.GARBLED,
                "the target's answer has an invalid status or head",
            )
        case Progress.UNSENT:
            reason, detail = Reason.NO_TARGET, 'the target refused to connect'
        case Progress.SENT:
            reason, detail = (
                Reason.CONNECTION_LOST,
                'the connection to the target was lost',
            )
        case _:
            reason, detail = (
                Reason.TRUNCATED,
                "the target's answer was truncated",
            )
    return FailedAttempt(reason, outcome.progress, detail=detail)
