"""Simulates replicas that exchange summaries and read a store."""

from typing import Any

import attrs

from egretlanding import wire
from egretlanding.messages import PullDecision, Summary
from egretlanding.replica import Replica
from lab.store import StoreReaders

TICK_S = 0.1
EXCHANGE_TIMEOUT_S = 2.0
# HTTP/2 headers and frames of a request or a reply on an open connection.
MESSAGE_OVERHEAD_BYTES = 80


@attrs.define
class FleetModel(StoreReaders):
    """Simulates the tasks of daemons that carry out exchanges."""

    def schedule_first_event(self, replica: Replica) -> None:
        """Schedules the first event of a replica that has started."""
        self.waiting_since.pop(replica.config.host.host_id, None)
        self.parts_held.pop(replica.config.host.host_id, None)
        self._tick(replica)

    def exchange(self, replica: Replica) -> None:
        """Sends the summaries that are due."""
        host_id = replica.config.host.host_id
        for host in replica.next_exchanges(self.now):
            summary = replica.summary(self.now)
            self.send(
                host_id,
                host.host_id,
                _size_of(summary),
                self._on_summary_request,
                summary,
                self.now,
            )
            self.schedule(
                EXCHANGE_TIMEOUT_S,
                replica,
                self._on_timeout,
                host.host_id,
                self.now,
            )

    def _tick(self, replica: Replica) -> None:
        self.schedule(TICK_S, replica, self._tick)
        self.read_store(replica)
        self.exchange(replica)

    def _on_timeout(
        self,
        replica: Replica,
        peer_id: str,
        requested_at: float,
    ) -> None:
        contact = replica.membership.contacts.get(peer_id)
        if contact is None or contact.reached_at < requested_at:
            replica.exchange_failed(peer_id, self.now)

    def _on_summary_request(
        self,
        replica: Replica,
        summary: Summary,
        requested_at: float,
    ) -> None:
        decision = replica.receive_summary(summary, self.now)
        self._pull(replica, summary.host_id, decision)
        reply = replica.summary(self.now)
        size = _size_of(reply)
        host_id = replica.config.host.host_id
        self.send(
            host_id,
            summary.host_id,
            size,
            self._on_summary_reply,
            reply,
            requested_at,
        )

    def _on_summary_reply(
        self,
        replica: Replica,
        summary: Summary,
        requested_at: float,
    ) -> None:
        if self.now - requested_at > EXCHANGE_TIMEOUT_S:
            return
        replica.exchange_succeeded(summary.host_id, self.now)
        elapsed = self.now - requested_at
        decision = replica.receive_summary(summary, self.now, elapsed)
        self._pull(replica, summary.host_id, decision)

    def _pull(
        self, replica: Replica, peer_id: str, decision: PullDecision
    ) -> None:
        host_id = replica.config.host.host_id
        if decision.pull_release:
            base = replica.releases.digest
            self.send(
                host_id,
                peer_id,
                MESSAGE_OVERHEAD_BYTES,
                self._on_release_request,
                host_id,
                base,
            )
        if decision.pull_hosts:
            revision = replica.membership.hosts.revision
            self.send(
                host_id,
                peer_id,
                MESSAGE_OVERHEAD_BYTES,
                self._on_hosts_request,
                host_id,
                revision,
            )

    def _on_release_request(
        self, replica: Replica, peer_id: str, base: str
    ) -> None:
        update = replica.releases.update_for(base)
        if update is not None:
            size = len(update.payload) + MESSAGE_OVERHEAD_BYTES
            host_id = replica.config.host.host_id
            self.send(
                host_id,
                peer_id,
                size,
                self._on_release_reply,
                update,
                host_id,
            )

    def _on_release_reply(
        self, replica: Replica, update: Any, peer_id: str
    ) -> None:
        result = replica.apply_update(update, self.now, peer_id)
        self.exchange(replica)
        if result.is_err() and update.base_digest:
            host_id = replica.config.host.host_id
            self.send(
                host_id,
                peer_id,
                MESSAGE_OVERHEAD_BYTES,
                self._on_release_request,
                host_id,
                '',
            )

    def _on_hosts_request(
        self, replica: Replica, peer_id: str, base: int
    ) -> None:
        update = replica.membership.update_for(base)
        size = len(update.payload) + MESSAGE_OVERHEAD_BYTES
        host_id = replica.config.host.host_id
        self.send(host_id, peer_id, size, self._on_hosts_reply, update)

    def _on_hosts_reply(self, replica: Replica, update: Any) -> None:
        replica.apply_hosts(update, self.now)


def _size_of(summary: Summary) -> int:
    return wire.summary_to_wire(summary).ByteSize() + MESSAGE_OVERHEAD_BYTES
