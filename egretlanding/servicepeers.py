"""Tells the other hosts of the own service which host list is held."""

import math

import attrs

from egretlanding.egress import Egress
from egretlanding.frames import HostsHeld
from egretlanding.hosts import Host
from egretlanding.peerlinks import Lane, PeerLinks
from egretlanding.peers import PeerConnection
from egretlanding.views import View

MS_PER_S = 1_000


@attrs.define(eq=False)
class ServicePeers:
    """Keeps a connection to each other host of the own service.

    Attributes:
        host_id: The daemon's own host.
        service: The service of the local target.
        links: Connections to other daemons.
        egress: Holds the keys that the daemon owns.
        others: The other hosts of the service, by id.
    """

    host_id: str
    service: str
    links: PeerLinks
    egress: Egress
    others: dict[str, Host] = attrs.field(factory=dict)

    def confirm(self, view: View, age_s: float) -> None:
        """Takes the news that a view's host list is the store's newest.

        Args:
            view: The configuration that holds the list.
            age_s: Time since the list was confirmed, seconds.
        """
        hosts = view.hosts.of_service(self.service)
        self.others = {
            host.host_id: host for host in hosts if host.host_id != self.host_id
        }
        self.egress.keys.ownership.confirm(
            tuple(host.host_id for host in hosts),
            age_s,
            self.egress.moment(),
            view.hosts.revision,
        )

    def report(self) -> None:
        """Tells the other hosts which list is held; once per heartbeat."""
        ownership = self.egress.keys.ownership
        moment = self.egress.moment()
        frame = HostsHeld(
            ownership.revision,
            ownership.established,
            math.floor(moment.wall * MS_PER_S),
        )
        for host in self.others.values():
            lane = self.links.connect(host, Lane.SHORT)
            lane.used = moment.now
            if lane.connection:
                lane.connection.send(frame)

    def take(self, connection: PeerConnection, frame: HostsHeld) -> None:
        """Learns which list another host of the service holds."""
        if (
            connection.peer is None
            or connection.peer.host_id not in self.others
        ):
            return
        self.egress.keys.ownership.take_report(
            connection.peer.host_id,
            frame.revision,
            frame.established,
            frame.wall_ms / MS_PER_S,
            self.egress.moment(),
        )
