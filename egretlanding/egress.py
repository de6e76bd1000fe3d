"""Runs calls at the target beside the daemon."""

import itertools
import time
from typing import Any

import attrs

from egretlanding.admission import Admission, Refuse, Start, withdraw_call
from egretlanding.callfailures import replies_to_failed_job
from egretlanding.callheaders import (
    REPLAYED_HEADER,
    request_id_in,
    without_daemon_headers,
)
from egretlanding.capacityreports import (
    log_change,
    report_of,
    update_process,
)
from egretlanding.coldcheck import ColdCheck
from egretlanding.dialect import DEFAULT_DIALECT, Dialect
from egretlanding.events import Event, Severity, log_event
from egretlanding.exceptions import KeyFormatError
from egretlanding.frames import CallReply, CallRequest, refusal_reply
from egretlanding.histograms import Histogram
from egretlanding.httpmessages import HttpResponse
from egretlanding.idempotency import (
    Answer,
    Join,
    KeyTable,
    Replay,
    Run,
    request_digest,
)
from egretlanding.jobs import MS_PER_S, Job, JobTable, OnReply
from egretlanding.keys import parse_key
from egretlanding.objects import Service
from egretlanding.outcomes import (
    Execution,
    Progress,
    Reason,
    Refusal,
)
from egretlanding.ownership import ClockReading
from egretlanding.quarantine import Quarantine, request_signature
from egretlanding.residency import Residency
from egretlanding.silentcalls import SilentCalls
from egretlanding.slotrelease import release_slot
from egretlanding.statements import TargetStatements, statement_in
from egretlanding.targetanswers import refusal_in_response
from egretlanding.targetcalls import TargetCalls, failed_attempt
from egretlanding.targethealth import TargetHealth
from egretlanding.targetpool import TargetOutcome

# Time that an answer that nobody waits for may take once it began, seconds.
ANSWER_TIMEOUT_S = 5
UNANSWERED = Refusal.unknown(
    Reason.UNANSWERED, 'the target left the call unanswered'
)
EVACUATED_DETAIL = 'the failure domain of the target is evacuated'


@attrs.define(eq=False)
class Egress:
    """Admits calls to the local target and runs them there.

    Attributes:
        reactor: The reactor, for the time and the timer.
        target: Sends calls to the target.
        health: Whether the target accepts calls.
        admission: The slots and the queue.
        keys: The idempotency keys whose calls ran here.
        quarantine: The requests that are suspected of crashing targets.
        table: The calls queued or running.
        numbers: Source of job ids and tickets.
        timer: Runs `advance` when the next wait of the queue ends.
        statements: What the target states about itself in its answers.
        sent: Number of calls that were sent to the target.
        abandoned: Number of calls that were cancelled while they ran.
        dialect: The header names that the target uses.
        queue_times: Histogram of how long calls waited for a slot.
        run_times: Histogram of how long the target took.
        residency: Checks that calls may run in this region.
        cold_check: Asks the target whether it is cold.
        is_evacuated: Whether the target gets no calls because its failure
            domain is evacuated.
        silent: Detects calls that the target leaves unanswered, None if that is
            off.
    """

    reactor: Any
    target: TargetCalls
    health: TargetHealth
    admission: Admission
    keys: KeyTable
    quarantine: Quarantine
    table: JobTable = attrs.field(factory=JobTable)
    numbers: Any = attrs.field(factory=lambda: itertools.count(1))
    timer: Any = None
    statements: TargetStatements = attrs.field(factory=TargetStatements)
    sent: int = 0
    abandoned: int = 0
    dialect: Dialect = DEFAULT_DIALECT
    queue_times: Histogram = attrs.field(factory=Histogram)
    run_times: Histogram = attrs.field(factory=Histogram)
    residency: Residency = attrs.field(factory=Residency)
    cold_check: ColdCheck = attrs.Factory(
        lambda egress: ColdCheck(
            egress.reactor,
            egress.target.pool,
            egress.admission.cold,
            egress.dialect,
            on_answer=egress.advance,
        ),
        takes_self=True,
    )
    is_evacuated: bool = False
    silent: SilentCalls | None = None

    def moment(self) -> ClockReading:
        """Returns the current time on the monotonic and the wall clock."""
        return ClockReading(self.reactor.seconds(), time.time())

    def run(
        self, call: CallRequest, read_delay_s: float, on_reply: OnReply
    ) -> int:
        """Runs a call, or refuses it.

        Args:
            call: The call.
            read_delay_s: How long it may have waited before it was read,
                seconds.
            on_reply: Called once with the reply, possibly before this
                returns.

        Returns:
            A ticket to pass to `cancel`.
        """
        if call.heard:
            self.statements.adopt(call.instance, call.heard)
            apply_statements(self)
        ticket = next(self.numbers)
        now = self.reactor.seconds()
        job = Job(
            job_id=next(self.numbers),
            call=call,
            deadline=now + call.remaining_ms / MS_PER_S - read_delay_s,
            arrived=now,
            signature=request_signature(
                call.route,
                call.method,
                call.path,
                call.body,
            ),
        )
        if call.key:
            self.run_keyed(job, ticket, on_reply)
        else:
            self.admit(job, ticket, on_reply)
        return ticket

    def run_keyed(self, job: Job, ticket: int, on_reply: OnReply) -> None:
        """Runs a call that has an idempotency key, at most once per key."""
        call = job.call
        try:
            job.key = parse_key(call.key)
        except KeyFormatError as error:
            refusal = Refusal.not_run(Reason.KEY_MALFORMED, str(error))
            on_reply(self.build_refusal_reply(call, refusal))
            return
        digest = request_digest(call.method, call.path, call.body)
        match self.keys.decide(job.key, digest, self.moment()):
            case Refusal() as refusal:
                on_reply(self.build_refusal_reply(call, refusal))
            case Replay(answer):
                on_reply(replayed_reply(answer))
            case Join():
                existing_job = self.table.by_key[job.key.text]
                self.table.add_waiter(existing_job, ticket, on_reply)
            case Run():
                self.keys.begin(job.key, digest)
                self.admit(job, ticket, on_reply)

    def admit(self, job: Job, ticket: int, on_reply: OnReply) -> None:
        """Starts a call in a free slot, queues it or refuses it."""
        self.table.add(job)
        self.table.add_waiter(job, ticket, on_reply)
        refusal = self.refusal_before_run(job)
        if refusal:
            self.end_refused(job, refusal)
            return
        match self.admission.offer(job.queued_call(), job.arrived):
            case Start():
                self.start(job)
            case Refuse(refusal=refusal):
                self.end_refused(job, refusal)
            case _:
                self.advance()

    def refusal_before_run(self, job: Job) -> Refusal | None:
        """Returns the reason not to run a call now, or None if it may run."""
        if not self.health.up:
            return Refusal.not_run(Reason.NO_TARGET, 'the target is down')
        if self.health.draining:
            return Refusal.not_run(Reason.DRAINING, 'the target is draining')
        if self.is_evacuated:
            return Refusal.not_run(Reason.EVACUATED, EVACUATED_DETAIL)
        refusal = self.residency.check(job.call.route, job.call.regions)
        return refusal or refusal_at_start(self, job)

    @replies_to_failed_job
    def start(self, job: Job) -> None:
        """Sends a call to the target after it was given a slot.

        A call that has waited is checked again, since targets may have crashed
        or suspects have begun to run meanwhile.
        """
        now = self.reactor.seconds()
        refusal = refusal_at_start(self, job)
        if refusal:
            withdraw_call(self.admission, job.job_id, now)
            self.end_refused(job, refusal)
            self.reactor.callLater(0, self.advance)
            return
        job.running = True
        job.started = now
        self.sent += 1
        self.queue_times.observe(job.started - job.arrived)
        if self.silent:
            self.silent.begin(job)
        self.target.send(
            job,
            job.started,
            lambda outcome: self.finish(job, outcome),
            lambda: limit_interim(self, job),
        )

    @replies_to_failed_job
    def finish(self, job: Job, outcome: TargetOutcome) -> None:
        """Frees the slot of a call that has ended, and replies to it."""
        now = self.reactor.seconds()
        refusal = refusal_in_response(
            outcome.response,
            request_id_in(job.call.headers, self.dialect),
            self.dialect,
        )
        hear_statement(self, job, outcome.response)
        self.run_times.observe(now - job.started)
        job.running = outcome.progress is not Progress.UNSENT
        lost = release_slot(self, job.job_id, outcome, refusal)
        if outcome.cancelled:
            self.table.remove(job)
        elif lost and outcome.may_run:
            self.end_refused(job, UNANSWERED)
        elif outcome.response is None:
            self.cold_check.record_lost_call()
            loss_refusal = failed_attempt(outcome).to_refusal()
            self.target.handle_lost_call(
                outcome,
                self.table.running(),
                now,
                lambda: self.end_refused(job, loss_refusal),
            )
        elif refusal:
            self.health.on_call_refused()
            self.end_refused(job, refusal)
        else:
            self.end_answered(job, outcome.response)
        self.advance()

    def end_answered(self, job: Job, response: HttpResponse) -> None:
        """Sends an answer to every waiter of a call."""
        headers = without_daemon_headers(response.headers)
        if job.key:
            answer = Answer(response.status, tuple(headers), response.body)
            self.keys.record_answer(job.key, answer)
        self.target.record_completed(job.signature)
        self.table.remove(job)
        job.reply(
            CallReply(
                0,
                response.status,
                headers,
                response.body,
                load=len(self.table.jobs),
                stated=self.statements.known_of(job.call.instance),
                capacity=report_of(
                    self, job.call, self.reactor.seconds() - job.started
                ),
            ),
        )

    def end_refused(self, job: Job, refusal: Refusal) -> None:
        """Sends a refusal to every waiter of a call."""
        if job.key:
            self.keys.record_refusal(job.key, refusal)
        may_have_run = refusal.execution is Execution.UNKNOWN
        event = Event.RUN_LOST if may_have_run else Event.RUN_REFUSED
        log_job_event(self, event, refusal.detail, job, refusal.reason.value)
        self.table.remove(job)
        reply = self.build_refusal_reply(job.call, refusal, arrived=job.running)
        job.reply(reply)

    def build_refusal_reply(
        self, call: CallRequest, refusal: Refusal, *, arrived: bool = False
    ) -> CallReply:
        """Returns the reply that carries the refusal of a call."""
        return refusal_reply(
            0,
            refusal,
            len(self.table.jobs),
            arrived=arrived,
            stated=self.statements.known_of(call.instance),
            capacity=report_of(self, call),
        )

    def cancel(self, ticket: int) -> None:
        """Abandons a call.

        A queued call is removed and never runs. For a running call, the
        target is asked to stop; its slot is freed once the target has
        answered. A call with an idempotency key continues, since its caller
        may ask for the answer again. In both cases, an answer that has begun
        but doesn't end is cut.
        """
        job = self.table.remove_waiter(ticket)
        if job is None or job.waiters:
            return
        if job.key:
            limit_answer(self, job)
        elif self.admission.cancel(job.job_id):
            self.table.remove(job)
        elif job.running:
            self.abandoned += 1
            message = 'nobody waits for the answer any more'
            log_job_event(self, Event.RUN_CANCELLED, message, job)
            self.target.cancel(job)
            limit_answer(self, job)

    def advance(self) -> None:
        """Starts or refuses the queued calls that are due."""
        if self.admission.short or self.admission.long:
            for decision in self.admission.advance(self.reactor.seconds()):
                self.apply_decision(decision)
            self.schedule()

    def apply_decision(self, decision: Start | Refuse) -> None:
        """Carries out a decision on a call that was queued."""
        job = self.table.jobs[decision.call.call_id]
        if isinstance(decision, Refuse):
            self.end_refused(job, decision.refusal)
        else:
            self.start(job)

    def schedule(self) -> None:
        """Sets the timer for the time at which the next wait ends."""
        now = self.reactor.seconds()
        due = self.admission.next_advance_at(now)
        if self.timer and self.timer.active():
            self.timer.cancel()
        if due is not None:
            delay = max(0, due - now)
            self.timer = self.reactor.callLater(delay, self.advance)

    def apply(self, service: Service) -> None:
        """Applies the limits that the release sets for the service."""
        self.admission.queue_limit = service.queue_limit
        if self.admission.slots.limit.adapts:
            self.admission.slots.limit.slots = service.slots
        self.target.pool.limit = service.connections
        self.cold_check.apply(service)

    def tick(self) -> None:
        """Removes expired idempotency keys and quarantine entries."""
        self.keys.expire(self.moment())
        self.quarantine.expire(self.reactor.seconds())
        log_change(self)


def refusal_at_start(egress: Egress, job: Job) -> Refusal | None:
    """Refuses a call that must not run at the target now."""
    refusal = crash_refusal(egress, job)
    if refusal or egress.silent is None:
        return refusal
    statements, health = egress.statements, egress.health
    listed = (statements.listed_instance, statements.listed_born_ms)
    egress.silent.meet((*listed, health.epoch))
    return egress.silent.refusal_of(job)


def crash_refusal(egress: Egress, job: Job) -> Refusal | None:
    """Refuses a call if its request may crash the target now."""
    if not egress.quarantine.suspects:
        return None
    now = egress.reactor.seconds()
    return egress.target.refusal_of(job, egress.table.running(), now)


def hear_statement(
    egress: Egress, job: Job, response: HttpResponse | None
) -> None:
    """Applies what the target states beside its answer to a call."""
    statement = statement_in(response, egress.dialect) if response else None
    if statement:
        instance, now = job.call.instance, egress.reactor.seconds()
        egress.statements.hear(instance, statement, job.started, now)
        apply_statements(egress)


def apply_statements(egress: Egress) -> None:
    """Gives the target no more calls than it states that it takes."""
    current, health = egress.statements.current, egress.health
    now = egress.reactor.seconds()
    egress.admission.pace.change(current.rate_per_s, now)
    if current.leaving and not health.draining:
        health.update(up=health.up, draining=True)


def apply_listing(
    egress: Egress, instance: str, born_ms: int, *, draining: bool
) -> None:
    """Applies what the store lists about the target.

    Args:
        egress: The calls of the target.
        instance: The target's process.
        born_ms: When it started, ms since the epoch.
        draining: Whether it is listed as draining.
    """
    statements, health = egress.statements, egress.health
    listed = (statements.listed_instance, statements.listed_born_ms)
    if listed != (instance, born_ms):
        egress.cold_check.restart(instance)
    statements.record_start(instance, born_ms)
    update_process(egress)
    draining = draining or statements.says_leaving(instance)
    health.update(up=health.up, draining=draining)
    now = egress.reactor.seconds()
    egress.admission.pace.change(statements.current.rate_per_s, now)


def evacuate(egress: Egress) -> None:
    """Refuses the queued calls, and new ones until `is_evacuated` is reset.

    Calls that run at the target end normally.
    """
    egress.is_evacuated = True
    refuse_queued(egress, Refusal.not_run(Reason.EVACUATED, EVACUATED_DETAIL))


def refuse_queued(egress: Egress, refusal: Refusal) -> None:
    """Refuses the calls that wait for a slot."""
    for job in tuple(egress.table.jobs.values()):
        if egress.admission.cancel(job.job_id):
            egress.end_refused(job, refusal)


def limit_interim(egress: Egress, job: Job) -> None:
    """Ends a call at its deadline if the target sends only interim answers.

    The answer to a call with an idempotency key is still awaited, since its
    caller may ask for it again.

    Args:
        egress: Runs the call.
        job: The call.
    """
    if not job.key:
        left_s = max(0, job.deadline - egress.reactor.seconds())
        egress.reactor.callLater(left_s, end_interim, egress, job)


def end_interim(egress: Egress, job: Job) -> None:
    """Ends a call unless its last answer has begun; it counts as garbled."""
    if job.job_id in egress.table.jobs:
        job.request_handle.cut_interim()


def limit_answer(egress: Egress, job: Job) -> None:
    """Cuts the answer to an abandoned call if it begins but doesn't end.

    An answer that hasn't begun is not cut, since the target may still be
    running the call.

    Args:
        egress: Runs the call.
        job: The call.
    """
    if job.job_id not in egress.table.jobs:
        return
    has_begun = job.request_handle and job.request_handle.is_answering
    next_step = cut_answer if has_begun else limit_answer
    egress.reactor.callLater(ANSWER_TIMEOUT_S, next_step, egress, job)


def cut_answer(egress: Egress, job: Job) -> None:
    """Cuts the answer to a call unless it has ended; it counts as lost."""
    if job.job_id in egress.table.jobs:
        job.request_handle.cut()


def log_job_event(
    egress: Egress,
    event: Event,
    message: str,
    job: Job,
    reason: str = '',
) -> None:
    """Logs an event of a call at the local target."""
    now = egress.reactor.seconds()
    log_event(
        event,
        message,
        Severity.INFO,
        request=request_id_in(job.call.headers, egress.dialect),
        route=job.call.route,
        instance=job.call.instance,
        at_target=len(egress.table.jobs),
        age_ms=int((now - job.arrived) * MS_PER_S),
        left_ms=int((job.deadline - now) * MS_PER_S),
        reason=reason,
    )


def replayed_reply(answer: Answer) -> CallReply:
    """Returns the reply that repeats a stored answer."""
    headers = [*answer.headers, (REPLAYED_HEADER, 'yes')]
    return CallReply(0, answer.status, headers, answer.body)
