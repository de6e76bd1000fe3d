"""Polls the store for its head and host list when the policy allows it."""

import asyncio
from collections.abc import Callable
from random import Random
from typing import Any

import attrs
import msgspec
from twisted.internet.defer import ensureDeferred

from egretlanding.events import Event, Severity, log_event
from egretlanding.exceptions import PlatformError, ReleaseError
from egretlanding.hosts import HostList
from egretlanding.messages import Notice, NoticeKind
from egretlanding.release import (
    DECODE_ERRORS,
    HEAD_KEY,
    HOSTS_KEY,
    PART_PREFIX,
    Head,
    Position,
    Release,
    digest_of,
)
from egretlanding.replica import Replica
from egretlanding.reports import release_subject
from egretlanding.storeclient import MAX_REVISION, StoreClient, StoreValue

MS_PER_S = 1_000
HOSTS_POLL_S = 2
HOSTS_RETRY_S = 5
# No value can be newer than this, so the store answers without a body.
REVISION_ONLY = MAX_REVISION
UNUSABLE_TTL_S = 30
MAX_REASON_LENGTH = 200

ReleaseHandler = Callable[[Release, int], None]
HostListHandler = Callable[[HostList], None]


@attrs.define(eq=False)
class StoreWatch:
    """Reads the store for one daemon.

    Attributes:
        replica: The replica, which decides what to read and when.
        store: The client of the store.
        clock: Returns the time, seconds, after checking for a pause.
        random: Source of jitter.
        on_release: Called with each release that a head announces, and the
            revision of that head.
        on_hosts: Called with each host list read from the store.
        parts_delay: Time to wait for a delta from another daemon before
            parts are read from the store, seconds.
        head_revision: Revision of the last head that was processed.
        parts: The parts of the last head by digest.
        hosts_retry_at: Earliest time of the next read of the host list,
            seconds.
        reachable: Whether the store answered the last read.
    """

    replica: Replica
    store: StoreClient
    clock: Callable[[], float]
    random: Random
    on_release: ReleaseHandler
    on_hosts: HostListHandler
    parts_delay: float = 0
    head_revision: int = 0
    parts: dict[str, bytes] = attrs.field(factory=dict)
    hosts_retry_at: float = 0
    reachable: bool = True

    async def poll_store(self) -> None:
        """Reads the head, or the host list if this daemon has none yet.

        The host list determines which daemons read the head, so a daemon
        without a list reads the list first.
        """
        if self.replica.watch_duty.ranking:
            await self.poll_head()
            return
        requested_at = self.clock()
        self.replica.store_attempted(requested_at)
        if await self.read_hosts(requested_at, 0, 0):
            self.replica.read_budget.succeed(self.clock())

    async def poll_head(self) -> None:
        """Reads the head, and the release of a newer head."""
        requested_at = self.clock()
        self.replica.store_attempted(requested_at)
        try:
            head_value = await self.read_head()
            await self.apply_head(head_value)
        except PlatformError as error:
            self.note_unreachable(error)
            return
        except ReleaseError as error:
            self.note_unusable(head_value, error)
            return
        self.note_reachable()
        self.head_revision = head_value.revision
        self.note_confirmed(requested_at, head_value.revision)

    async def poll_hosts(self, read_body: bool) -> None:
        """Reads the host list, or only its revision.

        Args:
            read_body: Whether to read a later list in full. Otherwise only
                its revision is read, and the changes come from other daemons.
        """
        requested_at = self.clock()
        self.hosts_retry_at = requested_at + self.random.uniform(
            1,
            HOSTS_RETRY_S,
        )
        self.replica.read_budget.spend(1, requested_at)
        if read_body:
            current = self.replica.membership.hosts.revision
            wait_ms = HOSTS_POLL_S * MS_PER_S if current else 0
            if await self.read_hosts(requested_at, current, wait_ms):
                self.hosts_retry_at = self.clock()
        elif await self.read_hosts(requested_at, REVISION_ONLY, 0):
            self.hosts_retry_at = requested_at + HOSTS_POLL_S

    async def read_hosts(
        self,
        requested_at: float,
        after: int,
        wait_ms: int,
    ) -> bool:
        """Reads the host list and returns whether the store has one.

        Args:
            requested_at: Time of the request, seconds.
            after: Revision that the list must exceed to be sent.
            wait_ms: Longest wait for a later list, ms.
        """
        try:
            hosts_value = await self.read(HOSTS_KEY, after, wait_ms)
        except PlatformError as error:
            self.note_unreachable(error)
            return False
        self.note_reachable()
        if hosts_value.body is not None:
            self.apply_hosts(hosts_value.revision, hosts_value.body)
        if requested_at >= self.replica.readiness.started_at:
            self.replica.hosts_confirmed(requested_at, hosts_value.revision)
        return bool(hosts_value.revision)

    async def read_head(self) -> StoreValue:
        """Reads the head, with its body if its revision has changed.

        A store that was restored from an older copy gives out revisions again,
        so a head may be later though its revision is lower.
        """
        in_force = self.replica.releases.position.revision
        after = self.head_revision or in_force
        value = await self.read(HEAD_KEY, after, self.head_wait_ms())
        if value.body is None and 0 < value.revision < after:
            value = await self.read(HEAD_KEY)
        return value

    def head_wait_ms(self) -> int:
        """Returns how long the store may wait for a new head, ms."""
        started_at = self.replica.readiness.started_at
        confirmed = self.replica.watch_duty.confirmed_at >= started_at
        return (
            int(self.replica.watch_duty.poll_s * MS_PER_S) if confirmed else 0
        )

    async def apply_head(self, head_value: StoreValue) -> None:
        """Offers the release of a new head, reading its parts if needed.

        Raises:
            PlatformError: A part can't be read.
            ReleaseError: The head or a part is malformed.
        """
        if head_value.body is None:
            return
        head = Head.from_bytes(head_value.body)
        position = Position(head.number, head_value.revision, head.digest)
        releases = self.replica.releases
        if not self.should_fetch(position):
            return
        release = releases.delta_bases.get(head.digest)
        if release is None:
            await asyncio.sleep(self.parts_delay)
            if self.should_fetch(position):
                release = await self.fetch_release(head)
        if release is not None:
            self.on_release(release, head_value.revision)

    def should_fetch(self, position: Position) -> bool:
        """Returns whether to read the release at a position.

        An unseen release that isn't later than the one in force is read as
        well, because it may be in conflict with others.
        """
        releases = self.replica.releases
        if position.digest in releases.refused:
            return False
        return (
            releases.should_pull(position)
            or position.digest not in releases.passed_headers
        )

    async def fetch_release(self, head: Head) -> Release:
        """Reads the parts that aren't cached and rebuilds the release.

        Raises:
            PlatformError: A part can't be read.
            ReleaseError: A part is missing or damaged.
        """
        digests = [reference.digest for reference in head.parts]
        missing = [digest for digest in digests if digest not in self.parts]
        self.replica.read_budget.spend(len(missing), self.clock())
        new_parts = {digest: await self.read_part(digest) for digest in missing}
        all_parts = {**self.parts, **new_parts}
        self.parts = {
            digest: all_parts[digest]
            for digest in digests
            if digest_of(all_parts[digest]) == digest
        }
        return Release.from_parts(head, self.parts)

    async def read_part(self, digest: str) -> bytes:
        """Reads a part; returns empty bytes if the store has none."""
        part = await self.read(f'{PART_PREFIX}{digest}')
        return part.body or b''

    async def read(
        self,
        key: str,
        after: int = 0,
        wait_ms: int = 0,
    ) -> StoreValue:
        """Reads a key, as a coroutine of the asyncio event loop."""
        reading: Any = ensureDeferred(self.store.read(key, after, wait_ms))
        value: StoreValue = await reading.asFuture(asyncio.get_running_loop())
        return value

    def apply_hosts(self, revision: int, body: bytes) -> None:
        """Decodes and applies a host list; logs one that is malformed."""
        try:
            hosts = msgspec.json.decode(body, type=HostList)
        except DECODE_ERRORS as error:
            log_event(
                Event.HOSTS_REFUSED,
                'host list from the store is malformed and was not applied',
                Severity.WARNING,
                revision=revision,
                error=repr(error),
            )
            return
        self.on_hosts(attrs.evolve(hosts, revision=revision))

    def note_confirmed(self, requested_at: float, revision: int) -> None:
        """Records that the store confirmed a head; logs a stale store.

        An answer to a request from before a pause of the process is not a
        confirmation.
        """
        if requested_at < self.replica.readiness.started_at:
            return
        was_stale = self.replica.stale
        self.replica.store_confirmed(requested_at, revision)
        if self.replica.stale and not was_stale:
            log_event(
                Event.STORE_STALE,
                'the store returned an older head than the one in force',
                Severity.WARNING,
                revision=revision,
            )

    def note_unreachable(self, error: PlatformError) -> None:
        """Logs the start of an outage of the store, once per outage."""
        if self.reachable:
            log_event(Event.STORE_UNREACHABLE, str(error), Severity.WARNING)
        self.reachable = False

    def note_reachable(self) -> None:
        """Logs the end of an outage of the store."""
        if not self.reachable:
            log_event(Event.STORE_REACHABLE, 'the store is reachable again')
        self.reachable = True

    def note_unusable(
        self, head_value: StoreValue, error: ReleaseError
    ) -> None:
        """Logs a release that can't be rebuilt, and notifies other daemons.

        The release is read again later.
        """
        body = head_value.body or b''
        log_event(
            Event.RELEASE_UNUSABLE,
            str(error),
            Severity.ERROR,
            revision=head_value.revision,
        )
        notice = Notice(
            kind=NoticeKind.REFUSED,
            subject=subject_of_head(body),
            ttl=UNUSABLE_TTL_S,
            evidence=(str(error)[:MAX_REASON_LENGTH],),
        )
        self.replica.membership.add_notice(notice, self.clock())


def subject_of_head(body: bytes) -> str:
    """Returns the subject of a notice about the release of a head.

    Returns:
        The release's number and digest, or the digest of a malformed head.
    """
    try:
        head = Head.from_bytes(body)
    except ReleaseError:
        return digest_of(body)
    return release_subject(head.number, head.digest)
