"""Tests that a store that turns daemons away is told from one that is down."""

import time
from collections.abc import Iterator
from pathlib import Path

import pytest

from standins.platformfleet import (
    START_TIMEOUT_S,
    Member,
    PlatformFleet,
    platform_fleet,
    wait_until,
)

# The rule of the users: no call reaches a target later than this after the
# store acknowledged that it leaves, seconds.
DRAIN_S = 2
SENDING_S = 1
# Time after its start in which a daemon may hear of an earlier outage, seconds.
SETTLING_S = 3
OUTAGE_S = 3
# Time after its return by which the store has the entries of all targets that
# run, less the time that daemons take to notice its return, seconds.
RETURN_S = 1


@pytest.fixture(name='fleet')
def start_fleet(tmp_path: Path) -> Iterator[PlatformFleet]:
    with platform_fleet(tmp_path, ['front', 'orders', 'orders']) as fleet:
        yield fleet


def turn_away(fleet: PlatformFleet, member: Member) -> None:
    """Starts a daemon again that the store turns away."""
    assert member.process
    member.process.kill()
    member.process.wait()
    port = fleet.store.unavailable_server.server_port
    member.start(port, fleet.seeds(), fleet.folder)
    wait_until(member.is_ready, START_TIMEOUT_S)


# Failure: daemons that the store turned away, and those that got their records
# from them, went on sending calls to a target whose entry was deleted.
def test_a_target_that_left_gets_no_calls_of_daemons_that_are_turned_away(
    fleet: PlatformFleet,
) -> None:
    front, leaving, staying = fleet.members
    turn_away(fleet, front)
    turn_away(fleet, leaving)
    time.sleep(SETTLING_S)
    fleet.store.write(f'servers/{leaving.instance}', None)
    time.sleep(DRAIN_S)
    leaving.arrivals.clear()
    staying.arrivals.clear()
    headers = {'Host': 'one.example', 'Deadline_Ms': '1500'}
    ends_at = time.monotonic() + SENDING_S
    while time.monotonic() < ends_at:
        for member in (front, leaving):
            member.send_request('/a/x', Request_Id='id-1', **headers)
    assert not leaving.arrivals
    assert staying.arrivals


# An outage for all is still told from this: an entry that lapsed in it is
# written again soon, and its target must not be left out until then.
def test_a_target_whose_entry_lapsed_in_an_outage_for_all_is_used_on(
    fleet: PlatformFleet,
) -> None:
    front, lapsed, gone = fleet.members
    time.sleep(SETTLING_S)
    fleet.store.refuses = True
    time.sleep(OUTAGE_S)
    for member in (lapsed, gone):
        fleet.store.write(f'servers/{member.instance}', None)
    fleet.store.refuses = False
    headers = {'Host': 'one.example', 'Deadline_Ms': '1500'}
    ends_at = time.monotonic() + RETURN_S
    while time.monotonic() < ends_at:
        answer = front.send_request('/a/x', Request_Id='id-1', **headers)
        assert answer[0] == 200
    fleet.store.write(f'servers/{lapsed.instance}', lapsed.store_record())
    time.sleep(DRAIN_S)
    gone.arrivals.clear()
    for _ in range(20):
        answer = front.send_request('/a/x', Request_Id='id-1', **headers)
        assert answer[0] == 200
    assert not gone.arrivals
