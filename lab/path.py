"""Measures the time that the path adds to a call, and what it costs.

One caller sends calls at a fixed rate, in turn to a target itself, through
the daemon beside that target, and through a daemon beside another one, which
hands the call over. All in one run, so that the machine is the same for all.
Run: python -m lab.path
"""

import functools
import os
import pathlib
import random
import sys
import time

import defopt

from egretlanding.objects import (
    ConfigObject,
    IdempotencyRule,
    Policy,
    Region,
    Route,
    Service,
)
from egretlanding.release import Release
from lab.load import (
    MS_PER_S,
    Call,
    encode,
    latencies_ms,
    percentile,
    run_load,
    schedule,
    summarise,
    table,
)
from standins.fleet import Fleet, Member, Placement, wait_until

Rows = list[list[str]]
BODY = b'x' * 200
TARGET = 'work-0'
OTHER = 'edge-0'
KINDS = ('direct', 'one daemon', 'two daemons')
TICKS_PER_S = os.sysconf('SC_CLK_TCK')


def build_release() -> Release:
    """Returns a release with one route for each host's service."""
    objects = [
        ConfigObject('Policy', 'default', Policy()),
        ConfigObject('Region', 'near', Region(failure_domains=('one',))),
    ]
    for name in ('work', 'edge'):
        route = Route(path_prefix=f'/{name}', service=name, policy='default')
        rule = IdempotencyRule(route=name, idempotent=True)
        objects.extend(
            (
                ConfigObject('Service', name, Service(regions=('near',))),
                ConfigObject('Route', name, route),
                ConfigObject('IdempotencyRule', name, rule),
            ),
        )
    return Release.from_objects(1, '', objects)


def cpu_s(member: Member) -> float:
    """Returns the processor time that a daemon has used, seconds."""
    assert member.daemon
    fields = (
        pathlib.Path(f'/proc/{member.daemon.pid}/stat')
        .read_text()
        .rpartition(')')[2]
    )
    user, system = fields.split()[11:13]
    return (int(user) + int(system)) / TICKS_PER_S


def start_fleet() -> Fleet:
    """Starts two hosts and waits until calls are served."""
    placements = [
        Placement(name, 'near', 'one', name.partition('-')[0])
        for name in (TARGET, OTHER)
    ]
    fleet = Fleet.from_placements(placements, store_region='near')
    try:
        serve_calls(fleet)
    except BaseException:
        # Otherwise the processes would outlive the experiment.
        fleet.close()
        raise
    return fleet


def serve_calls(fleet: Fleet) -> None:
    """Starts a fleet and waits until every daemon serves calls."""
    fleet.start()
    fleet.publish(build_release())
    fleet.wait_in_force(1)
    for member in fleet.members.values():
        wait_until(functools.partial(is_served, member))


def is_served(member: Member) -> bool:
    """Tells whether a daemon serves calls."""
    return member.call('GET', '/work').status == 200


def measure(
    fleet: Fleet,
    kinds: tuple[str, ...],
    rate: float,
    duration_s: float,
) -> tuple[Rows, list[str]]:
    """Runs one load; returns rows of latency and of processor time."""
    target, other = fleet.members[TARGET], fleet.members[OTHER]
    ports = {
        'direct': target.settings['target_port'],
        'one daemon': target.settings['call_port'],
        'two daemons': other.settings['call_port'],
    }
    encoded = encode('POST', '/work', BODY)

    def make(due: float, rng: random.Random) -> Call:
        kind = rng.choice(kinds)
        return Call(due, ports[kind], encoded, kind)

    calls = schedule(lambda _now: rate, duration_s, make, seed=1)
    before = [cpu_s(member) for member in (target, other)]
    outcomes = run_load(calls)
    after = [cpu_s(member) for member in (target, other)]
    base = latencies_ms(outcomes, 'direct')
    rows = []
    for kind in kinds:
        times = latencies_ms(outcomes, kind)
        added = [
            f'{percentile(times, share) - percentile(base, share):.2f}'
            if base
            else '-'
            for share in (0.5, 0.99)
        ]
        rows.append([f'{rate:g}', kind, *summarise(outcomes, kind), *added])
    spent = [
        f'{(end - begin) * MS_PER_S / len(calls):.3f}'
        for begin, end in zip(before, after, strict=True)
    ]
    return rows, [f'{rate:g}', ', '.join(kinds), *spent]


def main(*, duration_s: float = 10) -> None:
    """Prints the tables.

    Args:
        duration_s: Length of each run, seconds.
    """
    fleet = start_fleet()
    try:
        began = time.time()
        latency_rows, cpu_rows = [], []
        for rate in (60, 162, 400):
            rows, _ = measure(fleet, KINDS, rate, duration_s)
            latency_rows.extend(rows)
        for kind in KINDS[1:]:
            _, spent = measure(fleet, (kind,), 162, duration_s)
            cpu_rows.append(spent)
    finally:
        fleet.close()
    print(
        table(
            (
                'calls/s',
                'path',
                'calls',
                'answered',
                'p50 ms',
                'p99 ms',
                'p99.9 ms',
                'added p50 ms',
                'added p99 ms',
            ),
            latency_rows,
        ),
    )
    print()
    print(
        table(
            ('calls/s', 'path', 'ms/call beside target', 'ms/call at ingress'),
            cpu_rows,
        ),
    )
    print(f'\n{time.time() - began:.0f} s on {os.cpu_count()} cores')


if __name__ == '__main__':
    sys.exit(defopt.run(main))
