"""Tests of how the feed reads the store and of the age of records."""

import math
import random
from typing import Any

import attrs
from hypothesis import given
from hypothesis import strategies as st
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from egretlanding.exceptions import (
    HistoryLostError,
    PlatformError,
    UnreadableAnswerError,
)
from egretlanding.outages import MIN_OUTAGE_S
from egretlanding.recordfeed import (
    MAX_WATCH_S,
    MIN_WATCH_FRACTION,
    STALE_S,
    Changes,
    Page,
    RecordFeed,
)
from egretlanding.records import Record

STEP_S = 0.05


@attrs.define(slots=False)
class FakeStore:
    """A store of one record, with watches that the test ends.

    Attributes:
        watches: All watches, in order.
        list_count: Number of times that the list was read.
        distance_s: Time that it takes to open a connection, seconds.
    """

    watches: list[Deferred[Changes]] = attrs.field(factory=list)
    list_count: int = 0
    distance_s: float = 0.004

    async def read_page(self, after: str) -> Page:
        """Returns the only page."""
        self.list_count += 1
        return Page((Record('a', 1, b'x'),), 1, is_last=True)

    async def watch(self, after: int, wait_s: float) -> Changes:
        """Waits until the test ends the watch."""
        waiting: Deferred[Changes] = Deferred()
        self.watches.append(waiting)
        return await waiting


def start_feed(
    *, lists_when_late: bool = False
) -> tuple[RecordFeed, FakeStore, Any]:
    """Returns a started feed whose first watch is waiting."""
    clock: Any = Clock()
    clock.advance(100)
    store = FakeStore()
    any_store: Any = store
    feed = RecordFeed(
        clock, any_store, random.Random(1), lists_when_late=lists_when_late
    )
    feed.start()
    clock.advance(STEP_S)
    return feed, store, clock


def advance_clock(clock: Any, seconds: float) -> None:
    """Advances the clock in steps of STEP_S."""
    for _ in range(int(seconds / STEP_S)):
        clock.advance(STEP_S)


def test_an_unanswered_watch_confirms_nothing() -> None:
    feed, _, clock = start_feed()
    assert feed.age(clock.seconds()) < STALE_S
    advance_clock(clock, STALE_S + 0.2)
    assert feed.age(clock.seconds()) > STALE_S


def test_an_answer_without_changes_confirms_the_records() -> None:
    feed, store, clock = start_feed()
    advance_clock(clock, MIN_WATCH_FRACTION * MAX_WATCH_S)
    store.watches[-1].callback(Changes((), 1))
    clock.advance(STEP_S)
    assert feed.age(clock.seconds()) <= 2 * STEP_S
    assert feed.outages.ended_at == -math.inf


# Failure: CONFIG and DENIED on the grown sites. Daemons took old records for
# current, since an answer counted as given when it arrived.
def test_an_answer_that_was_long_on_its_way_is_old() -> None:
    feed, store, clock = start_feed()
    advance_clock(clock, MAX_WATCH_S + 2)
    store.watches[-1].callback(changes_at(2))
    clock.advance(STEP_S)
    assert feed.age(clock.seconds()) > MAX_WATCH_S + 2


def test_a_list_is_as_old_as_its_request() -> None:
    feed, store, clock = start_feed()
    pages: list[Deferred[Page]] = []

    async def read_page(after: str) -> Page:
        pages.append(Deferred())
        return await pages[-1]

    any_store: Any = store
    any_store.read_page = read_page
    feed.relist = True
    store.watches[-1].errback(PlatformError('silent', 'wait'))
    advance_clock(clock, 0.5)
    advance_clock(clock, 1)
    pages[-1].callback(Page((Record('a', 3, b'x'),), 3, is_last=True))
    assert feed.age(clock.seconds()) >= 1


def test_all_records_are_listed_again_after_lost_history() -> None:
    _, store, clock = start_feed()
    store.watches[-1].errback(HistoryLostError('gone', 'list'))
    advance_clock(clock, 1)
    assert store.list_count == 2


def test_a_failed_watch_is_retried_and_marks_the_store_unreachable() -> None:
    feed, store, clock = start_feed()
    store.watches[-1].errback(PlatformError('unreachable', 'wait'))
    assert feed.outages.failed_at == clock.seconds()
    assert not feed.reachable
    advance_clock(clock, 1)
    assert len(store.watches) > 1


def test_an_outage_ends_with_the_last_failure_before_an_answer() -> None:
    feed, store, clock = start_feed()
    ends_at = clock.seconds() + MIN_OUTAGE_S
    while clock.seconds() < ends_at:
        if not store.watches[-1].called:
            store.watches[-1].errback(PlatformError('unreachable', 'wait'))
            failed_at = clock.seconds()
        clock.advance(STEP_S)
    assert feed.outages.ended_at == -math.inf
    advance_clock(clock, 1)
    store.watches[-1].callback(changes_at(2))
    clock.advance(STEP_S)
    assert feed.outages.ended_at == failed_at


# Failure: a daemon that the store turned away took this for an outage, though
# others were served, and told it to all that got records from it.
@given(
    st.lists(
        st.tuples(
            st.floats(0, 2 * MIN_OUTAGE_S),
            st.sampled_from(['fails', 'others fail', 'confirmed']),
        ),
        max_size=30,
    )
)
def test_only_a_time_without_any_answer_is_an_outage(
    steps: list[tuple[float, str]],
) -> None:
    clock: Any = Clock()
    any_store: Any = FakeStore()
    feed = RecordFeed(clock, any_store, random.Random(1))
    feed.confirm(0)
    confirmed_at = clock.seconds()
    failed_at = -math.inf
    expected = -math.inf
    for pause_s, event in steps:
        clock.advance(pause_s)
        now = clock.seconds()
        if event == 'confirmed':
            if now - confirmed_at > MIN_OUTAGE_S and failed_at > confirmed_at:
                expected = failed_at
            confirmed_at = now
            feed.confirm(0)
        elif event == 'fails':
            failed_at = now
            feed.record_failure(PlatformError('turned away', 'wait'))
        else:
            failed_at = now
            feed.outages.hear_failure(0, now)
        assert feed.outages.ended_at == expected


# Failure: a daemon whose history was lost again after each list asked the store
# without a pause.
def test_a_history_that_stays_lost_is_asked_for_with_pauses() -> None:
    _, store, clock = start_feed()
    for _ in range(200):
        if not store.watches[-1].called:
            store.watches[-1].errback(HistoryLostError('gone', 'list'))
        clock.advance(0.005)
    assert 2 <= store.list_count <= 25


# Failure: daemons followed nothing. A watch whose answer was too long was sent
# again for ever, and got the same answer each time.
# Failure: a store that has lost its history for good was listed ten times a
# second.
def test_a_history_that_stays_lost_is_listed_ever_more_rarely() -> None:
    _, store, clock = start_feed()
    lost = HistoryLostError('lost', 'none')
    for _ in range(int(10 / STEP_S)):
        if not store.watches[-1].called:
            store.watches[-1].errback(lost)
        clock.advance(STEP_S)
    assert store.list_count <= 20


def test_records_are_listed_after_an_unreadable_answer_to_a_watch() -> None:
    feed, store, clock = start_feed()
    store.watches[-1].errback(UnreadableAnswerError('too long', 'list'))
    assert not feed.reachable
    advance_clock(clock, 1)
    assert store.list_count == 2
    assert feed.reachable


def test_watches_that_stay_unreadable_are_sent_with_pauses() -> None:
    _, store, clock = start_feed()
    for _ in range(200):
        if not store.watches[-1].called:
            store.watches[-1].errback(UnreadableAnswerError('long', 'list'))
        clock.advance(0.005)
    assert 2 <= store.list_count <= 10


def changes_at(revision: int, transfer_s: float = 0) -> Changes:
    """Returns an answer with one new version of the record."""
    return Changes(
        (Record('a', revision, b'x'),), revision, transfer_s=transfer_s
    )


# Failure: CONFIG and DRAIN on the grown sites. A watch returns each version
# since the last one, so that a reader that was late read ever more, and ended
# later with each try.
def test_a_reader_that_is_late_reads_the_newest_version_only() -> None:
    _, store, clock = start_feed(lists_when_late=True)
    store.watches[-1].callback(changes_at(2, transfer_s=0.65))
    clock.advance(STEP_S)
    assert store.list_count == 2
    assert len(store.watches) == 2


# Failure: the same; a read that failed began again from its old revision.
def test_after_a_failure_the_newest_version_is_read() -> None:
    _, store, clock = start_feed(lists_when_late=True)
    store.watches[-1].errback(PlatformError('silent', 'wait'))
    advance_clock(clock, 0.5)
    assert store.list_count == 2
    assert len(store.watches) == 2


def test_a_reader_that_is_in_time_watches() -> None:
    _, store, clock = start_feed(lists_when_late=True)
    for revision in range(2, 6):
        store.watches[-1].callback(changes_at(revision))
        advance_clock(clock, 0.3)
    assert store.list_count == 1


# Failure: a reader with a narrow link would list a large record for ever,
# although nothing changed.
def test_a_slow_list_without_a_change_is_not_repeated() -> None:
    feed, store, clock = start_feed(lists_when_late=True)
    feed.may_be_late = True
    store.watches[-1].callback(Changes((), 1, transfer_s=0.5))
    advance_clock(clock, 1)
    assert store.list_count == 1
    assert len(store.watches) == 2
