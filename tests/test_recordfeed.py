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
class Store:
    """A store that lists one record, and whose watches the test ends.

    Attributes:
        watches: The watches that wait.
        lists: Times that the list was read.
        distance_s: Time that a connection takes, seconds.
    """

    watches: list[Deferred[Changes]] = attrs.field(factory=list)
    lists: int = 0
    distance_s: float = 0.004

    async def read_page(self, after: str) -> Page:
        """Returns the only page."""
        self.lists += 1
        return Page((Record('a', 1, b'x'),), 1, is_last=True)

    async def watch(self, after: int, wait_s: float) -> Changes:
        """Waits until the test ends the watch."""
        waiting: Deferred[Changes] = Deferred()
        self.watches.append(waiting)
        return await waiting


def start() -> tuple[RecordFeed, Store, Any]:
    """Returns the feed of a reader whose first watch waits."""
    clock: Any = Clock()
    clock.advance(100)
    store = Store()
    any_store: Any = store
    feed = RecordFeed(clock, any_store, random.Random(1))
    feed.start()
    clock.advance(STEP_S)
    return feed, store, clock


def pass_time(clock: Any, seconds: float) -> None:
    """Lets time pass in small steps."""
    for _ in range(int(seconds / STEP_S)):
        clock.advance(STEP_S)


def test_a_watch_that_never_answers_confirms_nothing() -> None:
    feed, _, clock = start()
    assert feed.age(clock.seconds()) < STALE_S
    pass_time(clock, STALE_S + 0.2)
    assert feed.age(clock.seconds()) > STALE_S


def test_an_answer_without_changes_confirms_the_records() -> None:
    feed, store, clock = start()
    pass_time(clock, 1)
    store.watches[-1].callback(Changes((), 1))
    clock.advance(STEP_S)
    assert feed.age(clock.seconds()) <= 2 * STEP_S
    assert not feed.was_away(clock.seconds())


def test_lost_history_leads_to_a_new_list() -> None:
    _, store, clock = start()
    store.watches[-1].errback(HistoryLostError('gone', 'list'))
    pass_time(clock, 1)
    assert store.lists == 2


def test_a_failed_watch_is_tried_again_and_remembered() -> None:
    feed, store, clock = start()
    store.watches[-1].errback(PlatformError('away', 'wait'))
    assert feed.was_away(clock.seconds())
    assert not feed.reachable
    pass_time(clock, 1)
    assert len(store.watches) > 1


def test_an_outage_is_over_soon_after_the_last_failed_call() -> None:
    feed, store, clock = start()
    store.watches[-1].errback(PlatformError('away', 'wait'))
    pass_time(clock, 1.9)
    assert not feed.was_away(clock.seconds())
