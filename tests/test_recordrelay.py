"""Tests of the choice of readers and the distribution of records."""

import random
from collections import Counter
from typing import Any

import attrs
import msgspec
from twisted.internet.task import Clock

from egretlanding.frames import (
    Hello,
    RecordsRequest,
    RecordsState,
    RecordsUpdate,
)
from egretlanding.hosts import Host
from egretlanding.recordfeed import STALE_S, RecordFeed
from egretlanding.recordrelay import (
    ANNOUNCE_INTERVAL_S,
    MAX_DOWNSTREAM,
    READERS_PER_REGION,
    UPSTREAM_WAIT_S,
    RecordRelay,
    first_ranked,
    upstream_of,
)
from egretlanding.records import Record
from tests.wires import RecordingConnection


@attrs.define
class FakeContext:
    """A context without connections that records broadcasts.

    Attributes:
        frames: The frames that were broadcast.
    """

    frames: list[Any] = attrs.field(factory=list)

    def broadcast(self, frame: Any) -> None:
        """Records a frame."""
        self.frames.append(frame)


@attrs.define
class FakeLinks:
    """The links of a daemon, with a context that records broadcasts.

    Attributes:
        context: The context.
    """

    context: FakeContext = attrs.field(factory=FakeContext)


@attrs.define
class DistantStore:
    """A store far away that is never read.

    Attributes:
        distance_s: Time that it takes to open a connection, seconds.
    """

    distance_s: float = 0.016


def make_host(number: int, region: str) -> Host:
    """Returns a host of a region, with an address made from its number."""
    address = f'10.0.0.{number}'
    return Host(address, address, 1, 2, 3, region, f'{region}-1', 'orders')


HOSTS = tuple(make_host(n, 'north' if n % 2 else 'south') for n in range(12))


def build_relay(address: str, region: str) -> tuple[RecordRelay, Clock]:
    """Returns the relay of a daemon that knows all hosts."""
    clock: Any = Clock()
    clock.advance(100)
    store: Any = DistantStore()
    links: Any = FakeLinks()
    feed = RecordFeed(clock, store, random.Random(1))
    relay = RecordRelay(clock, address, links, (), feed)
    relay.update_hosts(HOSTS, region)
    return relay, clock


def connect_from(host_id: str) -> Any:
    """Returns a connection to a daemon."""
    return RecordingConnection(Hello(host_id, 1))


def test_each_region_has_its_readers() -> None:
    readers = [
        host.address
        for host in HOSTS
        if build_relay(host.address, host.region)[0].feed.is_reader
    ]
    expected = [
        host.address
        for region in ('north', 'south')
        for host in first_ranked(region, HOSTS, READERS_PER_REGION)
    ]
    assert sorted(readers) == sorted(expected)


def test_other_daemons_read_the_store_when_their_records_are_stale() -> None:
    idle = next(
        host
        for host in HOSTS
        if not build_relay(host.address, host.region)[0].feed.is_reader
    )
    relay, clock = build_relay(idle.address, idle.region)
    relay.feed.table.confirm(5)
    relay.handle_state(connect_from('10.0.0.9'), RecordsState(5, 100, era=0))
    assert not relay.feed.should_read_store(clock.seconds())
    clock.advance(1.1 * STALE_S)
    assert relay.feed.should_read_store(clock.seconds())


def test_a_far_reader_stops_reading_while_a_nearer_one_reads() -> None:
    reader = first_ranked('north', HOSTS, 1)[0]
    other = first_ranked('south', HOSTS, 1)[0]
    relay, clock = build_relay(reader.address, 'north')
    relay.feed.table.confirm(5)
    assert relay.feed.should_read_store(clock.seconds())
    near = RecordsState(5, 0, asks=False, distance_ms=3, era=0)
    relay.handle_state(connect_from('10.9.9.9'), near)
    assert relay.feed.should_read_store(clock.seconds())
    relay.handle_state(connect_from(other.host_id), near)
    assert not relay.feed.should_read_store(clock.seconds())
    clock.advance(1.1 * STALE_S)
    assert relay.feed.should_read_store(clock.seconds())


def test_a_reader_at_similar_distance_keeps_reading() -> None:
    reader = first_ranked('north', HOSTS, 1)[0]
    other = first_ranked('south', HOSTS, 1)[0]
    relay, clock = build_relay(reader.address, 'north')
    relay.handle_state(
        connect_from(other.host_id), RecordsState(0, 0, distance_ms=15, era=0)
    )
    assert relay.feed.should_read_store(clock.seconds())


def test_records_pass_from_one_daemon_to_another() -> None:
    ahead, _ = build_relay('10.0.0.1', 'north')
    behind, _ = build_relay('10.0.0.2', 'south')
    ahead.feed.table.apply([Record('a', 1, b'x'), Record('b', 2, b'y')])
    ahead.feed.table.confirm(2)
    connection = connect_from('10.0.0.1')
    behind.handle_frame(connection, ahead.state_frame())
    request = connection.sent[-1]
    assert isinstance(request, RecordsRequest)
    behind.handle_frame(connection, ahead.reply_to(request))
    assert behind.feed.table.records == ahead.feed.table.records
    assert behind.feed.table.complete_revision == 2


def test_changes_of_other_topics_bring_no_request() -> None:
    relay, clock = build_relay('10.0.0.1', 'north')
    relay.feed.table.apply([Record('a', 2, b'x')])
    relay.feed.table.confirm(5)
    connection = connect_from('10.0.0.2')
    relay.handle_state(connection, RecordsState(9, 100, era=0, newest=2))
    assert not connection.sent
    assert relay.feed.table.complete_revision == 9
    assert relay.feed.age(clock.seconds()) < STALE_S


def test_records_that_cannot_be_decoded_are_ignored() -> None:
    relay, _ = build_relay('10.0.0.1', 'north')
    uncompressed = msgspec.msgpack.encode([Record('a', 1, b'x')])
    for packed in (b'', b'nonsense', uncompressed):
        relay.handle_frame(
            connect_from('10.0.0.2'), RecordsUpdate(9, 0, packed, era=0)
        )
    assert not relay.feed.table.records
    assert not relay.feed.table.complete_revision


def test_readers_batch_announcements_of_frequent_changes() -> None:
    reader = first_ranked('north', HOSTS, 1)[0]
    relay, clock = build_relay(reader.address, 'north')
    fake_context: Any = relay.links.context
    for _ in range(20):
        relay.announce([])
        clock.advance(ANNOUNCE_INTERVAL_S / 10)
    clock.advance(ANNOUNCE_INTERVAL_S)
    assert 2 <= len(fake_context.frames) <= 4


def test_no_daemon_has_too_many_downstream_daemons() -> None:
    hosts = tuple(make_host(number, 'north') for number in range(250))
    order = first_ranked('north', hosts, len(hosts))
    upstreams = {
        host.host_id: upstream.host_id
        for host in hosts
        if (upstream := upstream_of(host.host_id, order))
    }
    assert max(Counter(upstreams.values()).values()) <= MAX_DOWNSTREAM
    readers = {host.host_id for host in order[:READERS_PER_REGION]}
    assert set(upstreams) == {host.host_id for host in hosts} - readers
    for host in hosts:
        steps, current = 0, host.host_id
        while current in upstreams:
            steps, current = steps + 1, upstreams[current]
        assert current in readers
        assert steps <= 4


def test_a_daemon_waits_for_its_upstream_before_asking_others() -> None:
    idle = first_ranked('north', HOSTS, len(HOSTS))[READERS_PER_REGION]
    relay, clock = build_relay(idle.address, 'north')
    relay.feed.table.confirm(5)
    other, later = connect_from('10.9.9.9'), RecordsState(6, 0, era=0)
    relay.handle_state(other, later)
    assert not other.sent
    clock.advance(1.1 * UPSTREAM_WAIT_S)
    relay.handle_state(other, later)
    assert isinstance(other.sent[-1], RecordsRequest)


def test_a_daemon_asks_its_upstream_at_once() -> None:
    idle = first_ranked('north', HOSTS, len(HOSTS))[READERS_PER_REGION]
    relay, _ = build_relay(idle.address, 'north')
    relay.feed.table.confirm(5)
    assert relay.upstream
    upstream = connect_from(relay.upstream.host_id)
    relay.handle_state(upstream, RecordsState(6, 0, era=0))
    assert isinstance(upstream.sent[-1], RecordsRequest)


def test_daemons_below_the_readers_ask_any_reader() -> None:
    idle = first_ranked('north', HOSTS, len(HOSTS))[READERS_PER_REGION]
    relay, _ = build_relay(idle.address, 'north')
    relay.feed.table.confirm(5)
    for reader in first_ranked('north', HOSTS, READERS_PER_REGION):
        relay.requested_at = 0
        connection = connect_from(reader.host_id)
        relay.handle_state(connection, RecordsState(6, 0, era=0))
        assert isinstance(connection.sent[-1], RecordsRequest)


def test_only_daemons_with_downstream_daemons_announce_changes() -> None:
    hosts = tuple(make_host(number, 'north') for number in range(40))
    order = first_ranked('north', hosts, len(hosts))
    for rank, announcements in ((READERS_PER_REGION, 2), (len(order) - 1, 0)):
        relay, _ = build_relay(order[rank].address, 'north')
        relay.update_hosts(hosts, 'north')
        fake_context: Any = relay.links.context
        relay.announce([])
        relay.announce([])
        assert len(fake_context.frames) == announcements
