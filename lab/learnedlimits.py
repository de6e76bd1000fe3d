"""Compares estimators of a target's capacity on simulated time."""

import math
from collections.abc import Callable

import attrs

from egretlanding.capacity import CapacityEstimator, Ending
from lab.onetarget import (
    SLOTS,
    WORK_S,
    Estimator,
    LoadCase,
    best_fixed,
    run_case,
)

# A target slows down for this part of the run, seconds.
SLOW_FROM_S = 25
SLOW_UNTIL_S = 45
SEEDS = (1, 2, 3)
CUT_PAUSE_S = 0.5
# A call of more than this multiple of its work is slow.
SLOW_RATIO = 3


def is_slow_at(now: float) -> bool:
    """Returns whether it is a time of slowness."""
    return SLOW_FROM_S <= now < SLOW_UNTIL_S


CASES: dict[str, LoadCase] = {
    'no contention': LoadCase(),
    'below capacity': LoadCase(load=0.6),
    'shared beyond 4': LoadCase(knee=lambda _now: 4),
    'thrashing beyond 4': LoadCase(knee=lambda _now: 4, contention=1.6),
    'thrashing beyond 3, twice the load': LoadCase(
        load=2, knee=lambda _now: 3, contention=1.6
    ),
    'speed halves and recovers': LoadCase(
        load=0.8, speed=lambda now: 0.5 if is_slow_at(now) else 1
    ),
    'knee halves and recovers': LoadCase(
        load=1.2,
        knee=lambda now: 3 if is_slow_at(now) else SLOTS,
        contention=1.6,
    ),
    '2.5 times slower at times': LoadCase(
        load=0.8, speed=lambda now: 0.4 if now % 12 < 2 else 1
    ),
    'long tail': LoadCase(tail=True),
    'long tail, thrashing beyond 4': LoadCase(
        knee=lambda _now: 4, contention=1.6, tail=True
    ),
    'refuses 20% for a fault': LoadCase(load=0.9, fault_share=0.2),
    'silent above 6': LoadCase(load=1.2, silent_above=6),
    'slow from the start': LoadCase(load=1.2, speed=lambda _now: 0.4),
}


@attrs.define
class Adaptive:
    """The base of estimators that move the limit at the end of each call.

    Attributes:
        limit: Calls that may run at a time.
        reserved_slots: Calls below the limit that may not run; always none.
        level: The limit before rounding down.
        started: Route and start time of the calls that run, by id.
    """

    limit: int = SLOTS
    reserved_slots: int = 0
    level: float = SLOTS
    started: dict[int, tuple[str, float]] = attrs.field(factory=dict)

    def begin(
        self, call_id: int, route: str, _usual_s: float, now: float
    ) -> None:
        """Records the start of a call."""
        self.started[call_id] = (route, now)

    def end(self, call_id: int, ending: Ending, now: float) -> None:
        """Records the end of a call, and moves the limit."""
        route, started = self.started.pop(call_id)
        self.move((now - started) / WORK_S[route], ending, now)
        self.limit = int(self.level)

    def move(self, ratio: float, ending: Ending, now: float) -> None:
        """Moves the level at the end of a call.

        Args:
            ratio: Its time relative to the work of its route.
            ending: How it ended.
            now: Simulated time, seconds.
        """
        raise NotImplementedError


@attrs.define
class Gradient(Adaptive):
    """Follows the gradient of the latency against its minimum."""

    shortest: float = math.inf
    recent: float = 1

    def move(self, ratio: float, ending: Ending, _now: float) -> None:
        """Moves the level by the ratio of the shortest and the usual time."""
        if ending is not Ending.ANSWERED:
            return
        self.recent += 0.1 * (ratio - self.recent)
        self.shortest = min(self.shortest * 1.002, self.recent)
        gradient = max(0.5, min(1, 1.5 * self.shortest / self.recent))
        goal = self.level * gradient + 1
        self.level = min(SLOTS, max(1, self.level + 0.1 * (goal - self.level)))


@attrs.define
class Aimd(Adaptive):
    """Adds one for each limit of calls, and cuts at slow or refused ones."""

    cut_at: float = 0

    def move(self, ratio: float, ending: Ending, now: float) -> None:
        """Cuts the level at a slow call or a refusal, and else raises it."""
        if ending is Ending.ANSWERED and ratio <= SLOW_RATIO:
            self.level = min(SLOTS, self.level + 1 / self.level)
        elif now > self.cut_at + CUT_PAUSE_S:
            self.level = max(1, 0.8 * self.level)
            self.cut_at = now


def knee() -> Estimator:
    """Returns the estimator of the product."""
    return CapacityEstimator.of(SLOTS)


ESTIMATORS: dict[str, Callable[[], Estimator | None]] = {
    'slots': lambda: None,
    'gradient': Gradient,
    'aimd': Aimd,
    'knee': knee,
}


def main() -> None:
    """Prints goodput, p99 and the limits of each estimator and load case."""
    print('| load case | best fixed |', ' | '.join(ESTIMATORS), '|')
    print(*(['| ---'] * (len(ESTIMATORS) + 2)), '|')
    for name, case in CASES.items():
        limit, best = best_fixed(case)
        cells = [f'{best.goodput:.3f} {best.p99_s:.2f} s (limit {limit})']
        for build in ESTIMATORS.values():
            runs = [run_case(case, build(), seed=seed) for seed in SEEDS]
            goodput = sum(run.goodput for run in runs) / len(runs)
            p99_s = sum(run.p99_s for run in runs) / len(runs)
            settled = [at for run in runs for at in run.limits[20:]]
            cells.append(
                f'{goodput:.3f} {p99_s:.2f} s '
                f'({min(settled)} to {max(settled)}, '
                f'{sum(settled) / len(settled):.1f})'
            )
        print('|', name, '|', ' | '.join(cells), '|', flush=True)


if __name__ == '__main__':
    main()
