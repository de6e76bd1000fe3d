"""Tests that targets whose entries were deleted get no more calls."""

import socket
import time
from collections.abc import Iterator
from pathlib import Path

import pytest

from egretlanding.frames import (
    AnyFrame,
    CallReply,
    CallRequest,
    Hello,
    Ran,
    decode_frame,
    encode_frame,
)
from standins.platformfleet import (
    ORDERS_ROUTE,
    START_TIMEOUT_S,
    Member,
    PlatformFleet,
    platform_fleet,
    wait_until,
)

# The rule of the users: no call reaches a target later than this after the
# store acknowledged that it leaves, seconds.
DRAIN_S = 3
LENGTH_BYTES = 4
REPLY_TIMEOUT_S = 3
REQUEST_ID = 'from-a-daemon'
NEW_ROUTE = {**ORDERS_ROUTE, 'prefix': '/b/'}
CALLS = 40


@pytest.fixture(name='fleet')
def start_fleet(tmp_path: Path) -> Iterator[PlatformFleet]:
    with platform_fleet(tmp_path, ['orders', 'orders']) as fleet:
        yield fleet


def write_frame(connection: socket.socket, frame: AnyFrame) -> None:
    """Sends one frame to a daemon."""
    encoded = encode_frame(frame)
    length = len(encoded).to_bytes(LENGTH_BYTES, 'big')
    connection.sendall(length + encoded)


def read_reply(connection: socket.socket) -> CallReply:
    """Reads frames of a daemon up to its reply to a call."""
    with connection.makefile('rb') as stream:
        while True:
            length = int.from_bytes(stream.read(LENGTH_BYTES), 'big')
            frame = decode_frame(stream.read(length))
            if isinstance(frame, CallReply):
                return frame


def call_as_daemon(member: Member) -> CallReply:
    """Sends a call like a daemon that has not heard that the target left."""
    call = CallRequest(
        call_id=1,
        method='GET',
        path='/a/x',
        headers=[('host', 'one.example'), ('request-id', REQUEST_ID)],
        body=b'',
        route='r-orders',
        remaining_ms=1_500,
        short_wait_ms=500,
        idempotent=True,
        instance=member.instance,
    )
    address = (member.address, member.ports['peers'])
    with socket.create_connection(address, REPLY_TIMEOUT_S) as connection:
        write_frame(connection, Hello('127.0.0.99', 1))
        write_frame(connection, call)
        return read_reply(connection)


# Failure: a daemon that knew that the entry of the target beside it was
# deleted passed calls on to it, as long as other daemons sent any.
@pytest.mark.parametrize('state', ['draining', 'deleted'])
def test_the_daemon_beside_a_target_that_left_passes_no_calls_on(
    fleet: PlatformFleet, state: str
) -> None:
    leaving = fleet.members[1]
    assert call_as_daemon(leaving).ran is Ran.YES
    content = None if state == 'deleted' else leaving.store_record(state)
    fleet.store.write(f'servers/{leaving.instance}', content)
    time.sleep(DRAIN_S)
    leaving.arrivals.clear()
    reply = call_as_daemon(leaving)
    assert (reply.ran, len(leaving.arrivals)) == (Ran.NOT_RUN, 0)


def restart_all(
    fleet: PlatformFleet, members: list[Member], entry: str
) -> None:
    """Deletes an entry of the store while the daemons of some hosts are down.

    Args:
        fleet: The hosts.
        members: The hosts whose daemons are stopped and started again.
        entry: The key of the entry.
    """
    for member in members:
        assert member.process
        member.process.kill()
        member.process.wait()
    fleet.store.write(entry, None)
    for member in members:
        fleet.start(member)


# Failure: daemons that had listed the store after a deletion sent later changes
# without it to a daemon that was behind, which kept the deleted target.
def test_a_daemon_that_was_behind_hears_of_a_deleted_target(
    tmp_path: Path,
) -> None:
    with platform_fleet(tmp_path, ['orders'] * 3) as fleet:
        # A store that was never restored, from the start of all daemons.
        fleet.store.era = 0
        behind, leaving, staying = fleet.members
        restart_all(fleet, [behind, leaving, staying], 'servers/none')
        assert behind.process
        behind.process.kill()
        behind.process.wait()
        unavailable = fleet.store.unavailable_server.server_port
        seeds = [f'{leaving.address}:{leaving.ports["peers"]}']
        behind.start(unavailable, seeds, tmp_path)
        wait_until(behind.is_ready, START_TIMEOUT_S)
        entry = f'servers/{leaving.instance}'
        restart_all(fleet, [leaving, staying], entry)
        fleet.configure(2, orders=ORDERS_ROUTE, new=NEW_ROUTE)
        headers = {'Host': 'one.example', 'Deadline_Ms': '1500'}
        wait_until(
            lambda: behind.send_request('/b/x', **headers)[0] == 200,
            REPLY_TIMEOUT_S,
        )
        time.sleep(DRAIN_S)
        leaving.arrivals.clear()
        for number in range(CALLS):
            headers['Request_Id'] = f'id-{number}'
            behind.send_request('/a/x', **headers)
        assert not leaving.arrivals
