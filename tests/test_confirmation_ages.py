"""Tests that what daemons tell one another of the store doesn't get younger."""

import time
from collections.abc import Iterator
from pathlib import Path

import pytest

from standins.faults import DirectionFaults, LinkRequest, LinkRule
from standins.platformfleet import (
    ORDERS_ROUTE,
    START_TIMEOUT_S,
    Member,
    PlatformFleet,
    Store,
    free_ports,
    wait_until,
)
from standins.proxyprocess import FaultProxy

PORTS = ('callers', 'peers', 'readiness', 'metrics', 'target')
NEW_ROUTE = {**ORDERS_ROUTE, 'prefix': '/new/'}
SLOW = DirectionFaults(delay_ms=150)
SLOW_LINK = LinkRule(to_server=SLOW, to_client=SLOW)
# Age of a configuration from which on a daemon can't deny a route, seconds.
BOUND_S = 1.5
# Time that an answer of the store may have been on its way, seconds.
MARGIN_S = 0.5
WATCHED_S = 1
APPLY_TIMEOUT_S = 5


@pytest.fixture(name='proxy')
def start_proxy() -> Iterator[FaultProxy]:
    proxy = FaultProxy.start()
    yield proxy
    proxy.close()


@pytest.fixture(name='fleet')
def start_fleet(tmp_path: Path, proxy: FaultProxy) -> Iterator[PlatformFleet]:
    ports = free_ports(PORTS)
    members = [
        Member(
            f'127.0.2.{number}',
            service,
            ports,
            advertised_address=f'127.0.3.{number}',
        )
        for number, service in enumerate(('front', 'orders', 'orders'), 1)
    ]
    fleet = PlatformFleet(Store(), members, tmp_path)
    for member in members:
        fleet.store.write(f'servers/{member.instance}', member.store_record())
        for name in ('peers', 'target'):
            proxy.open_link(
                LinkRequest(
                    name=f'{name}-{member.address}',
                    target_port=ports[name],
                    target_address=member.address,
                    port=ports[name],
                    address=member.advertised_address,
                )
            )
    fleet.configure(1, orders=ORDERS_ROUTE)
    try:
        for member in members:
            member.start(
                fleet.store.server.server_port, fleet.seeds(), tmp_path
            )
        for member in members:
            wait_until(member.is_ready, START_TIMEOUT_S)
        yield fleet
    finally:
        for member in members:
            member.close()
        fleet.store.close()


def statuses(fleet: PlatformFleet, path: str) -> set[int]:
    """Returns the statuses of the answers of all daemons to a path."""
    headers = {
        'Host': 'one.example',
        'Request_Id': 'id-1',
        'Deadline_Ms': '2000',
    }
    return {member.send_request(path, **headers)[0] for member in fleet.members}


# Failure: daemons that were slow to reach told one another, again and again,
# that the store had just confirmed their records, though it had answered none
# of them for seconds. They denied routes that had been added meanwhile.
def test_a_confirmation_does_not_get_younger_on_its_way(
    fleet: PlatformFleet, proxy: FaultProxy
) -> None:
    for member in fleet.members:
        proxy.set_rules(f'peers-{member.address}', SLOW_LINK)
    time.sleep(1)
    with fleet.store.events_added:
        fleet.configure(2, orders=ORDERS_ROUTE, new=NEW_ROUTE)
        time.sleep(BOUND_S + MARGIN_S)
        end = time.monotonic() + WATCHED_S
        seen = set()
        while time.monotonic() < end:
            seen |= statuses(fleet, '/new/x')
    assert seen == {503}
    wait_until(lambda: statuses(fleet, '/new/x') == {200}, APPLY_TIMEOUT_S)
