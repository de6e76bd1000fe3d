"""Simulates the platform's store and the daemons that read it."""

from collections import Counter
from collections.abc import Sequence
from typing import Any

import attrs

from egretlanding.hosts import HostList
from egretlanding.release import Release
from egretlanding.replica import Replica
from lab.scheduler import Scheduler

STORE = 'store'
# Request and answer of one read of the store, without the content of a part.
READ_OVERHEAD_BYTES = 400

StoredHead = tuple[Release, int]


@attrs.define
class StoreModel:
    """The content of the platform's store, and how it answers.

    Attributes:
        revision: Revision of the last change.
        head: The latest release and its revision.
        hosts: The latest host list.
        stale_content: An older head and host list that a stale store answers
            with, or None.
        down: Whether the store gives no answer.
        reads: Number of reads in each second of model time.
        published: All releases that have been the head, with their revisions.
    """

    revision: int = 0
    head: StoredHead | None = None
    hosts: HostList = attrs.field(factory=HostList)
    stale_content: tuple[StoredHead | None, HostList] | None = None
    down: bool = False
    reads: Counter[int] = attrs.field(factory=Counter)
    published: list[StoredHead] = attrs.field(factory=list)

    def answer(self) -> tuple[StoredHead | None, HostList]:
        """Returns the head and the host list as readers see them."""
        return self.stale_content or (self.head, self.hosts)

    def put_release(self, release: Release) -> None:
        """Publishes a release."""
        self.revision += 1
        self.head = (release, self.revision)
        self.published.append(self.head)

    def put_hosts(self, hosts: Sequence[Any]) -> None:
        """Publishes a host list."""
        self.revision += 1
        by_id = {host.host_id: host for host in hosts}
        self.hosts = HostList(self.revision, by_id)

    def serve_stale(self, steps_back: int) -> None:
        """Makes the store answer with the head before the last changes.

        Args:
            steps_back: Number of publications that the head lacks.
        """
        older = self.published[: len(self.published) - steps_back]
        self.stale_content = (older[-1] if older else None, self.hosts)


@attrs.define
class StoreReaders(Scheduler):
    """Simulates daemons that read the store; a read may wait for a change.

    Attributes:
        store: The store.
        waiting_since: When each waiting read was sent, by host, seconds.
        last_read_at: When a daemon last sent a read to the store, seconds.
            Replicas must not report a later attempt.
        parts_held: Digests of the parts that each replica has read, by host.
    """

    store: StoreModel = attrs.field(factory=StoreModel)
    waiting_since: dict[str, float] = attrs.field(factory=dict)
    last_read_at: float = -1
    parts_held: dict[str, set[str]] = attrs.field(factory=dict)

    def publish(self, release: Release) -> None:
        """Publishes a release and answers the waiting reads."""
        self.store.put_release(release)
        self._answer_waiting_readers()

    def publish_hosts(self, hosts: Sequence[Any]) -> None:
        """Publishes a host list and answers the waiting reads."""
        self.store.put_hosts(hosts)
        self._answer_waiting_readers()

    def _answer_waiting_readers(self) -> None:
        for host_id, requested_at in tuple(self.waiting_since.items()):
            self._answer_read(self.replicas[host_id], requested_at)

    def read_store(self, replica: Replica) -> None:
        """Sends a read of a replica if one is due and none is waiting."""
        host_id = replica.config.host.host_id
        if host_id in self.waiting_since or not replica.should_watch(self.now):
            return
        replica.store_attempted(self.now)
        self.last_read_at = self.now
        self.store.reads[int(self.now)] += 1
        if self.store.down or not self.delays(host_id, STORE, 0):
            return
        self.waiting_since[host_id] = self.now
        wait = 0 if self._has_update(replica) else replica.watch_duty.poll_s
        self.schedule(wait, replica, self._answer_read, self.now)

    def exchange(self, replica: Replica) -> None:
        """Sends the summaries that are due."""
        raise NotImplementedError

    def _has_update(self, replica: Replica) -> bool:
        head, hosts = self.store.answer()
        revision = head[1] if head else 0
        return (
            revision > replica.releases.position.revision
            or hosts.revision > replica.membership.hosts.revision
        )

    def _answer_read(self, replica: Replica, requested_at: float) -> None:
        host_id = replica.config.host.host_id
        if self.waiting_since.get(host_id) != requested_at:
            return
        del self.waiting_since[host_id]
        delays = self.delays(STORE, host_id, READ_OVERHEAD_BYTES)
        if self.store.down or not delays:
            return
        self.sent[STORE, host_id] += READ_OVERHEAD_BYTES
        head, hosts = self.store.answer()
        arguments = (head, hosts, requested_at)
        self.schedule(delays[0], replica, self._on_store_answer, *arguments)

    def _on_store_answer(
        self,
        replica: Replica,
        head: tuple[Release, int] | None,
        hosts: HostList,
        requested_at: float,
    ) -> None:
        replica.offer_hosts(hosts, self.now)
        if head is None or not replica.should_read_release(self.now):
            return
        release, revision = head
        if replica.releases.should_pull(release.position(revision)):
            delay = replica.config.parts_delay
            arguments = (release, revision, requested_at)
            self.schedule(delay, replica, self._read_release, *arguments)
        else:
            replica.store_confirmed(requested_at, revision)

    def _read_release(
        self,
        replica: Replica,
        release: Release,
        revision: int,
        requested_at: float,
    ) -> None:
        if replica.releases.should_pull(release.position(revision)):
            self._read_parts(replica, release)
            replica.offer_release(release, revision, self.now)
            self.exchange(replica)
        replica.store_confirmed(requested_at, revision)

    def _read_parts(self, replica: Replica, release: Release) -> None:
        host_id = replica.config.host.host_id
        held = self.parts_held.setdefault(host_id, set())
        missing = {
            part.digest: part.size + READ_OVERHEAD_BYTES
            for part in release.to_parts()[0].parts
            if part.digest not in held
        }
        held.update(missing)
        replica.read_budget.spend(len(missing), self.now)
        self.store.reads[int(self.now)] += len(missing)
        self.sent[STORE, host_id] += sum(missing.values())
