"""The configuration that a call is served with from start to end."""

import attrs

from egretlanding.hosts import HostList
from egretlanding.objects import Region
from egretlanding.policies import resolve_policy
from egretlanding.release import Release
from egretlanding.routing import RouteTable


@attrs.frozen
class View:
    """A release and a host list, ready for use.

    Attributes:
        release: The release in force.
        hosts: The host list in force.
        routes: The routes of the release.
    """

    release: Release
    hosts: HostList
    routes: RouteTable

    @classmethod
    def from_release(cls, release: Release, hosts: HostList) -> 'View':
        """Indexes a release.

        Args:
            release: A release that passed the check.
            hosts: The host list.
        """
        routes = RouteTable.from_release(release, resolve_policy)
        return cls(release, hosts, routes)

    def with_hosts(self, hosts: HostList) -> 'View':
        """Returns the view with another host list."""
        return attrs.evolve(self, hosts=hosts)

    def region(self, name: str) -> Region:
        """Returns a region, or one with the default budget."""
        entry = self.release.objects.get(('Region', name))
        return entry.spec if entry else Region(failure_domains=())
