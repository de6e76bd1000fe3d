"""Tests that news of the store arrives in time over narrow links."""

import operator
import time
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import attrs
import pytest

from standins.platformfleet import (
    ORDERS_ROUTE,
    Member,
    PlatformFleet,
    platform_fleet,
)

# Time within which a confirmed configuration is in force on all hosts.
IN_FORCE_S = 3
# Time after the last change at which the test stops waiting, seconds.
GIVE_UP_S = 4
HOSTS = 5
ROUTES = 1_000
FIRST_VERSION = 2
LAST_VERSION = 17
CHANGE_INTERVAL_S = 0.25
LINK_BYTES_PER_S = 3_500_000 / 8
POLL_S = 0.1
CALL_HEADERS = {
    'Host': 'one.example',
    'Request_Id': 'id-1',
    'Deadline_Ms': '2000',
}


@attrs.frozen
class Arrival:
    """When a host first served the route that a version added.

    Attributes:
        host: The host's address.
        version: The version.
        delay_s: Time since the version was confirmed, seconds; infinite if
            the host did not serve the route in time.
    """

    host: str
    version: int
    delay_s: float


@pytest.fixture(name='fleet')
def start_fleet(tmp_path: Path) -> Iterator[PlatformFleet]:
    services = ['orders'] * HOSTS
    with platform_fleet(tmp_path, services, LINK_BYTES_PER_S) as fleet:
        yield fleet


def publish(fleet: PlatformFleet, version: int) -> None:
    """Publishes a configuration that adds a route to the one before."""
    unchanged = {
        f'unchanged-{number}': {
            **ORDERS_ROUTE,
            'host': f'host-{number}.example',
            'prefix': f'/unchanged/{number}/',
        }
        for number in range(ROUTES)
    }
    added = {
        f'added-{number}': {**ORDERS_ROUTE, 'prefix': f'/added-{number}/'}
        for number in range(FIRST_VERSION, version + 1)
    }
    fleet.configure(version, orders=ORDERS_ROUTE, **unchanged, **added)


def publish_changes(
    fleet: PlatformFleet, confirmed_at: dict[int, float]
) -> None:
    """Publishes all versions.

    Args:
        fleet: The hosts.
        confirmed_at: Filled with when each version was confirmed, monotonic
            seconds.
    """
    for version in range(FIRST_VERSION, LAST_VERSION + 1):
        due = time.monotonic() + CHANGE_INTERVAL_S
        publish(fleet, version)
        confirmed_at[version] = time.monotonic()
        time.sleep(max(0, due - time.monotonic()))


def watch_routes(
    member: Member, confirmed_at: dict[int, float]
) -> dict[int, float]:
    """Returns when a host first served the route that each version added.

    Args:
        member: The host.
        confirmed_at: When each version published so far was confirmed.
    """
    served_at: dict[int, float] = {}
    version = FIRST_VERSION
    while version <= LAST_VERSION and not is_over(confirmed_at):
        answer = member.send_request(f'/added-{version}/x', **CALL_HEADERS)
        if answer[0] == 200:
            served_at[version] = time.monotonic()
            version += 1
        else:
            time.sleep(POLL_S)
    return served_at


def is_over(confirmed_at: dict[int, float]) -> bool:
    """Returns whether the last version was confirmed long ago."""
    last_at = confirmed_at.get(LAST_VERSION, float('inf'))
    return time.monotonic() > last_at + GIVE_UP_S


# Failure: over links that carry fewer bytes than the changes of a busy time,
# a confirmed configuration was not in force on any host for seconds.
def test_each_version_is_in_force_in_time_over_narrow_links(
    fleet: PlatformFleet,
) -> None:
    confirmed_at: dict[int, float] = {}
    with ThreadPoolExecutor(HOSTS) as threads:
        watches = [
            threads.submit(watch_routes, member, confirmed_at)
            for member in fleet.members
        ]
        publish_changes(fleet, confirmed_at)
        served_at = [watch.result() for watch in watches]
    arrivals = [
        Arrival(
            member.address,
            version,
            served.get(version, float('inf')) - confirmed_at[version],
        )
        for member, served in zip(fleet.members, served_at, strict=True)
        for version in confirmed_at
    ]
    late = [arrival for arrival in arrivals if arrival.delay_s > IN_FORCE_S]
    worst = max(arrivals, key=operator.attrgetter('delay_s'))
    assert not late, (
        f'{len(late)} of {len(arrivals)} arrivals took over {IN_FORCE_S} s; '
        f'worst: {worst}; first: {late[0]}'
    )
