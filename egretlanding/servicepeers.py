"""Exchanges host list versions with the other hosts of the service."""

import math

import attrs

from egretlanding.egress import Egress
from egretlanding.frames import HostsState
from egretlanding.hosts import Host
from egretlanding.lanes import Lane
from egretlanding.peerlinks import PeerLinks
from egretlanding.peers import PeerConnection
from egretlanding.views import View

MS_PER_S = 1_000


@attrs.define(eq=False)
class ServicePeers:
    """Keeps connections to the other hosts of the local target's service.

    Each daemon reports which host list it holds. An owner of callers' own
    keys relies on these reports when it is new and during a store outage, so
    that no key has two owners.

    Attributes:
        host_id: Id of this daemon's host.
        service: The service of the local target.
        links: Connections to other daemons.
        egress: Holds the idempotency keys that this daemon owns.
        peers: The other hosts of the service, by id.
    """

    host_id: str
    service: str
    links: PeerLinks
    egress: Egress
    peers: dict[str, Host] = attrs.field(factory=dict)

    def confirm(self, view: View, age_s: float) -> None:
        """Records that a host list was confirmed as the store's newest.

        Args:
            view: The configuration with the host list.
            age_s: Time since the confirmation, seconds.
        """
        hosts = view.hosts.of_service(self.service)
        self.peers = {
            host.host_id: host for host in hosts if host.host_id != self.host_id
        }
        self.egress.keys.ownership.confirm(
            tuple(host.host_id for host in hosts),
            age_s,
            self.egress.moment(),
            view.hosts.revision,
        )

    def send_reports(self) -> None:
        """Reports to the other hosts which list is held, each heartbeat."""
        ownership = self.egress.keys.ownership
        moment = self.egress.moment()
        frame = HostsState(
            ownership.revision,
            ownership.established,
            math.floor(moment.wall * MS_PER_S),
        )
        for host in self.peers.values():
            lane = self.links.connect(host, Lane.SHORT)
            lane.last_used = moment.now
            if lane.connection:
                lane.connection.send(frame)

    def handle_report(
        self, connection: PeerConnection, frame: HostsState
    ) -> None:
        """Records which host list another host of the service holds."""
        if connection.peer is None or connection.peer.host_id not in self.peers:
            return
        self.egress.keys.ownership.record_report(
            connection.peer.host_id,
            frame.revision,
            frame.established,
            frame.wall_ms / MS_PER_S,
            self.egress.moment(),
        )
