"""Reads records from the store and keeps them current by watching it."""

import random
from collections.abc import Callable, Iterable
from typing import Any, Protocol

import attrs
from twisted.internet.defer import Deferred, ensureDeferred
from twisted.internet.task import deferLater

from egretlanding.events import Event, Severity, log_event
from egretlanding.exceptions import (
    HistoryLostError,
    PlatformError,
    UnreadableAnswerError,
)
from egretlanding.outages import Outages
from egretlanding.records import Record, RecordTable, Topic

# Age of the records after which a daemon reads the store itself, unless its
# rank tells it to leave that to others for longer.
STALE_S = 1.25
# An answer that arrived over a longer time than this may be outdated, seconds.
SLOW_TRANSFER_S = 0.1
# Least advance of the confirmation that others are told at once, seconds.
CONFIRM_STEP_S = 0.1
# Longest wait of a watch. A waiting watch confirms nothing, since the store may
# have become unreachable meanwhile.
MAX_WATCH_S = 0.6
# Smallest fraction of MAX_WATCH_S that a watch waits. The jitter keeps daemons
# from reading the store all at once.
MIN_WATCH_FRACTION = 0.7
# Pause after a change, so that the next watch returns several at once.
BATCH_PAUSE_S = 0.1
MIN_BACKOFF_S = 0.15
MAX_BACKOFF_S = 1.0
# Longest time between checks of whether this daemon should read the store.
IDLE_POLL_S = 0.25
# The same while the daemon has no records and can't serve calls, seconds.
FIRST_POLL_S = 0.05
MS_PER_S = 1_000


@attrs.frozen
class Page:
    """One page of the list of all records.

    Attributes:
        records: The records, in the order of their keys.
        revision: The store's revision when the page was read.
        is_last: Whether no more pages follow.
        era: How often the store was restored from an older copy; its revisions
            begin anew below those that it had given out.
        transfer_s: Time from the first byte of the answer to its last, seconds.
    """

    records: tuple[Record, ...]
    revision: int
    is_last: bool
    era: int = 0
    transfer_s: float = 0


@attrs.frozen
class Changes:
    """The records written after a revision.

    Attributes:
        records: The records.
        revision: The records include all changes up to this revision.
        era: How often the store was restored from an older copy.
        transfer_s: Time from the first byte of the answer to its last, seconds.
    """

    records: tuple[Record, ...]
    revision: int
    era: int = 0
    transfer_s: float = 0


class RecordStore(Protocol):
    """A store whose records of one topic can be listed and watched.

    Each method raises PlatformError if the store gave no usable answer, as
    UnreadableAnswerError if one arrived that is too long or malformed.
    """

    def for_topic(self, topic: Topic) -> 'RecordStore':
        """Returns the same store for the records of another topic."""

    @property
    def distance_s(self) -> float:
        """Shortest time in which a connection was opened, seconds."""

    async def read_page(self, after: str) -> Page:
        """Reads the records whose keys follow a key."""

    async def watch(self, after: int, wait_s: float) -> Changes:
        """Waits for records that are written after a revision.

        Raises:
            HistoryLostError: The store no longer has all changes after it.
        """


OnChange = Callable[[list[Record]], None]


@attrs.define(eq=False)
class RecordFeed:
    """Reads the store while this daemon is a reader or its records are stale.

    Attributes:
        reactor: The reactor that gives the time.
        store: The store.
        rng: Source of jitter.
        topic: What the records are about.
        on_change: Callbacks for changed records, called in order.
        table: The records.
        lists_when_late: Whether to list the records instead of watching from
            an earlier revision once this daemon may be behind. A topic of one
            large record needs it: a watch returns each of its versions, so
            that the answer would grow with the delay.
        is_reader: Whether this daemon reads the store on behalf of others.
        stale_after_s: Age of the records after which this daemon reads the
            store itself, seconds; STALE_S if it hears of no other daemon.
        heard_at: When another daemon last told its state, seconds.
        waits_until: Time before which only readers read the store, so that
            others can get the records from them at first, seconds.
        appointed_until: Until when this daemon reads the store because a
            reader with a narrower link asked for it, seconds.
        on_confirm: Callbacks for a confirmation that advanced.
        confirmed_at: When the table last matched the store, seconds.
        outages: What is known of failures of the store.
        failures: Requests that failed since the last successful one.
        losses: Watches in a row whose history the store no longer had.
        reachable: Whether the last request to the store succeeded.
        relist: Whether the next read must list all records.
        may_be_late: Whether changes may have followed those that were read
            last.
        listed_last: Whether the last read was a list.
        better_until: Until when to rely on a reader that is nearer to the store
            or has a wider link, seconds.
        answered: Number of requests that the store answered.
        failed: Number of requests without a usable answer.
    """

    reactor: Any
    store: RecordStore
    rng: random.Random
    topic: str = ''
    on_change: list[OnChange] = attrs.field(factory=list)
    table: RecordTable = attrs.field(factory=RecordTable)
    lists_when_late: bool = False
    is_reader: bool = True
    stale_after_s: float = STALE_S
    heard_at: float = float('-inf')
    waits_until: float = float('-inf')
    appointed_until: float = float('-inf')
    on_confirm: list[Callable[[], None]] = attrs.field(factory=list)
    confirmed_at: float = float('-inf')
    outages: Outages = attrs.field(factory=Outages)
    failures: int = 0
    losses: int = 0
    reachable: bool = True
    relist: bool = True
    may_be_late: bool = False
    listed_last: bool = False
    better_until: float = float('-inf')
    answered: int = 0
    failed: int = 0

    def age(self, now: float) -> float:
        """Returns the time since the table last matched the store, seconds."""
        return now - self.confirmed_at

    def should_read_store(self, now: float) -> bool:
        """Returns whether this daemon should read the store itself."""
        if self.reads_for_others(now):
            return True
        late_s = now - max(self.confirmed_at, self.waits_until)
        alone_s = now - max(self.heard_at, self.waits_until)
        return late_s > self.stale_after_s or min(late_s, alone_s) > STALE_S

    def reads_for_others(self, now: float) -> bool:
        """Returns whether this daemon reads the store on behalf of others.

        A reader does not while it relies on a better one, because that one
        sends the changes in a fraction of the bytes.
        """
        is_reader = self.is_reader and now > self.better_until
        return is_reader or now < self.appointed_until

    def start(self) -> None:
        """Starts the task that reads the store."""
        ensureDeferred(self.run()).addErrback(self.restart_after_error)

    def restart_after_error(self, failure: Any) -> None:
        """Logs an unexpected error of the task and restarts the task."""
        log_event(
            Event.TASK_FAILED,
            'unexpected error while reading the store; the task restarts',
            Severity.ERROR,
            error=repr(failure.value),
        )
        self.reactor.callLater(MAX_BACKOFF_S, self.start)

    async def run(self) -> None:
        """Reads the store as long as `should_read_store` says so."""
        while True:
            if not self.should_read_store(self.reactor.seconds()):
                await self.pause(self.idle_poll_s() * self.rng.uniform(0.5, 1))
                continue
            try:
                await self.read()
            except HistoryLostError as error:
                self.relist = True
                self.losses += 1
                self.record_success()
                log_event(Event.HISTORY_LOST, str(error), Severity.WARNING)
                # The list may not help, and the loss then comes at once again.
                await self.pause(pause_after_loss_s(self))
            except PlatformError as error:
                # A watch would get the same answer again, and pages are short.
                unreadable = isinstance(error, UnreadableAnswerError)
                self.relist = self.relist or unreadable
                self.record_failure(error)
                ceiling = MIN_BACKOFF_S * 2 ** min(self.failures, 4)
                delay = min(MAX_BACKOFF_S, ceiling)
                await self.pause(delay * self.rng.uniform(0.5, 1))

    def idle_poll_s(self) -> float:
        """Returns how long to wait before looking whether to read, seconds."""
        return IDLE_POLL_S if self.table.complete_revision else FIRST_POLL_S

    def pause(self, seconds: float) -> 'Deferred[None]':
        """Waits for some seconds on the reactor's clock."""
        return deferLater(self.reactor, seconds)

    async def read(self) -> None:
        """Reads the list of all records, or the changes since the last read."""
        if self.relist or not self.table.complete_revision:
            await self.read_list()
            return
        is_stale = self.age(self.reactor.seconds()) >= STALE_S
        # A list without changes is followed by a watch, however long it took.
        if self.lists_when_late and (
            self.may_be_late or (is_stale and not self.listed_last)
        ):
            await self.read_list()
            return
        self.listed_last = False
        # If the records are stale, the watch returns at once: while it waits,
        # nothing would confirm them.
        wait_s = 0 if is_stale else MAX_WATCH_S
        wait_s *= self.rng.uniform(MIN_WATCH_FRACTION, 1)
        era = self.table.era
        asked_at = self.reactor.seconds()
        changes = await self.store.watch(self.table.complete_revision, wait_s)
        self.record_success()
        self.losses = 0
        if changes.era != era or self.table.era != era:
            # The store was restored, or another daemon told so meanwhile.
            self.relist = changes.era >= self.table.era
            await self.pause(BATCH_PAUSE_S)
            return
        if changes.revision < self.table.complete_revision:
            # Another daemon told later news while the answer was on its way.
            return
        changed = self.table.apply(changes.records)
        self.table.confirm(changes.revision)
        # An answer without changes was given when the wait was over.
        stated_at = asked_at if changes.records else asked_at + wait_s
        self.confirm(max(0, self.reactor.seconds() - stated_at))
        self.notify(changed)
        self.may_be_late = may_have_followers(changed, changes.transfer_s)
        if changed and not self.may_be_late:
            await self.pause(BATCH_PAUSE_S)

    async def read_list(self) -> None:
        """Reads the list of all records."""
        asked_at = self.reactor.seconds()
        first_page = await self.store.read_page('')
        page = first_page
        all_records = list(page.records)
        transfer_s = page.transfer_s
        while not page.is_last and page.records:
            page = await self.store.read_page(page.records[-1].key)
            all_records.extend(page.records)
            transfer_s += page.transfer_s
        if page.era != first_page.era or page.era < self.table.era:
            raise PlatformError(
                f'the list of era {first_page.era} is not of one copy of the '
                'store, or older than the records held',
                'wait; if the store was set up anew, restart all daemons',
            )
        self.record_success()
        held = self.table.complete_revision
        changed = self.replace(all_records, first_page.revision, page.era)
        log_event(
            Event.RECORDS_LISTED,
            'all records of the store were read',
            era=first_page.era,
            revision=first_page.revision,
            held=held,
            listed=len(all_records),
            changed=len(changed),
            topic=self.topic,
            transfer_ms=int(transfer_s * MS_PER_S),
        )
        self.relist = False
        self.confirm(self.reactor.seconds() - asked_at)
        self.notify(changed)
        self.may_be_late = may_have_followers(changed, transfer_s)
        self.listed_last = True

    def replace(
        self, records: Iterable[Record], revision: int, era: int
    ) -> list[Record]:
        """Replaces the table, and returns the records that changed."""
        table = self.table
        if table.complete_revision and era > table.era:
            self.outages.record_restoration(self.reactor.seconds())
            log_event(
                Event.STORE_RESTORED,
                'the store was restored from an older copy',
                Severity.WARNING,
                era=era,
                revision=revision,
                era_before=table.era,
                held=table.complete_revision,
            )
        return table.replace(records, revision, era)

    def confirm(self, age_s: float) -> None:
        """Records that the table matched the store some time ago.

        Args:
            age_s: Time since then, seconds.
        """
        now = self.reactor.seconds()
        before = self.confirmed_at
        self.confirmed_at = max(before, now - age_s)
        self.outages.record_confirmation(before, self.confirmed_at)
        if self.confirmed_at >= before + CONFIRM_STEP_S:
            for callback in self.on_confirm:
                callback()

    def notify(self, changed: list[Record]) -> None:
        """Calls the callbacks if records changed."""
        if changed:
            for callback in self.on_change:
                callback(changed)

    def apply_records(
        self,
        records: Iterable[Record],
        revision: int,
        age_s: float,
        *,
        whole: bool,
        era: int = 0,
    ) -> None:
        """Applies records that another daemon read.

        Args:
            records: The records.
            revision: The table includes all changes up to this one afterwards.
            age_s: Time since the store confirmed them, seconds.
            whole: Whether these are all records that exist.
            era: The era of the store in which they were written. Changes of
                another era than the table's can't be applied to it.
        """
        if whole:
            changed = self.replace(records, revision, era)
        elif era != self.table.era:
            return
        else:
            changed = self.table.apply(records)
            self.table.confirm(revision)
        self.confirm(age_s)
        self.notify(changed)

    def record_failure(self, error: PlatformError) -> None:
        """Counts a failed request; logs the first one of an outage."""
        self.failed += 1
        self.failures += 1
        self.may_be_late = True
        self.outages.record_failure(self.reactor.seconds())
        if self.reachable:
            log_event(
                Event.STORE_UNREACHABLE,
                str(error),
                Severity.WARNING,
                topic=self.topic,
            )
        self.reachable = False

    def record_success(self) -> None:
        """Counts a successful request; logs the end of an outage."""
        self.answered += 1
        if not self.reachable:
            log_event(
                Event.STORE_REACHABLE,
                'the store answers again',
                after_failures=self.failures,
            )
        self.reachable = True
        self.failures = 0


def may_have_followers(changed: list[Record], transfer_s: float) -> bool:
    """Returns whether other changes may have followed those just read.

    Args:
        changed: The records that changed.
        transfer_s: Time that the answer took to arrive, seconds.
    """
    return bool(changed) and transfer_s > SLOW_TRANSFER_S


def pause_after_loss_s(feed: RecordFeed) -> float:
    """Returns the pause after a lost history, longer for each in a row."""
    ceiling = BATCH_PAUSE_S * 2 ** min(feed.losses - 1, 4)
    return min(MAX_BACKOFF_S, ceiling) * feed.rng.uniform(0.5, 1)
