"""A model of the platform's store and of the daemons that read it."""

from collections import Counter
from collections.abc import Sequence
from typing import Any

import attrs

from egretlanding.hosts import HostList
from egretlanding.release import Release
from egretlanding.replica import Replica
from lab.scheduler import Scheduler

STORE = 'store'
# HTTP request and answer of one read of the store.
READ_OVERHEAD_BYTES = 400

StoredHead = tuple[Release, int]


@attrs.define
class StoreFake:
    """The platform's store: a head, a host list, and who waits for them.

    Attributes:
        revision: Revision of the last change.
        head: The latest release and its revision.
        hosts: The latest host list.
        frozen: An older head and list that a stale store answers with.
        down: Whether the store gives no answer.
        reads: Reads by second of model time.
        published: Every release that was ever the head, with its revision.
    """

    revision: int = 0
    head: StoredHead | None = None
    hosts: HostList = attrs.field(factory=HostList)
    frozen: tuple[StoredHead | None, HostList] | None = None
    down: bool = False
    reads: Counter[int] = attrs.field(factory=Counter)
    published: list[StoredHead] = attrs.field(factory=list)

    def answer(self) -> tuple[StoredHead | None, HostList]:
        """Returns the head and the host list as readers see them."""
        return self.frozen or (self.head, self.hosts)

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

    def freeze(self, steps_back: int) -> None:
        """Makes the store answer with an older head from here on."""
        older = self.published[: len(self.published) - steps_back]
        self.frozen = (older[-1] if older else None, self.hosts)


@attrs.define
class StoreReaders(Scheduler):
    """Daemons that read the store; a read may wait for a change.

    Attributes:
        store: The store.
        waiting: When the readers that wait have asked, seconds.
        attempted_at: Last true attempt to read the store, seconds.
        parts_held: Digests of the parts that a replica has read, by host.
    """

    store: StoreFake = attrs.field(factory=StoreFake)
    waiting: dict[str, float] = attrs.field(factory=dict)
    attempted_at: float = -1
    parts_held: dict[str, set[str]] = attrs.field(factory=dict)

    def publish(self, release: Release) -> None:
        """Publishes a release and answers the readers that wait."""
        self.store.put_release(release)
        self._answer_waiting()

    def publish_hosts(self, hosts: Sequence[Any]) -> None:
        """Publishes a host list and answers the readers that wait."""
        self.store.put_hosts(hosts)
        self._answer_waiting()

    def _answer_waiting(self) -> None:
        for host_id, asked_at in tuple(self.waiting.items()):
            self._answer(self.replicas[host_id], asked_at)

    def read_store(self, replica: Replica) -> None:
        """Lets a replica read the store if it should."""
        host_id = replica.config.host.host_id
        if host_id in self.waiting or not replica.should_watch(self.now):
            return
        replica.store_attempted(self.now)
        self.attempted_at = self.now
        self.store.reads[int(self.now)] += 1
        if self.store.down or not self.delays(host_id, STORE, 0):
            return
        self.waiting[host_id] = self.now
        wait = 0 if self._has_news(replica) else replica.watch_duty.poll_s
        self.at(wait, replica, self._answer, self.now)

    def exchange(self, replica: Replica) -> None:
        """Sends the summaries that are due."""
        raise NotImplementedError

    def _has_news(self, replica: Replica) -> bool:
        head, hosts = self.store.answer()
        revision = head[1] if head else 0
        return (
            revision > replica.releases.position.revision
            or hosts.revision > replica.membership.hosts.revision
        )

    def _answer(self, replica: Replica, asked_at: float) -> None:
        host_id = replica.config.host.host_id
        if self.waiting.get(host_id) != asked_at:
            return
        del self.waiting[host_id]
        delays = self.delays(STORE, host_id, READ_OVERHEAD_BYTES)
        if self.store.down or not delays:
            return
        self.sent[STORE, host_id] += READ_OVERHEAD_BYTES
        head, hosts = self.store.answer()
        arguments = (head, hosts, asked_at)
        self.at(delays[0], replica, self._store_came, *arguments)

    def _store_came(
        self,
        replica: Replica,
        head: tuple[Release, int] | None,
        hosts: HostList,
        asked_at: float,
    ) -> None:
        replica.offer_hosts(hosts, self.now)
        if head is None or not replica.should_read_release(self.now):
            return
        release, revision = head
        if replica.releases.should_pull(release.position(revision)):
            delay = replica.config.parts_delay
            arguments = (release, revision, asked_at)
            self.at(delay, replica, self._fetch, *arguments)
        else:
            replica.store_confirmed(asked_at, revision)

    def _fetch(
        self,
        replica: Replica,
        release: Release,
        revision: int,
        asked_at: float,
    ) -> None:
        if replica.releases.should_pull(release.position(revision)):
            self._read_parts(replica, release)
            replica.offer_release(release, revision, self.now)
            self.exchange(replica)
        replica.store_confirmed(asked_at, revision)

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
