"""The order in which an ingress daemon prefers the targets of a service."""

import enum
import itertools
from collections.abc import Iterable, Iterator

import attrs

from egretlanding.hosts import Host, HostState
from egretlanding.rendezvous import rank_candidates


class Distance(enum.IntEnum):
    """The distance of a target from the ingress daemon.

    It is in the same failure domain, in another one of the same region, or in
    another region.
    """

    FAILURE_DOMAIN = 0
    REGION = 1
    REMOTE = 2


@attrs.frozen
class Locality:
    """The location of an ingress daemon.

    Attributes:
        host_id: Id of its host.
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
        """Returns the distance of a host."""
        if host.region != self.region:
            return Distance.REMOTE
        if host.failure_domain != self.failure_domain:
            return Distance.REGION
        return Distance.FAILURE_DOMAIN


def subset_order(locality: Locality, hosts: Iterable[Host]) -> list[Host]:
    """Orders the hosts of a service by the preference of an ingress daemon.

    Hosts of its region come first. Within a region the failure domains
    alternate, beginning with the ingress daemon's if it is among them, so that
    each prefix of the order is spread over them. Within a failure domain
    the order comes from rendezvous hashing: it differs from one ingress
    daemon to another, and a change of the host list moves few hosts.

    Args:
        locality: Location of the ingress daemon.
        hosts: The hosts of the service; those not live are left out.

    Returns:
        The live hosts, the most preferred first.
    """
    live = [host for host in hosts if host.state is HostState.LIVE]
    same_region = [host for host in live if host.region == locality.region]
    other_regions = [host for host in live if host.region != locality.region]
    return [
        *_alternate_domains(locality, same_region),
        *_alternate_domains(locality, other_regions),
    ]


def _alternate_domains(locality: Locality, hosts: list[Host]) -> Iterator[Host]:
    by_id = {host.host_id: host for host in hosts}
    domains: dict[str, list[Host]] = {}
    for host_id in rank_candidates(locality.host_id, by_id):
        host = by_id[host_id]
        domains.setdefault(host.failure_domain, []).append(host)
    same_domain = domains.pop(locality.failure_domain, [])
    rounds = itertools.zip_longest(same_domain, *domains.values())
    alternating = itertools.chain.from_iterable(rounds)
    return (host for host in alternating if host is not None)
