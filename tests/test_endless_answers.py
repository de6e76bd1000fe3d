"""Tests of daemon processes whose targets send answers without end."""

import itertools
import socket
import threading
import time
from collections.abc import Callable, Iterator
from concurrent.futures import ThreadPoolExecutor
from http.server import BaseHTTPRequestHandler
from pathlib import Path

import attrs
import pytest

from standins.platformfleet import (
    ORDERS_ROUTE,
    Member,
    PlatformFleet,
    StatefulServer,
    platform_fleet,
    wait_until,
)

# Memory that a daemon may take, bytes.
MAX_MEMORY_BYTES = 200_000_000
# Memory that a daemon may take for all answers of its target together, bytes.
MAX_ANSWERS_BYTES = 100_000_000
# Time from the end of a call to the close of its connection, seconds.
CLOSE_TIMEOUT_S = 1
DEADLINE_MS = 1_000
# Time after the deadline by which a call that timed out must be answered.
LATE_ANSWER_S = 0.5
DRIP_INTERVAL_S = 0.05
FAST_PIECE = b'x' * 65_536
ONCE_ROUTE = {**ORDERS_ROUTE, 'prefix': '/once/', 'route-kind': 'unsafe'}

HEAD = b'HTTP/1.1 200 OK\r\nServer-Stamp: stamp\r\n'
BEGINNINGS = {
    'head': b'%sX-Long: ' % HEAD,
    'body': b'%s\r\n' % HEAD,
    'chunk': b'%sTransfer-Encoding: chunked\r\n\r\n1;' % HEAD,
}


@attrs.define(eq=False)
class EndlessTarget:
    """A target whose answers never end.

    Attributes:
        beginning: The first bytes of each answer.
        piece: The bytes that follow again and again.
        pause_s: Time between two pieces, seconds.
        open_answers: Number of answers that it is sending.
        answers: Number of answers that it began.
        lock: Guards the numbers.
    """

    beginning: bytes
    piece: bytes
    pause_s: float
    open_answers: int = 0
    answers: int = 0
    lock: threading.Lock = attrs.field(factory=threading.Lock)

    def send(self, write: Callable[[bytes], object]) -> None:
        """Sends an answer until the connection is closed."""
        with self.lock:
            self.open_answers += 1
            self.answers += 1
        try:
            write(self.beginning)
            for _ in itertools.count():
                write(self.piece)
                time.sleep(self.pause_s)
        except OSError:
            return
        finally:
            with self.lock:
                self.open_answers -= 1


class EndlessHandler(BaseHTTPRequestHandler):
    """Answers requests without end."""

    protocol_version = 'HTTP/1.1'
    server: StatefulServer

    def log_message(self, *_args: object) -> None:
        """Writes nothing."""

    def do_GET(self) -> None:
        """Answers until the daemon closes the connection."""
        self.close_connection = True
        self.server.state.send(self.wfile.write)


@pytest.fixture(name='fleet')
def start_fleet(tmp_path: Path) -> Iterator[PlatformFleet]:
    with platform_fleet(tmp_path, ['front', 'orders', 'orders']) as fleet:
        fleet.configure(2, orders=ORDERS_ROUTE, once=ONCE_ROUTE)
        time.sleep(1)
        yield fleet


def make_endless(member: Member, name: str, *, slow: bool) -> EndlessTarget:
    """Makes the target of a member answer without end."""
    piece, pause_s = (b'x', DRIP_INTERVAL_S) if slow else (FAST_PIECE, 0)
    target = EndlessTarget(BEGINNINGS[name], piece, pause_s)
    member.target.state = target
    member.target.RequestHandlerClass = EndlessHandler
    return target


def call(fleet: PlatformFleet, path: str) -> tuple[int, bytes, float]:
    """Returns the status and body of an answer, and its time in seconds."""
    began = time.monotonic()
    status, body, _ = fleet.members[0].send_request(
        path,
        Request_Id='id-1',
        Deadline_Ms=str(DEADLINE_MS),
        Host='one.example',
    )
    return status, body, time.monotonic() - began


def memory_peak(member: Member) -> int:
    """Returns the most memory that a daemon has taken, bytes."""
    assert member.process
    status = Path(f'/proc/{member.process.pid}/status').read_text()
    kilobytes = status.partition('VmHWM:')[2].split()[0]
    return int(kilobytes) * 1_024


# A daemon read an answer without end until its call's deadline, and held all
# of it in memory.
@pytest.mark.parametrize('name', BEGINNINGS)
def test_a_fast_answer_without_end_costs_one_attempt(
    fleet: PlatformFleet, name: str
) -> None:
    _, endless, good = fleet.members
    target = make_endless(endless, name, slow=False)
    answers = []
    while not target.answers and len(answers) < 20:
        answers.append(call(fleet, '/a/x'))
    assert target.answers
    for status, body, took_s in answers:
        assert (status, body) == (200, good.address.encode())
        assert took_s < DEADLINE_MS / 1_000
    wait_until(lambda: not target.open_answers, CLOSE_TIMEOUT_S)
    assert memory_peak(endless) < MAX_MEMORY_BYTES


# What can't be repeated must fail as soon as its answer is too long, and not
# at the deadline.
@pytest.mark.parametrize('name', BEGINNINGS)
@pytest.mark.parametrize(
    ('slow', 'expected', 'limit_s'),
    [
        (False, 502, DEADLINE_MS / 1_000),
        (True, 504, DEADLINE_MS / 1_000 + LATE_ANSWER_S),
    ],
)
def test_a_call_that_runs_once_ends_by_its_deadline(
    fleet: PlatformFleet, name: str, slow: bool, expected: int, limit_s: float
) -> None:
    endless = fleet.members[1:]
    targets = [make_endless(member, name, slow=slow) for member in endless]
    status, _, took_s = call(fleet, '/once/x')
    assert status == expected
    assert took_s < limit_s
    assert sum(target.answers for target in targets) == 1
    wait_until(
        lambda: not any(target.open_answers for target in targets),
        CLOSE_TIMEOUT_S,
    )
    assert max(map(memory_peak, endless)) < MAX_MEMORY_BYTES


# A caller that never ended its head was answered only after the header timeout.
@pytest.mark.parametrize('begin', [b'GET /', b'GET /a/x HTTP/1.1\r\nx: '])
def test_a_head_of_a_caller_without_end_is_refused_at_once(
    fleet: PlatformFleet, begin: bytes
) -> None:
    front = fleet.members[0]
    address = (front.address, front.ports['callers'])
    with socket.create_connection(address, timeout=0.5) as caller:
        caller.sendall(b'%s%s' % (begin, b'x' * 5_000))
        assert caller.recv(65_536).startswith(b'HTTP/1.1 431')
    assert call(fleet, '/a/x')[0] == 200


def set_slots(fleet: PlatformFleet, member: Member, slots: int) -> None:
    """Lists the target of a member with a number of slots."""
    entry = member.store_record()
    listed = {**entry, 'info': {**entry['info'], 'slots': slots}}
    fleet.store.write(f'servers/{member.instance}', listed)


# Failure: each answer without end was bounded, but not all of them together, so
# that a target with many slots took its daemon over the memory of the host.
@pytest.mark.parametrize('name', BEGINNINGS)
@pytest.mark.parametrize('slots', [6, 90])
def test_many_answers_without_end_leave_memory_and_other_calls(
    tmp_path: Path, name: str, slots: int
) -> None:
    with platform_fleet(tmp_path, ['orders', 'stock']) as fleet:
        endless, good = fleet.members
        stock = {**ORDERS_ROUTE, 'prefix': '/stock/', 'service': 'stock'}
        fleet.configure(2, once=ONCE_ROUTE, stock=stock)
        set_slots(fleet, endless, slots)
        time.sleep(1)
        target = make_endless(endless, name, slow=False)
        before = memory_peak(endless)
        headers = {'Host': 'one.example', 'Deadline_Ms': '4000'}

        def call_once(number: int) -> int:
            return endless.send_request(
                '/once/x', Request_Id=f'once-{number}', **headers
            )[0]

        with ThreadPoolExecutor(slots) as pool:
            calls = [pool.submit(call_once, number) for number in range(slots)]
            others = [
                endless.send_request('/stock/x', Request_Id='s', **headers)
                for _ in range(20)
            ]
            statuses = {waiting.result() for waiting in calls}
        assert [answer[:2] for answer in others] == [
            (200, good.address.encode())
        ] * 20
        # A daemon that is slow may reach the timeout of the route first.
        assert statuses <= {502, 504}
        assert target.answers == slots
        grown = memory_peak(endless) - before
        assert grown < MAX_ANSWERS_BYTES, f'grew by {grown:,} bytes'
