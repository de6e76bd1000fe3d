"""Measures the policy of calls on a model of one service's targets.

Calls arrive in an open loop. Latency counts from the intended send time, and
a call without an answer counts as its timeout.
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
    """One call from its intended send time to its end."""

    number: int
    work: WorkClass
    sent: float
    service_s: float
    timeout_s: float
    ended: float | None = None
    failed: list[FailedAttempt] = attrs.field(factory=list)
    tried: set[str] = attrs.field(factory=set)

    @property
    def deadline(self) -> float:
        """When its answer has no more use, seconds."""
        return self.sent + self.timeout_s

    @property
    def latency(self) -> float:
        """Latency, or the timeout without an answer in time, seconds."""
        if self.ended is None:
            return self.timeout_s
        return min(self.timeout_s, self.ended - self.sent)


@attrs.define(eq=False)
class Attempt:
    """One attempt of a call at one target."""

    number: int
    call: Call
    host_id: str
    domain: str
    is_hedge: bool


@attrs.define
class Fifo:
    """The baseline beside a target: one bounded queue without classes."""

    free: int = SERVICE.slots
    waiting: deque[SlotRequest] = attrs.field(factory=deque)

    def offer(self, call: SlotRequest, now: float) -> Decision:
        """Starts or queues a call, or refuses it when the queue is full."""
        if self.free:
            self.free -= 1
            return Start(call)
        if len(self.waiting) >= SERVICE.queue_limit:
            return Refuse(call, Refusal.not_run(Reason.QUEUE_FULL))
        self.waiting.append(call)
        return Wait(call)

    def advance(self, now: float) -> tuple[Decision, ...]:
        """Starts the call that came first."""
        if not self.free or not self.waiting:
            return ()
        self.free -= 1
        return (Start(self.waiting.popleft()),)

    def release(self, call_id: int, now: float) -> None:
        """Frees a slot."""
        self.free += 1

    def next_advance_at(self, now: float) -> float | None:
        """Returns None, as waiting calls have no bound."""


def make_balancer(domain: str) -> Balancer:
    """Builds the balancer of one ingress."""
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
class Model:
    """The events of one run."""

    policy: Policy | None
    slowdown: Callable[[int, float], float]
    rng: random.Random
    now: float = 0
    ids: int = 0
    events: list[tuple] = attrs.field(factory=list)
    attempts: dict[int, Attempt] = attrs.field(factory=dict)
    timer: HedgeTimer = attrs.field(factory=HedgeTimer)
    budget: RetryBudget = attrs.field(
        factory=lambda: RetryBudget.with_initial_tokens(0)
    )
    balancers: dict[str, Balancer] = attrs.field(
        factory=lambda: {domain: make_balancer(domain) for domain in DOMAINS},
    )
    admissions: list[Admission | Fifo] = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.admissions = [
            Admission.from_service(SERVICE) if self.policy else Fifo()
            for _ in range(TARGETS)
        ]

    def later(self, at: float, command: Callable, *args: object) -> None:
        """Schedules a command."""
        self.ids += 1
        heapq.heappush(self.events, (at, self.ids, command, args))

    def run(self) -> None:
        """Runs until no event is left."""
        while self.events:
            event = heapq.heappop(self.events)
            self.now = event[0]
            event[2](*event[3])

    def take(self, call: Call) -> None:
        """Takes a call from its caller."""
        self.attempt(call)
        if self.policy is None:
            return
        self.budget.record_first_attempt(self.policy, self.now)
        context = CallContext(call.deadline, idempotent=True)
        delay = self.timer.delay(context, self.policy)
        if delay is not None and call.work is WorkClass.SHORT:
            self.later(self.now + delay, self.hedge, call)

    def attempt(self, call: Call) -> None:
        """Sends an attempt to a target."""
        self.ids += 1
        domain = DOMAINS[call.number % len(DOMAINS)]
        excluded = frozenset(call.tried)
        spec = AttemptSpec(
            self.ids,
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
        call.tried.add(host_id)
        is_hedge = len(call.tried) > 1 and not call.failed
        attempt = Attempt(spec.attempt, call, host_id, domain, is_hedge)
        self.attempts[attempt.number] = attempt
        self.later(self.now + HOP_S, self.offer, attempt)

    def hedge(self, call: Call) -> None:
        """Makes a second attempt beside the first."""
        is_alone = call.ended is None and len(call.tried) == 1
        policy = self.policy or Policy()
        if is_alone and self.budget.take(policy, self.now):
            self.attempt(call)

    def offer(self, attempt: Attempt) -> None:
        """Offers an attempt to the admission beside its target."""
        call, number = attempt.call, int(attempt.host_id)
        short_wait_s = Policy().short_wait_ms / 1_000
        queued = SlotRequest(
            attempt.number,
            call.work,
            call.work,
            call.deadline,
            short_wait_s,
            self.now,
            is_hedge=attempt.is_hedge,
        )
        self.apply(number, [self.admissions[number].offer(queued, self.now)])

    def advance(self, number: int) -> None:
        """Lets an admission drop and start calls."""
        self.apply(number, self.admissions[number].advance(self.now))

    def apply(self, number: int, decisions: Sequence[Decision]) -> None:
        """Carries out the decisions of an admission."""
        for decision in decisions:
            attempt = self.attempts[decision.call.call_id]
            if isinstance(decision, Start):
                slowdown = self.slowdown(number, self.now)
                end = self.now + attempt.call.service_s * slowdown
                self.later(end, self.end, attempt)
            if isinstance(decision, Refuse):
                back = self.now + HOP_S
                self.later(back, self.refuse, attempt, decision.refusal.reason)
        wake = self.admissions[number].next_advance_at(self.now)
        if wake is not None and decisions:
            self.later(max(self.now, wake), self.advance, number)

    def end(self, attempt: Attempt) -> None:
        """Ends a run in a slot and answers."""
        number = int(attempt.host_id)
        self.admissions[number].release(attempt.number, self.now)
        self.advance(number)
        self.later(self.now + HOP_S, self.answer, attempt)

    def answer(self, attempt: Attempt) -> None:
        """Takes an answer; the first one of a call counts."""
        call = attempt.call
        targets = self.balancers[attempt.domain].targets
        targets.record_answer(attempt.host_id, attempt.number, self.now)
        if call.ended is None:
            call.ended = self.now
        if call.work is WorkClass.SHORT:
            self.timer.observe(self.now - call.sent)

    def refuse(self, attempt: Attempt, reason: Reason) -> None:
        """Retries a refused attempt if the policy says so."""
        call, policy = attempt.call, self.policy
        targets = self.balancers[attempt.domain].targets
        targets.record_unanswered(attempt.host_id, attempt.number, self.now)
        if attempt.is_hedge:
            self.budget.refund(self.now)
            return
        call.failed.append(FailedAttempt(reason, Progress.UNSENT))
        if policy is None or call.ended is not None:
            return
        context = CallContext(call.deadline, idempotent=True)
        decision = decide_retry(
            context,
            policy,
            call.failed,
            self.budget,
            self.now,
        )
        if isinstance(decision, Retry) and self.budget.take(policy, self.now):
            self.attempt(call)


@attrs.frozen
class Scenario:
    """A load and the targets that are slowed."""

    title: str
    rate: Callable[[float], float]
    slowed: int = 0
    long_share: float = 0
    timeout_s: float = 1

    def slowdown(self, number: int, now: float) -> float:
        """Returns 10 for the slowed targets from 10 s to 20 s, else 1."""
        return 10 if number < self.slowed and 10 <= now < 20 else 1

    def calls(self, rng: random.Random) -> Iterator[Call]:
        """Draws the calls."""
        now = rng.expovariate(CAPACITY_PER_S)
        while now < RUN_S:
            is_long = rng.random() < self.long_share
            mean_s = LONG_S if is_long else SHORT_S
            yield Call(
                number=rng.getrandbits(16),
                work=WorkClass.LONG if is_long else WorkClass.SHORT,
                sent=now,
                service_s=mean_s / 2 + rng.expovariate(2 / mean_s),
                timeout_s=LONG_TIMEOUT_S if is_long else self.timeout_s,
            )
            now += rng.expovariate(self.rate(now) * CAPACITY_PER_S)


def swing(now: float) -> float:
    """Returns a load that triples within one second, for ten seconds."""
    return 0.5 + min(1, max(0, now - 10), max(0, 21 - now))


SCENARIOS = (
    Scenario('No target slowed, load 50%', lambda now: 0.5),
    Scenario('1 of 5 targets slowed 10x, load 50%', lambda now: 0.5, slowed=1),
    Scenario('2 of 5 targets slowed 10x, load 40%', lambda now: 0.4, slowed=2),
    Scenario('3x swing to 150%, timeout 0.5 s', swing, timeout_s=0.5),
    Scenario('3x swing to 150%, timeout 0.2 s', swing, timeout_s=0.2),
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


def report(title: str, calls: list[Call], elapsed: float) -> str:
    """Returns one row of figures."""
    short = [call for call in calls if call.work is WorkClass.SHORT]
    cuts = statistics.quantiles([call.latency for call in short], n=1_000)
    marks = ' | '.join(f'{cuts[at - 1] * 1_000:.0f}' for at in (500, 990, 999))
    ends = Counter(
        (
            call.work,
            'none' if call.ended is None else call.ended > call.deadline,
        )
        for call in calls
    )
    good, late, none = (
        f'{ends[WorkClass.SHORT, end] / len(short):.2%}'
        for end in (False, True, 'none')
    )
    batches = f'{ends[WorkClass.LONG, False]} of {len(calls) - len(short)}'
    cost = f'{elapsed / len(calls) * 1_000_000:.0f}'
    return (
        f'| {title} | {marks} | {good} | {late} | {none} | {batches} | {cost} |'
    )


def main(*, seed: int = 1) -> None:
    """Prints a table for each scenario.

    Args:
        seed: Seed of the load and of the choices.
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
            model = Model(policy, scenario.slowdown, random.Random(seed))
            for call in calls:
                model.later(call.sent, model.take, call)
            began = time.perf_counter()
            model.run()
            elapsed = time.perf_counter() - began
            print(report(title, calls, elapsed), flush=True)


if __name__ == '__main__':
    defopt.run(main)
