"""Tests of targets that leave while the links to the store are busy."""

import itertools
import math
import threading
import time
from collections.abc import Iterator

import pytest

from standins.platformfleet import (
    ORDERS_ROUTE,
    Member,
    PlatformFleet,
    platform_fleet,
)

HOSTS = 5
CALLERS_PER_HOST = 2
CALL_PAUSE_S = 0.04
# A link of 3.5 Mbit/s, as the narrowest hosts of the users have.
LINK_BYTES_PER_S = 437_500
ROUTES = 1_100
WRITE_INTERVAL_S = 0.25
# Time after the start in which the daemons finish their first reads, seconds.
SETTLING_S = 1
# Time for which a configuration is written before the targets say that they
# leave, and time that the test goes on after the bound, seconds.
BUSY_BEFORE_S = 4
OBSERVED_S = 2
# The rule of the users: no call reaches a target later than this after the
# store acknowledged that it leaves, seconds.
DRAIN_S = 3
MS_PER_S = 1_000
# Time before the entries are written in which the targets must be in use.
IN_USE_S = 1


class Load:
    """Callers that send one request after the other to each daemon."""

    def __init__(self, members: list[Member]) -> None:
        self.numbers = itertools.count()
        self.stopped = threading.Event()
        self.threads = [
            threading.Thread(target=self.run, args=(member,))
            for member in members
            for _ in range(CALLERS_PER_HOST)
        ]

    def __enter__(self) -> 'Load':
        for thread in self.threads:
            thread.start()
        return self

    def __exit__(self, *_details: object) -> None:
        self.stopped.set()
        for thread in self.threads:
            thread.join()

    def run(self, member: Member) -> None:
        """Sends requests until the load is stopped."""
        while not self.stopped.wait(CALL_PAUSE_S):
            headers = {
                'Host': 'one.example',
                'Request_Id': f'id-{next(self.numbers)}',
                'Deadline_Ms': '1500',
            }
            member.send_request('/a/x', **headers)


def write_large_configuration(fleet: PlatformFleet, version: int) -> None:
    """Writes a configuration of many routes, one of which has changed."""
    routes = {
        f'orders-{number}': {**ORDERS_ROUTE, 'host': f'{number}.shop.example'}
        for number in range(ROUTES)
    }
    routes['orders-0']['target-latency'] = f'{version}ms'
    fleet.configure(version, orders=ORDERS_ROUTE, **routes)


class Writer:
    """An operator who changes a large configuration again and again."""

    def __init__(self, fleet: PlatformFleet) -> None:
        self.fleet = fleet
        self.stopped = threading.Event()
        self.thread = threading.Thread(target=self.run)

    def __enter__(self) -> 'Writer':
        self.thread.start()
        return self

    def __exit__(self, *_details: object) -> None:
        self.stopped.set()
        self.thread.join()

    def run(self) -> None:
        """Writes configurations until the writer is stopped."""
        for version in itertools.count(2):
            write_large_configuration(self.fleet, version)
            if self.stopped.wait(WRITE_INTERVAL_S):
                return


def calls_between(member: Member, begin: float, end: float) -> list[float]:
    """Returns when calls reached a member's target in a span, seconds.

    Health checks don't count; they have no request id.
    """
    received = zip(member.arrivals, member.requests_received, strict=False)
    return [
        arrival
        for arrival, headers in received
        if 'request-id' in headers and begin <= arrival < end
    ]


def leave(fleet: PlatformFleet, member: Member, state: str | None) -> float:
    """Makes a target leave; returns when the store knew it, seconds.

    Args:
        fleet: The hosts.
        member: The host of the target.
        state: The state that its entry says, None to delete the entry.
    """
    content = member.store_record(state) if state else None
    fleet.store.write(f'servers/{member.instance}', content)
    return time.monotonic()


def late_calls(member: Member, left: float) -> list[int]:
    """Returns when calls came after the bound, ms since the target left."""
    arrivals = calls_between(member, left + DRAIN_S, math.inf)
    return [round((arrival - left) * MS_PER_S) for arrival in arrivals]


@pytest.fixture(name='fleet', scope='module')
def start_fleet(
    tmp_path_factory: pytest.TempPathFactory,
) -> Iterator[PlatformFleet]:
    folder = tmp_path_factory.mktemp('fleet')
    services = ['orders'] * HOSTS
    with platform_fleet(folder, services, LINK_BYTES_PER_S) as fleet:
        yield fleet


@pytest.fixture(name='left_at', scope='module')
def play(fleet: PlatformFleet) -> dict[str, float]:
    """Makes two targets leave beside calls and large configurations."""
    time.sleep(SETTLING_S)
    staying, draining, deleted = fleet.members[:-2], *fleet.members[-2:]
    with Load(fleet.members), Writer(fleet):
        time.sleep(BUSY_BEFORE_S)
        left_at = {
            'draining': leave(fleet, draining, 'draining'),
            'deleted': leave(fleet, deleted, None),
        }
        time.sleep(DRAIN_S + OBSERVED_S)
        ended = time.monotonic()
    for member, left in zip(fleet.members[-2:], left_at.values(), strict=True):
        assert calls_between(member, left - IN_USE_S, left)
    # The calls went on elsewhere.
    for member in staying:
        assert calls_between(member, ended - OBSERVED_S, ended)
    return left_at


# Failure: the news that a target leaves waited in the store's answers behind
# configurations, and daemons called the target over 3 s after it.
def test_a_leaving_target_gets_no_late_calls_beside_large_configurations(
    fleet: PlatformFleet, left_at: dict[str, float]
) -> None:
    assert late_calls(fleet.members[-2], left_at['draining']) == []


# Failure: the same for a deleted entry; and a daemon that gave up such answers
# took the store for unreachable, and kept the target for 2.5 s more.
def test_a_target_without_entry_gets_no_late_calls_beside_large_configurations(
    fleet: PlatformFleet, left_at: dict[str, float]
) -> None:
    assert late_calls(fleet.members[-1], left_at['deleted']) == []
