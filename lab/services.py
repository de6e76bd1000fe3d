"""Measures calls at the sizes of two users, against a baseline.

Real daemons and targets on this machine; links have no latency added. The
policy and the baseline (random choice, no classes, no shunning, no hedges)
run one after the other with the same calls.
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
from lab.load import Call, Outcome, encode, run_load, schedule, summarise, table
from standins.fleet import Fleet, Placement

SHORT_MS = 10
LONG_MS = 500
CREST_MS = 80
SLOWDOWN = 10
DURATION_S = 8
CREST_BEGIN_S = 4
CREST_END_S = 7
HEADS = (
    'scenario',
    'balancing',
    'calls',
    'answered',
    'p50 ms',
    'p99 ms',
    'p99.9 ms',
)


@attrs.frozen
class Size:
    """The size of one user.

    Attributes:
        domains: Failure domains by region.
        servers: Number of servers by service; the first gets slowed
            targets, the second the swing, the third batches.
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
        places = itertools.cycle(
            (regions[domain], domain) for domain in ordered
        )
        for service, count in self.servers.items():
            for number in range(count):
                yield Placement(f'{service}-{number}', *next(places), service)

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


SIZES = {
    'trousse': Size(
        {
            'casa-nord': ('ain-sebaa', 'sidi-maarouf'),
            'souss-sud': ('inezgane', 'ait-melloul'),
        },
        {'catalogue': 5, 'commandes': 4, 'tournees': 4, 'magasin': 4},
    ),
    'magnolia': Size(
        {
            'gulf-coast': ('mobile-a', 'baton-rouge-b'),
            'piedmont': ('charlotte-a', 'greenville-b'),
        },
        {'glossary': 5, 'billing': 4, 'render': 4, 'certify': 4},
    ),
}
Rate = Callable[[float], float]
# Its name, what became of the calls, and the kind of call to look at.
Scenario = tuple[str, list[Outcome], str]


@attrs.frozen
class Work:
    """One kind of call of a scenario.

    Attributes:
        kind: Short or long.
        service: The service.
        service_ms: Service time, ms.
        rate: Calls a second, by seconds from the start.
    """

    kind: str
    service: str
    service_ms: int
    rate: Rate

    def calls(self, ports: Sequence[int], seed: int) -> list[Call]:
        """Returns the calls, each to a random daemon."""
        path = f'/{self.service}/{self.kind}'
        encoded = encode('GET', path, x_service_ms=self.service_ms)

        def make(due: float, rng: random.Random) -> Call:
            return Call(due, rng.choice(ports), encoded, self.kind)

        return schedule(self.rate, DURATION_S, make, seed)


def swing(now: float) -> float:
    """Returns the calls a second of a swing to three times the rate."""
    return 360 if CREST_BEGIN_S <= now < CREST_END_S else 120


def steady(rate: float) -> Rate:
    """Returns a rate that doesn't change."""
    return lambda _now: rate


def run_work(fleet: Fleet, *works: Work) -> list[Outcome]:
    """Runs the calls of a scenario."""
    ports = [member.settings['call_port'] for member in fleet.members.values()]
    calls = itertools.chain.from_iterable(
        work.calls(ports, seed) for seed, work in enumerate(works)
    )
    return run_load(sorted(calls, key=lambda call: call.due))


def run_scenarios(
    fleet: Fleet,
    services: Sequence[str],
) -> Iterator[Scenario]:
    """Yields the name, the outcomes and the kind of call to look at."""
    slowed, crest, mixed = services[:3]
    lookup = Work('short', slowed, SHORT_MS, steady(150))
    yield 'all targets alike', run_work(fleet, lookup), 'short'
    for count in (1, 2):
        name = f'{slowed}-{count - 1}'
        fleet.members[name].control_target(slowdown=SLOWDOWN)
        outcomes = run_work(fleet, lookup)
        yield f'{count} of 5 targets {SLOWDOWN}x slower', outcomes, 'short'
    surge = Work('short', crest, CREST_MS, swing)
    outcomes = run_work(fleet, surge)
    yield 'swing, all', outcomes, 'short'
    at_crest = [
        entry
        for entry in outcomes
        if CREST_BEGIN_S <= entry.call.due < CREST_END_S
    ]
    yield 'swing, calls of the crest', at_crest, 'short'
    outcomes = run_work(
        fleet,
        Work('short', mixed, SHORT_MS, steady(80)),
        Work('long', mixed, LONG_MS, steady(40)),
    )
    yield 'short beside batches', outcomes, 'short'
    yield 'batches beside short', outcomes, 'long'


def measure(size: Size, balancing: str) -> Iterator[list[str]]:
    """Yields the rows of one way of balancing."""
    region = next(iter(size.domains))
    fleet = Fleet.from_placements(
        size.placements(),
        region,
        balancing=balancing,
    )
    try:
        fleet.start()
        fleet.publish(size.release())
        fleet.wait_in_force(1, timeout_s=60)
        for name, outcomes, kind in run_scenarios(fleet, list(size.servers)):
            yield [name, balancing, *summarise(outcomes, kind)]
    finally:
        fleet.close()


def main(user: str) -> None:
    """Prints the table of one user.

    Args:
        user: trousse or magnolia.
    """
    size = SIZES[user]
    rows = [
        row
        for balancing in ('random', 'p2c')
        for row in measure(size, balancing)
    ]
    print(table(HEADS, sorted(rows, key=lambda row: row[0])))
    load = ', '.join(f'{value:.1f}' for value in os.getloadavg())
    print(f'\n{os.cpu_count()} cores, load averages at the end {load}')


if __name__ == '__main__':
    sys.exit(defopt.run(main))
