"""The command line of the soak and the steps of one run."""

import contextlib
import random
import sys
import threading
import time
from http import HTTPStatus
from pathlib import Path

import attrs
import defopt

from soak import placement, statements, targetfaults
from soak.callers import Caller, KeptCaller
from soak.faults import fault_context, pick_fault, subject_of
from soak.promises import (
    RECOVERY_LIMIT_S,
    Breach,
    find_breaches,
)
from soak.records import SoakAction, clock
from soak.testbed import SoakMember, Testbed

# Importing these modules registers their promises and faults.
REGISTERING_MODULES = (placement, statements, targetfaults)
# Number of threads that inject faults. Faults of different threads overlap.
SERIES_COUNT = 3
CALLERS_PER_DAEMON = 2
KEPT_CONNECTIONS_PER_DAEMON = 8
MAX_PAUSE_S = 1.0
FAULT_DURATION_S = (0.2, 3.0)
# Time after the recovery limit in which callers still send requests, so that
# it shows whether all daemons serve again, seconds.
OBSERVATION_S = 2.0


@attrs.frozen
class SoakResult:
    """The result of one run of the soak.

    Attributes:
        seed: The seed of all random choices.
        requests: Number of requests that callers sent.
        served: Number of requests that were answered with success.
        faults: Number of actions in the history.
        breaches: The broken promises.
        folder: Folder with the logs of the daemons.
    """

    seed: int
    requests: int
    served: int
    faults: int
    breaches: tuple[Breach, ...]
    folder: Path


def run_series(testbed: Testbed, rng: random.Random, deadline: float) -> None:
    """Injects faults one after another.

    Args:
        testbed: The daemons, targets and links that get the faults.
        rng: Source of random choices.
        deadline: When no further fault is chosen, seconds.
    """
    while clock() < deadline:
        time.sleep(rng.uniform(0, MAX_PAUSE_S))
        name = pick_fault(rng)
        member = rng.choice(testbed.fleet.members)
        assert isinstance(member, SoakMember)
        run_fault(testbed, name, member, rng.uniform(*FAULT_DURATION_S))


def run_fault(
    testbed: Testbed,
    name: str,
    member: SoakMember,
    seconds: float,
) -> None:
    """Injects one fault and records when it was injected and undone.

    Does nothing if another thread injects a fault at the same host.
    """
    if not member.fault_lock.acquire(blocking=False):
        return
    try:
        subject = subject_of(name, member)
        began = clock()
        with fault_context(name, testbed, member):
            time.sleep(seconds)
        if name != 'publish':
            testbed.history.record(SoakAction(name, subject, began, clock()))
    finally:
        member.fault_lock.release()


def start_callers(testbed: Testbed, rng: random.Random) -> list[Caller]:
    """Starts callers for every daemon."""
    kinds = (
        (Caller, testbed.current_paths, CALLERS_PER_DAEMON),
        (KeptCaller, testbed.slow_paths, KEPT_CONNECTIONS_PER_DAEMON),
    )
    callers = [
        caller_class(
            member, testbed.history, random.Random(rng.random()), get_paths
        )
        for caller_class, get_paths, count in kinds
        for member in testbed.fleet.members * count
    ]
    for caller in callers:
        caller.start()
    return callers


def bring_about_faults(
    testbed: Testbed,
    rng: random.Random,
    seconds: float,
) -> None:
    """Runs overlapping series of faults, then waits for the recovery."""
    deadline = clock() + seconds
    threads = [
        threading.Thread(
            target=run_series,
            args=(testbed, random.Random(rng.random()), deadline),
        )
        for _ in range(SERIES_COUNT)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    time.sleep(RECOVERY_LIMIT_S + OBSERVATION_S)


def run(seed: int, *, hosts: int = 4, seconds: float = 20.0) -> SoakResult:
    """Runs the soak once.

    Args:
        seed: The seed of all random choices.
        hosts: The number of daemons.
        seconds: Time during which faults are injected, seconds.
    """
    rng = random.Random(seed)
    testbed = Testbed.start(hosts)
    with contextlib.closing(testbed):
        callers = start_callers(testbed, rng)
        bring_about_faults(testbed, rng, seconds)
        for caller in callers:
            caller.stop()
    history = testbed.history
    return SoakResult(
        seed,
        len(history.requests),
        sum(request.status == HTTPStatus.OK for request in history.requests),
        len(history.actions),
        tuple(find_breaches(history)),
        testbed.fleet.folder,
    )


def soak(
    *,
    first: int = 1,
    seeds: int = 1,
    hosts: int = 4,
    seconds: float = 20.0,
) -> int:
    """Runs the soak for consecutive seeds and prints the broken promises.

    Args:
        first: The first seed.
        seeds: The number of seeds.
        hosts: The number of daemons.
        seconds: Time during which faults are injected, seconds.

    Returns:
        The number of seeds with a broken promise.
    """
    failed_seeds = 0
    for seed in range(first, first + seeds):
        outcome = run(seed, hosts=hosts, seconds=seconds)
        failed_seeds += bool(outcome.breaches)
        print(
            f'seed {seed}: {outcome.served} of {outcome.requests} served, '
            f'{outcome.faults} faults, {len(outcome.breaches)} breaches, '
            f'logs in {outcome.folder}',
            flush=True,
        )
        for breach in outcome.breaches[:10]:
            print(f'  {breach.promise}: {breach.detail}', flush=True)
    return failed_seeds


def main() -> None:
    """Runs the command line."""
    sys.exit(min(1, defopt.run(soak)))
