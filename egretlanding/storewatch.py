"""Follows the store's head and host list while the policy says so."""

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
    HEAD_KEY,
    HOSTS_KEY,
    MALFORMED,
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
# No value is newer, so the store answers with its revision only.
NO_BODY = MAX_REVISION
UNUSABLE_TTL_S = 30
MAX_REASON_LENGTH = 200

TakeRelease = Callable[[Release, int], None]
TakeHosts = Callable[[HostList], None]


@attrs.define(eq=False)
class StoreWatch:
    """Reads the store for one daemon.

    Attributes:
        replica: The policy.
        store: The client of the store.
        clock: Returns the time, seconds.
        random: Source of jitter.
        take_release: Called with each release that the store announces.
        take_hosts: Called with each host list.
        fetch_delay: Wait for a delta before parts are read, seconds.
        head_revision: Revision of the last head that was dealt with.
        parts: The parts of the last head by digest.
        hosts_retry_at: Earliest time of the next read of the host list.
        reachable: Whether the store answered the last read.
    """

    replica: Replica
    store: StoreClient
    clock: Callable[[], float]
    random: Random
    take_release: TakeRelease
    take_hosts: TakeHosts
    fetch_delay: float = 0
    head_revision: int = 0
    parts: dict[str, bytes] = attrs.field(factory=dict)
    hosts_retry_at: float = 0
    reachable: bool = True

    async def watch_store(self) -> None:
        """Asks the store once for what this daemon should know of it.

        Without a host list a daemon doesn't know whether it is one of those
        that read the release, so it reads the list first.
        """
        if self.replica.duty.ranking:
            await self.watch_head()
            return
        asked_at = self.clock()
        self.replica.store_attempted(asked_at)
        if await self.read_hosts(asked_at, 0, 0):
            self.replica.reads.succeed(self.clock())

    async def watch_head(self) -> None:
        """Asks once for a head that is newer than the last one."""
        asked_at = self.clock()
        self.replica.store_attempted(asked_at)
        try:
            found = await self.read(HEAD_KEY, self.after(), self.wait_ms())
            await self.take_head(found)
        except PlatformError as error:
            self.note_unreachable(error)
            return
        except ReleaseError as error:
            self.note_unusable(found, error)
            return
        self.note_reachable()
        self.head_revision = max(self.head_revision, found.revision)
        self.note_confirmed(asked_at, found.revision)

    async def watch_hosts(self, whole: bool) -> None:
        """Asks once whether there is a later host list.

        Args:
            whole: Whether a later list is read as a whole; otherwise it is
                only noticed, since other daemons send the changes.
        """
        asked_at = self.clock()
        self.hosts_retry_at = asked_at + self.random.uniform(1, HOSTS_RETRY_S)
        self.replica.reads.spend(1, asked_at)
        if whole:
            held = self.replica.membership.hosts.revision
            wait_ms = HOSTS_POLL_S * MS_PER_S if held else 0
            if await self.read_hosts(asked_at, held, wait_ms):
                self.hosts_retry_at = self.clock()
        elif await self.read_hosts(asked_at, NO_BODY, 0):
            self.hosts_retry_at = asked_at + HOSTS_POLL_S

    async def read_hosts(
        self,
        asked_at: float,
        after: int,
        wait_ms: int,
    ) -> bool:
        """Reads the host list and returns whether the store has one."""
        try:
            found = await self.read(HOSTS_KEY, after, wait_ms)
        except PlatformError as error:
            self.note_unreachable(error)
            return False
        self.note_reachable()
        if found.body is not None:
            self.decode_hosts(found.revision, found.body)
        if asked_at >= self.replica.readiness.started_at:
            self.replica.hosts_confirmed(asked_at, found.revision)
        return bool(found.revision)

    def after(self) -> int:
        """Returns the revision that a new head must exceed."""
        return max(self.head_revision, self.replica.ledger.position.revision)

    def wait_ms(self) -> int:
        """Returns how long the store may wait for a new head, ms."""
        started_at = self.replica.readiness.started_at
        confirmed = self.replica.duty.confirmed_at >= started_at
        return int(self.replica.duty.poll_s * MS_PER_S) if confirmed else 0

    async def take_head(self, found: StoreValue) -> None:
        """Takes the release that a head announces, if it is wanted.

        Raises:
            PlatformError: A part can't be read.
            ReleaseError: The head or a part is malformed.
        """
        if found.body is None:
            return
        head = Head.from_bytes(found.body)
        position = Position(head.number, found.revision, head.digest)
        ledger = self.replica.ledger
        if not self.is_news(position):
            return
        known = ledger.bases.get(head.digest)
        if known is None:
            await asyncio.sleep(self.fetch_delay)
            if self.is_news(position):
                known = await self.fetch(head)
        if known is not None:
            self.take_release(known, found.revision)

    def is_news(self, position: Position) -> bool:
        """Returns whether anything can be learned from a release.

        A release that isn't later than the one in force is read as well, so
        that its conflicts become known.
        """
        ledger = self.replica.ledger
        if position.digest in ledger.refused:
            return False
        return ledger.wants(position) or position.digest not in ledger.seen

    async def fetch(self, head: Head) -> Release:
        """Reads the parts that aren't held and rebuilds the release.

        Raises:
            PlatformError: A part can't be read.
            ReleaseError: A part is missing or damaged.
        """
        wanted = [reference.digest for reference in head.parts]
        missing = [digest for digest in wanted if digest not in self.parts]
        self.replica.reads.spend(len(missing), self.clock())
        read = {digest: await self.read_part(digest) for digest in missing}
        held = {**self.parts, **read}
        self.parts = {
            digest: held[digest]
            for digest in wanted
            if digest_of(held[digest]) == digest
        }
        return Release.from_parts(head, self.parts)

    async def read_part(self, digest: str) -> bytes:
        """Reads a part; a missing one is empty."""
        found = await self.read(f'{PART_PREFIX}{digest}')
        return found.body or b''

    async def read(
        self,
        key: str,
        after: int = 0,
        wait_ms: int = 0,
    ) -> StoreValue:
        """Reads a key on the event loop."""
        reading: Any = ensureDeferred(self.store.read(key, after, wait_ms))
        found: StoreValue = await reading.asFuture(asyncio.get_running_loop())
        return found

    def decode_hosts(self, revision: int, body: bytes) -> None:
        """Takes a host list unless it is malformed."""
        try:
            hosts = msgspec.json.decode(body, type=HostList)
        except MALFORMED as error:
            log_event(
                Event.HOSTS_REFUSED,
                'the host list is malformed',
                Severity.WARNING,
                revision=revision,
                error=repr(error),
            )
            return
        self.take_hosts(attrs.evolve(hosts, revision=revision))

    def note_confirmed(self, asked_at: float, revision: int) -> None:
        """Records an answer of the store, and reports a stale store.

        An answer to a question from before a pause confirms nothing.
        """
        if asked_at < self.replica.readiness.started_at:
            return
        was_stale = self.replica.stale
        self.replica.store_confirmed(asked_at, revision)
        if self.replica.stale and not was_stale:
            log_event(
                Event.STORE_STALE,
                'the store shows an older head than the one in force',
                Severity.WARNING,
                revision=revision,
            )

    def note_unreachable(self, error: PlatformError) -> None:
        """Reports an outage once."""
        if self.reachable:
            log_event(Event.STORE_UNREACHABLE, str(error), Severity.WARNING)
        self.reachable = False

    def note_reachable(self) -> None:
        """Reports the end of an outage."""
        if not self.reachable:
            log_event(Event.STORE_REACHABLE, 'the store answers again')
        self.reachable = True

    def note_unusable(self, found: StoreValue, error: ReleaseError) -> None:
        """Reports a release that can't be rebuilt; it is read again later."""
        body = found.body or b''
        log_event(
            Event.RELEASE_UNUSABLE,
            str(error),
            Severity.ERROR,
            revision=found.revision,
        )
        notice = Notice(
            kind=NoticeKind.REFUSED,
            subject=announced_release(body),
            ttl=UNUSABLE_TTL_S,
            evidence=(str(error)[:MAX_REASON_LENGTH],),
        )
        self.replica.membership.learn(notice, self.clock())


def announced_release(body: bytes) -> str:
    """Returns what a head announces, as the subject of a notice.

    Returns:
        The release's number and digest, or the digest of a malformed head.
    """
    try:
        head = Head.from_bytes(body)
    except ReleaseError:
        return digest_of(body)
    return release_subject(head.number, head.digest)
