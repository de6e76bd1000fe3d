"""The configuration that one call uses from start to end."""

import attrs

from egretlanding.hosts import HostList
from egretlanding.objects import Region
from egretlanding.policies import resolve_policy
from egretlanding.release import Release
from egretlanding.routing import RouteTable


@attrs.frozen
class View:
    """A release and a host list, indexed for use by calls.

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
        """Builds a view from a release and a host list.

        Args:
            release: A release that passed its checks.
            hosts: The host list.
        """
        routes = RouteTable.from_release(release, resolve_policy)
        return cls(release, hosts, routes)

    def with_hosts(self, hosts: HostList) -> 'View':
        """Returns the view with another host list."""
        return attrs.evolve(self, hosts=hosts)

    def region(self, name: str) -> Region:
        """Returns a region, or the default one if the release has none."""
        config_object = self.release.objects.get(('Region', name))
        return (
            config_object.spec if config_object else Region(failure_domains=())
        )
