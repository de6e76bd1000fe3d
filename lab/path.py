"""Measures the latency and processor time that daemons add to a call.

One caller sends calls at a fixed mean rate. Each takes one of three paths at
random: directly to a target, through the daemon beside that target, or through
another host's daemon, which forwards the call to the first. All paths are
measured in the same run, so that load of the machine affects all alike.
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
    encode_request,
    format_table,
    latencies_ms,
    percentile,
    run_load,
    schedule_calls,
    summarise,
)
from standins.fleet import Fleet, Member, Placement, wait_until

Rows = list[list[str]]
BODY = b'x' * 200
TARGET_HOST = 'work-0'
INGRESS_HOST = 'edge-0'
KINDS = ('direct', 'one daemon', 'two daemons')
TICKS_PER_S = os.sysconf('SC_CLK_TCK')


def build_release() -> Release:
    """Returns a release with one route for each of the two services."""
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


def cpu_seconds(member: Member) -> float:
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
    """Starts two hosts and waits until their daemons serve calls."""
    placements = [
        Placement(name, 'near', 'one', name.partition('-')[0])
        for name in (TARGET_HOST, INGRESS_HOST)
    ]
    fleet = Fleet.from_placements(placements, store_region='near')
    try:
        start_serving(fleet)
    except BaseException:
        # Otherwise the processes would keep running after the experiment.
        fleet.close()
        raise
    return fleet


def start_serving(fleet: Fleet) -> None:
    """Starts a fleet and waits until every daemon serves calls."""
    fleet.start()
    fleet.publish(build_release())
    fleet.wait_in_force(1)
    for member in fleet.members.values():
        wait_until(functools.partial(serves_calls, member))


def serves_calls(member: Member) -> bool:
    """Returns whether a daemon serves calls."""
    return member.call('GET', '/work').status == 200


def measure(
    fleet: Fleet,
    kinds: tuple[str, ...],
    rate: float,
    duration_s: float,
) -> tuple[Rows, list[str]]:
    """Runs one load.

    Args:
        fleet: The two hosts.
        kinds: Paths of the calls.
        rate: Calls per second.
        duration_s: Length of the run, seconds.

    Returns:
        A row of latencies for each path, and a row of the processor time
        per call of both daemons, ms.
    """
    target, ingress = fleet.members[TARGET_HOST], fleet.members[INGRESS_HOST]
    ports = {
        'direct': target.settings['target_port'],
        'one daemon': target.settings['call_port'],
        'two daemons': ingress.settings['call_port'],
    }
    request = encode_request('POST', '/work', BODY)

    def make_call(due_at: float, rng: random.Random) -> Call:
        kind = rng.choice(kinds)
        return Call(due_at, ports[kind], request, kind)

    calls = schedule_calls(lambda _now: rate, duration_s, make_call, seed=1)
    cpu_before = [cpu_seconds(member) for member in (target, ingress)]
    outcomes = run_load(calls)
    cpu_after = [cpu_seconds(member) for member in (target, ingress)]
    direct = latencies_ms(outcomes, 'direct')
    rows = []
    for kind in kinds:
        latencies = latencies_ms(outcomes, kind)
        added = [
            f'{percentile(latencies, share) - percentile(direct, share):.2f}'
            if direct
            else '-'
            for share in (0.5, 0.99)
        ]
        rows.append([f'{rate:g}', kind, *summarise(outcomes, kind), *added])
    cpu_cells = [
        f'{(end - begin) * MS_PER_S / len(calls):.3f}'
        for begin, end in zip(cpu_before, cpu_after, strict=True)
    ]
    return rows, [f'{rate:g}', ', '.join(kinds), *cpu_cells]


def main(*, duration_s: float = 10) -> None:
    """Prints the tables.

    Args:
        duration_s: Length of each run, seconds.
    """
    fleet = start_fleet()
    try:
        started_at = time.time()
        latency_rows, cpu_rows = [], []
        for rate in (60, 162, 400):
            rows, _ = measure(fleet, KINDS, rate, duration_s)
            latency_rows.extend(rows)
        for kind in KINDS[1:]:
            _, cpu_row = measure(fleet, (kind,), 162, duration_s)
            cpu_rows.append(cpu_row)
    finally:
        fleet.close()
    print(
        format_table(
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
        format_table(
            ('calls/s', 'path', 'ms/call beside target', 'ms/call at ingress'),
            cpu_rows,
        ),
    )
    print(f'\n{time.time() - started_at:.0f} s on {os.cpu_count()} cores')


if __name__ == '__main__':
    sys.exit(defopt.run(main))
