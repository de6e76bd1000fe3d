"""Tests of distribution under faults, with real processes."""

import operator
import signal
import time
from collections.abc import Iterator
from typing import Any

import pytest

from egretlanding.release import shorten
from egretlanding.storeclient import REVISIONS_PER_ERA
from standins.faults import DirectionFaults, LinkRule
from standins.fleet import Fleet, send_request, wait_until
from standins.partitionedfleet import PartitionedFleet, link_name
from tests.controlfleet import (
    CONVERGENCE_S,
    FAR,
    NEAR,
    FleetObserver,
    build_release,
    freeze_store,
    kill_daemons,
    publish_damaged,
    running_fleet,
    running_split,
    statuses,
    store_reads,
    wait_everywhere,
    wait_refused,
)

MAX_READS_PER_DAEMON_PER_S = 1
READ_COUNT_S = 10
SUSPENSION_S = 4
# Time in which a host list reaches all daemons, seconds.
HOSTS_SPREAD_S = 8


def test_valid_releases_reach_all_daemons_and_faulty_ones_none() -> None:
    with (
        running_fleet(5, 3) as (fleet, first),
        FleetObserver(fleet) as observer,
    ):
        kinds = ('corrupt part', 'truncated part', 'wrong digest')
        for number, kind in enumerate(kinds, 2):
            bad = build_release(number, first.digest, timeout_ms=number)
            announced = '0' * 64 if kind == 'wrong digest' else bad.digest
            publish_damaged(fleet, bad, kind)
            wait_refused(fleet, announced)
        dangling = build_release(9, first.digest, service='nowhere')
        fleet.publish(dangling)
        wait_refused(fleet, dangling.digest)
        good = build_release(10, first.digest, timeout_ms=10)
        fleet.publish(good)
        wait_everywhere(fleet, good.digest)
    assert observer.digests() == {first.digest, good.digest}
    assert not observer.regressions()


# Failure: a release published after the store was restored from an older copy
# was not read, as its revision was lower than one seen before.
def test_a_release_of_a_restored_store_comes_into_force() -> None:
    with (
        running_fleet(2, 1) as (fleet, first),
        FleetObserver(fleet) as observer,
    ):
        freeze_store(fleet)
        second = build_release(2, first.digest, timeout_ms=2)
        fleet.publish(second)
        wait_everywhere(fleet, second.digest)
        third = build_release(3, second.digest, timeout_ms=3)
        fleet.publish(third)
        wait_everywhere(fleet, third.digest)
        send_request(fleet.operator_port, 'POST', '/restore')
        fourth = build_release(4, third.digest, timeout_ms=4)
        fleet.publish(fourth)
        wait_everywhere(fleet, fourth.digest)
    assert not observer.regressions()


# Failure: a host list published after the store was restored from an older copy
# was passed over, as its revision was lower than one seen before.
def test_a_host_list_of_a_restored_store_is_used() -> None:
    with running_fleet(2, 1) as (fleet, _):
        freeze_store(fleet)
        fleet.publish_hosts()
        fleet.publish_hosts()
        time.sleep(HOSTS_SPREAD_S)
        send_request(fleet.operator_port, 'POST', '/restore')
        revision = fleet.publish_hosts(without=['sous-0'])
        in_era = REVISIONS_PER_ERA + revision
        wait_until(
            lambda: (
                {found['hosts_revision'] for found in statuses(fleet).values()}
                == {in_era}
            ),
            CONVERGENCE_S,
            'host list everywhere',
        )


def test_no_daemon_reverts_during_outage_or_with_stale_store() -> None:
    with (
        running_fleet(3, 2, targets=True) as (fleet, first),
        FleetObserver(fleet) as observer,
    ):
        freeze_store(fleet)
        second = build_release(2, first.digest, timeout_ms=2_000)
        fleet.publish(second)
        wait_everywhere(fleet, second.digest)
        fleet.set_faults(stale=True)
        before_restart = set(observer.ready)
        restarted = [fleet.members['casa-0'], fleet.members['sous-0']]
        kill_daemons(restarted)
        for member in restarted:
            member.start_daemon()
        wait_everywhere(fleet, second.digest, timeout_s=25)
        fleet.set_faults(stale=False, outage=True)
        kill_daemons(restarted[:1])
        restarted[0].start_daemon()
        wait_everywhere(fleet, second.digest, timeout_s=25)
        ages = [
            status['confirmed_age_s'] for status in statuses(fleet).values()
        ]
        assert all(member_answers(fleet))
        time.sleep(1)
        later = [
            status['confirmed_age_s'] for status in statuses(fleet).values()
        ]
        assert min(later) > min(ages)
        fleet.set_faults(outage=False)
        third = build_release(3, second.digest, timeout_ms=3)
        fleet.publish(third)
        wait_everywhere(fleet, third.digest)
    assert not observer.regressions()
    served = [
        digests
        for key, digests in observer.ready.items()
        if key not in before_restart
    ]
    assert served
    assert all(first.digest not in digests for digests in served)


def test_simultaneous_restarts_do_not_overload_the_store() -> None:
    with running_fleet(5, 4) as (fleet, _):
        second = build_release(2, timeout_ms=2)
        fleet.publish(second)
        wait_everywhere(fleet, second.digest)
        members = list(fleet.members.values())
        kill_daemons(members)
        reads_before, started_at = store_reads(fleet), time.monotonic()
        for member in members:
            member.start_daemon()
        wait_everywhere(fleet, second.digest, timeout_s=40)
        time.sleep(READ_COUNT_S)
        elapsed_s = time.monotonic() - started_at
        bound = MAX_READS_PER_DAEMON_PER_S * elapsed_s * len(members)
        assert store_reads(fleet) - reads_before < bound, (
            store_reads(fleet) - reads_before,
            bound,
        )


def test_resumed_daemon_does_not_serve_its_outdated_release() -> None:
    with (
        running_fleet(5, 0, targets=True) as (fleet, first),
        FleetObserver(fleet) as observer,
    ):
        suspended = fleet.members['casa-1']
        assert suspended.call('GET', '/kits').status == 200
        suspended.signal_daemon(signal.SIGSTOP)
        second = build_release(2, first.digest, routed=False)
        fleet.publish(second)
        others = set(fleet.members).difference({suspended.host_id})
        time.sleep(SUSPENSION_S)
        fleet.wait_in_force(2, others, CONVERGENCE_S)
        suspended.signal_daemon(signal.SIGCONT)
        # The second release has no route, so no call may reach a target.
        while suspended.status()['number'] < 2:
            assert suspended.call('GET', '/kits').status != 200
        wait_everywhere(fleet, second.digest)
        assert suspended.call('GET', '/kits').status == 404
    assert not observer.regressions()


@pytest.mark.parametrize('link_fault', ['cut', 'lose'])
def test_concurrent_releases_converge_on_all_daemons(link_fault: str) -> None:
    with running_split(4, 4) as (split, first):
        fleet = split.fleet
        with FleetObserver(fleet) as observer:
            getattr(split, link_fault)(NEAR, FAR)
            earlier = build_release(2, first.digest, timeout_ms=21)
            later = build_release(2, first.digest, timeout_ms=22)
            fleet.publish(earlier)
            wait_everywhere(fleet, earlier.digest)
            split.cut_store(FAR)
            fleet.publish(later)
            near = [member.host_id for member in split.members_in(NEAR)]
            wait_until(
                lambda: all(
                    statuses(fleet)[name]['digest'] == later.digest
                    for name in near
                ),
                CONVERGENCE_S,
                'the second release in its region',
            )
            split.heal()
            wait_everywhere(fleet, later.digest)
            wait_until(
                lambda: all(
                    has_conflict(status, later.digest, earlier.digest)
                    for status in statuses(fleet).values()
                ),
                CONVERGENCE_S,
                'the conflict in each status',
            )
        assert not observer.regressions()


def test_killed_watchers_are_replaced_in_seconds() -> None:
    with running_fleet(7, 0) as (fleet, first):
        ranks = {
            name: member.get_admin('/dump')['replica']['rank']
            for name, member in fleet.members.items()
        }
        watchers = [name for name, rank in ranks.items() if rank < 3]
        assert len(watchers) == 3
        kill_daemons(fleet.members[name] for name in watchers)
        second = build_release(2, first.digest, timeout_ms=2)
        fleet.publish(second)
        others = set(fleet.members).difference(watchers)
        fleet.wait_in_force(2, others, CONVERGENCE_S)


def test_leaving_daemon_is_announced_in_seconds() -> None:
    with running_fleet(4, 3) as (fleet, _):
        leaver = fleet.members['sous-1']
        assert leaver.daemon
        leaver.daemon.terminate()
        del fleet.members['sous-1']
        wait_until(
            lambda: all(
                'sous-1'
                in member.get_admin('/dump')['replica']['hosts']['leaving']
                for member in fleet.members.values()
            ),
            5,
            'the notice everywhere',
        )
        assert leaver.daemon.wait(10) == 0


@pytest.fixture(scope='module')
def split() -> Iterator[PartitionedFleet]:
    with running_split(6, 0) as (partitioned, _):
        yield partitioned


@pytest.mark.parametrize(
    ('number', 'faults'),
    [
        (2, DirectionFaults(corrupt_after=0)),
        (3, DirectionFaults(corrupt_after=600)),
        (4, DirectionFaults(close_after=600)),
        (5, DirectionFaults(bytes_per_s=2_000, delay_ms=100)),
    ],
    ids=['corrupt', 'corrupt later', 'truncated', 'slow'],
)
def test_releases_propagate_despite_damaged_exchanges(
    split: PartitionedFleet,
    number: int,
    faults: DirectionFaults,
) -> None:
    fleet = split.fleet
    before = in_force(fleet)
    failures_before = failures(fleet)
    with FleetObserver(fleet) as observer:
        for member in fleet.members.values():
            split.proxy.set_rules(
                link_name(member, 'exchange_port'),
                LinkRule(to_client=faults),
            )
        release = build_release(number, timeout_ms=number)
        fleet.publish(release)
        wait_until(
            lambda: release.digest in in_force(fleet),
            CONVERGENCE_S,
            'the release on a watcher',
        )
        if not faults.bytes_per_s:
            wait_until(
                lambda: any(map(operator.lt, failures_before, failures(fleet))),
                CONVERGENCE_S,
                'failed exchanges',
            )
        split.heal()
        wait_everywhere(fleet, release.digest)
    assert observer.digests() == {*before, release.digest}
    assert not observer.regressions()


def failures(fleet: Fleet) -> list[int]:
    """Returns the number of failed exchanges of each daemon."""
    return [
        member.get_admin('/dump')['counters']['exchange_failures']
        for member in fleet.members.values()
    ]


def in_force(fleet: Fleet) -> set[str]:
    """Returns the digests that any daemon has in force."""
    return {status['digest'] for status in statuses(fleet).values()}


def member_answers(fleet: Fleet) -> list[bool]:
    """Returns for each host whether a call through it gets status 200."""
    return [
        member.call('GET', '/kits').status == 200
        for member in fleet.members.values()
    ]


def has_conflict(status: Any, winner: str, loser: str) -> bool:
    """Returns whether a status has a conflict with this outcome."""
    return any(
        (conflict['winner'], conflict['loser'])
        == (shorten(winner), shorten(loser))
        for conflict in status['conflicts']
    )
