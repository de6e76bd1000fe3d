"""The bounded set of targets of one service that an ingress connects to."""

import enum
import itertools
from collections.abc import Iterable, Iterator

import attrs

from egretlanding.hosts import Host, HostState
from egretlanding.rendezvous import ranked


class Distance(enum.IntEnum):
    """How far a target is from the ingress."""

    FAILURE_DOMAIN = 0
    REGION = 1
    REMOTE = 2


@attrs.frozen
class Locality:
    """Where an ingress is.

    Attributes:
        host_id: The ingress host.
        region: Its region.
        failure_domain: Its failure domain.
    """

    host_id: str
    region: str
    failure_domain: str

    @classmethod
    def of(cls, host: Host) -> 'Locality':
        """Builds the locality of a host."""
        return cls(host.host_id, host.region, host.failure_domain)

    def distance(self, host: Host) -> Distance:
        """Returns how far a host is."""
        if host.region != self.region:
            return Distance.REMOTE
        if host.failure_domain != self.failure_domain:
            return Distance.REGION
        return Distance.FAILURE_DOMAIN


def subset_order(locality: Locality, hosts: Iterable[Host]) -> list[Host]:
    """Orders the hosts of a service as an ingress prefers to connect.

    Near hosts come first. Within the region the failure domains alternate,
    beginning with the ingress's own, so that each prefix of the order is
    spread over them. Ranks come from rendezvous hashing, so that each
    ingress has another order and a change of the list moves few of them.

    Args:
        locality: Where the ingress is.
        hosts: The hosts of the service; leaving ones are left out.

    Returns:
        The hosts, the preferred ones first.
    """
    live = [host for host in hosts if host.state is HostState.LIVE]
    near = [host for host in live if host.region == locality.region]
    far = [host for host in live if host.region != locality.region]
    return [*_alternate(locality, near), *_alternate(locality, far)]


def _alternate(locality: Locality, hosts: list[Host]) -> Iterator[Host]:
    by_id = {host.host_id: host for host in hosts}
    domains: dict[str, list[Host]] = {}
    for host_id in ranked(locality.host_id, by_id):
        host = by_id[host_id]
        domains.setdefault(host.failure_domain, []).append(host)
    own = domains.pop(locality.failure_domain, [])
    rounds = itertools.zip_longest(own, *domains.values())
    flat = itertools.chain.from_iterable(rounds)
    return (host for host in flat if host is not None)
