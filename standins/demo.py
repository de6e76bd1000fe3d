"""Shows the whole path: publish, calls, a change, a refusal, a clean stop."""

import pathlib
import sys

from egretlanding.objects import ConfigObject, Policy, Region, Route, Service
from egretlanding.release import Release
from standins.fleet import Answer, Fleet, Placement

PLACEMENTS = tuple(
    Placement(f'{service}-{index}', region, failure_domain, service)
    for service in ('catalogue', 'commandes')
    for index, (region, failure_domain) in enumerate(
        (
            ('casa-nord', 'ain-sebaa'),
            ('casa-nord', 'sidi-maarouf'),
            ('souss-sud', 'inezgane'),
        ),
    )
)
REGIONS = {
    'casa-nord': ('ain-sebaa', 'sidi-maarouf'),
    'souss-sud': ('inezgane',),
}
EXAMPLES = pathlib.Path('examples')


def example_release(number: int, parent: str, timeout_ms: int) -> Release:
    """Returns a small release."""
    objects = [
        *(
            ConfigObject('Region', name, Region(failure_domains=domains))
            for name, domains in REGIONS.items()
        ),
        ConfigObject('Policy', 'default', Policy(timeout_ms=timeout_ms)),
        *(
            ConfigObject('Service', name, Service(regions=tuple(REGIONS)))
            for name in ('catalogue', 'commandes')
        ),
        *(
            ConfigObject(
                'Route',
                name,
                Route(path_prefix=f'/{name}', service=name, policy='default'),
            )
            for name in ('catalogue', 'commandes')
        ),
    ]
    return Release.from_objects(number, parent, objects)


def show(step: str) -> None:
    """Prints one step."""
    print(f'demo: {step}', flush=True)


def require(answer: Answer) -> Answer:
    """Stops the demo unless a call was answered."""
    if answer.status != 200:
        sys.exit(f'demo: a call was answered {answer.status}')
    return answer


def run(fleet: Fleet) -> None:
    """Runs every step."""
    fleet.start()
    first = example_release(1, '', 1_000)
    fleet.publish(first)
    show(f'release 1 in force everywhere, {fleet.wait_in_force(1):.1f} s')
    entry = fleet.members['commandes-0']
    lookup = require(entry.call('GET', '/catalogue/kits'))
    show(f'lookup answered by {lookup.headers["x-target"]}')
    order = require(entry.call('POST', '/commandes/orders', b'refill'))
    show(f'order answered by {order.headers["x-target"]}')
    fleet.publish(example_release(2, first.digest, 900))
    show(f'release 2 in force everywhere, {fleet.wait_in_force(2):.1f} s')


def main() -> int:
    """Runs the demo and stops everything it started."""
    fleet = Fleet.from_placements(PLACEMENTS, store_region='casa-nord')
    try:
        run(fleet)
    finally:
        fleet.close()
    show('all processes stopped')
    return 0


if __name__ == '__main__':
    sys.exit(main())
