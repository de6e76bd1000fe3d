"""Tests of the age that daemons report for the records they hold."""

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

PORT_NAMES = ('callers', 'peers', 'readiness', 'metrics', 'target')
HOSTS = 5
DELAY = DirectionFaults(delay_ms=100)
FAST_BYTES_PER_S = 1e9
SILENT_BYTES_PER_S = 1
SILENCE_S = 4
# Time in which an answer that the store had sent may still arrive.
SLACK_S = 0.5
AGE_METRIC = 'egretlanding_records_age{'


@pytest.fixture(name='proxy')
def start_proxy() -> Iterator[FaultProxy]:
    proxy = FaultProxy.start()
    yield proxy
    proxy.close()


@pytest.fixture(name='fleet')
def start_fleet(proxy: FaultProxy, tmp_path: Path) -> Iterator[PlatformFleet]:
    ports = free_ports(PORT_NAMES)
    members = [
        Member(
            f'127.0.0.{number}',
            'orders',
            ports,
            advertised_address=f'127.0.1.{number}',
        )
        for number in range(11, 11 + HOSTS)
    ]
    fleet = PlatformFleet(
        Store(), members, tmp_path, link_bytes_per_s=FAST_BYTES_PER_S
    )
    for member in members:
        fleet.store.write(f'servers/{member.instance}', member.store_record())
    fleet.configure(1, orders=ORDERS_ROUTE)
    try:
        start_daemons(fleet, proxy)
        yield fleet
    finally:
        for member in members:
            member.close()
        fleet.store.close()


def start_daemons(fleet: PlatformFleet, proxy: FaultProxy) -> None:
    """Starts daemons whose bytes to one another are delayed."""
    for member in fleet.members:
        open_link(proxy, member, 'target')
        open_link(proxy, member, 'peers')
        rule = LinkRule(to_server=DELAY, to_client=DELAY)
        proxy.set_rules(link_name(member, 'peers'), rule)
        fleet.start_process(member)
    for member in fleet.members:
        wait_until(member.is_ready, START_TIMEOUT_S)


def open_link(proxy: FaultProxy, member: Member, port_name: str) -> None:
    """Opens the link from a port of an advertised address to the host."""
    port = member.ports[port_name]
    proxy.open_link(
        LinkRequest(
            name=link_name(member, port_name),
            target_port=port,
            target_address=member.address,
            port=port,
            address=member.advertised_address,
        )
    )


def link_name(member: Member, port_name: str) -> str:
    """Returns the name of the link to a port of a host."""
    return f'{member.address}-{port_name}'


def records_age(member: Member) -> float:
    """Returns the least age of a topic by the metrics of a daemon, seconds."""
    answer = member.send_request('/metrics', 'metrics')
    lines = answer[1].decode().splitlines()
    return min(
        float(line.rpartition(' ')[2])
        for line in lines
        if line.startswith(AGE_METRIC)
    )


# Failure: daemons that told one another the age of their records left out the
# time in transit, took their records for current for seconds after the last
# answer of the store, and so didn't read the store themselves.
def test_the_age_of_records_grows_while_the_store_is_silent(
    fleet: PlatformFleet,
) -> None:
    for link in fleet.store.links:
        assert link.bandwidth
        link.bandwidth.bytes_per_s = SILENT_BYTES_PER_S
    silent_since = time.monotonic()
    time.sleep(SILENCE_S)
    silence_s = time.monotonic() - silent_since
    ages = [records_age(member) for member in fleet.members]
    assert min(ages) >= silence_s - SLACK_S, ages
