"""Keeps the store's records current while this daemon reads the store."""

import random
from collections.abc import Callable, Iterable
from typing import Any, Protocol

import attrs
from twisted.internet.defer import Deferred, ensureDeferred
from twisted.internet.task import deferLater

from egretlanding.events import Event, Severity, log_event
from egretlanding.exceptions import HistoryLostError, PlatformError
from egretlanding.records import Record, RecordTable

# Age of the store's word after which any daemon asks the store itself.
STALE_S = 1.25
# A watch that waits tells nothing, since the store may have fallen silent.
WATCH_S = 0.6
# Watches end at different times, so that daemons don't ask all at once.
SHORTEST_WATCH = 0.7
# Pause between two watches, in which further changes gather.
GATHER_S = 0.1
RETRY_FIRST_S = 0.15
RETRY_CAP_S = 1.0
IDLE_S = 0.25
# Time after a failed call in which the store counts as having been away: the
# longest pause between calls and some time for the next answer.
AWAY_S = 1.8


@attrs.frozen
class Page:
    """A part of the list of all records.

    Attributes:
        records: The records, in the order of their keys.
        revision: The store's revision when it was read.
        is_last: Whether no records follow.
    """

    records: tuple[Record, ...]
    revision: int
    is_last: bool


@attrs.frozen
class Changes:
    """What was written after a revision.

    Attributes:
        records: The records.
        revision: All changes up to this revision are among them.
    """

    records: tuple[Record, ...]
    revision: int


class RecordStore(Protocol):
    """A store whose records can be listed and watched.

    Each method raises PlatformError if the store gave no usable answer.
    """

    @property
    def distance_s(self) -> float:
        """Shortest time in which a connection was opened, seconds."""

    async def read_page(self, after: str) -> Page:
        """Reads the records whose keys follow a key."""

    async def watch(self, after: int, wait_s: float) -> Changes:
        """Waits for records that are written after a revision.

        Raises:
            HistoryLostError: The store has forgotten what came after it.
        """


OnChange = Callable[[list[Record]], None]


@attrs.define(eq=False)
class RecordFeed:
    """Reads the store while this daemon is a reader or its news is old.

    Attributes:
        reactor: The reactor that gives the time.
        store: The store.
        rng: Source of jitter.
        on_change: Called with the records that changed, one after another.
        table: The records.
        is_reader: Whether this daemon reads the store on behalf of others.
        confirmed_at: When the table last was what the store holds, seconds.
        failed_at: When a call to the store last failed, seconds.
        failures: Calls that failed since the last one that did not.
        reachable: Whether the last call to the store went well.
        relist: Whether the whole list must be read.
        nearer_until: Until when a reader of another region that is nearer to
            the store is known to read it, seconds.
        answered: Calls that the store answered.
        failed: Calls that it did not answer.
    """

    reactor: Any
    store: RecordStore
    rng: random.Random
    on_change: list[OnChange] = attrs.field(factory=list)
    table: RecordTable = attrs.field(factory=RecordTable)
    is_reader: bool = True
    confirmed_at: float = float('-inf')
    failed_at: float = float('-inf')
    failures: int = 0
    reachable: bool = True
    relist: bool = True
    nearer_until: float = float('-inf')
    answered: int = 0
    failed: int = 0

    def age(self, now: float) -> float:
        """Returns the time since the table was what the store holds."""
        return now - self.confirmed_at

    def was_away(self, now: float) -> bool:
        """Tells whether the store could not be read of late."""
        return now - self.failed_at < AWAY_S

    def wants_store(self, now: float) -> bool:
        """Tells whether this daemon should ask the store itself."""
        return self.reads_for_others(now) or self.age(now) > STALE_S

    def reads_for_others(self, now: float) -> bool:
        """Tells whether this daemon reads the store for its region.

        A reader far from the store leaves that to a nearer one, which sends
        changes in a tenth of the bytes.
        """
        return self.is_reader and now > self.nearer_until

    def start(self) -> None:
        """Starts to read the store."""
        ensureDeferred(self.run()).addErrback(self.note_fault)

    def note_fault(self, failure: Any) -> None:
        """Reports a fault in the task and starts it again."""
        log_event(
            Event.TASK_FAILED,
            'reading the store failed and is started again',
            Severity.ERROR,
            error=repr(failure.value),
        )
        self.reactor.callLater(RETRY_CAP_S, self.start)

    async def run(self) -> None:
        """Reads the store whenever this daemon should."""
        while True:
            if not self.wants_store(self.reactor.seconds()):
                await self.pause(IDLE_S * self.rng.uniform(0.5, 1))
                continue
            try:
                await self.read()
            except HistoryLostError as error:
                self.relist = True
                self.note_reachable()
                log_event(Event.HISTORY_LOST, str(error), Severity.WARNING)
            except PlatformError as error:
                self.note_failure(error)
                ceiling = RETRY_FIRST_S * 2 ** min(self.failures, 4)
                delay = min(RETRY_CAP_S, ceiling)
                await self.pause(delay * self.rng.uniform(0.5, 1))

    def pause(self, seconds: float) -> 'Deferred[None]':
        """Waits."""
        return deferLater(self.reactor, seconds)

    async def read(self) -> None:
        """Lists the records or waits for changes, once."""
        if self.relist or not self.table.complete_to:
            await self.read_list()
            return
        # A daemon that just lost sight of the readers first looks whether
        # there is anything new, since a watch that waits says nothing.
        wait_s = WATCH_S if self.age(self.reactor.seconds()) < STALE_S else 0
        changes = await self.store.watch(
            self.table.complete_to,
            wait_s * self.rng.uniform(SHORTEST_WATCH, 1),
        )
        self.note_reachable()
        changed = self.table.apply(changes.records)
        self.table.confirm(changes.revision)
        self.confirm(0)
        self.publish(changed)
        if changed:
            await self.pause(GATHER_S)

    async def read_list(self) -> None:
        """Reads the list of all records."""
        first = await self.store.read_page('')
        page = first
        found = list(page.records)
        while not page.is_last and page.records:
            page = await self.store.read_page(page.records[-1].key)
            found.extend(page.records)
        self.note_reachable()
        changed = self.table.replace(found, first.revision)
        self.relist = False
        self.confirm(0)
        self.publish(changed)

    def confirm(self, age_s: float) -> None:
        """Takes the news that the table is what the store held a while ago."""
        now = self.reactor.seconds()
        self.confirmed_at = max(self.confirmed_at, now - age_s)

    def publish(self, changed: list[Record]) -> None:
        """Tells the other tasks of changes."""
        if changed:
            for tell in self.on_change:
                tell(changed)

    def take(
        self,
        records: Iterable[Record],
        revision: int,
        age_s: float,
        *,
        whole: bool,
    ) -> None:
        """Takes over records that another daemon read.

        Args:
            records: The records.
            revision: All changes up to this one are held then.
            age_s: Time since the store confirmed them, seconds.
            whole: Whether these are all records that exist.
        """
        if whole:
            changed = self.table.replace(records, revision)
        else:
            changed = self.table.apply(records)
            self.table.confirm(revision)
        self.confirm(age_s)
        self.publish(changed)

    def note_failure(self, error: PlatformError) -> None:
        """Records a call to the store that failed."""
        self.failed += 1
        self.failures += 1
        self.failed_at = self.reactor.seconds()
        if self.reachable:
            log_event(Event.STORE_UNREACHABLE, str(error), Severity.WARNING)
        self.reachable = False

    def note_reachable(self) -> None:
        """Records a call to the store that went well."""
        self.answered += 1
        if not self.reachable:
            log_event(
                Event.STORE_REACHABLE,
                'the store answers again',
                after_failures=self.failures,
            )
        self.reachable = True
        self.failures = 0
