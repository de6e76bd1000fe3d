"""Tests of doubtful cases in the distribution of the store's news."""

import contextlib
import itertools
import random
from collections.abc import Callable
from typing import Any

import attrs
from hypothesis import given
from twisted.internet.task import Clock

from egretlanding.exceptions import PlatformError
from egretlanding.frames import RecordsRequest, RecordsState, RecordsUpdate
from egretlanding.pacedwork import DELAY_S, PacedWork
from egretlanding.recordfeed import STALE_S, Changes, Page
from egretlanding.recordrelay import LATE_S
from egretlanding.recordreplies import MIN_BASE_BYTES
from egretlanding.records import Record
from egretlanding.recordtree import (
    READERS_PER_REGION,
    STANDBYS,
    first_ranked,
)
from tests.test_eras import STEP_S, STEPS, Daemon, Store, contents
from tests.test_recordrelay import (
    HOSTS,
    build_ranked,
    build_relay,
    connect_from,
    make_host,
    now_ms,
)
from tests.wires import reply_of

DAEMONS = 4
# Time within which a change must be in force on every host, seconds.
IN_FORCE_S = 3


@attrs.define
class LargeStore(Store):
    """A store whose records are large enough for differences.

    Attributes:
        written: The content of each write, by era and revision.
    """

    written: dict[tuple[int, int], bytes] = attrs.field(factory=dict)

    def write(self, key: str, *, deleted: bool = False) -> None:
        """Writes a key with content that was never written before."""
        self.writes += 1
        content = b'' if deleted else large_content(self.writes)
        record = Record(key, self.revision + 1, content, deleted)
        self.history.append({**self.history[-1], key: record})

    def restore(self, lost: int) -> None:
        """Loses the last writes."""
        kept = max(1, len(self.history) - lost)
        self.history = self.history[:kept]
        self.era += 1


def large_content(number: int) -> bytes:
    """Returns content made of the same blocks as others, in another order."""
    blocks = [
        random.Random(block).randbytes(MIN_BASE_BYTES // 8)
        for block in range(16)
    ]
    random.Random(number).shuffle(blocks)
    return b''.join(blocks)


def build_daemon(clock: Clock, store: Store, number: int) -> Daemon:
    """Returns a daemon that keeps bases, as one to which others listen does."""
    daemon = Daemon.build(clock, store, number)
    daemon.feed.on_change.append(
        lambda changed: daemon.relay.replies.keep(
            changed, daemon.feed.table.era
        )
    )
    return daemon


# Failure: a daemon kept content that the store never held, or refused records
# for good, since a difference was based on other content than the sender's.
@given(STEPS)
def test_differences_bring_only_what_the_store_holds(steps: list[Any]) -> None:
    clock, store = Clock(), LargeStore()
    clock.advance(100)
    daemons = [build_daemon(clock, store, n) for n in range(DAEMONS)]
    held_by_store: set[tuple[str, bytes]] = set()
    for action, first, second in steps:
        clock.advance(STEP_S)
        match action:
            case 'write':
                store.write(first, deleted=second)
                held_by_store.update(store.existing().items())
            case 'restore':
                store.restore(first)
            case 'read':
                daemons[first].read_store()
            case 'tell' if first != second:
                daemons[first].tell(daemons[second])
        for daemon in daemons:
            held = contents(daemon.feed.table.records)
            assert held_by_store.issuperset(held.items())
    store.write('a')
    daemons[0].read_store()
    for teller, listener in itertools.pairwise(daemons):
        clock.advance(STEP_S)
        teller.tell(listener)
    for daemon in daemons:
        assert contents(daemon.feed.table.records) == store.existing()


# Failure: after the store was restored, a daemon took the difference to what
# the store had lost, whose revision was given out again.
def test_a_difference_is_based_on_content_of_the_same_era() -> None:
    clock, store = Clock(), LargeStore()
    clock.advance(100)
    sender, receiver = (build_daemon(clock, store, n) for n in range(2))
    store.write('a')
    store.write('a')
    sender.read_store()
    store.restore(1)
    sender.read_store()
    store.write('a')
    receiver.read_store()
    store.write('a')
    sender.read_store()
    clock.advance(STEP_S)
    sender.tell(receiver)
    assert contents(receiver.feed.table.records) == store.existing()


# Failure: a daemon refused all records of another, since a deletion that a
# list implied has the revision of the large record that is the base.
def test_a_deletion_is_not_taken_for_the_base_of_a_difference() -> None:
    clock, store = Clock(), LargeStore()
    clock.advance(100)
    sender, receiver = (build_daemon(clock, store, n) for n in range(2))
    store.write('b')
    receiver.read_store()
    store.write('b', deleted=True)
    store.write('a')
    sender.read_store()
    receiver.feed.relist = True
    receiver.read_store()
    store.write('a')
    sender.read_store()
    clock.advance(STEP_S)
    sender.tell(receiver)
    assert contents(receiver.feed.table.records) == store.existing()


# Failure: CONFIG. With the readers and the standbys gone, a daemon waited for
# many seconds because the daemons below it, which know no more, asked it.
def test_a_question_from_below_is_no_reason_to_wait_for_others() -> None:
    rank = READERS_PER_REGION + STANDBYS
    relay, clock = build_ranked(rank, 250)
    relay.feed.lists_when_late = True
    hosts = tuple(make_host(number, 'north') for number in range(250))
    relay.update_hosts(hosts, 'north')
    below = next(host for host in hosts if relay.tree.is_below(host.host_id))
    for _ in range(int(IN_FORCE_S / 0.5)):
        clock.advance(0.5)
        question = RecordsState(5, 4_000, asks=True, era=0)
        relay.handle_state(connect_from(below.host_id), question)
    assert relay.feed.should_read_store(clock.seconds())


# Failure: a reader left the store to one of another region whose own records
# had not been confirmed for long, and then read lists in place of watching.
def test_a_far_reader_without_news_is_not_relied_on() -> None:
    reader = first_ranked('north', HOSTS, 1)[0]
    far = first_ranked('south', HOSTS, 1)[0]
    relay, clock = build_relay(reader.address, 'north')
    relay.feed.table.confirm(5)
    relay.feed.confirm(0)
    late = RecordsState(
        5, 10_000, distance_ms=3, era=0, echo=now_ms(clock), reads=True
    )
    relay.handle_state(connect_from(far.host_id), late)
    assert relay.feed.reads_for_others(clock.seconds())


# Failure: an appointed reader that was cut off from the store was relied on
# for good, because the one that had appointed it kept its records fresh.
def test_an_appointed_reader_without_the_store_does_not_claim_to_read() -> None:
    relay, clock = build_ranked(20, 250)
    upstream = relay.tree.upstream
    assert upstream
    appointment = RecordsState(5, 0, asks=True, appoints=True, era=0)
    relay.handle_state(connect_from(upstream.host_id), appointment)
    assert relay.state_frame().reads
    relay.feed.record_failure(PlatformError('cut off', 'wait'))
    relay.feed.confirm(0)
    assert relay.feed.age(clock.seconds()) < STALE_S
    assert not relay.state_frame().reads


# Failure: CONFIG. A configuration whose application took a second, or during
# which the host was suspended, kept the next one waiting for four times that.
def test_work_that_took_long_does_not_delay_the_next_piece_for_long() -> None:
    clock = Clock()
    work = PacedWork(clock, 'work')
    done: list[int] = []

    def run_long() -> None:
        done.append(1)
        clock.rightNow += 1

    work.submit(run_long)
    clock.advance(DELAY_S)
    work.submit(lambda: done.append(2))
    clock.advance(IN_FORCE_S)
    assert done == [1, 2]


# Failure: a whole list was sent in full to daemons that hold the same content,
# since the sender had got it before any other daemon listened.
def test_content_that_both_hold_is_not_sent_again() -> None:
    ahead, _ = build_relay('10.0.0.1', 'north')
    content = random.Random(1).randbytes(10 * MIN_BASE_BYTES)
    record = Record('a', 5, content)
    ahead.feed.on_change = [ahead.announce]
    ahead.feed.apply_records([record], 5, 0, whole=True)
    ahead.feed.apply_records([record], 9, 0, whole=True)
    reply = reply_of(ahead, RecordsRequest(5, 0, '', 5))
    assert isinstance(reply, RecordsUpdate)
    assert len(reply.packed) < MIN_BASE_BYTES


@attrs.define
class SlowStore(Store):
    """A store behind a link over which a list takes longer than STALE_S.

    Attributes:
        clock: Advances while a list arrives.
        lists: Number of lists that were read.
    """

    clock: Clock = attrs.field(factory=Clock)
    lists: int = 0

    async def read_page(self, after: str) -> Page:
        """Returns all records after the time that they take to arrive."""
        self.lists += 1
        page = await Store.read_page(self, after)
        self.clock.advance(1.1 * STALE_S)
        return page


# Failure: over a link on which a list takes longer than records stay fresh, a
# reader listed the configuration without a pause although nothing changed.
def test_a_slow_list_is_not_followed_by_another_without_need() -> None:
    clock = Clock()
    clock.advance(100)
    store = SlowStore(clock=clock)
    store.write('a')
    daemon = Daemon.build(clock, store, 0)
    daemon.feed.lists_when_late = True
    daemon.read_store()
    assert store.lists == 1


# Failure: a late daemon of a large fleet asked the same six daemons four times
# a second, as all others did, while those were the ones that had to be quick.
def test_a_late_daemon_asks_no_more_often_than_one_in_time() -> None:
    relay, clock = build_ranked(200, 250)
    links: Any = relay.links
    clock.advance(1.1 * LATE_S)
    for _ in range(8):
        relay.tick()
        clock.advance(0.25)
    upstream = relay.tree.upstream
    assert upstream
    asked = {
        host_id: len(lane.connection.sent)
        for host_id, lane in links.lanes.items()
    }
    assert max(asked.values()) <= asked[upstream.host_id]


@attrs.define
class LateStore(Store):
    """A store whose answers are on their way while something else happens.

    Attributes:
        meanwhile: Called between an answer and its arrival.
    """

    meanwhile: Callable[[], None] = lambda: None

    async def read_page(self, after: str) -> Page:
        """Returns all records as they were before `meanwhile`."""
        page = await Store.read_page(self, after)
        self.meanwhile()
        return page

    async def watch(self, after: int, wait_s: float) -> Changes:
        """Returns the changes as they were before `meanwhile`."""
        changes = await Store.watch(self, after, wait_s)
        self.meanwhile()
        return changes


def bring_list_of_other(store: LateStore, clock: Clock, daemon: Daemon) -> None:
    """Deletes a key, and has another daemon list the store and tell it."""
    store.meanwhile = lambda: None
    other = Daemon.build(clock, store, 1)
    store.write('b', deleted=True)
    other.read_store()
    other.tell(daemon)


def read_once(daemon: Daemon) -> None:
    """Reads the store once, as far as that needs no time."""
    coroutine = daemon.feed.read()
    with contextlib.suppress(StopIteration):
        coroutine.send(None)
    coroutine.close()


# Failure: DRAIN. At the start of a daemon a slow list of the store brought back
# for good a target that was gone in the later list of another daemon.
def test_a_late_list_does_not_bring_back_what_was_deleted() -> None:
    clock = Clock()
    clock.advance(100)
    store = LateStore()
    daemon = Daemon.build(clock, store, 0)
    store.write('a')
    store.write('b')
    store.meanwhile = lambda: bring_list_of_other(store, clock, daemon)
    read_once(daemon)
    daemon.read_store()
    assert contents(daemon.feed.table.records) == store.existing()
    assert contents(daemon.applied) == store.existing()


# Failure: the same for the late answer to a watch.
def test_a_late_watch_does_not_bring_back_what_was_deleted() -> None:
    clock = Clock()
    clock.advance(100)
    store = LateStore()
    daemon = Daemon.build(clock, store, 0)
    store.write('a')
    read_once(daemon)
    store.write('b')
    store.meanwhile = lambda: bring_list_of_other(store, clock, daemon)
    read_once(daemon)
    daemon.read_store()
    assert contents(daemon.feed.table.records) == store.existing()
    assert contents(daemon.applied) == store.existing()
