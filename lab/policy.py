"""Measures the call policy in a simulation of one service's targets.

Calls arrive in an open loop: at their own times, whatever the answers. Latency
is measured from the intended send time; a call without an answer counts with
its timeout as latency.
"""

import heapq
import random
import statistics
import time
from collections import Counter, deque
from collections.abc import Callable, Iterator, Sequence

import attrs
import defopt

from egretlanding.admission import Admission, Decision, Refuse, Start, Wait
from egretlanding.balancing import AttemptSpec, Balancer, Choice, link_bucket
from egretlanding.hosts import Host
from egretlanding.objects import Policy, Region, Service, WorkClass
from egretlanding.outcomes import FailedAttempt, Progress, Reason, Refusal
from egretlanding.retries import (
    CallContext,
    HedgeTimer,
    Retry,
    RetryBudget,
    decide_retry,
)
from egretlanding.slots import SlotRequest
from egretlanding.subsets import Locality

TARGETS = 5
SHORT_S = 0.02
LONG_S = 50 * SHORT_S
HOP_S = 0.0005
SERVICE = Service(regions=('r',), cold_start_ms=0)
CAPACITY_PER_S = TARGETS * SERVICE.slots / SHORT_S
DOMAINS = ('a', 'b')
RUN_S = 30
LONG_TIMEOUT_S = 20
POLICIES = {
    'baseline': None,
    'policy': Policy(),
    'policy and hedges': Policy(hedge_ms=40),
}


@attrs.define(eq=False)
class Call:
    """One call of the load and its outcome.

    Attributes:
        number: Random number that chooses the failure domain of its ingress.
        work: Its work class.
        sent_at: Intended send time, seconds.
        service_s: Time in a slot of a target that is not slowed, seconds.
        timeout_s: Time from `sent_at` to the deadline, seconds.
        answered_at: When the first answer arrived, seconds; None without.
        failures: Its failed attempts, hedges left out.
        tried_hosts: Ids of the hosts that got an attempt.
    """

    number: int
    work: WorkClass
    sent_at: float
    service_s: float
    timeout_s: float
    answered_at: float | None = None
    failures: list[FailedAttempt] = attrs.field(factory=list)
    tried_hosts: set[str] = attrs.field(factory=set)

    @property
    def deadline(self) -> float:
        """When the caller stops waiting for an answer, seconds."""
        return self.sent_at + self.timeout_s

    @property
    def latency(self) -> float:
        """The latency, at most the timeout, seconds."""
        if self.answered_at is None:
            return self.timeout_s
        return min(self.timeout_s, self.answered_at - self.sent_at)


@attrs.define(eq=False)
class Attempt:
    """One attempt of a call at one target."""

    number: int
    call: Call
    host_id: str
    domain: str
    is_hedge: bool


@attrs.define
class FifoAdmission:
    """The admission of the baseline: one bounded queue for both classes."""

    free_slots: int = SERVICE.slots
    queue: deque[SlotRequest] = attrs.field(factory=deque)

    def offer(self, call: SlotRequest, now: float) -> Decision:
        """Starts or queues a call, or refuses it when the queue is full."""
        if self.free_slots:
            self.free_slots -= 1
            return Start(call)
        if len(self.queue) >= SERVICE.queue_limit:
            return Refuse(call, Refusal.not_run(Reason.QUEUE_FULL))
        self.queue.append(call)
        return Wait(call)

    def advance(self, now: float) -> tuple[Decision, ...]:
        """Starts the call that has waited longest, if a slot is free."""
        if not self.free_slots or not self.queue:
            return ()
        self.free_slots -= 1
        return (Start(self.queue.popleft()),)

    def release(self, call_id: int, now: float) -> None:
        """Frees a slot."""
        self.free_slots += 1

    def next_advance_at(self, now: float) -> float | None:
        """Returns None, because queued calls may wait without a limit."""


def make_balancer(domain: str) -> Balancer:
    """Builds the balancer of the ingress in a failure domain."""
    link = link_bucket(Region(failure_domains=DOMAINS), 1, 0)
    locality = Locality(f'ingress-{domain}', 'r', domain)
    balancer = Balancer.for_service(locality, SERVICE, link)
    hosts = [
        Host(str(number), '', 0, 0, 0, 'r', DOMAINS[number % 2], 's')
        for number in range(TARGETS)
    ]
    balancer.targets.update_hosts(hosts, 0)
    return balancer


@attrs.define(eq=False)
class ServiceModel:
    """A discrete-event simulation of calls to one service.

    Attributes:
        policy: The policy of the calls, or None for the baseline.
        slowdown: Factor of the service time, by number of the target and time.
        rng: Source of the random choices.
        now: Model time, seconds.
        last_id: Number given last to an event or an attempt.
        events: Heap of time, number, command and its arguments.
        attempts: All attempts by number.
        hedge_timer: Chooses when to send a hedge.
        retry_budget: Budget of retries and hedges.
        balancers: The balancer of the ingress of each failure domain.
        admissions: The admission beside each target.
    """

    policy: Policy | None
    slowdown: Callable[[int, float], float]
    rng: random.Random
    now: float = 0
    last_id: int = 0
    events: list[tuple] = attrs.field(factory=list)
    attempts: dict[int, Attempt] = attrs.field(factory=dict)
    hedge_timer: HedgeTimer = attrs.field(factory=HedgeTimer)
    retry_budget: RetryBudget = attrs.field(
        factory=lambda: RetryBudget.with_initial_tokens(0)
    )
    balancers: dict[str, Balancer] = attrs.field(
        factory=lambda: {domain: make_balancer(domain) for domain in DOMAINS},
    )
    admissions: list[Admission | FifoAdmission] = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.admissions = [
            Admission.from_service(SERVICE) if self.policy else FifoAdmission()
            for _ in range(TARGETS)
        ]

    def schedule(self, at: float, command: Callable, *args: object) -> None:
        """Schedules a command at a time, seconds."""
        self.last_id += 1
        heapq.heappush(self.events, (at, self.last_id, command, args))

    def run(self) -> None:
        """Runs until no event is left."""
        while self.events:
            event = heapq.heappop(self.events)
            self.now = event[0]
            event[2](*event[3])

    def start_call(self, call: Call) -> None:
        """Sends a call's first attempt and schedules its hedge."""
        self.send_attempt(call)
        if self.policy is None:
            return
        self.retry_budget.record_first_attempt(self.policy, self.now)
        context = CallContext(call.deadline, idempotent=True)
        delay = self.hedge_timer.delay(context, self.policy)
        if delay is not None and call.work is WorkClass.SHORT:
            self.schedule(self.now + delay, self.send_hedge, call)

    def send_attempt(self, call: Call) -> None:
        """Sends an attempt to a target."""
        self.last_id += 1
        domain = DOMAINS[call.number % len(DOMAINS)]
        excluded = frozenset(call.tried_hosts)
        spec = AttemptSpec(
            self.last_id,
            call.work,
            call.deadline,
            idempotent=True,
            excluded=excluded,
        )
        host_id = str(self.rng.randrange(TARGETS))
        if self.policy is not None:
            balancer = self.balancers[domain]
            choice = balancer.choose(spec, self.now, self.rng)
            if not isinstance(choice, Choice):
                return
            host_id = choice.host.host_id
            balancer.begin(choice, spec, self.now)
        call.tried_hosts.add(host_id)
        is_hedge = len(call.tried_hosts) > 1 and not call.failures
        attempt = Attempt(spec.attempt, call, host_id, domain, is_hedge)
        self.attempts[attempt.number] = attempt
        self.schedule(self.now + HOP_S, self.offer_attempt, attempt)

    def send_hedge(self, call: Call) -> None:
        """Sends a second attempt if the first one has had no answer so far."""
        is_pending = call.answered_at is None and len(call.tried_hosts) == 1
        policy = self.policy or Policy()
        if is_pending and self.retry_budget.take(policy, self.now):
            self.send_attempt(call)

    def offer_attempt(self, attempt: Attempt) -> None:
        """Offers an attempt to the admission beside its target."""
        call, number = attempt.call, int(attempt.host_id)
        short_wait_s = Policy().short_wait_ms / 1_000
        slot_request = SlotRequest(
            attempt.number,
            call.work,
            call.work,
            call.deadline,
            short_wait_s,
            self.now,
            is_hedge=attempt.is_hedge,
        )
        self.carry_out(
            number, [self.admissions[number].offer(slot_request, self.now)]
        )

    def advance(self, number: int) -> None:
        """Starts and drops the queued calls of a target that are due."""
        self.carry_out(number, self.admissions[number].advance(self.now))

    def carry_out(self, number: int, decisions: Sequence[Decision]) -> None:
        """Carries out the decisions of an admission."""
        for decision in decisions:
            attempt = self.attempts[decision.call.call_id]
            if isinstance(decision, Start):
                slowdown = self.slowdown(number, self.now)
                ends_at = self.now + attempt.call.service_s * slowdown
                self.schedule(ends_at, self.finish_run, attempt)
            if isinstance(decision, Refuse):
                arrives_at = self.now + HOP_S
                self.schedule(
                    arrives_at,
                    self.receive_refusal,
                    attempt,
                    decision.refusal.reason,
                )
        advance_at = self.admissions[number].next_advance_at(self.now)
        if advance_at is not None and decisions:
            self.schedule(max(self.now, advance_at), self.advance, number)

    def finish_run(self, attempt: Attempt) -> None:
        """Frees the slot of an attempt that has run and sends its answer."""
        number = int(attempt.host_id)
        self.admissions[number].release(attempt.number, self.now)
        self.advance(number)
        self.schedule(self.now + HOP_S, self.receive_answer, attempt)

    def receive_answer(self, attempt: Attempt) -> None:
        """Records an answer; only the first one of a call counts."""
        call = attempt.call
        targets = self.balancers[attempt.domain].targets
        targets.record_answer(attempt.host_id, attempt.number, self.now)
        if call.answered_at is None:
            call.answered_at = self.now
        if call.work is WorkClass.SHORT:
            self.hedge_timer.observe(self.now - call.sent_at)

    def receive_refusal(self, attempt: Attempt, reason: Reason) -> None:
        """Retries a refused attempt if the policy and the budget allow it."""
        call, policy = attempt.call, self.policy
        targets = self.balancers[attempt.domain].targets
        targets.record_unanswered(attempt.host_id, attempt.number, self.now)
        if attempt.is_hedge:
            self.retry_budget.refund(self.now)
            return
        call.failures.append(FailedAttempt(reason, Progress.UNSENT))
        if policy is None or call.answered_at is not None:
            return
        context = CallContext(call.deadline, idempotent=True)
        decision = decide_retry(
            context,
            policy,
            call.failures,
            self.retry_budget,
            self.now,
        )
        if isinstance(decision, Retry) and self.retry_budget.take(
            policy, self.now
        ):
            self.send_attempt(call)


@attrs.frozen
class Scenario:
    """A load and the targets that are slowed.

    Attributes:
        title: Heading of its table.
        rate: Load by time, as a share of the capacity for short calls.
        slowed: Number of targets that run 10 times slower for a while.
        long_share: Share of long calls.
        timeout_s: Timeout of short calls, seconds.
    """

    title: str
    rate: Callable[[float], float]
    slowed: int = 0
    long_share: float = 0
    timeout_s: float = 1

    def slowdown(self, number: int, now: float) -> float:
        """Returns 10 for the slowed targets from 10 s to 20 s, else 1."""
        return 10 if number < self.slowed and 10 <= now < 20 else 1

    def calls(self, rng: random.Random) -> Iterator[Call]:
        """Yields calls at random times and with random service times."""
        now = rng.expovariate(CAPACITY_PER_S)
        while now < RUN_S:
            is_long = rng.random() < self.long_share
            mean_s = LONG_S if is_long else SHORT_S
            yield Call(
                number=rng.getrandbits(16),
                work=WorkClass.LONG if is_long else WorkClass.SHORT,
                sent_at=now,
                service_s=mean_s / 2 + rng.expovariate(2 / mean_s),
                timeout_s=LONG_TIMEOUT_S if is_long else self.timeout_s,
            )
            now += rng.expovariate(self.rate(now) * CAPACITY_PER_S)


def peak_load(now: float) -> float:
    """Returns a load that triples within one second and stays for ten."""
    return 0.5 + min(1, max(0, now - 10), max(0, 21 - now))


SCENARIOS = (
    Scenario('No target slowed, load 50%', lambda now: 0.5),
    Scenario('1 of 5 targets slowed 10x, load 50%', lambda now: 0.5, slowed=1),
    Scenario('2 of 5 targets slowed 10x, load 40%', lambda now: 0.4, slowed=2),
    Scenario('3x swing to 150%, timeout 0.5 s', peak_load, timeout_s=0.5),
    Scenario('3x swing to 150%, timeout 0.2 s', peak_load, timeout_s=0.2),
    Scenario(
        'Batches 50x as long, load 47%',
        lambda now: 0.16,
        long_share=0.04,
    ),
    Scenario(
        'Batches 50x as long, load 89%',
        lambda now: 0.3,
        long_share=0.04,
    ),
)


def format_row(title: str, calls: list[Call], elapsed: float) -> str:
    """Returns one row of the table.

    Args:
        title: Name of the policy.
        calls: The calls of the run.
        elapsed: Real time that the run took, seconds.
    """
    short_calls = [call for call in calls if call.work is WorkClass.SHORT]
    quantiles_s = statistics.quantiles(
        [call.latency for call in short_calls], n=1_000
    )
    latencies_ms = ' | '.join(
        f'{quantiles_s[at - 1] * 1_000:.0f}' for at in (500, 990, 999)
    )
    counts = Counter(
        (
            call.work,
            'none'
            if call.answered_at is None
            else call.answered_at > call.deadline,
        )
        for call in calls
    )
    in_time, late, refused = (
        f'{counts[WorkClass.SHORT, end] / len(short_calls):.2%}'
        for end in (False, True, 'none')
    )
    long_in_time = (
        f'{counts[WorkClass.LONG, False]} of {len(calls) - len(short_calls)}'
    )
    cost = f'{elapsed / len(calls) * 1_000_000:.0f}'
    return (
        f'| {title} | {latencies_ms} | {in_time} | {late} | {refused} | '
        f'{long_in_time} | {cost} |'
    )


def main(*, seed: int = 1) -> None:
    """Prints a table for each scenario.

    Args:
        seed: Seed of the load and of the random choices.
    """
    for scenario in SCENARIOS:
        print(f'\n## {scenario.title}\n')
        print(
            '| | p50 ms | p99 ms | p99.9 ms | in time | late | refused | '
            'batches in time | us a call |',
        )
        print('|---|---|---|---|---|---|---|---|---|')
        for title, policy in POLICIES.items():
            calls = list(scenario.calls(random.Random(seed)))
            model = ServiceModel(policy, scenario.slowdown, random.Random(seed))
            for call in calls:
                model.schedule(call.sent_at, model.start_call, call)
            started_at = time.perf_counter()
            model.run()
            elapsed = time.perf_counter() - started_at
            print(format_row(title, calls, elapsed), flush=True)


if __name__ == '__main__':
    defopt.run(main)
