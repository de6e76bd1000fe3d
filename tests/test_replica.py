"""Property tests of deltas, notices, the read budget and the encoding."""

import itertools
import math
from operator import itemgetter
from random import Random
from typing import Any

import attrs
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from egretlanding import wire
from egretlanding.budget import ReadBudget
from egretlanding.delta import (
    apply_hosts_update,
    apply_release_update,
    hosts_update,
    release_update,
)
from egretlanding.exceptions import DeltaError, FrameError, ReleaseError
from egretlanding.freshness import Freshness
from egretlanding.hosts import Host, HostList, HostState
from egretlanding.membership import Membership
from egretlanding.messages import Notice, NoticeKind, Summary
from egretlanding.notices import MAX_NOTICES, NoticeTable
from egretlanding.objects import ConfigObject, Region
from egretlanding.release import Position, Release
from egretlanding.releasetable import (
    MAX_REFUSED,
    Conflict,
    Refused,
    ReleaseTable,
)
from egretlanding.replica import Replica, ReplicaConfig
from egretlanding.statedump import refused_releases
from egretlanding.watchers import WatchDuty

MAX_TRANSIT_S = 2
FLEET_SIZE = 1_300
OUTAGE_S = 400
STEP_S = 0.5
STORE_READS_PER_S = 2_000
MAX_READ_SHARE = 0.05

NUMBERS = st.integers(1, 9)
OFFERS = st.lists(
    st.tuples(
        NUMBERS,
        st.integers(1, 20),
        st.dictionaries(st.sampled_from('ab'), st.sampled_from('xy')),
    ),
    unique_by=itemgetter(1),
)
NOTICE_FIELDS = st.lists(
    st.tuples(
        st.sampled_from((NoticeKind.LEAVING, NoticeKind.RETURNED)),
        st.integers(1, 3),
        st.floats(1, 100),
    ),
    min_size=1,
)
ZONES = st.dictionaries(st.sampled_from('abcdef'), st.sampled_from('xyz'))


def make_release(zones: dict[str, str], number: int) -> Release:
    return Release.from_objects(
        number,
        '',
        [
            ConfigObject('Region', name, Region(failure_domains=(zone,)))
            for name, zone in zones.items()
        ],
    )


def make_host(host_id: str, port: int = 1) -> Host:
    return Host(host_id, '127.0.0.1', port, 2, 3, 'west', 'zone', 'catalogue')


def make_hosts(ports: dict[str, int], revision: int) -> HostList:
    hosts = {name: make_host(name, port) for name, port in ports.items()}
    return HostList(revision, hosts)


@given(ZONES, ZONES, NUMBERS)
def test_a_delta_leads_to_the_same_release(
    before: dict[str, str],
    after: dict[str, str],
    number: int,
) -> None:
    base, release = (
        make_release(before, number),
        make_release(after, number + 1),
    )
    for delta_base in (base, None):
        update = release_update(delta_base, release, 7)
        assert apply_release_update(delta_base, update) == release


@given(ZONES, ZONES, st.data())
def test_a_damaged_or_misapplied_delta_changes_nothing(
    before: dict[str, str],
    after: dict[str, str],
    data: st.DataObject,
) -> None:
    base, release = make_release(before, 1), make_release(after, 2)
    update = release_update(base, release, 7)
    place = data.draw(st.integers(0, len(update.payload) - 1))
    flipped = bytearray(update.payload)
    flipped[place] ^= data.draw(st.integers(1, 255))
    damaged = [
        attrs.evolve(update, payload=bytes(flipped)),
        attrs.evolve(update, payload=update.payload[:place]),
        attrs.evolve(update, revision=8),
        attrs.evolve(update, header=update.header[:-1]),
        attrs.evolve(update, header=update.header.replace(b':2,', b':3,')),
        attrs.evolve(update, base_digest='ab'),
    ]
    for wrong in damaged:
        with pytest.raises((DeltaError, ReleaseError)):
            apply_release_update(base, wrong)


@given(
    st.dictionaries(st.sampled_from('abcd'), NUMBERS),
    st.dictionaries(st.sampled_from('abcd'), NUMBERS),
)
def test_a_host_delta_leads_to_the_same_list(
    before: dict[str, int],
    after: dict[str, int],
) -> None:
    base, hosts = make_hosts(before, 1), make_hosts(after, 2)
    update = hosts_update(base, hosts)
    assert apply_hosts_update(base, update) == hosts
    other = make_hosts({**before, 'e': 1}, 1)
    with pytest.raises(DeltaError):
        apply_hosts_update(other, update)
    with pytest.raises(DeltaError):
        apply_hosts_update(make_hosts(before, 3), update)


@given(OFFERS)
def test_order_of_releases_makes_no_difference(offers: Any) -> None:
    forward, backward = ReleaseTable(lambda _: ()), ReleaseTable(lambda _: ())
    for table, order in ((forward, 1), (backward, -1)):
        for number, revision, zones in offers[::order]:
            table.offer(make_release(zones, number), revision)
    assert forward.position == backward.position
    assert forward.conflicts == backward.conflicts


def test_refused_releases_take_bounded_memory() -> None:
    table = ReleaseTable(lambda _: ['the set has a dangling link'])
    for number in range(1, 2 * MAX_REFUSED):
        assert isinstance(table.offer(make_release({}, number), 1), Refused)
    assert len(table.refused) == MAX_REFUSED
    assert table.position == Position()


@given(st.text(max_size=9), st.tuples(st.text(max_size=9)))
def test_malformed_conflict_notices_are_ignored(
    subject: str,
    evidence: tuple[str, ...],
) -> None:
    assert Conflict.from_text(subject, evidence) is None


def find_dangling_link(_objects: Any) -> list[str]:
    return ['a link dangles']


@given(st.integers(1, 10**18 - 1))
def test_a_refusal_is_reported_with_its_number(number: int) -> None:
    release = make_release({}, number)
    configs = [ReplicaConfig(make_host(name), 1) for name in 'ab']
    replicas = [
        Replica.from_config(config, find_dangling_link, Random(0), 0)
        for config in configs
    ]
    replicas[0].offer_release(release, 1, 0)
    replicas[1].receive_summary(replicas[0].summary(0), 0)
    reported, received = (refused_releases(replica, 0) for replica in replicas)
    assert received == reported
    assert [(refused.number, refused.digest) for refused in received] == [
        (number, release.digest),
    ]


@given(NOTICE_FIELDS)
def test_the_latest_incarnation_decides(fields: Any) -> None:
    notices = [Notice(kind, 'h', number, ttl) for kind, number, ttl in fields]
    tables = NoticeTable(), NoticeTable()
    for table, order in zip(tables, (1, -1), strict=True):
        for notice in notices[::order]:
            table.add(notice, 0)
    latest = max(notice.incarnation for notice in notices)
    expected = (NoticeKind.LEAVING, 'h', latest) in {
        (notice.kind, notice.subject, notice.incarnation) for notice in notices
    }
    for table in tables:
        leaving = table.find(NoticeKind.LEAVING, 'h', 0.5)
        assert (leaving is not None) is expected


@given(st.lists(st.floats(0.1, MAX_TRANSIT_S), min_size=40, max_size=40))
def test_copies_of_a_notice_do_not_prolong_it(transits: list[float]) -> None:
    hosts = make_hosts({'a': 1, 'b': 1, 'c': 1}, 1)
    memberships = [
        Membership(hosts.hosts[name], 1, Random(0), hosts) for name in 'ab'
    ]
    now: float = 0
    memberships[0].notices.add(Notice(NoticeKind.LEAVING, 'c', 1, 10), now)
    for transit, sender in zip(transits, itertools.cycle((0, 1)), strict=False):
        notices = memberships[sender].notices.notices_for_summary(now)
        now += transit
        for notice in notices:
            memberships[1 - sender].add_notice(notice, now)
        assert now <= 10 or not any(
            membership.is_leaving('c', now) for membership in memberships
        )


def test_notices_take_bounded_memory() -> None:
    table = NoticeTable()
    for number in range(2 * MAX_NOTICES):
        table.add(Notice(NoticeKind.SUSPECT, str(number), 0, 1 + number), 0)
    assert len(table.held) == MAX_NOTICES


def test_an_old_leaving_notice_is_ignored_and_refuted() -> None:
    hosts = make_hosts({'a': 1, 'b': 1}, 1)
    restarted = Membership(hosts.hosts['a'], 5, Random(0), hosts)
    other = Membership(hosts.hosts['b'], 1, Random(0), hosts)
    old = Notice(NoticeKind.LEAVING, 'a', 4, 100)
    other.add_notice(old, 0)
    assert other.is_leaving('a', 0)
    restarted.add_notice(old, 0)
    for notice in restarted.notices.notices_for_summary(0):
        other.add_notice(notice, 0)
    assert not other.is_leaving('a', 0)
    other.note_incarnation('a', 5, 0)
    assert not other.add_notice(attrs.evolve(old, ttl=200), 0)


@settings(max_examples=5, deadline=None)
@given(st.integers(0, 1_000))
def test_a_large_fleet_reads_little_in_an_outage(seed: int) -> None:
    randoms = [
        Random(seed * FLEET_SIZE + number) for number in range(FLEET_SIZE)
    ]
    fleet = [
        (WatchDuty(make_host('h'), random, 0), ReadBudget(random, 0))
        for random in randoms
    ]
    freshness = Freshness()
    reads = [
        sum(
            attempt_read(duty, budget, freshness, step * STEP_S)
            for duty, budget in fleet
        )
        for step in range(int(OUTAGE_S / STEP_S))
    ]
    per_s = [first + second for first, second in itertools.pairwise(reads)]
    assert max(per_s) <= MAX_READ_SHARE * STORE_READS_PER_S
    assert sum(reads) > FLEET_SIZE


def attempt_read(
    duty: WatchDuty,
    budget: ReadBudget,
    freshness: Freshness,
    now: float,
) -> bool:
    is_on_duty = duty.should_watch(now, freshness, holds_release=False)
    attempts = is_on_duty and budget.may_attempt(now)
    if attempts:
        budget.attempt(now, duty.is_watcher_or_standby)
    return attempts


NOTICES = st.builds(
    Notice,
    st.sampled_from(NoticeKind),
    st.text(min_size=1, max_size=20),
    st.integers(0, 2**63),
    st.integers(0, 3_600).map(float),
    st.lists(st.text(max_size=9), max_size=3).map(tuple),
)
SUMMARIES = st.builds(
    Summary,
    st.text(min_size=1, max_size=20),
    st.integers(0, 2**63),
    st.builds(Position, NUMBERS, NUMBERS, st.binary().map(bytes.hex)),
    NUMBERS,
    st.integers(0, 900).map(float) | st.just(math.inf),
    st.integers(0, 900).map(float) | st.just(math.inf),
    st.lists(NOTICES, max_size=3).map(tuple),
    st.booleans(),
    st.booleans(),
)


@given(SUMMARIES)
def test_a_summary_decodes_as_it_was_encoded(summary: Summary) -> None:
    encoded = wire.summary_to_wire(summary).SerializeToString()
    message = wire.exchange_pb2.Summary.FromString(encoded)
    assert wire.summary_from_wire(message) == summary
    message.confirmed_age_ms += 1
    with pytest.raises(FrameError):
        wire.summary_from_wire(message)


def test_a_seed_that_is_not_listed_is_pulled_from() -> None:
    config = ReplicaConfig(make_host('a'), 1, (make_host('127.0.0.1:3'),))
    replica = Replica.from_config(config, lambda _: (), Random(0), 0)
    summary = Summary('b', 1, Position(1, 1, 'ab'), 1, 1, 1)
    # Without a host list the seed has its address as id. The summary has its
    # real id, so the daemon can't find the sender among the listed hosts.
    on_request = replica.receive_summary(summary, 1)
    assert not on_request.pull_release
    on_reply = replica.receive_summary(summary, 1, 0.1)
    assert on_reply.pull_release
    assert on_reply.pull_hosts


def test_status_follows_the_host_list() -> None:
    host = attrs.evolve(make_host('a'), state=HostState.LEAVING)
    hosts = HostList(1, {'a': host})
    membership = Membership(make_host('b'), 1, Random(0), hosts)
    assert membership.status('a', 0) == 'leaving'
    assert membership.status('c', 0) == 'unknown'
