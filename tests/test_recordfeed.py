"""Tests that the age of records is told truly, without sockets."""

import random
from typing import Any

import attrs
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from egretlanding.exceptions import HistoryLostError, PlatformError
from egretlanding.recordfeed import STALE_S, Changes, Page, RecordFeed
from egretlanding.records import Record

STEP_S = 0.05


@attrs.define
class FakeStore:
    """A store that lists one record, and whose watches the test ends.

    Attributes:
        watches: The watches that wait.
        lists: Times that the list was read.
        distance_s: Time that a connection takes, seconds.
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


def start_feed() -> tuple[RecordFeed, FakeStore, Any]:
    """Returns the feed of a reader whose first watch waits."""
    clock: Any = Clock()
    clock.advance(100)
    store = FakeStore()
    any_store: Any = store
    feed = RecordFeed(clock, any_store, random.Random(1))
    feed.start()
    clock.advance(STEP_S)
    return feed, store, clock


def advance_clock(clock: Any, seconds: float) -> None:
    """Lets time pass in small steps."""
    for _ in range(int(seconds / STEP_S)):
        clock.advance(STEP_S)


def test_a_watch_that_never_answers_confirms_nothing() -> None:
    feed, _, clock = start_feed()
    assert feed.age(clock.seconds()) < STALE_S
    advance_clock(clock, STALE_S + 0.2)
    assert feed.age(clock.seconds()) > STALE_S


def test_an_answer_without_changes_confirms_the_records() -> None:
    feed, store, clock = start_feed()
    advance_clock(clock, 1)
    store.watches[-1].callback(Changes((), 1))
    clock.advance(STEP_S)
    assert feed.age(clock.seconds()) <= 2 * STEP_S
    assert not feed.was_recently_unreachable(clock.seconds())


def test_lost_history_leads_to_a_new_list() -> None:
    _, store, clock = start_feed()
    store.watches[-1].errback(HistoryLostError('gone', 'list'))
    advance_clock(clock, 1)
    assert store.list_count == 2


def test_a_failed_watch_is_tried_again_and_remembered() -> None:
    feed, store, clock = start_feed()
    store.watches[-1].errback(PlatformError('away', 'wait'))
    assert feed.was_recently_unreachable(clock.seconds())
    assert not feed.reachable
    advance_clock(clock, 1)
    assert len(store.watches) > 1


def test_an_outage_is_over_soon_after_the_last_failed_call() -> None:
    feed, store, clock = start_feed()
    store.watches[-1].errback(PlatformError('away', 'wait'))
    advance_clock(clock, 1.9)
    assert not feed.was_recently_unreachable(clock.seconds())
