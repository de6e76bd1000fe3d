"""Serves one call of a caller, from its arrival until it is answered."""

import math
from collections.abc import Callable
from http import HTTPStatus
from typing import TYPE_CHECKING, Any

import attrs

from egretlanding.balancing import AttemptSpec, Choice
from egretlanding.callfailures import answers_failed_call
from egretlanding.callframes import (
    build_call,
    failure_from_error,
    failure_from_reply,
)
from egretlanding.callheaders import response_of
from egretlanding.calllog import log_answer, log_call
from egretlanding.events import Event
from egretlanding.frames import (
    CallReply,
    Ran,
    refusal_reply,
)
from egretlanding.hosts import Host
from egretlanding.httpserver import HttpExchange
from egretlanding.jobs import MS_PER_S
from egretlanding.nestedcalls import check_nested, record_nested
from egretlanding.outcomes import (
    NO_CAPACITY_REASONS,
    Execution,
    FailedAttempt,
    Progress,
    Reason,
    Refusal,
    combine_failures,
)
from egretlanding.reads import after_reads
from egretlanding.retries import (
    CallContext,
    Retry,
    counts_as_retry,
    decide_retry,
)
from egretlanding.retryafter import FIRST_PAUSE_S, spread_pause_s
from egretlanding.routing import Match
from egretlanding.servicestates import ServiceState, has_spare_capacity
from egretlanding.slots import MARGIN_RATIO, MIN_TIME_TO_RETRY_S
from egretlanding.subsets import Distance
from egretlanding.targets import (
    record_capacity,
    record_silence,
    record_statement,
)
from egretlanding.throttling import ALL_OFFERS, FURTHER_OFFERS

if TYPE_CHECKING:
    from egretlanding.ingress import Ingress

# At the deadline, the egress daemon refuses calls that it hasn't started. The
# ingress waits this much longer for that refusal, seconds, because it proves
# that the call did not run.
REPLY_GRACE_S = 0.05
# Bodies from this size on make an offer costly for the links, bytes.
MIN_COSTLY_BYTES = 1_024


@attrs.define(eq=False)
class Attempt:
    """One attempt to run a call at a target.

    Attributes:
        number: Number of the attempt, unique within this ingress.
        host: The host of the target.
        started: When the attempt was made, monotonic seconds.
        is_hedge: Whether another attempt of the call was open at that time.
        cancel: Cancels the attempt.
        is_sent: Returns whether any byte of it may have left this daemon.
    """

    number: int
    host: Host
    started: float
    is_hedge: bool = False
    cancel: Callable[[], None] = lambda: None
    is_sent: Callable[[], bool] = lambda: True


@attrs.define(eq=False)
class ActiveCall:
    """A call that has not been answered yet, with its attempts.

    Attributes:
        ingress: Sends the attempts.
        exchange: The caller's request, and the means to answer it.
        match: The route, service and policy of the call, from the release
            that was in force when it arrived.
        context: Properties of the call that decide whether it is retried.
        service_state: Balancer and retry budget of its service.
        key: Its idempotency key if it has an owner, or empty.
        owner: The host that owns its key, None without a key.
        open_attempts: Attempts without a reply yet, by number.
        failed_attempts: Attempts that failed, in order.
        tried: Ids of the hosts that an attempt was sent to.
        timers: Timers of the deadline and the hedge.
        is_finished: Whether the caller was answered or has disconnected.
        is_held_back: Whether it was refused for the calls that it would make.
        arrived: When it arrived, monotonic seconds.
        fallback: An error answer of a target. The caller gets it if no
            later attempt is answered.
        retry_after_s: Time after which the caller may send the call again
            if it is refused, seconds.
    """

    ingress: 'Ingress'
    exchange: HttpExchange
    match: Match
    context: CallContext
    service_state: ServiceState
    key: str = ''
    owner: Host | None = None
    open_attempts: dict[int, Attempt] = attrs.field(factory=dict)
    failed_attempts: list[FailedAttempt] = attrs.field(factory=list)
    tried: frozenset[str] = frozenset()
    timers: list[Any] = attrs.field(factory=list)
    is_finished: bool = False
    is_held_back: bool = False
    arrived: float = 0
    fallback: CallReply | None = None
    retry_after_s: float = FIRST_PAUSE_S

    @property
    def now(self) -> float:
        """The monotonic time, seconds."""
        return float(self.ingress.reactor.seconds())

    @answers_failed_call
    def start(self) -> None:
        """Refuses the call or makes the first attempt."""
        self.exchange.on_disconnect = self.abandon
        self.arrived = self.now
        refusal = (
            self.context.check_depth()
            or check_deadline(self.context, self.now)
            or self.ingress.check_quarantine(self.match, self.exchange.request)
        )
        if refusal and not accept_trial(self, refusal):
            adjusted = refusal.for_keyed_call() if self.key else refusal
            self.answer(refusal_reply(0, adjusted))
            return
        refusal = check_nested(self)
        if refusal:
            adjusted = refusal.for_keyed_call() if self.key else refusal
            self.retry_after_s = overload_pause_s(self)
            self.answer(refusal_reply(0, adjusted))
            return
        self.service_state.budget.record_first_attempt(
            self.match.policy,
            self.now,
        )
        self.start_timers()
        self.make_attempt()

    def start_timers(self) -> None:
        """Starts the timers of the deadline and, if allowed, of a hedge."""
        reactor = self.ingress.reactor
        remaining = self.context.deadline - self.now
        self.timers.append(
            reactor.callLater(
                remaining + REPLY_GRACE_S,
                after_reads,
                reactor,
                self.handle_deadline,
            ),
        )
        timer = self.ingress.service_states.hedge_timer(self.match.route_name)
        delay = timer.delay(self.context, self.match.policy)
        if delay is not None and delay < remaining and self.ingress.hedging:
            self.timers.append(
                reactor.callLater(delay, after_reads, reactor, self.hedge),
            )

    def make_attempt(self) -> None:
        """Sends the call to the owner of its key or to a chosen target."""
        number = self.ingress.next_attempt_number()
        spec = AttemptSpec(
            attempt=number,
            route=self.match.route_name,
            deadline=self.context.deadline,
            size=len(self.exchange.request.body),
            idempotent=self.context.idempotent,
            excluded=self.tried,
            regions=frozenset(self.match.route.allowed_regions),
            soft_deadline=soft_deadline(self),
        )
        choice = self.choose_target(spec)
        if isinstance(choice, Refusal):
            self.answer_without_target(choice)
            return
        if choice.host.host_id in self.service_state.balancer.targets.evidence:
            self.service_state.balancer.begin(choice, spec, self.now)
        self.send_attempt(number, choice.host)

    def choose_target(self, spec: AttemptSpec) -> Choice | Refusal:
        """Returns the target of an attempt, or why there is none."""
        if self.owner:
            return Choice(self.owner, Distance.REGION)
        service_states = self.ingress.service_states
        choice = service_states.choose(
            self.service_state.balancer,
            spec,
            self.now,
            service_states.rng,
        )
        if isinstance(choice, Choice) and is_throttled(self, choice):
            return choose_elsewhere(self, choice, spec)
        if isinstance(choice, Refusal) and counts_as_retry(
            self.failed_attempts
        ):
            # With no other target left, try one again that failed before.
            unrestricted = attrs.evolve(spec, excluded=frozenset())
            choice = service_states.choose(
                self.service_state.balancer,
                unrestricted,
                self.now,
                service_states.rng,
            )
        return choice

    def answer_without_target(self, refusal: Refusal) -> None:
        """Refuses a call that has no target, once no attempt is open."""
        if self.open_attempts:
            return
        if self.failed_attempts:
            refusal = combine_failures(self.failed_attempts)
        self.answer(refusal_reply(0, refusal))

    def send_attempt(self, number: int, host: Host) -> None:
        """Sends an attempt to the daemon of a host."""
        self.tried |= {host.host_id}
        attempt = Attempt(
            number,
            host,
            self.now,
            is_hedge=bool(self.open_attempts),
        )
        self.open_attempts[number] = attempt
        self.ingress.send(
            attempt,
            build_call(self, attempt),
            lambda reply: self.handle_reply(attempt, reply),
        )

    @answers_failed_call
    def handle_reply(self, attempt: Attempt, reply: CallReply) -> None:
        """Records the reply to an attempt, then answers or retries."""
        if self.open_attempts.pop(attempt.number, None) is None:
            return
        targets = self.service_state.balancer.targets
        host_id = attempt.host.host_id
        record_reply(self, attempt, reply)
        if reply.ran is Ran.YES:
            targets.record_answer(host_id, attempt.number, self.now)
            if should_retry_error(self, reply):
                self.fallback = reply
                self.failed_attempts.append(failure_from_error(reply))
                self.retry_or_answer()
            else:
                self.deliver_answer(attempt, reply)
            return
        targets.record_unanswered(host_id, attempt.number, self.now)
        never_arrived = reply.ran is Ran.NOT_RUN and not reply.arrived
        if attempt.is_hedge and self.open_attempts and never_arrived:
            self.service_state.budget.refund(self.now)
            return
        failure = failure_from_reply(attempt, reply, keyed=bool(self.key))
        if failure.arrived:
            targets.record_failure(host_id, self.now)
        elif failure.reason in NO_CAPACITY_REASONS:
            targets.record_refusal(host_id, self.match.route_name, self.now)
        elif failure.reason is Reason.TARGET_SILENT:
            record_silence(targets, host_id, self.now)
        self.failed_attempts.append(failure)
        if not self.is_finished:
            self.retry_or_answer()

    def deliver_answer(self, attempt: Attempt, reply: CallReply) -> None:
        """Forwards an answer to the caller and cancels other attempts."""
        timer = self.ingress.service_states.hedge_timer(self.match.route_name)
        timer.observe(self.now - attempt.started)
        self.ingress.record_answer_size(
            self.match.route_name,
            len(reply.body),
        )
        self.cancel_open_attempts()
        self.answer(reply)

    def retry_or_answer(self) -> None:
        """Retries a failed call or answers it, unless an attempt is open."""
        if self.open_attempts:
            return
        request = self.exchange.request
        if self.ingress.check_quarantine(self.match, request):
            self.answer(
                refusal_reply(0, combine_failures(self.failed_attempts))
            )
            return
        policy, budget = self.match.policy, self.service_state.budget
        decision = decide_retry(
            self.context,
            policy,
            self.failed_attempts,
            budget,
            self.now,
        )
        if isinstance(decision, Retry):
            last = self.failed_attempts[-1]
            self.ingress.retries += 1
            log_call(
                self,
                Event.CALL_RETRIED,
                'sent again after an attempt failed',
                reason=last.reason.value,
                may_have_run=last.execution is Execution.UNKNOWN,
                detail=last.detail,
                budget=round(budget.available(self.now), 1),
            )
            if counts_as_retry(self.failed_attempts):
                budget.take(policy, self.now)
            self.make_attempt()
        else:
            self.answer(refusal_reply(0, decision.refusal))

    @answers_failed_call
    def hedge(self) -> None:
        """Makes a second attempt while the first one is late.

        While the targets are busy, a hedge would only add to their load, so
        none is made.
        """
        targets, now = self.service_state.balancer.targets, self.now
        attempts = len(self.open_attempts) + sum(
            failure.arrived for failure in self.failed_attempts
        )
        if (
            len(self.open_attempts) != 1
            or attempts >= self.match.policy.max_attempts
        ):
            return
        regions = self.match.route.allowed_regions
        if not has_spare_capacity(targets, self.tried, now, regions):
            return
        if self.service_state.budget.take(self.match.policy, now):
            self.ingress.hedges += 1
            first = next(iter(self.open_attempts.values()))
            log_call(
                self,
                Event.CALL_HEDGED,
                'sent to a second target while the first is late',
                first=first.host.host_id,
                waited_ms=int((self.now - first.started) * MS_PER_S),
            )
            self.make_attempt()

    @answers_failed_call
    def handle_deadline(self) -> None:
        """Answers a call whose deadline has passed, if it is unanswered."""
        if self.is_finished:
            return
        unanswered = [
            FailedAttempt(
                Reason.DEADLINE,
                Progress.SENT if attempt.is_sent() else Progress.UNSENT,
                keyed=bool(self.key),
                detail='no answer came before the deadline',
            )
            for attempt in self.open_attempts.values()
        ]
        self.cancel_open_attempts()
        self.answer(
            refusal_reply(
                0, combine_failures([*self.failed_attempts, *unanswered])
            ),
        )

    def abandon(self) -> None:
        """Cancels a call whose caller has disconnected."""
        log_call(
            self,
            Event.CALL_ABANDONED,
            'the caller disconnected before the answer',
            attempts_open=len(self.open_attempts),
        )
        self.cancel_open_attempts()
        self.finish()

    def cancel_open_attempts(self) -> None:
        """Cancels all attempts that have no reply yet."""
        targets = self.service_state.balancer.targets
        attempts = tuple(self.open_attempts.values())
        self.open_attempts.clear()
        for attempt in attempts:
            targets.record_unanswered(
                attempt.host.host_id, attempt.number, self.now
            )
            attempt.cancel()

    def answer(self, reply: CallReply) -> None:
        """Answers the caller unless that was done before.

        A target's error answer takes precedence over a refusal.
        """
        if self.is_finished:
            return
        if reply.reason and self.fallback:
            reply = self.fallback
        self.finish()
        log_answer(self, reply)
        self.ingress.call_times.observe(self.now - self.arrived)
        self.ingress.count(reply)
        record_nested(self, reply)
        dialect = self.ingress.dialect
        self.exchange.respond(response_of(reply, dialect, self.retry_after_s))

    def finish(self) -> None:
        """Stops the timers and removes the call from the ingress."""
        self.is_finished = True
        for timer in self.timers:
            if timer.active():
                timer.cancel()
        self.ingress.remove_call(self)


def record_reply(call: ActiveCall, attempt: Attempt, reply: CallReply) -> None:
    """Records what a reply tells about the target, besides its outcome."""
    targets = call.service_state.balancer.targets
    host, now = attempt.host, call.now
    targets.record_load(host.host_id, reply.load, now)
    if reply.ran is Ran.YES or reply.reason not in NO_CAPACITY_REASONS:
        group = offer_group(call, targets.locality.distance(host))
        call.service_state.offers.record_acceptance(group, now)
    if reply.stated:
        record_statement(targets, host, reply.stated)
    if reply.capacity:
        route = call.match.route_name
        record_capacity(targets, host, route, reply.capacity, reply.load, now)


def offer_group(call: ActiveCall, distance: Distance) -> str:
    """Returns the group by which offers of a call are counted.

    Targets of other regions may have room when those of this one have none.
    """
    is_remote = distance is Distance.REMOTE
    return (
        f'{call.match.route_name} remote'
        if is_remote
        else call.match.route_name
    )


def is_throttled(call: ActiveCall, choice: Choice) -> bool:
    """Returns whether a call is not to be offered to the chosen target.

    First offers of calls with short bodies cost little and are always made.
    Calls whose callers have no time to retry are offered all the same, because
    the work that waits for them would be lost.
    """
    if call.context.deadline - call.now <= MIN_TIME_TO_RETRY_S:
        return False
    rate = FURTHER_OFFERS
    if len(call.exchange.request.body) >= MIN_COSTLY_BYTES:
        rate = ALL_OFFERS
    elif not call.failed_attempts:
        return False
    rng = call.ingress.service_states.rng
    offers = call.service_state.offers
    group = offer_group(call, choice.distance)
    return not offers.allows(group, rate, call.now, rng)


def choose_elsewhere(
    call: ActiveCall, throttled: Choice, spec: AttemptSpec
) -> Choice | Refusal:
    """Returns a target of another region, as near ones refuse most calls.

    Args:
        call: The call.
        throttled: The choice that was throttled.
        spec: The attempt.
    """
    if throttled.distance is not Distance.REMOTE:
        service_states = call.ingress.service_states
        choice = service_states.choose(
            call.service_state.balancer,
            attrs.evolve(spec, skips_near=True),
            call.now,
            service_states.rng,
        )
        if isinstance(choice, Choice) and not is_throttled(call, choice):
            return choice
    call.retry_after_s = overload_pause_s(call)
    return Refusal.not_run(
        Reason.QUEUE_FULL,
        'the targets refused most calls of the route lately',
    )


def overload_pause_s(call: ActiveCall) -> float:
    """Returns how long the caller of a throttled call should pause, seconds."""
    targets = call.service_state.balancer.targets
    expected_s = targets.times.expected(call.match.route_name)
    timely_s = (
        call.match.policy.target_latency_ms / MS_PER_S
        - (call.now - call.arrived)
        - MARGIN_RATIO * expected_s
    )
    rng = call.ingress.service_states.rng
    return spread_pause_s(timely_s, call.context.deadline - call.now, rng)


def soft_deadline(call: ActiveCall) -> float:
    """Returns when the answer begins to lose value, for learned limits."""
    allowed_ms = call.match.policy.target_latency_ms
    expectations = call.service_state.balancer.targets.expectations
    if expectations is None or not allowed_ms:
        return math.inf
    allowed_ms -= call.ingress.caller_latency_ms
    return call.arrived + allowed_ms / MS_PER_S


def check_deadline(context: CallContext, now: float) -> Refusal | None:
    """Refuses a call whose deadline has passed."""
    if now < context.deadline:
        return None
    return Refusal.not_run(Reason.DEADLINE, 'the deadline has passed')


def accept_trial(call: ActiveCall, refusal: Refusal) -> bool:
    """Returns whether a refused call is sent as a trial of its request.

    All targets but those that may try the request are left out then.
    """
    if refusal.reason is not Reason.QUARANTINED:
        return False
    hosts = call.ingress.offer_trial(call)
    if hosts:
        targets = call.service_state.balancer.targets
        call.tried = frozenset(targets.evidence) - hosts
    return bool(hosts)


def should_retry_error(call: ActiveCall, reply: CallReply) -> bool:
    """Returns whether another target should be tried after a server error.

    Only an idempotent call without a key may run at a second target.
    """
    return (
        call.context.idempotent
        and reply.status >= HTTPStatus.INTERNAL_SERVER_ERROR
        and not call.key
        and not call.is_finished
    )
