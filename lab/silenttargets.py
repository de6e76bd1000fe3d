"""Compares calls to targets that leave some unanswered, on simulated time."""

from collections import Counter
from collections.abc import Callable

from egretlanding.events import SINKS
from lab.silentmodel import SLOTS, Model, exponential_work, tailed_work

RATE = 100
SEEDS = (1, 2, 3)
Case = Callable[[bool, int], Model]


def hang_on_a_share(detects: bool, seed: int) -> Model:
    """1 of 6 targets hangs on a share of 0.4 of its calls."""
    model = Model.of_targets(6, detects=detects, seed=seed)
    model.run(RATE, 10)
    model.targets['h1'].hang_share = 0.4
    model.exchanges.clear()
    model.run(RATE, 20)
    return model


def hang_above_slots(detects: bool, seed: int) -> Model:
    """1 of 6 targets hangs on all calls above 2 of its 5 slots."""
    model = Model.of_targets(6, detects=detects, seed=seed)
    model.targets['h1'].slots = 2
    model.run(3 * RATE, 20)
    return model


def long_tail(detects: bool, seed: int) -> Model:
    """3% of the calls have seven times the work."""
    model = Model.of_targets(6, detects=detects, seed=seed, work_s=tailed_work)
    model.run(RATE, 60)
    return model


def pause(detects: bool, seed: int) -> Model:
    """All daemons are paused for 2 s."""
    work = exponential_work
    model = Model.of_targets(6, detects=detects, seed=seed, work_s=work)
    model.run(RATE, 10)
    for _ in range(SLOTS):
        model.call()
    model.clock.advance(2)
    model.run(RATE, 10)
    return model


CASES: tuple[Case, ...] = (hang_on_a_share, hang_above_slots, long_tail, pause)


def lost_calls(model: Model) -> int:
    """Returns the number of calls that counted as lost."""
    daemons = (target.egress.silent for target in model.targets.values())
    return sum(silent.lost for silent in daemons if silent)


def main() -> None:
    """Prints the table."""
    retried: Counter[bool] = Counter()
    SINKS.insert(
        0, lambda *event: retried.update([event[-1].get('may_have_run')])
    )
    print('| load case | detects | calls | in time | retries | lost | h1 got |')
    for case in CASES:
        for detects in (False, True):
            retried.clear()
            models = [case(detects, seed) for seed in SEEDS]
            calls = sum(len(model.exchanges) for model in models)
            in_time = sum(model.statuses()[200] for model in models)
            lost = sum(map(lost_calls, models))
            got = sum(model.targets['h1'].received for model in models)
            print(
                f'| {case.__name__} | {detects} | {calls} '
                f'| {in_time / calls:.4f} | {retried[True]} | {lost} | {got} |'
            )


if __name__ == '__main__':
    main()
