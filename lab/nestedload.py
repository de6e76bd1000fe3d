"""Simulates targets whose runs make nested calls to an overloaded service.

    python -m lab.nestedload

prints the outer calls that complete and the nested calls that are rejected in a
minute, with outer calls held back and without.
"""

import heapq
import itertools
import random
from collections.abc import Callable

import attrs

from egretlanding.nestedroutes import NestedRoutes
from lab.routeshares import steady

SAMPLE_S = 0.25
# The targets of ten daemons, as one.
SLOTS = 90
OUTER_S = 0.2
NESTED_S = 0.2
LEARNING_S = 120
MEASURED_S = 60
SEEDS = (0, 1, 2)
Event = tuple[float, int, Callable[[], None]]


@attrs.frozen
class Load:
    """Calls a second, and the nested service.

    Attributes:
        outer: Calls of the route whose runs make nested calls.
        other: Calls of a route that the target runs too.
        direct: Calls of the nested route by callers.
        nests: Share of the outer runs that make a nested call.
        slots: Nested calls that run at a time.
        queue: Nested calls that wait at most.
        factor: Factor of all demand at a time.
    """

    outer: float = 10
    other: float = 3
    direct: float = 0
    nests: float = 1
    slots: int = 1_000
    queue: int = 0
    factor: Callable[[float], float] = steady


# Twice what the nested service can do.
OVERLOAD = Load(outer=100, slots=10, queue=10)
# The same, at a service that rejects calls although its slots are often idle.
NO_QUEUE = Load(outer=20, slots=2)


@attrs.define(eq=False)
class Daemon:
    """The daemon beside the target, which its nested calls enter at.

    Attributes:
        load: The load.
        rng: Source of all random values.
        holds_back: Whether outer calls are held back.
        learned: What the daemon learns.
        now: The simulated time, seconds.
        until: When the last call arrives, seconds.
        events: Heap of what happens later.
        numbers: Source of numbers.
        running: The routes of the runs.
        starts: Runs by route.
        nested: Nested calls that run or wait.
        completed: Outer calls that completed.
        rejected: Nested calls that were rejected.
    """

    load: Load
    rng: random.Random
    holds_back: bool = True
    learned: NestedRoutes = attrs.field(factory=NestedRoutes)
    now: float = 0
    until: float = 0
    events: list[Event] = attrs.field(factory=list)
    numbers: 'itertools.count[int]' = attrs.field(factory=itertools.count)
    running: list[str] = attrs.field(factory=list)
    starts: dict[str, int] = attrs.field(factory=dict)
    nested: int = 0
    completed: int = 0
    rejected: int = 0

    def after(self, pause_s: float, happen: Callable[[], None]) -> None:
        """Schedules what happens some seconds later."""
        event = (self.now + pause_s, next(self.numbers), happen)
        heapq.heappush(self.events, event)

    def run(self, seconds: float) -> None:
        """Lets calls arrive for some seconds, and runs until all have ended."""
        self.until = self.now + seconds
        self.sample()
        for route in ('outer', 'other', 'direct'):
            if getattr(self.load, route):
                self.arrive(route)
        while self.events:
            at, _, happen = heapq.heappop(self.events)
            self.now = at
            happen()

    def sample(self) -> None:
        """Samples what runs, again and again."""
        self.learned.sample(self.running, self.starts, self.now)
        if self.now < self.until:
            self.after(SAMPLE_S, self.sample)

    def arrive(self, route: str) -> None:
        """Starts a call unless it is held back, and schedules the next one."""
        rate = getattr(self.load, route) * self.load.factor(self.now)
        pause_s = self.rng.expovariate(rate)
        if self.now + pause_s < self.until:
            self.after(pause_s, lambda: self.arrive(route))
        if route == 'direct':
            self.call_nested()
            return
        self.learned.observe(route, self.running)
        share = self.learned.rejected_share(route, self.now)
        held_back = self.holds_back and self.rng.random() < share
        if not held_back and len(self.running) < SLOTS:
            self.running.append(route)
            self.starts[route] = self.starts.get(route, 0) + 1
            self.after(OUTER_S / 2, lambda: self.continue_run(route))

    def continue_run(self, route: str) -> None:
        """Makes a nested call in the middle of a run."""
        nests = route == 'outer' and self.rng.random() < self.load.nests
        nested_s = self.call_nested() if nests else 0
        is_answered = not nests or nested_s > 0
        pause_s = OUTER_S / 2 + nested_s
        self.after(pause_s, lambda: self.finish(route, is_answered))

    def call_nested(self) -> float:
        """Makes a nested call.

        Returns:
            How long it takes, zero if it is rejected.
        """
        self.learned.observe('nested', self.running)
        waiting = self.nested - self.load.slots
        is_rejected = waiting >= self.load.queue
        self.learned.record_end('nested', rejected=is_rejected, now=self.now)
        if is_rejected:
            self.rejected += 1
            return 0
        self.nested += 1
        # All slots work on the calls ahead together.
        wait_s = max(0, waiting + 1) * NESTED_S / max(1, self.load.slots)
        self.after(wait_s + NESTED_S, self.finish_nested)
        return wait_s + NESTED_S

    def finish_nested(self) -> None:
        """Frees the slot of a nested call."""
        self.nested -= 1

    def finish(self, route: str, is_answered: bool) -> None:
        """Ends a run."""
        self.running.remove(route)
        self.completed += is_answered and route == 'outer'


def measure(load: Load, *, holds_back: bool, seed: int) -> Daemon:
    """Returns a daemon after it learned at leisure and met a load.

    Args:
        load: The load.
        holds_back: Whether outer calls are held back.
        seed: Seed of the random values.
    """
    daemon = Daemon(Load(outer=4), random.Random(seed))
    daemon.run(LEARNING_S)
    daemon.load = load
    daemon.holds_back = holds_back
    daemon.completed = 0
    daemon.rejected = 0
    daemon.run(MEASURED_S)
    return daemon


if __name__ == '__main__':
    print('| load | seed | way | completed | nested calls rejected |')
    print('| --- | --- | --- | --- | --- |')
    for name, measured in (('queue', OVERLOAD), ('no queue', NO_QUEUE)):
        for seed, holds_back in itertools.product(SEEDS, (False, True)):
            daemon = measure(measured, holds_back=holds_back, seed=seed)
            way = 'held back' if holds_back else 'today'
            print(
                f'| {name} | {seed} | {way} | {daemon.completed}'
                f' | {daemon.rejected} |',
            )
