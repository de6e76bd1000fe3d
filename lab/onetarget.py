"""Simulates one target and its admission, for estimators of its capacity.

The target shares its processing between its calls: up to `knee` calls each run
at full speed, and beyond it each is slowed by (calls / knee) to the power of
`contention`. At 1 the target completes no more calls then, above 1 fewer.
"""

import math
import random
import statistics
from collections.abc import Callable
from typing import Protocol

import attrs

from egretlanding.admission import Admission, Refuse, Start
from egretlanding.capacity import Ending
from egretlanding.objects import Service, WorkClass
from egretlanding.slots import SlotRequest

SLOTS = 9
STEP_S = 0.005
# Work of each route, seconds; the long tail and its share.
WORK_S = {'a': 0.1, 'b': 0.3}
TAIL_SHARE = 0.03
TAIL_FACTOR = 7
WORK_SPREAD = 0.4
LATENCY_S = 0.9
TIMEOUT_S = 2
SECONDS = 60
SETTLED_S = 20


class Estimator(Protocol):
    """What the admission asks of an estimator."""

    limit: int

    @property
    def reserved_slots(self) -> int:
        """Calls below the limit that are kept from running for a moment."""

    def begin(
        self, call_id: int, route: str, usual_s: float, now: float
    ) -> None:
        """Records the start of a call."""

    def end(self, call_id: int, ending: Ending, now: float) -> None:
        """Records the end of a call."""


def steady(_now: float) -> float:
    """Returns the speed of a target that never changes."""
    return 1


@attrs.frozen
class LoadCase:
    """A target's behaviour and the load on it.

    Attributes:
        load: Offered work as a multiple of what `knee` calls complete.
        knee: Calls that run at full speed at a time.
        contention: How much more calls slow one another.
        speed: The speed at a time.
        tail: Whether 3% of the calls of route b take seven times as long.
        fault_share: Share of calls that the target refuses for a fault.
        silent_above: Calls above this number are never answered.
    """

    load: float = 1.1
    knee: Callable[[float], float] = lambda _now: SLOTS
    contention: float = 1
    speed: Callable[[float], float] = steady
    tail: bool = False
    fault_share: float = 0
    silent_above: int = SLOTS


@attrs.define(eq=False)
class Call:
    """A call that runs.

    Attributes:
        request: The call as the admission knows it.
        left_s: Work that is left, seconds.
        silent: Whether it is never answered.
    """

    request: SlotRequest
    left_s: float
    silent: bool = False


@attrs.define(eq=False)
class Run:
    """A run of one load case, and its results.

    Attributes:
        case: The load case.
        admission: The admission under test.
        rng: Source of all random values.
        running: The calls at the target, by id.
        work_s: The work of each call, by id.
        latencies: Latency of each answered call after `SETTLED_S`, seconds.
        offered: Calls offered after `SETTLED_S`.
        good: Those of them that were answered within `LATENCY_S`.
        limits: The limit at the end of each second.
        speeds: The learned speed at the end of each second, if there is one.
    """

    case: LoadCase
    admission: Admission
    rng: random.Random
    running: dict[int, Call] = attrs.field(factory=dict)
    work_s: dict[int, float] = attrs.field(factory=dict)
    latencies: list[float] = attrs.field(factory=list)
    offered: int = 0
    good: int = 0
    limits: list[int] = attrs.field(factory=list)
    speeds: list[float] = attrs.field(factory=list)

    @property
    def goodput(self) -> float:
        """Share of the offered calls that were answered in time."""
        return self.good / max(1, self.offered)

    @property
    def p99_s(self) -> float:
        """The 99th percentile of the latency of answers, seconds."""
        if len(self.latencies) < 2:
            return math.inf
        return statistics.quantiles(self.latencies, n=100)[-1]

    def offer(self, now: float) -> None:
        """Offers a call of a random route."""
        number = len(self.work_s)
        route = self.rng.choice(list(WORK_S))
        spread = self.rng.lognormvariate(0, WORK_SPREAD)
        is_tail = self.case.tail and route == 'b'
        factor = 1
        if is_tail and self.rng.random() < TAIL_SHARE:
            factor = TAIL_FACTOR
        self.work_s[number] = WORK_S[route] * spread * factor
        self.offered += now > SETTLED_S
        request = SlotRequest(
            number,
            route,
            WorkClass.SHORT,
            now + TIMEOUT_S,
            TIMEOUT_S,
            now,
            soft_deadline=now + LATENCY_S,
            usual_s=WORK_S[route],
        )
        decision = self.admission.offer(request, now)
        if isinstance(decision, Start):
            self.start(decision.call, now)

    def start(self, request: SlotRequest, now: float) -> None:
        """Starts a call at the target."""
        if self.rng.random() < self.case.fault_share:
            self.admission.record_shed(request.call_id, now)
            return
        silent = len(self.running) >= self.case.silent_above
        self.running[request.call_id] = Call(
            request, self.work_s[request.call_id], silent
        )

    def step(self, now: float) -> None:
        """Lets the target work for STEP_S, and ends what is done."""
        calls = max(1, len(self.running))
        slowdown = max(1, calls / self.case.knee(now)) ** self.case.contention
        done_s = STEP_S * self.case.speed(now) / slowdown
        for call in tuple(self.running.values()):
            call.left_s -= 0 if call.silent else done_s
            if call.left_s <= 0 or now >= call.request.deadline:
                self.end(call, now)
        for decision in self.admission.advance(now):
            if not isinstance(decision, Refuse):
                self.start(decision.call, now)

    def end(self, call: Call, now: float) -> None:
        """Ends a call, which its caller gives up at its deadline."""
        del self.running[call.request.call_id]
        is_answered = call.left_s <= 0
        ending = Ending.ANSWERED if is_answered else Ending.UNANSWERED
        self.admission.release(call.request.call_id, now, ending)
        latency_s = now - call.request.arrived
        if is_answered and call.request.arrived > SETTLED_S:
            self.latencies.append(latency_s)
            self.good += latency_s <= LATENCY_S


def run_case(
    case: LoadCase,
    estimator: Estimator | None = None,
    limit: int = SLOTS,
    seed: int = 1,
    seconds: float = SECONDS,
) -> Run:
    """Runs a load case.

    Args:
        case: The load case.
        estimator: The estimator under test, None for a fixed limit.
        limit: The fixed limit.
        seed: Seed of the random values.
        seconds: Simulated time.
    """
    admission = Admission.from_service(Service(regions=(), queue_limit=64))
    admission.slots.limit.fix(limit)
    admission.learned = estimator  # type: ignore[assignment]
    run = Run(case, admission, random.Random(seed))
    mean_work_s = statistics.mean(WORK_S.values())
    mean_work_s *= math.exp(WORK_SPREAD**2 / 2)
    arrival: float = 0
    steps = round(seconds / STEP_S)
    for step in range(1, steps + 1):
        now = step * STEP_S
        while arrival < now:
            run.offer(now)
            rate = case.load * case.knee(now) * case.speed(0) / mean_work_s
            arrival += run.rng.expovariate(rate)
        run.step(now)
        if not step % round(1 / STEP_S):
            run.limits.append(admission.slots.limit.current)
            speed = getattr(estimator, 'speed', lambda _now: 1)
            run.speeds.append(speed(now))
    return run


def best_fixed(case: LoadCase, seed: int = 1) -> tuple[int, Run]:
    """Returns the fixed limit with the greatest goodput, and its run."""
    runs = {
        limit: run_case(case, limit=limit, seed=seed)
        for limit in range(1, SLOTS + 1)
    }
    best = max(runs, key=lambda limit: runs[limit].goodput)
    return best, runs[best]
