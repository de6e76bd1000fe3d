"""Ranks the hosts of a region for reading the store."""

import hashlib
import itertools
from collections.abc import Iterable

from egretlanding.hosts import Host

WEIGHT_BYTES = 8


def rank_hosts(hosts: Iterable[Host], region: str) -> tuple[str, ...]:
    """Ranks the hosts of a region for reading the store.

    The hosts of each failure domain are ordered by rendezvous weight. The
    failure domains then alternate in the ranking, so that the first ranks
    are spread over all of them.

    Args:
        hosts: Hosts of any region.
        region: The region to rank.

    Returns:
        Host ids by rank, the first watcher first.
    """
    in_region = sorted(
        (host for host in hosts if host.region == region),
        key=_weigh,
    )
    domain_counters: dict[str, itertools.count[int]] = {}
    numbered = [
        (
            next(
                domain_counters.setdefault(
                    host.failure_domain, itertools.count()
                )
            ),
            host,
        )
        for host in in_region
    ]
    numbered.sort(key=_index_in_domain)
    return tuple(host.host_id for _, host in numbered)


def _weigh(host: Host) -> bytes:
    return hashlib.blake2b(
        host.host_id.encode(),
        digest_size=WEIGHT_BYTES,
        person=b'egretlanding',
    ).digest()


def _index_in_domain(numbered: tuple[int, Host]) -> int:
    return numbered[0]
