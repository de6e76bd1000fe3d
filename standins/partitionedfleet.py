"""A fleet whose regions can be cut off from each other and from the store.

Each region has its own range of loopback addresses, and daemons connect from
their own address, so the fault proxy knows the region of a connection by its
source address.
"""

from collections.abc import Iterable
from typing import Any

import attrs

from standins.faults import LOOPBACK, DirectionFaults, LinkRule
from standins.fleet import Fleet, Member, Placement
from standins.proxyprocess import FaultProxy

STORE_LINK = 'store'
PROXIED_PORTS = ('exchange_port', 'peer_port')
BLACKHOLED = DirectionFaults(blackhole=True)


@attrs.define(eq=False)
class PartitionedFleet:
    """A fleet behind a fault proxy.

    Attributes:
        fleet: The fleet.
        proxy: The proxy that forwards exchanges, calls and store reads.
        regions: The regions, in the order of their address ranges.
    """

    fleet: Fleet
    proxy: FaultProxy
    regions: tuple[str, ...]

    @classmethod
    def from_placements(
        cls,
        placements: Iterable[Placement],
        store_region: str,
        **settings: Any,
    ) -> 'PartitionedFleet':
        """Starts platform and proxy, and prepares the hosts.

        Args:
            placements: The hosts.
            store_region: The region of the store.
            settings: Further settings of every daemon.
        """
        fleet = Fleet.from_placements(placements, store_region, **settings)
        members = fleet.members.values()
        regions = sorted({member.settings['region'] for member in members})
        partitioned = cls(fleet, FaultProxy.start(), tuple(regions))
        port = partitioned.proxy.add_link(STORE_LINK, fleet.read_port)
        for index, member in enumerate(members, 1):
            partitioned.put_behind_proxy(member, index)
            member.settings['store_url'] = f'http://{LOOPBACK}:{port}'
        fleet.set_seeds()
        return partitioned

    def address_prefix(self, region: str) -> str:
        """Returns the common prefix of the addresses of a region."""
        return f'127.{self.regions.index(region) + 1}.'

    def members_in(self, region: str) -> list[Member]:
        """Returns the hosts of a region."""
        return [
            member
            for member in self.fleet.members.values()
            if member.settings['region'] == region
        ]

    def put_behind_proxy(self, member: Member, index: int) -> None:
        """Sets a host's address and opens links to its ports."""
        region = member.settings['region']
        member.settings['address'] = f'{self.address_prefix(region)}0.{index}'
        member.listed_settings['address'] = LOOPBACK
        for name in PROXIED_PORTS:
            member.listed_settings[name] = self.proxy.add_link(
                link_name(member, name),
                member.settings[name],
                member.settings['address'],
            )

    def set_rule(self, region: str, to_region: str, rule: LinkRule) -> None:
        """Applies a rule to all connections from one region to another."""
        scoped = attrs.evolve(rule, sources=(self.address_prefix(region),))
        for member in self.members_in(to_region):
            for name in PROXIED_PORTS:
                self.proxy.set_rules(link_name(member, name), scoped)

    def cut(self, region: str, other: str) -> None:
        """Cuts two regions off from each other."""
        self.set_rule(region, other, LinkRule(cut=True))
        self.set_rule(other, region, LinkRule(cut=True))

    def lose(self, region: str, other: str) -> None:
        """Blocks all bytes from one region to another, but not back."""
        self.set_rule(region, other, LinkRule(to_server=BLACKHOLED))
        self.set_rule(other, region, LinkRule(to_client=BLACKHOLED))

    def cut_store(self, region: str) -> None:
        """Cuts a region off from the store."""
        source = self.address_prefix(region)
        self.proxy.set_rules(STORE_LINK, LinkRule(sources=(source,), cut=True))

    def heal(self) -> None:
        """Removes all rules."""
        for name in self.proxy.ports:
            self.proxy.set_rules(name)

    def close(self) -> None:
        """Stops every process."""
        self.fleet.close()
        self.proxy.close()


def link_name(member: Member, setting: str) -> str:
    """Returns the name of the link to a port of a host."""
    return f'{member.host_id}.{setting}'
