"""The placement of the hosts of the two example meshes."""

import itertools

from standins.fleet import Placement

TROUSSE_STORE_REGION = 'casa-nord'
MAGNOLIA_STORE_REGION = 'gulf-coast'

TROUSSE_FAILURE_DOMAINS = (
    ('casa-nord', 'ain-sebaa'),
    ('souss-sud', 'inezgane'),
    ('casa-nord', 'sidi-maarouf'),
    ('souss-sud', 'ait-melloul'),
)
MAGNOLIA_FAILURE_DOMAINS = (
    ('gulf-coast', 'mobile-a'),
    ('piedmont', 'charlotte-a'),
    ('gulf-coast', 'baton-rouge-b'),
    ('piedmont', 'greenville-b'),
)
TROUSSE_HOST_COUNTS = {
    'catalogue': 5,
    'commandes': 4,
    'tournees': 4,
    'magasin': 4,
}
MAGNOLIA_HOST_COUNTS = {'glossary': 5, 'certify': 4, 'billing': 4, 'render': 4}


def spread_hosts(
    host_counts: dict[str, int],
    failure_domains: tuple[tuple[str, str], ...],
) -> tuple[Placement, ...]:
    """Spreads the hosts of each service over the failure domains.

    Args:
        host_counts: Number of hosts by service.
        failure_domains: Pairs of region and failure domain, which the hosts
            of each service use in turn.
    """
    return tuple(
        Placement(f'{service}-{number}', region, failure_domain, service)
        for service, count in host_counts.items()
        for number, (region, failure_domain) in zip(
            range(count),
            itertools.cycle(failure_domains),
            strict=False,
        )
    )


TROUSSE_PLACEMENTS = spread_hosts(TROUSSE_HOST_COUNTS, TROUSSE_FAILURE_DOMAINS)
MAGNOLIA_PLACEMENTS = spread_hosts(
    MAGNOLIA_HOST_COUNTS, MAGNOLIA_FAILURE_DOMAINS
)
