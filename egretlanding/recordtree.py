"""The tree along which records reach the daemons of a region."""

import functools
import itertools
from collections.abc import Iterable

import attrs

from egretlanding.hosts import Host
from egretlanding.rendezvous import rank_candidates

# Daemons of a region that watch the store on behalf of the others.
READERS_PER_REGION = 2
# Most daemons that fetch records from one daemon.
MAX_DOWNSTREAM = 4
# Daemons of a region that read the store first if its readers fail.
STANDBYS = 4
# Each later group of stand-ins is larger by this factor.
GROUP_GROWTH = 4
MAX_GROUPS = 8
# Rankings that are kept: those of a few regions, before and after a change.
CACHED_RANKINGS = 8


@attrs.frozen
class RecordTree:
    """The place of one daemon in the tree of its region.

    Attributes:
        order: The hosts of the region, the readers first.
        rank: The index of this daemon's host in that order; the length of the
            order if it isn't listed.
    """

    order: tuple[Host, ...] = ()
    rank: int = 0

    @classmethod
    def of_host(
        cls, host_id: str, region: str, hosts: Iterable[Host]
    ) -> 'RecordTree':
        """Builds the tree of a region from the hosts of all regions."""
        all_hosts = tuple(hosts)
        order = first_ranked(region, all_hosts, len(all_hosts))
        return cls(order, rank_of(host_id, order))

    @property
    def readers(self) -> tuple[Host, ...]:
        """The daemons that watch the store for the region."""
        return self.order[:READERS_PER_REGION]

    @property
    def standbys(self) -> tuple[Host, ...]:
        """The daemons that read the store first if the readers fail."""
        return self.order[READERS_PER_REGION : READERS_PER_REGION + STANDBYS]

    @property
    def upstream(self) -> Host | None:
        """The daemon to fetch records from, None for a reader.

        A host that isn't listed yet is no reader, so that a fleet that starts
        doesn't consist of readers only.
        """
        if not self.order or self.rank < self.reader_count:
            return None
        last = len(self.order) - 1
        place = max(0, min(self.rank - READERS_PER_REGION, last))
        return self.order[place // MAX_DOWNSTREAM]

    @property
    def reader_count(self) -> int:
        """The number of readers."""
        return min(READERS_PER_REGION, len(self.order))

    def is_below(self, host_id: str) -> bool:
        """Returns whether a host of the region comes later in the order."""
        return self.rank < rank_of(host_id, self.order) < len(self.order)

    def earlier_groups(self) -> int:
        """Returns how many groups of stand-ins come before this daemon.

        The groups grow, so that all daemons of a region get their turn after a
        time that grows with the logarithm of their number, and only few read
        the store if the first ones succeed.
        """
        place = max(0, self.rank - READERS_PER_REGION)
        sizes = (STANDBYS * GROUP_GROWTH**group for group in range(MAX_GROUPS))
        return sum(place >= end for end in itertools.accumulate(sizes))


def rank_of(host_id: str, order: tuple[Host, ...]) -> int:
    """Returns the index of a host, or the list's length if it isn't listed."""
    ranks = (rank for rank, host in enumerate(order) if host.host_id == host_id)
    return next(ranks, len(order))


def first_ranked(
    region: str,
    hosts: Iterable[Host],
    count: int,
) -> tuple[Host, ...]:
    """Returns the hosts of a region by rank; the first ones are its readers.

    Args:
        region: The region.
        hosts: The hosts of all regions.
        count: The most hosts to return.
    """
    by_address = {host.address: host for host in hosts if host.region == region}
    order = ranked_addresses(region, frozenset(by_address))[:count]
    return tuple(by_address[address] for address in order)


# Most changes of the list of hosts change neither their number nor addresses.
@functools.lru_cache(maxsize=CACHED_RANKINGS)
def ranked_addresses(region: str, addresses: frozenset[str]) -> tuple[str, ...]:
    """Returns the addresses of the hosts of a region by rank."""
    return tuple(rank_candidates(region, addresses))
