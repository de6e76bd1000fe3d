"""A fleet whose regions can be cut off from each other and from the store.

Each region has its own range of loopback addresses, and daemons connect from
their own address, so the fault proxy knows where a connection comes from.
"""

from collections.abc import Iterable
from typing import Any

import attrs

from standins.faults import LOOPBACK, Flow, Rule
from standins.fleet import Fleet, Member, Placement
from standins.proxy import FaultProxy

STORE = 'store'
PROXIED = ('exchange_port', 'peer_port')
LOST = Flow(blackhole=True)


@attrs.define(eq=False)
class SplitFleet:
    """A fleet behind a fault proxy.

    Attributes:
        fleet: The fleet.
        proxy: The proxy that carries exchanges, calls and store reads.
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
    ) -> 'SplitFleet':
        """Starts platform and proxy, and prepares the hosts."""
        fleet = Fleet.from_placements(placements, store_region, **settings)
        members = fleet.members.values()
        regions = sorted({member.settings['region'] for member in members})
        split = cls(fleet, FaultProxy.start(), tuple(regions))
        port = split.proxy.add_link(STORE, fleet.read_port)
        for index, member in enumerate(members, 1):
            split.place(member, index)
            member.settings['store_url'] = f'http://{LOOPBACK}:{port}'
        fleet.set_seeds()
        return split

    def prefix(self, region: str) -> str:
        """Returns the start of the addresses of a region."""
        return f'127.{self.regions.index(region) + 1}.'

    def members_in(self, region: str) -> list[Member]:
        """Returns the hosts of a region."""
        return [
            member
            for member in self.fleet.members.values()
            if member.settings['region'] == region
        ]

    def place(self, member: Member, index: int) -> None:
        """Gives a host its address and puts it behind the proxy."""
        region = member.settings['region']
        member.settings['address'] = f'{self.prefix(region)}0.{index}'
        member.advertised['address'] = LOOPBACK
        for name in PROXIED:
            member.advertised[name] = self.proxy.add_link(
                link_name(member, name),
                member.settings[name],
                member.settings['address'],
            )

    def rule(self, region: str, to_region: str, rule: Rule) -> None:
        """Puts a rule on all connections from one region to another."""
        covering = attrs.evolve(rule, sources=(self.prefix(region),))
        for member in self.members_in(to_region):
            for name in PROXIED:
                self.proxy.set_rules(link_name(member, name), covering)

    def cut(self, region: str, other: str) -> None:
        """Cuts two regions off from each other."""
        self.rule(region, other, Rule(cut=True))
        self.rule(other, region, Rule(cut=True))

    def lose(self, region: str, other: str) -> None:
        """Loses what one region sends, but not what it receives."""
        self.rule(region, other, Rule(to_server=LOST))
        self.rule(other, region, Rule(to_client=LOST))

    def cut_store(self, region: str) -> None:
        """Cuts a region off from the store."""
        source = self.prefix(region)
        self.proxy.set_rules(STORE, Rule(sources=(source,), cut=True))

    def heal(self) -> None:
        """Takes all rules away."""
        for name in self.proxy.ports:
            self.proxy.set_rules(name)

    def close(self) -> None:
        """Stops every process."""
        self.fleet.close()
        self.proxy.close()


def link_name(member: Member, setting: str) -> str:
    """Returns the name of the link to a port of a host."""
    return f'{member.host_id}.{setting}'
