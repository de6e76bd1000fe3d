"""A model of a fleet: replicas that exchange summaries and read a store."""

from typing import Any

import attrs

from egretlanding import wire
from egretlanding.messages import Comparison, Summary
from egretlanding.replica import Replica
from lab.store import StoreReaders

TICK_S = 0.1
RPC_TIMEOUT_S = 2.0
# HTTP/2 headers and frames of one half of a call on a kept connection.
CALL_OVERHEAD_BYTES = 80


@attrs.define
class Model(StoreReaders):
    """The exchanges between daemons, as their tasks perform them."""

    def begin(self, replica: Replica) -> None:
        """Plans the first event of a replica that has started."""
        self.waiting.pop(replica.config.host.host_id, None)
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
                self._asked,
                summary,
                self.now,
            )
            self.at(
                RPC_TIMEOUT_S,
                replica,
                self._timed_out,
                host.host_id,
                self.now,
            )

    def _tick(self, replica: Replica) -> None:
        self.at(TICK_S, replica, self._tick)
        self.read_store(replica)
        self.exchange(replica)

    def _timed_out(
        self,
        replica: Replica,
        target: str,
        asked_at: float,
    ) -> None:
        contact = replica.membership.contacts.get(target)
        if contact is None or contact.reached_at < asked_at:
            replica.exchange_failed(target, self.now)

    def _asked(
        self,
        replica: Replica,
        summary: Summary,
        asked_at: float,
    ) -> None:
        comparison = replica.receive_summary(summary, self.now)
        self._pull(replica, summary.host_id, comparison)
        answer = replica.summary(self.now)
        size = _size_of(answer)
        host_id = replica.config.host.host_id
        self.send(
            host_id,
            summary.host_id,
            size,
            self._answered,
            answer,
            asked_at,
        )

    def _answered(
        self,
        replica: Replica,
        summary: Summary,
        asked_at: float,
    ) -> None:
        if self.now - asked_at > RPC_TIMEOUT_S:
            return
        replica.exchange_succeeded(summary.host_id, self.now)
        elapsed = self.now - asked_at
        comparison = replica.receive_summary(summary, self.now, elapsed)
        self._pull(replica, summary.host_id, comparison)

    def _pull(
        self, replica: Replica, target: str, comparison: Comparison
    ) -> None:
        host_id = replica.config.host.host_id
        if comparison.pull_release:
            base = replica.releases.digest
            self.send(
                host_id,
                target,
                CALL_OVERHEAD_BYTES,
                self._release_asked,
                host_id,
                base,
            )
        if comparison.pull_hosts:
            revision = replica.membership.hosts.revision
            self.send(
                host_id,
                target,
                CALL_OVERHEAD_BYTES,
                self._hosts_asked,
                host_id,
                revision,
            )

    def _release_asked(self, replica: Replica, source: str, base: str) -> None:
        update = replica.releases.update_for(base)
        if update is not None:
            size = len(update.payload) + CALL_OVERHEAD_BYTES
            host_id = replica.config.host.host_id
            self.send(
                host_id,
                source,
                size,
                self._release_came,
                update,
                host_id,
            )

    def _release_came(self, replica: Replica, update: Any, source: str) -> None:
        result = replica.apply_update(update, self.now, source)
        self.exchange(replica)
        if result.is_err() and update.base_digest:
            host_id = replica.config.host.host_id
            self.send(
                host_id,
                source,
                CALL_OVERHEAD_BYTES,
                self._release_asked,
                host_id,
                '',
            )

    def _hosts_asked(self, replica: Replica, source: str, base: int) -> None:
        update = replica.membership.update_for(base)
        size = len(update.payload) + CALL_OVERHEAD_BYTES
        host_id = replica.config.host.host_id
        self.send(host_id, source, size, self._hosts_came, update)

    def _hosts_came(self, replica: Replica, update: Any) -> None:
        replica.apply_hosts(update, self.now)


def _size_of(summary: Summary) -> int:
    return wire.summary_to_wire(summary).ByteSize() + CALL_OVERHEAD_BYTES
