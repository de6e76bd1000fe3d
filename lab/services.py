"""Measures calls in meshes of the size that two users run.

Real daemons and targets run on this machine; links have no latency added. The
same calls are sent under the policy and under the baseline (random choice, no
work classes, no shunning, no hedges), one after the other.
Run: python -m lab.services trousse, python -m lab.services magnolia
"""

import itertools
import os
import random
import sys
from collections.abc import Callable, Iterator, Sequence

import attrs
import defopt

from egretlanding.objects import (
    ConfigObject,
    IdempotencyRule,
    Policy,
    Region,
    Route,
    Service,
    WorkClass,
)
from egretlanding.release import Release
from lab.load import (
    Call,
    Outcome,
    encode_request,
    format_table,
    run_load,
    schedule_calls,
    summarise,
)
from standins.fleet import Fleet, Placement

SHORT_SERVICE_MS = 10
LONG_SERVICE_MS = 500
PEAK_SERVICE_MS = 80
SLOWDOWN = 10
DURATION_S = 8
PEAK_BEGIN_S = 4
PEAK_END_S = 7
HEADINGS = (
    'scenario',
    'balancing',
    'calls',
    'answered',
    'p50 ms',
    'p99 ms',
    'p99.9 ms',
)


@attrs.frozen
class UserMesh:
    """The failure domains and servers of one user.

    Attributes:
        domains: Failure domains by region.
        servers: Number of servers by service. The first service has slowed
            targets, the second the peak load, the third short calls
            beside batches.
    """

    domains: dict[str, tuple[str, str]]
    servers: dict[str, int]

    def placements(self) -> Iterator[Placement]:
        """Yields the hosts, spread over the failure domains."""
        ordered = itertools.chain(*zip(*self.domains.values(), strict=True))
        regions = {
            domain: region
            for region, domains in self.domains.items()
            for domain in domains
        }
        zones = itertools.cycle((regions[domain], domain) for domain in ordered)
        for service, count in self.servers.items():
            for number in range(count):
                yield Placement(f'{service}-{number}', *next(zones), service)

    def release(self) -> Release:
        """Returns a release with a short and a long route per service."""
        objects = [
            ConfigObject('Region', region, Region(failure_domains=domains))
            for region, domains in self.domains.items()
        ]
        policy = Policy(timeout_ms=2_000, hedge_ms=30)
        objects.append(ConfigObject('Policy', 'default', policy))
        for service, kind in itertools.product(self.servers, ('short', 'long')):
            name = f'{service}-{kind}'
            route = Route(
                path_prefix=f'/{service}/{kind}',
                service=service,
                policy='default',
                work=WorkClass(kind),
            )
            rule = IdempotencyRule(route=name, idempotent=kind == 'short')
            spec = Service(regions=tuple(self.domains), cold_start_ms=0)
            objects.extend(
                (
                    ConfigObject('Service', service, spec),
                    ConfigObject('Route', name, route),
                    ConfigObject('IdempotencyRule', name, rule),
                ),
            )
        return Release.from_objects(1, '', objects)


MESHES = {
    'trousse': UserMesh(
        {
            'casa-nord': ('ain-sebaa', 'sidi-maarouf'),
            'souss-sud': ('inezgane', 'ait-melloul'),
        },
        {'catalogue': 5, 'commandes': 4, 'tournees': 4, 'magasin': 4},
    ),
    'magnolia': UserMesh(
        {
            'gulf-coast': ('mobile-a', 'baton-rouge-b'),
            'piedmont': ('charlotte-a', 'greenville-b'),
        },
        {'glossary': 5, 'billing': 4, 'render': 4, 'certify': 4},
    ),
}
Rate = Callable[[float], float]
# Name, outcomes of the calls, and the kind of call that the table shows.
Scenario = tuple[str, list[Outcome], str]


@attrs.frozen
class Load:
    """The calls of one kind in a scenario.

    Attributes:
        kind: Work class of the calls, short or long.
        service: The service.
        service_ms: Service time, ms.
        rate: Calls per second by time since the start, seconds.
    """

    kind: str
    service: str
    service_ms: int
    rate: Rate

    def calls(self, ports: Sequence[int], seed: int) -> list[Call]:
        """Returns the calls, each sent to a random daemon."""
        path = f'/{self.service}/{self.kind}'
        request = encode_request('GET', path, x_service_ms=self.service_ms)

        def make_call(due_at: float, rng: random.Random) -> Call:
            return Call(due_at, rng.choice(ports), request, self.kind)

        return schedule_calls(self.rate, DURATION_S, make_call, seed)


def peak_rate(now: float) -> float:
    """Returns the calls per second of a load that triples for a while."""
    return 360 if PEAK_BEGIN_S <= now < PEAK_END_S else 120


def constant_rate(rate: float) -> Rate:
    """Returns a rate that is the same at all times."""
    return lambda _now: rate


def run_loads(fleet: Fleet, *loads: Load) -> list[Outcome]:
    """Sends the calls of a scenario and returns their outcomes."""
    ports = [member.settings['call_port'] for member in fleet.members.values()]
    calls = itertools.chain.from_iterable(
        load.calls(ports, seed) for seed, load in enumerate(loads)
    )
    return run_load(sorted(calls, key=lambda call: call.due_at))


def run_scenarios(
    fleet: Fleet,
    services: Sequence[str],
) -> Iterator[Scenario]:
    """Yields each scenario after its run."""
    slowed_service, peak_service, mixed_service = services[:3]
    short_calls = Load(
        'short', slowed_service, SHORT_SERVICE_MS, constant_rate(150)
    )
    yield 'all targets alike', run_loads(fleet, short_calls), 'short'
    for count in (1, 2):
        name = f'{slowed_service}-{count - 1}'
        fleet.members[name].control_target(slowdown=SLOWDOWN)
        outcomes = run_loads(fleet, short_calls)
        yield f'{count} of 5 targets {SLOWDOWN}x slower', outcomes, 'short'
    peak_calls = Load('short', peak_service, PEAK_SERVICE_MS, peak_rate)
    outcomes = run_loads(fleet, peak_calls)
    yield 'swing, all', outcomes, 'short'
    peak_outcomes = [
        outcome
        for outcome in outcomes
        if PEAK_BEGIN_S <= outcome.call.due_at < PEAK_END_S
    ]
    yield 'swing, calls of the crest', peak_outcomes, 'short'
    outcomes = run_loads(
        fleet,
        Load('short', mixed_service, SHORT_SERVICE_MS, constant_rate(80)),
        Load('long', mixed_service, LONG_SERVICE_MS, constant_rate(40)),
    )
    yield 'short beside batches', outcomes, 'short'
    yield 'batches beside short', outcomes, 'long'


def measure(mesh: UserMesh, balancing: str) -> Iterator[list[str]]:
    """Yields the rows of one setting of `balancing`."""
    region = next(iter(mesh.domains))
    fleet = Fleet.from_placements(
        mesh.placements(),
        region,
        balancing=balancing,
    )
    try:
        fleet.start()
        fleet.publish(mesh.release())
        fleet.wait_in_force(1, timeout_s=60)
        for name, outcomes, kind in run_scenarios(fleet, list(mesh.servers)):
            yield [name, balancing, *summarise(outcomes, kind)]
    finally:
        fleet.close()


def main(user: str) -> None:
    """Prints the table of one user's mesh.

    Args:
        user: trousse or magnolia.
    """
    mesh = MESHES[user]
    rows = [
        row
        for balancing in ('random', 'p2c')
        for row in measure(mesh, balancing)
    ]
    print(format_table(HEADINGS, sorted(rows, key=lambda row: row[0])))
    load_averages = ', '.join(f'{value:.1f}' for value in os.getloadavg())
    print(f'\n{os.cpu_count()} cores, load averages at the end {load_averages}')


if __name__ == '__main__':
    sys.exit(defopt.run(main))
