"""Delays and volumes between modelled hosts in two regions."""

from random import Random
from typing import Any

import attrs

from egretlanding.hosts import Host
from lab.store import STORE

WITHIN_ZONE_S = 0.0005
BETWEEN_ZONES_S = 0.0015
BETWEEN_REGIONS_S = 0.008
# Scheduling and decoding at the receiver.
HANDLING_S = 0.002
LINK_BYTES_PER_S = 3_750_000
STORE_REGION = 'west'


@attrs.define
class Network:
    """The network between the hosts and the store.

    Attributes:
        hosts: The hosts by id.
        random: Source of jitter.
        clock: What knows the time, as `now`.
        free_at: When the link is free again, by sending region, seconds.
        isolated: Whether no daemon reaches another one.
    """

    hosts: dict[str, Host]
    random: Random
    clock: Any = None
    free_at: dict[str, float] = attrs.field(factory=dict)
    isolated: bool = False

    @classmethod
    def from_hosts(cls, hosts: tuple[Host, ...], random: Random) -> 'Network':
        """Builds the network of some hosts."""
        return cls({host.host_id: host for host in hosts}, random)

    def is_link(self, source: str, target: str) -> bool:
        """Returns whether a message crosses the link between regions."""
        return self._region(source) != self._region(target)

    def delays(self, source: str, target: str, size: int) -> list[float]:
        """Returns the delay of a message; none if it is lost."""
        if self.isolated and STORE not in {source, target}:
            return []
        handling = self.random.uniform(HANDLING_S / 2, HANDLING_S * 2)
        return [handling + self._transit(source, target, size)]

    def _transit(self, source: str, target: str, size: int) -> float:
        if self.is_link(source, target):
            now = self.clock.now
            region = self._region(source)
            starts = max(now, self.free_at.get(region, now))
            self.free_at[region] = starts + size / LINK_BYTES_PER_S
            return BETWEEN_REGIONS_S + self.free_at[region] - now
        if self._zone(source) == self._zone(target):
            return WITHIN_ZONE_S
        return BETWEEN_ZONES_S

    def _region(self, host_id: str) -> str:
        if host_id == STORE:
            return STORE_REGION
        return self.hosts[host_id].region

    def _zone(self, host_id: str) -> str:
        if host_id == STORE:
            return STORE
        return self.hosts[host_id].failure_domain
