"""Tests of distribution with real processes, under failure."""

import operator
import signal
import time
from collections.abc import Iterator
from typing import Any

import pytest

from egretlanding.release import shorten
from standins.faults import Flow, Rule
from standins.fleet import Fleet, wait_until
from standins.splits import SplitFleet, link_name
from tests.controlfleet import (
    CONVERGENCE_S,
    FAR,
    NEAR,
    FleetObserver,
    build_release,
    freeze_store,
    kill,
    publish_damaged,
    store_reads,
    running,
    running_split,
    statuses,
    wait_everywhere,
    wait_refused,
)

READS_PER_DAEMON_AND_S = 1
COUNTED_S = 10
PAUSE_S = 4


def test_good_releases_get_everywhere_and_bad_ones_nowhere() -> None:
    with running(5, 3) as (fleet, first), FleetObserver(fleet) as witness:
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
    assert witness.digests() == {first.digest, good.digest}
    assert not witness.regressions()


def test_outage_and_stale_store_pull_nobody_back() -> None:
    with (
        running(3, 2, targets=True) as (fleet, first),
        FleetObserver(fleet) as witness,
    ):
        freeze_store(fleet)
        second = build_release(2, first.digest, timeout_ms=2_000)
        fleet.publish(second)
        wait_everywhere(fleet, second.digest)
        fleet.set_faults(stale=True)
        old = set(witness.ready)
        restarted = [fleet.members['casa-0'], fleet.members['sous-0']]
        kill(restarted)
        for member in restarted:
            member.start_daemon()
        wait_everywhere(fleet, second.digest, timeout_s=25)
        fleet.set_faults(stale=False, outage=True)
        kill(restarted[:1])
        restarted[0].start_daemon()
        wait_everywhere(fleet, second.digest, timeout_s=25)
        ages = [found['confirmed_age_s'] for found in statuses(fleet).values()]
        assert all(member_answers(fleet))
        time.sleep(1)
        later = [found['confirmed_age_s'] for found in statuses(fleet).values()]
        assert min(later) > min(ages)
        fleet.set_faults(outage=False)
        third = build_release(3, second.digest, timeout_ms=3)
        fleet.publish(third)
        wait_everywhere(fleet, third.digest)
    assert not witness.regressions()
    served = [
        digests for key, digests in witness.ready.items() if key not in old
    ]
    assert served
    assert all(first.digest not in digests for digests in served)


def test_herd_of_restarts_spares_the_store() -> None:
    with running(5, 4) as (fleet, _):
        second = build_release(2, timeout_ms=2)
        fleet.publish(second)
        wait_everywhere(fleet, second.digest)
        members = list(fleet.members.values())
        kill(members)
        before, began = store_reads(fleet), time.monotonic()
        for member in members:
            member.start_daemon()
        wait_everywhere(fleet, second.digest, timeout_s=40)
        time.sleep(COUNTED_S)
        taken_s = time.monotonic() - began
        bound = READS_PER_DAEMON_AND_S * taken_s * len(members)
        assert store_reads(fleet) - before < bound, (store_reads(fleet) - before, bound)


def test_woken_daemon_does_not_serve_its_old_release() -> None:
    with (
        running(5, 0, targets=True) as (fleet, first),
        FleetObserver(fleet) as witness,
    ):
        sleeper = fleet.members['casa-1']
        assert sleeper.call('GET', '/kits').status == 200
        sleeper.signal_daemon(signal.SIGSTOP)
        second = build_release(2, first.digest, routed=False)
        fleet.publish(second)
        awake = set(fleet.members).difference({sleeper.host_id})
        time.sleep(PAUSE_S)
        fleet.wait_in_force(2, awake, CONVERGENCE_S)
        sleeper.signal_daemon(signal.SIGCONT)
        # Without the route no call may reach a target any more.
        while sleeper.status()['number'] < 2:
            assert sleeper.call('GET', '/kits').status != 200
        wait_everywhere(fleet, second.digest)
        assert sleeper.call('GET', '/kits').status == 404
    assert not witness.regressions()


@pytest.mark.parametrize('way', ['cut', 'lose'])
def test_racing_releases_end_the_same_everywhere(way: str) -> None:
    with running_split(4, 4) as (split, first):
        fleet = split.fleet
        with FleetObserver(fleet) as witness:
            getattr(split, way)(NEAR, FAR)
            one = build_release(2, first.digest, timeout_ms=21)
            two = build_release(2, first.digest, timeout_ms=22)
            fleet.publish(one)
            wait_everywhere(fleet, one.digest)
            split.cut_store(FAR)
            fleet.publish(two)
            near = [member.host_id for member in split.members_in(NEAR)]
            wait_until(
                lambda: all(
                    statuses(fleet)[name]['digest'] == two.digest
                    for name in near
                ),
                CONVERGENCE_S,
                'the second release in its region',
            )
            split.heal()
            wait_everywhere(fleet, two.digest)
            wait_until(
                lambda: all(
                    has_conflict(found, two.digest, one.digest)
                    for found in statuses(fleet).values()
                ),
                CONVERGENCE_S,
                'the conflict in each status',
            )
        assert not witness.regressions()


def test_watchers_killed_are_replaced_in_seconds() -> None:
    with running(7, 0) as (fleet, first):
        ranks = {
            name: member.admin('/dump')['replica']['rank']
            for name, member in fleet.members.items()
        }
        watchers = [name for name, rank in ranks.items() if rank < 3]
        assert len(watchers) == 3
        kill(fleet.members[name] for name in watchers)
        second = build_release(2, first.digest, timeout_ms=2)
        fleet.publish(second)
        others = set(fleet.members).difference(watchers)
        fleet.wait_in_force(2, others, CONVERGENCE_S)


def test_leaving_daemon_is_known_in_seconds() -> None:
    with running(4, 3) as (fleet, _):
        leaver = fleet.members['sous-1']
        assert leaver.daemon
        leaver.daemon.terminate()
        del fleet.members['sous-1']
        wait_until(
            lambda: all(
                'sous-1' in member.admin('/dump')['replica']['hosts']['leaving']
                for member in fleet.members.values()
            ),
            5,
            'the notice everywhere',
        )
        assert leaver.daemon.wait(10) == 0


@pytest.fixture(scope='module')
def split() -> Iterator[SplitFleet]:
    with running_split(6, 0) as (fleet, _):
        yield fleet


@pytest.mark.parametrize(
    ('number', 'flow'),
    [
        (2, Flow(corrupt_after=0)),
        (3, Flow(corrupt_after=600)),
        (4, Flow(close_after=600)),
        (5, Flow(bytes_per_s=2_000, delay_ms=100)),
    ],
    ids=['corrupt', 'corrupt later', 'truncated', 'slow'],
)
def test_damaged_exchanges_are_survived(
    split: SplitFleet,
    number: int,
    flow: Flow,
) -> None:
    fleet = split.fleet
    before = in_force(fleet)
    past = failures(fleet)
    with FleetObserver(fleet) as witness:
        for member in fleet.members.values():
            split.proxy.set_rules(
                link_name(member, 'exchange_port'),
                Rule(to_client=flow),
            )
        release = build_release(number, timeout_ms=number)
        fleet.publish(release)
        wait_until(
            lambda: release.digest in in_force(fleet),
            CONVERGENCE_S,
            'the release on a watcher',
        )
        if not flow.bytes_per_s:
            wait_until(
                lambda: any(map(operator.lt, past, failures(fleet))),
                CONVERGENCE_S,
                'failed exchanges',
            )
        split.heal()
        wait_everywhere(fleet, release.digest)
    assert witness.digests() == {*before, release.digest}
    assert not witness.regressions()


def failures(fleet: Fleet) -> list[int]:
    """Returns the exchanges of each daemon that failed."""
    return [
        member.admin('/dump')['counters']['exchange_failures']
        for member in fleet.members.values()
    ]


def in_force(fleet: Fleet) -> set[str]:
    """Returns the digests that any daemon has in force."""
    return {found['digest'] for found in statuses(fleet).values()}


def member_answers(fleet: Fleet) -> list[bool]:
    """Tells of each host whether a call through it is answered."""
    return [
        member.call('GET', '/kits').status == 200
        for member in fleet.members.values()
    ]


def has_conflict(status: Any, winner: str, loser: str) -> bool:
    """Tells whether a status names the outcome of a conflict."""
    return any(
        (conflict['winner'], conflict['loser'])
        == (shorten(winner), shorten(loser))
        for conflict in status['conflicts']
    )
