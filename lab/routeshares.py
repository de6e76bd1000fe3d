"""Simulates the routes of one overloaded target, with and without fair shares.

    python -m lab.routeshares

prints for each load case and route the share of its calls that were answered in
time: by priority and time left alone, with guaranteed shares, and the most that
the capacity allows. The last column is the smallest service share of a route,
as a multiple of the fair share, of what the route asked for at most.
"""

import heapq
import itertools
import math
import random
from collections import Counter
from collections.abc import Callable
from statistics import mean

import attrs

from egretlanding.admission import Admission, Refuse, Start
from egretlanding.fairshares import FairShares
from egretlanding.objects import Service, WorkClass
from egretlanding.slots import CLOCK_RESOLUTION_S, SlotRequest

SLOTS = 5
SECONDS = 51
WORK_SPREAD = 0.4
TIMEOUT_S = 3.0
WAVE_S = 17
WAVE_DEPTH = 0.55
RETRY_PAUSE_S = 0.3
SEEDS = (1, 2, 3)
Event = tuple[float, int, Callable[[], None]]


def steady(_now: float) -> float:
    """Returns the factor of a demand that doesn't change."""
    return 1


def wave(now: float) -> float:
    """Returns the factor of a demand that rises and falls."""
    return 1 + WAVE_DEPTH * math.sin(2 * math.pi * now / WAVE_S)


@attrs.frozen
class Route:
    """A route and its demand.

    Attributes:
        name: Its name.
        demand: Its work as a share of the capacity.
        priority: Rank of its calls, 0 is served first.
        work_s: Mean time that a call takes, seconds.
        latency_s: Time in which its answers are wanted, seconds.
    """

    name: str
    demand: float
    priority: int = 1
    work_s: float = 0.2
    latency_s: float = 0.8


@attrs.frozen
class LoadCase:
    """The demand for one target.

    Attributes:
        name: Its name.
        routes: The routes.
        factor: Factor of the demand at a time.
        retries: How often a rejected caller sends a call again.
    """

    name: str
    routes: tuple[Route, ...]
    factor: Callable[[float], float] = steady
    retries: int = 0


CASES = (
    LoadCase('two priorities', (Route('a', 0.75), Route('b', 0.75, 2))),
    LoadCase(
        'two priorities, much of the first',
        (Route('a', 1.2), Route('b', 0.3, 2)),
    ),
    LoadCase(
        'ten times the usual demand of one of four',
        (
            Route('a', 1.5, latency_s=0.6),
            Route('b', 0.15),
            Route('c', 0.15, 2),
            Route('d', 0.15, 3, latency_s=1.2),
        ),
    ),
    LoadCase(
        'a wave of 55%',
        (Route('a', 0.5), Route('b', 0.4, 2), Route('c', 0.2, 3)),
        factor=wave,
    ),
    LoadCase(
        'three retries',
        (Route('a', 1.1), Route('b', 0.4, 3)),
        retries=3,
    ),
    LoadCase(
        'no overload', (Route('a', 0.3), Route('b', 0.2, 2), Route('c', 0.1, 3))
    ),
)


@attrs.define(eq=False)
class Call:
    """A call of a caller.

    Attributes:
        route: Its route.
        arrived: When it was first sent, seconds.
        work_s: Time that it takes, seconds.
        retries_left: How often its caller may send it again.
    """

    route: Route
    arrived: float
    work_s: float
    retries_left: int


@attrs.define(eq=False)
class Run:
    """A run of one load case, and its results.

    Attributes:
        case: The load case.
        admission: The admission under test.
        rng: Source of the arrivals and the work.
        pauses: Source of the pauses before retries.
        now: The simulated time, seconds.
        advances_at: When the next timer of the queue fires, seconds.
        events: Heap of what happens later.
        numbers: Source of numbers.
        calls: The calls by the id of their last attempt.
        asked: Calls by route.
        in_time: Calls answered in time, by route.
        asked_s: Work of the calls by route, seconds.
        in_time_s: Work of the calls answered in time, seconds.
        arrivals: Time and work of each call, seconds.
        started: Time and id of each start, in order.
        rejected_at: When each rejected call was rejected, seconds.
    """

    case: LoadCase
    admission: Admission
    rng: random.Random
    pauses: random.Random = attrs.field(factory=lambda: random.Random(0))
    now: float = 0
    advances_at: float = math.inf
    events: list[Event] = attrs.field(factory=list)
    numbers: 'itertools.count[int]' = attrs.field(factory=itertools.count)
    calls: dict[int, Call] = attrs.field(factory=dict)
    asked: Counter[str] = attrs.field(factory=Counter)
    in_time: Counter[str] = attrs.field(factory=Counter)
    asked_s: dict[str, float] = attrs.field(factory=dict)
    in_time_s: dict[str, float] = attrs.field(factory=dict)
    arrivals: list[tuple[float, float]] = attrs.field(factory=list)
    started: list[tuple[float, int]] = attrs.field(factory=list)
    rejected_at: list[float] = attrs.field(factory=list)

    def after(self, seconds: float, happen: Callable[[], None]) -> None:
        """Schedules what happens some seconds later."""
        event = (self.now + seconds, next(self.numbers), happen)
        heapq.heappush(self.events, event)

    def arrive(self, route: Route) -> None:
        """Sends a new call of a route, and schedules the next one."""
        spread = self.rng.lognormvariate(-(WORK_SPREAD**2) / 2, WORK_SPREAD)
        work_s = route.work_s * spread
        self.asked[route.name] += 1
        self.arrivals.append((self.now, work_s))
        self.asked_s[route.name] = self.asked_s.get(route.name, 0) + work_s
        self.offer(Call(route, self.now, work_s, self.case.retries))
        self.schedule_arrival(route)

    def schedule_arrival(self, route: Route) -> None:
        """Schedules the next call of a route."""
        rate = route.demand * SLOTS / route.work_s
        pause_s = self.rng.expovariate(rate * self.case.factor(self.now))
        if self.now + pause_s < SECONDS:
            self.after(pause_s, lambda: self.arrive(route))

    def offer(self, call: Call) -> None:
        """Offers a call to the target."""
        number = next(self.numbers)
        self.calls[number] = call
        request = SlotRequest(
            number,
            call.route.name,
            WorkClass.SHORT,
            call.arrived + TIMEOUT_S,
            TIMEOUT_S,
            self.now,
            soft_deadline=call.arrived + call.route.latency_s,
            priority=call.route.priority,
        )
        decision = self.admission.offer(request, self.now)
        if isinstance(decision, Start | Refuse):
            self.apply(decision)
        self.advance()

    def apply(self, decision: Start | Refuse) -> None:
        """Carries out a decision of the admission."""
        number = decision.call.call_id
        call = self.calls[number]
        if isinstance(decision, Start):
            self.started.append((self.now, number))
            self.after(call.work_s, lambda: self.finish(number))
            return
        self.rejected_at.append(self.now)
        if call.retries_left:
            call.retries_left -= 1
            pause_s = RETRY_PAUSE_S * self.pauses.uniform(0.5, 1.5)
            if self.now + pause_s < call.arrived + TIMEOUT_S:
                self.after(pause_s, lambda: self.offer(call))

    def finish(self, number: int) -> None:
        """Frees the slot of a call that the target has answered."""
        self.admission.release(number, self.now)
        call = self.calls[number]
        name = call.route.name
        if self.now - call.arrived <= call.route.latency_s:
            self.in_time[name] += 1
            self.in_time_s[name] = self.in_time_s.get(name, 0) + call.work_s
        self.advance()

    def advance(self) -> None:
        """Decides on the calls that are queued."""
        if self.admission.short:
            for decision in self.admission.advance(self.now):
                self.apply(decision)
            due = self.admission.next_advance_at(self.now)
            is_set = self.now < self.advances_at <= (due or math.inf)
            if due is not None and not is_set:
                pause_s = max(CLOCK_RESOLUTION_S, due - self.now)
                self.advances_at = self.now + pause_s
                self.after(pause_s, self.advance)

    def finish_all(self) -> None:
        """Runs until all calls have ended."""
        while self.events:
            at, _, happen = heapq.heappop(self.events)
            self.now = at
            happen()

    def share_of(self, route: Route) -> float:
        """Returns the share of a route's calls that was answered in time."""
        return self.in_time[route.name] / self.asked[route.name]

    def smallest_share(self) -> float:
        """Returns the least service that a route got.

        Returns:
            Service time of its calls answered in time, as a multiple of the
            fair share; of what it asked for, if that is less.
        """
        fair_s = SLOTS * SECONDS / len(self.case.routes)
        return min(
            self.in_time_s.get(name, 0) / min(fair_s, asked_s)
            for name, asked_s in self.asked_s.items()
        )


def run_case(case: LoadCase, *, fair: bool, seed: int = 1) -> Run:
    """Runs a load case.

    Args:
        case: The load case.
        fair: Whether routes have guaranteed shares.
        seed: Seed of the random values.
    """
    admission = Admission.from_service(Service(regions=(), queue_limit=64))
    admission.slots.limit.fix(SLOTS)
    for route in case.routes:
        admission.times.observe(route.name, route.work_s)
    if fair:
        admission.shares = FairShares()
    run = Run(case, admission, random.Random(seed))
    for route in case.routes:
        run.schedule_arrival(route)
    run.finish_all()
    return run


def upper_bound(run: Run) -> float:
    """Returns the share of all calls that the capacity allows at most.

    Work flows to the target without gaps and in any order; what could not be
    done within the longest latency is lost. Which calls are short is unknown.
    """
    latency_s = max(route.latency_s for route in run.case.routes)
    backlog_s: float = 0
    lost_s: float = 0
    last: float = 0
    for arrived, work_s in run.arrivals:
        backlog_s = max(0, backlog_s - SLOTS * (arrived - last)) + work_s
        excess_s = max(0, backlog_s - SLOTS * latency_s)
        backlog_s -= excess_s
        lost_s += excess_s
        last = arrived
    return 1 - lost_s / sum(run.asked_s.values())


def print_case(case: LoadCase) -> None:
    """Prints the results of a load case, averaged over the seeds."""
    for name, fair in (('today', False), ('fair shares', True)):
        runs = [run_case(case, fair=fair, seed=seed) for seed in SEEDS]
        shares = ' '.join(
            f'{mean(run.share_of(route) for run in runs):.3f}'
            for route in case.routes
        )
        whole = mean(run.in_time.total() / run.asked.total() for run in runs)
        bound = mean(map(upper_bound, runs))
        smallest = min(run.smallest_share() for run in runs)
        print(
            f'| {case.name} | {name} | {shares} | {whole:.3f} | {bound:.3f}'
            f' | {smallest:.2f} |',
        )


if __name__ == '__main__':
    print('| load case | way | by route | all | bound | smallest share |')
    print('| --- | --- | --- | --- | --- | --- |')
    for load_case in CASES:
        print_case(load_case)
