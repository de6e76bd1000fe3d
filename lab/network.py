"""Simulates the delays of messages between hosts in two regions."""

from random import Random
from typing import Any

import attrs

from egretlanding.hosts import Host
from lab.store import STORE

WITHIN_ZONE_DELAY_S = 0.0005
BETWEEN_ZONES_DELAY_S = 0.0015
BETWEEN_REGIONS_DELAY_S = 0.008
# Time for scheduling and decoding at the receiver.
HANDLING_S = 0.002
LINK_BYTES_PER_S = 3_750_000
STORE_REGION = 'west'


@attrs.define
class Network:
    """The network between the hosts and the store.

    Attributes:
        hosts: The hosts by id.
        random: Source of the random part of delays.
        clock: Object whose attribute `now` is the time, seconds.
        link_free_at: When the link is next free, by sending region, seconds.
        isolated: Whether no daemon reaches another one.
    """

    hosts: dict[str, Host]
    random: Random
    clock: Any = None
    link_free_at: dict[str, float] = attrs.field(factory=dict)
    isolated: bool = False

    @classmethod
    def from_hosts(cls, hosts: tuple[Host, ...], random: Random) -> 'Network':
        """Builds the network between hosts."""
        return cls({host.host_id: host for host in hosts}, random)

    def is_link(self, sender: str, receiver: str) -> bool:
        """Returns whether a message crosses the link between regions."""
        return self._region(sender) != self._region(receiver)

    def delays(self, sender: str, receiver: str, size: int) -> list[float]:
        """Returns the delay of a message, seconds; an empty list if lost."""
        if self.isolated and STORE not in {sender, receiver}:
            return []
        handling = self.random.uniform(HANDLING_S / 2, HANDLING_S * 2)
        return [handling + self._transit(sender, receiver, size)]

    def _transit(self, sender: str, receiver: str, size: int) -> float:
        if self.is_link(sender, receiver):
            now = self.clock.now
            region = self._region(sender)
            transmit_at = max(now, self.link_free_at.get(region, now))
            self.link_free_at[region] = transmit_at + size / LINK_BYTES_PER_S
            return BETWEEN_REGIONS_DELAY_S + self.link_free_at[region] - now
        if self._zone(sender) == self._zone(receiver):
            return WITHIN_ZONE_DELAY_S
        return BETWEEN_ZONES_DELAY_S

    def _region(self, host_id: str) -> str:
        if host_id == STORE:
            return STORE_REGION
        return self.hosts[host_id].region

    def _zone(self, host_id: str) -> str:
        if host_id == STORE:
            return STORE
        return self.hosts[host_id].failure_domain
