"""The order in which the hosts of a region may claim to read the store."""

import hashlib
import itertools
from collections.abc import Iterable

from egretlanding.hosts import Host

WEIGHT_BYTES = 8


def rank_hosts(hosts: Iterable[Host], region: str) -> tuple[str, ...]:
    """Orders the hosts of a region by their claim to read the store.

    The claim is the rendezvous weight, with the failure domains taking
    turns, so that the first ranks are spread over all of them.

    Args:
        hosts: Hosts of any region.
        region: The region to rank.

    Returns:
        Host ids, the first watcher first.
    """
    inside = sorted(
        (host for host in hosts if host.region == region),
        key=_weigh,
    )
    turns: dict[str, itertools.count[int]] = {}
    placed = [
        (next(turns.setdefault(host.failure_domain, itertools.count())), host)
        for host in inside
    ]
    placed.sort(key=_turn)
    return tuple(host.host_id for _, host in placed)


def _weigh(host: Host) -> bytes:
    return hashlib.blake2b(
        host.host_id.encode(),
        digest_size=WEIGHT_BYTES,
        person=b'egretlanding',
    ).digest()


def _turn(placed: tuple[int, Host]) -> int:
    return placed[0]
