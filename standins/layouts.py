"""Where the hosts of the two example meshes are."""

import itertools

from standins.fleet import Placement

TROUSSE_STORE_REGION = 'casa-nord'
MAGNOLIA_STORE_REGION = 'gulf-coast'

TROUSSE_DOMAINS = (
    ('casa-nord', 'ain-sebaa'),
    ('souss-sud', 'inezgane'),
    ('casa-nord', 'sidi-maarouf'),
    ('souss-sud', 'ait-melloul'),
)
MAGNOLIA_DOMAINS = (
    ('gulf-coast', 'mobile-a'),
    ('piedmont', 'charlotte-a'),
    ('gulf-coast', 'baton-rouge-b'),
    ('piedmont', 'greenville-b'),
)
TROUSSE_SERVERS = {'catalogue': 5, 'commandes': 4, 'tournees': 4, 'magasin': 4}
MAGNOLIA_SERVERS = {'glossary': 5, 'certify': 4, 'billing': 4, 'render': 4}


def place(
    servers: dict[str, int],
    domains: tuple[tuple[str, str], ...],
) -> tuple[Placement, ...]:
    """Spreads the servers of each service over the failure domains.

    Args:
        servers: Number of servers by service.
        domains: Pairs of region and failure domain, dealt out in turn.
    """
    return tuple(
        Placement(f'{service}-{number}', region, failure_domain, service)
        for service, count in servers.items()
        for number, (region, failure_domain) in zip(
            range(count),
            itertools.cycle(domains),
            strict=False,
        )
    )


TROUSSE = place(TROUSSE_SERVERS, TROUSSE_DOMAINS)
MAGNOLIA = place(MAGNOLIA_SERVERS, MAGNOLIA_DOMAINS)
