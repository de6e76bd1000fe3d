"""Tests of daemon processes that use a stand-in for the platform's store."""

import itertools
import os
import signal
import subprocess
import sys
import threading
import time
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from http.client import HTTPConnection, HTTPException
from pathlib import Path

import pytest

from standins.platformfleet import (
    ORDERS_ROUTE,
    START_TIMEOUT_S,
    PlatformFleet,
    platform_fleet,
    wait_until,
)

HOST_HEADER = {'Host': 'one.example'}
APPLY_TIMEOUT_S = 2
GRACE_S = 6
# Time after SIGTERM for which callers still send requests, seconds.
SERVED_AFTER_STOP_S = 3


@pytest.fixture(name='fleet')
def start_fleet(tmp_path: Path) -> Iterator[PlatformFleet]:
    with platform_fleet(tmp_path, ['front', 'orders', 'orders']) as fleet:
        yield fleet


def send_to_daemon(
    fleet: PlatformFleet, number: int = 0, path: str = '/a/x', **headers
):
    """Sends a request to the daemon with this index; returns the answer."""
    sent = {
        'Request_Id': 'id-1',
        'Deadline_Ms': '3000',
        **HOST_HEADER,
        **headers,
    }
    return fleet.members[number].send_request(path, **sent)


def statuses(fleet: PlatformFleet, path: str) -> set[int]:
    """Returns the statuses of the answers of all daemons to a path."""
    return {send_to_daemon(fleet, number, path)[0] for number in range(3)}


def test_requests_are_routed_to_targets(fleet: PlatformFleet) -> None:
    front, *orders = fleet.members
    status, body, headers = send_to_daemon(fleet, Caller='forged')
    assert status == 200
    assert headers['server-stamp'] == 'stamp'
    receiver = next(member for member in orders if member.requests_received)
    assert body == receiver.address.encode()
    target_headers = {
        name.lower(): text
        for name, text in receiver.requests_received[0].items()
    }
    assert target_headers['caller'] == 'front'
    assert target_headers['request-id'] == 'id-1'
    assert target_headers['expect-instance'] == receiver.instance
    assert 0 < int(target_headers['deadline-ms']) <= 2_000
    assert send_to_daemon(fleet, path='/none/x')[0] == 404
    assert send_to_daemon(fleet, Host='two.example')[0] == 404
    assert not front.requests_received


def test_a_new_configuration_comes_into_force_at_all_daemons(
    fleet: PlatformFleet,
    tmp_path: Path,
) -> None:
    without_store = fleet.members[2]
    assert without_store.process
    without_store.process.kill()
    without_store.process.wait()
    without_store.start(
        fleet.store.unavailable_server.server_port, fleet.seeds(), tmp_path
    )
    wait_until(without_store.is_ready, START_TIMEOUT_S)
    fleet.configure(
        5, orders=ORDERS_ROUTE, added={**ORDERS_ROUTE, 'prefix': '/b/'}
    )
    wait_until(lambda: statuses(fleet, '/b/x') == {200}, APPLY_TIMEOUT_S)
    fleet.configure(4, orders=ORDERS_ROUTE)
    time.sleep(0.5)
    assert statuses(fleet, '/b/x') == {200}


def test_a_draining_target_gets_no_new_requests(fleet: PlatformFleet) -> None:
    _, leaving, staying = fleet.members
    key = f'servers/{leaving.instance}'
    fleet.store.write(key, leaving.store_record('draining'))
    time.sleep(1)
    leaving.requests_received.clear()
    assert {send_to_daemon(fleet)[0] for _ in range(10)} == {200}
    assert not leaving.requests_received
    assert staying.requests_received


def test_a_request_rejected_by_one_target_runs_at_another(
    fleet: PlatformFleet,
) -> None:
    _, rejecting, accepting = fleet.members
    rejecting.status = 503
    for _ in range(3):
        status, body, _ = send_to_daemon(fleet)
        assert (status, body) == (200, accepting.address.encode())


def test_an_address_with_another_process_is_not_used(
    fleet: PlatformFleet,
) -> None:
    _, changed, kept = fleet.members
    fleet.store.write(f'servers/{changed.instance}', None)
    fleet.store.write('servers/i-other', changed.store_record())
    time.sleep(0.5)
    for _ in range(4):
        status, body, _ = send_to_daemon(fleet)
        assert (status, body) == (200, kept.address.encode())
    assert not changed.requests_received


def test_a_reload_of_settings_does_not_stop_the_daemon(
    fleet: PlatformFleet,
) -> None:
    process = fleet.members[0].process
    assert process
    process.send_signal(signal.SIGHUP)
    time.sleep(0.5)
    assert process.poll() is None
    assert send_to_daemon(fleet)[0] == 200


# Failure: a signal ended the process while its modules were being loaded.
def test_signals_during_the_start_are_handled_after_it(
    fleet: PlatformFleet,
    tmp_path: Path,
) -> None:
    front = fleet.members[0]
    assert front.process
    front.process.kill()
    front.process.wait()
    settings = str(tmp_path / f'{front.address}.yaml')
    log = tmp_path / 'imports.log'
    process = subprocess.Popen(
        [sys.executable, '-X', 'importtime', '-m', 'egretlanding.platform'],
        env={**os.environ, 'EGRETLANDING_CONFIG': settings},
        stdout=subprocess.DEVNULL,
        stderr=log.open('wb'),
    )
    front.process = process
    wait_until(lambda: b'twisted' in log.read_bytes(), START_TIMEOUT_S)
    process.send_signal(signal.SIGHUP)
    wait_until(
        lambda: process.poll() is not None or front.is_ready(), START_TIMEOUT_S
    )
    assert process.poll() is None
    process.send_signal(signal.SIGTERM)
    assert process.wait(GRACE_S) == 0


def test_a_graceful_stop_ends_no_request_early(fleet: PlatformFleet) -> None:
    front, *orders = fleet.members
    assert front.process
    for member in orders:
        member.delay_s = 1
    answers: list[int] = []
    client = threading.Thread(
        target=lambda: answers.append(send_to_daemon(fleet)[0])
    )
    client.start()
    time.sleep(0.3)
    front.process.send_signal(signal.SIGTERM)
    wait_until(lambda: not front.is_ready(), 1)
    assert send_to_daemon(fleet)[0] == 200
    client.join()
    assert answers == [200]
    assert front.process.wait(8) == 0


class KeptConnection:
    """A connection of a caller to a daemon that stays open between requests."""

    def __init__(self, fleet: PlatformFleet, number: int) -> None:
        member = fleet.members[0]
        self.number = number
        self.connection = HTTPConnection(
            member.address, member.ports['callers'], timeout=8
        )
        assert self.send(f'first-{number}') == 200

    def send(self, request_id: str) -> int:
        """Sends a request; returns its status, zero if there is no answer."""
        headers = {
            **HOST_HEADER,
            'Request-Id': request_id,
            'Deadline-Ms': '3000',
        }
        try:
            self.connection.request('GET', '/a/x', headers=headers)
            answer = self.connection.getresponse()
            answer.read()
        except (OSError, HTTPException):
            return 0
        return answer.status

    def send_at(self, due: float) -> tuple[str, int]:
        """Sends a request at a monotonic time; returns its id and status."""
        self.connection.auto_open = 0
        time.sleep(max(0, due - time.monotonic()))
        request_id = f'late-{self.number}'
        return request_id, self.send(request_id)


def give_many_slots(fleet: PlatformFleet) -> None:
    """Lets each target run many requests at a time."""
    for member in fleet.members:
        record = member.store_record()
        record['info']['slots'] = 16
        fleet.store.write(f'servers/{member.instance}', record)


def ids_of_runs(fleet: PlatformFleet) -> set[str]:
    """Returns the ids of the requests that targets received."""
    received = itertools.chain.from_iterable(
        member.requests_received for member in fleet.members
    )
    return {id_of(headers) for headers in received}


def id_of(headers: dict) -> str:
    """Returns the id of a request, given its headers."""
    lower = {name.lower(): text for name, text in headers.items()}
    return lower['request-id']


# Failure: kept connections brought requests until the process was killed.
def test_a_stop_ends_in_time_though_kept_connections_stay_busy(
    fleet: PlatformFleet,
) -> None:
    process = fleet.members[0].process
    assert process
    fleet.idle_timeout = '60s'
    fleet.configure(2, orders=ORDERS_ROUTE)
    give_many_slots(fleet)
    time.sleep(0.5)
    kept = [KeptConnection(fleet, number) for number in range(24)]
    for member in fleet.members:
        member.delay_s = 0.9
    stopped_at = time.monotonic()
    process.send_signal(signal.SIGTERM)
    with ThreadPoolExecutor(len(kept)) as pool:
        pending = [
            pool.submit(connection.send_at, stopped_at + 0.25 * number)
            for number, connection in enumerate(kept)
        ]
        time.sleep(GRACE_S)
        exit_code = process.poll()
        process.kill()
    statuses_by_id = dict(future.result() for future in pending)
    served = int(SERVED_AFTER_STOP_S / 0.25)
    in_time = list(statuses_by_id.values())[:served]
    assert exit_code == 0, statuses_by_id
    assert in_time == [200] * served
    cut = {name for name, status in statuses_by_id.items() if not status}
    assert not cut & ids_of_runs(fleet)


def send_until_closed(connection: KeptConnection) -> dict[str, int]:
    """Sends requests one after the other; returns their statuses by id."""
    connection.connection.auto_open = 0
    statuses_by_id: dict[str, int] = {}
    for number in range(100):
        request_id = f'{connection.number}-{number}'
        statuses_by_id[request_id] = connection.send(request_id)
        if connection.connection.sock is None:
            break
    return statuses_by_id


# Failure: in a planned stop, requests that came late in the grace time were
# passed on and cut at its end without an answer.
@pytest.mark.parametrize('delay_s', [0.4, 1.7])
def test_no_request_that_was_passed_on_late_in_a_stop_is_cut(
    fleet: PlatformFleet, delay_s: float
) -> None:
    process = fleet.members[0].process
    assert process
    fleet.idle_timeout = '60s'
    fleet.configure(2, orders={**ORDERS_ROUTE, 'route-kind': 'unsafe'})
    give_many_slots(fleet)
    time.sleep(0.5)
    kept = [KeptConnection(fleet, number) for number in range(12)]
    for member in fleet.members:
        member.delay_s = delay_s
    with ThreadPoolExecutor(len(kept)) as pool:
        pending = [pool.submit(send_until_closed, each) for each in kept]
        time.sleep(0.3)
        process.send_signal(signal.SIGTERM)
        time.sleep(GRACE_S)
        exit_code = process.poll()
        process.kill()
    statuses_by_id = {
        request_id: status
        for future in pending
        for request_id, status in future.result().items()
    }
    cut = {name for name, status in statuses_by_id.items() if not status}
    assert exit_code == 0
    assert not cut & ids_of_runs(fleet)
    assert 200 in statuses_by_id.values()


# Failure: in a planned stop, a daemon that was busy reset the connections that
# waited to be accepted, with their requests, as its ports closed.
def test_connections_that_wait_when_the_ports_close_are_answered(
    fleet: PlatformFleet,
) -> None:
    process = fleet.members[0].process
    assert process
    assert send_to_daemon(fleet)[0] == 200
    process.send_signal(signal.SIGTERM)
    time.sleep(2.6)
    process.send_signal(signal.SIGSTOP)
    with ThreadPoolExecutor(8) as pool:
        pending = [pool.submit(send_to_daemon, fleet) for _ in range(8)]
        time.sleep(1)
        process.send_signal(signal.SIGCONT)
    assert [answer.result()[0] for answer in pending] == [200] * len(pending)
    assert process.wait(GRACE_S) == 0


def test_a_stop_without_calls_does_not_use_up_the_grace_time(
    fleet: PlatformFleet,
) -> None:
    front, *orders = fleet.members
    assert send_to_daemon(fleet)[0] == 200
    processes = [member.process for member in (front, orders[0])]
    for process in processes:
        assert process
        process.send_signal(signal.SIGTERM)
    deadline = time.monotonic() + 5
    for process in processes:
        assert process
        assert process.wait(deadline - time.monotonic()) == 0


# Failure: a call was taken that could not end before the process is killed.
def test_a_call_that_could_outlast_the_grace_time_is_refused(
    fleet: PlatformFleet,
) -> None:
    process = fleet.members[0].process
    assert process
    fleet.configure(2, orders={**ORDERS_ROUTE, 'timeout': '5s'})
    time.sleep(0.5)
    for member in fleet.members:
        member.delay_s = 4.6
    process.send_signal(signal.SIGTERM)
    time.sleep(1.5)
    status, _, headers = send_to_daemon(fleet, Deadline_Ms='6000')
    assert status == 503
    assert float(headers['retry-after']) > 0
    assert headers['connection'] == 'close'
    assert not ids_of_runs(fleet)
    # A caller with less time still gets its answer.
    for member in fleet.members:
        member.delay_s = 0.5
    assert send_to_daemon(fleet, Deadline_Ms='2000')[0] == 200
    assert process.wait(GRACE_S - 1.5) == 0


def test_the_limits_on_requests_are_enforced(fleet: PlatformFleet) -> None:
    assert send_to_daemon(fleet, X_Long='x' * 5_000)[0] == 431
    status, _, _ = fleet.members[0].send_request('/-/none', 'readiness')
    assert status == 404


def test_a_failure_appears_in_metrics_and_log(
    fleet: PlatformFleet,
    tmp_path: Path,
) -> None:
    for member in fleet.members[1:]:
        member.status = 500
    assert send_to_daemon(fleet, Request_Id='id-lost')[0] == 500
    front = fleet.members[0]
    status, body, _ = front.send_request('/metrics', 'metrics')
    assert status == 200
    assert b'egretlanding_calls{' in body
    assert b'egretlanding_call_seconds_bucket{le=' in body
    assert front.send_request('/dump', 'metrics')[0] == 200
    time.sleep(1)
    lines = (tmp_path / f'{front.address}.log').read_text().splitlines()
    call_lines = [line for line in lines if '"id-lost"' in line]
    assert any('"call_retried"' in line for line in call_lines)


def test_a_hedge_counts_the_attempts_that_failed_before(
    tmp_path: Path,
) -> None:
    services = ['front', 'orders', 'orders', 'orders']
    with platform_fleet(tmp_path, services) as fleet:
        orders = fleet.members[1:]
        assert {send_to_daemon(fleet)[0] for _ in range(30)} == {200}
        for member in orders:
            member.requests_received.clear()
            member.status = 500
            # The retry is still in flight when the hedge is due.
            member.delay_s = 0.3
        assert send_to_daemon(fleet)[0] == 500
        assert sum(len(member.requests_received) for member in orders) == 2


def test_a_hedge_that_a_target_rejected_counts_as_an_attempt(
    tmp_path: Path,
) -> None:
    services = ['front', 'orders', 'orders', 'orders']
    with platform_fleet(tmp_path, services) as fleet:
        orders = fleet.members[1:]
        assert {send_to_daemon(fleet)[0] for _ in range(30)} == {200}
        for member in orders:
            member.requests_received.clear()
            member.delay_s = 0.7
            member.status = 500
        answers: list[int] = []
        client = threading.Thread(
            target=lambda: answers.append(send_to_daemon(fleet)[0])
        )
        client.start()
        wait_until(
            lambda: any(member.requests_received for member in orders), 1
        )
        for member in orders:
            if not member.requests_received:
                # The hedge is due after 0.5 s and is rejected at once.
                member.status = 503
                member.delay_s = 0
        client.join()
        assert sum(len(member.requests_received) for member in orders) == 2
