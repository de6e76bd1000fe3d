"""Tests of a simulated fleet with pauses, outages, splits and restarts."""

from collections import Counter

import pytest

from egretlanding.membership import HostStatus
from egretlanding.watchers import WATCHERS_PER_REGION, ranked_limit
from lab.fleet import SimulatedFleet
from lab.model import FleetModel
from lab.store import STORE

SIZE = 48
SETTLE_TIME_S = 40
NO_HOSTS: list[str] = []
MAX_CONVERGENCE_S = 13
MAX_NOTICE_TIME_S = 3


@pytest.fixture(params=[1, 2, 3])
def fleet(request: pytest.FixtureRequest) -> SimulatedFleet:
    """Returns a fleet in which all daemons hold the first release."""
    fleet = SimulatedFleet.from_size(SIZE, request.param)
    fleet.model.publish_hosts(fleet.hosts)
    fleet.publish_change()
    fleet.start_all()
    fleet.model.advance(SETTLE_TIME_S + request.param)
    assert fleet.count_outdated() == 0
    return fleet


def watchers(fleet: SimulatedFleet, region: str) -> tuple[str, ...]:
    rankings = {
        replica.watch_duty.ranking
        for replica in fleet.model.replicas.values()
        if replica.config.host.region == region
    }
    assert len(rankings) == 1
    return rankings.pop()[:WATCHERS_PER_REGION]


def outdated_hosts(fleet: SimulatedFleet) -> list[str]:
    return [
        host_id
        for host_id, replica in fleet.model.replicas.items()
        if host_id not in fleet.model.paused
        and replica.releases.position.number < fleet.number
    ]


def test_watchers_are_in_different_failure_domains(
    fleet: SimulatedFleet,
) -> None:
    for region in ('west', 'east'):
        domains = {
            fleet.network.hosts[host_id].failure_domain
            for host_id in watchers(fleet, region)
        }
        assert len(domains) == WATCHERS_PER_REGION


@pytest.mark.parametrize('regions', [('west',), ('east',), ('west', 'east')])
def test_paused_watchers_are_replaced(
    fleet: SimulatedFleet,
    regions: tuple[str, ...],
) -> None:
    for region in regions:
        for host_id in watchers(fleet, region):
            fleet.model.pause(host_id)
    fleet.publish_change()
    fleet.model.advance(MAX_CONVERGENCE_S)
    assert outdated_hosts(fleet) == NO_HOSTS


def test_standby_watchers_stop_when_the_watchers_resume(
    fleet: SimulatedFleet,
) -> None:
    paused = watchers(fleet, 'west') + watchers(fleet, 'east')
    for host_id in paused:
        fleet.model.pause(host_id)
    fleet.model.advance(60)
    for host_id in paused:
        fleet.model.resume(host_id)
    fleet.model.advance(60)
    fleet.model.sent.clear()
    fleet.model.advance(60)
    readers = {target for source, target in fleet.model.sent if source == STORE}
    assert readers == set(paused)


def test_a_store_outage_adds_few_watchers(fleet: SimulatedFleet) -> None:
    fleet.model.store.down = True
    fleet.model.store.reads.clear()
    fleet.model.advance(600)
    readers = sum(
        replica.watch_duty.attempted_at > fleet.model.now - 60
        for replica in fleet.model.replicas.values()
    )
    assert 2 * WATCHERS_PER_REGION <= readers <= 2 * ranked_limit()
    assert max(fleet.model.store.reads.values()) <= readers
    fleet.model.store.down = False
    fleet.publish_change()
    fleet.model.advance(MAX_CONVERGENCE_S)
    assert outdated_hosts(fleet) == NO_HOSTS


def test_regions_converge_after_a_split(fleet: SimulatedFleet) -> None:
    unsplit_delays = fleet.network.delays
    fleet.model.delays = lambda source, target, size: (
        []
        if fleet.network.is_link(source, target)
        else unsplit_delays(source, target, size)
    )
    fleet.publish_change()
    fleet.model.advance(120)
    east = [host.host_id for host in fleet.hosts if host.region == 'east']
    assert sorted(outdated_hosts(fleet)) == sorted(east)
    fleet.model.delays = unsplit_delays
    fleet.model.advance(MAX_CONVERGENCE_S)
    assert outdated_hosts(fleet) == NO_HOSTS


def test_leaving_host_is_known_before_the_host_list_changes(
    fleet: SimulatedFleet,
) -> None:
    leaving = fleet.hosts[7].host_id
    replicas = fleet.model.replicas
    replicas[leaving].announce_leaving(fleet.model.now)
    fleet.model.advance(MAX_NOTICE_TIME_S)
    statuses = {
        replica.membership.status(leaving, fleet.model.now)
        for replica in replicas.values()
    }
    assert statuses == {HostStatus.LEAVING}
    fleet.model.start(leaving)
    fleet.model.advance(30)
    assert not any(
        replica.membership.is_leaving(leaving, fleet.model.now)
        for replica in replicas.values()
    )


def test_a_resumed_daemon_is_ready_only_with_the_newest_release(
    fleet: SimulatedFleet,
) -> None:
    host_id = fleet.hosts[9].host_id
    replica = fleet.model.replicas[host_id]
    fleet.model.pause(host_id)
    fleet.publish_change()
    fleet.model.advance(300)
    age_s = replica.freshness.confirmed_age(fleet.model.now)
    assert age_s >= 300
    fleet.model.resume(host_id)
    assert not replica.is_ready(fleet.model.now)
    while not replica.is_ready(fleet.model.now):
        fleet.model.advance(0.05)
    assert replica.releases.position.number == fleet.number


def test_a_daemon_restarts_within_seconds_during_a_store_outage(
    fleet: SimulatedFleet,
) -> None:
    host_id = fleet.hosts[9].host_id
    fleet.model.store.down = True
    fleet.model.start(host_id)
    fleet.model.advance(5)
    replica = fleet.model.replicas[host_id]
    assert replica.is_ready(fleet.model.now)
    assert replica.releases.position.number == fleet.number


def test_each_release_crosses_the_link_few_times(
    fleet: SimulatedFleet,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    crossings = Counter()
    receive_release = FleetModel._on_release_reply

    def count_crossings(model, replica, update, source):
        host_id = replica.config.host.host_id
        crossings[update.revision] += fleet.network.is_link(source, host_id)
        receive_release(model, replica, update, source)

    monkeypatch.setattr(FleetModel, '_on_release_reply', count_crossings)
    for _ in range(10):
        fleet.publish_change()
        fleet.model.advance(2)
    assert outdated_hosts(fleet) == NO_HOSTS
    assert max(crossings.values()) <= WATCHERS_PER_REGION
