"""Runs a platform, targets and daemons as processes for demos and tests."""

import contextlib
import functools
import itertools
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable, Iterable, Iterator, Mapping
from http import client
from typing import Any

import attrs
import msgspec
import yaml

from egretlanding.hosts import Host, HostList, HostState
from egretlanding.release import HEAD_KEY, HOSTS_KEY, PART_PREFIX, Release

LOOPBACK = '127.0.0.1'
START_TIMEOUT_S = 60
STOP_TIMEOUT_S = 20
POLL_INTERVAL_S = 0.05
SEED_COUNT = 3
FIRST_PORT = 10_000
PORT_COUNT = 22_000
PORT_OFFSETS_PER_PROCESS = 200
PORT_OFFSETS = itertools.count(os.getpid() * PORT_OFFSETS_PER_PROCESS)


@attrs.frozen
class Answer:
    """The answer to an HTTP request.

    Attributes:
        status: The status code.
        headers: The headers, with names in lower case.
        body: The body.
    """

    status: int
    headers: Mapping[str, str]
    body: bytes

    @property
    def ran_header(self) -> str:
        """Returns the header that states whether the call ran."""
        return self.headers.get('x-egretlanding-ran', '')

    def json(self) -> Any:
        """Decodes the body."""
        return json.loads(self.body)


def send_request(
    port: int,
    method: str,
    path: str,
    body: bytes = b'',
    headers: Mapping[str, str] | None = None,
    timeout_s: float = 10,
    address: str = LOOPBACK,
) -> Answer:
    """Sends one HTTP request to a port of this machine.

    Raises:
        OSError: The port is unreachable or the connection failed.
        HTTPException: The answer is malformed or incomplete.
    """
    connection = client.HTTPConnection(address, port, timeout=timeout_s)
    with contextlib.closing(connection):
        connection.request(method, path, body, dict(headers or {}))
        response = connection.getresponse()
        lowered = {name.lower(): value for name, value in response.getheaders()}
        return Answer(response.status, lowered, response.read())


def free_port() -> int:
    """Returns a TCP port that is free now, a different one at each call.

    The port is below the range of ephemeral ports. Otherwise an outgoing
    connection could use the port before a process listens on it. The search
    starts at a different port in each process.
    """
    while True:
        port = FIRST_PORT + next(PORT_OFFSETS) % PORT_COUNT
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind((LOOPBACK, port))
            return port


def wait_until(
    condition: Callable[[], Any],
    timeout_s: float = START_TIMEOUT_S,
    what: str = 'condition',
) -> Any:
    """Waits until a condition returns a true value, and returns the value.

    Errors of connections and HTTP count as a condition that doesn't hold.

    Raises:
        TimeoutError: It didn't hold in time.
    """
    deadline = time.monotonic() + timeout_s
    while time.monotonic() < deadline:
        with contextlib.suppress(OSError, client.HTTPException):
            outcome = condition()
            if outcome:
                return outcome
        time.sleep(POLL_INTERVAL_S)
    raise TimeoutError(f'{what} did not hold within {timeout_s} s')


@attrs.frozen
class Placement:
    """The location of a host and the service of its target."""

    host_id: str
    region: str
    failure_domain: str
    service: str


@attrs.define(eq=False)
class Member:
    """One host: the settings of its daemon and its two processes.

    Attributes:
        settings: The daemon's settings, as written to its file.
        folder: Folder for the settings file.
        daemon: The daemon's process, None before it starts.
        target: The target's process, None before it starts.
        listed_settings: Settings that the host list has instead of the
            daemon's.
    """

    settings: dict[str, Any]
    folder: pathlib.Path
    daemon: subprocess.Popen[bytes] | None = None
    target: subprocess.Popen[bytes] | None = None
    listed_settings: dict[str, Any] = attrs.field(factory=dict)

    @property
    def host_id(self) -> str:
        """Returns the name of the host."""
        return str(self.settings['host_id'])

    def host(self, state: HostState = HostState.LIVE) -> Host:
        """Returns the entry of the host in the host list."""
        listed = {**self.settings, **self.listed_settings}
        return Host(
            host_id=self.host_id,
            address=listed['address'],
            call_port=listed['call_port'],
            peer_port=listed['peer_port'],
            exchange_port=listed['exchange_port'],
            region=listed['region'],
            failure_domain=listed['failure_domain'],
            service=listed['service'],
            state=state,
        )

    def start_daemon(self) -> None:
        """Writes the settings file and starts the daemon."""
        path = self.folder / f'{self.host_id}.yaml'
        path.write_text(yaml.safe_dump(self.settings))
        self.daemon = start_module('egretlanding.reactors', str(path))

    def start_target(self, *options: str) -> None:
        """Starts the target."""
        port = str(self.settings['target_port'])
        self.target = start_module(
            'standins',
            'target',
            '--name',
            self.host_id,
            '--port',
            port,
            *options,
        )

    def call(
        self,
        method: str,
        path: str,
        body: bytes = b'',
        **headers: str,
    ) -> Answer:
        """Sends a call to the daemon; header names use underscores."""
        http_headers = {
            name.replace('_', '-'): value for name, value in headers.items()
        }
        return send_request(
            self.settings['call_port'],
            method,
            path,
            body,
            http_headers,
            address=self.settings['address'],
        )

    def status(self) -> Any:
        """Returns the daemon's status."""
        return self.get_admin('/status')

    def signal_daemon(self, number: int) -> None:
        """Sends a signal to the daemon if it was started."""
        if self.daemon:
            self.daemon.send_signal(number)

    def get_admin(self, path: str) -> Any:
        """Returns the daemon's decoded answer to a path of its admin port."""
        port = self.settings['admin_port']
        address = self.settings['address']
        return send_request(port, 'GET', path, address=address).json()

    def executions(self) -> list[Any]:
        """Returns the calls that the target ran."""
        port = self.settings['target_port']
        return send_request(port, 'GET', '/executions').json()

    def control_target(self, **changes: Any) -> None:
        """Changes the target's slowdown, or starts or ends draining."""
        body = json.dumps(changes).encode()
        send_request(self.settings['target_port'], 'POST', '/control', body)

    def processes(self) -> Iterator[subprocess.Popen[bytes]]:
        """Yields the processes that were started."""
        yield from (
            process for process in (self.daemon, self.target) if process
        )


def start_module(module: str, *options: str) -> subprocess.Popen[bytes]:
    """Starts a Python module as a process."""
    return subprocess.Popen([sys.executable, '-m', module, *options])


@attrs.define(eq=False)
class Fleet:
    """A platform and hosts, all on this machine.

    Attributes:
        folder: Folder for settings files.
        read_port: Port that daemons read the store from.
        operator_port: Port that operators publish through.
        platform: The platform's process.
        members: The hosts by name.
    """

    folder: pathlib.Path
    read_port: int
    operator_port: int
    platform: subprocess.Popen[bytes]
    members: dict[str, Member] = attrs.field(factory=dict)

    @classmethod
    def from_placements(
        cls,
        placements: Iterable[Placement],
        store_region: str,
        **settings: Any,
    ) -> 'Fleet':
        """Starts the platform and prepares the hosts without starting them.

        Args:
            placements: The hosts.
            store_region: The region of the store.
            settings: Further settings of every daemon.
        """
        folder = pathlib.Path(tempfile.mkdtemp(prefix='fleet-'))
        read_port, operator_port = free_port(), free_port()
        platform = start_module(
            'standins',
            'platform',
            '--read-port',
            str(read_port),
            '--operator-port',
            str(operator_port),
        )
        fleet = cls(folder, read_port, operator_port, platform)
        common = {
            'store_url': f'http://{LOOPBACK}:{read_port}',
            'store_region': store_region,
            **settings,
        }
        for placement in placements:
            fleet.add_member(placement, common)
        fleet.set_seeds()
        wait_until(lambda: send_request(operator_port, 'GET', '/counters'))
        return fleet

    def add_member(
        self, placement: Placement, common: Mapping[str, Any]
    ) -> Member:
        """Adds a host without starting its processes."""
        ports = (
            'call_port',
            'peer_port',
            'exchange_port',
            'admin_port',
            'target_port',
        )
        settings = {
            **common,
            **attrs.asdict(placement),
            'address': LOOPBACK,
            'target_address': LOOPBACK,
            **{name: free_port() for name in ports},
        }
        member = Member(settings, self.folder)
        self.members[placement.host_id] = member
        return member

    def set_seeds(self) -> None:
        """Sets the same few exchange addresses as seeds of all daemons."""
        seeds = [
            f'{member.host().address}:{member.host().exchange_port}'
            for member in self.members.values()
        ]
        for member in self.members.values():
            member.settings['seeds'] = seeds[:SEED_COUNT]

    def start(self) -> None:
        """Starts every target and daemon and publishes the host list."""
        for member in self.members.values():
            member.start_target()
            member.start_daemon()
        self.publish_hosts()

    def put(self, key: str, body: bytes, lag_ms: int = 0) -> int:
        """Publishes a value as an operator and returns its revision.

        Args:
            key: The key.
            body: The value.
            lag_ms: Delay until the store has the value, ms.

        Returns:
            The revision, or zero if the value is delayed.
        """
        path = f'/v1/keys/{key}?lag_ms={lag_ms}'
        answer = send_request(self.operator_port, 'PUT', path, body)
        return 0 if lag_ms else int(answer.body)

    def publish(self, release: Release) -> int:
        """Publishes a release and returns the revision of its head.

        The head is published last, when all parts can be read.
        """
        head, parts = release.to_parts()
        for digest, part in parts.items():
            self.put(f'{PART_PREFIX}{digest}', part)
        return self.put(HEAD_KEY, head.to_bytes())

    def publish_hosts(
        self,
        without: Iterable[str] = (),
        leaving: Iterable[str] = (),
        lag_ms: int = 0,
    ) -> int:
        """Publishes the host list.

        Args:
            without: Hosts that are omitted from the list.
            leaving: Hosts that are listed as leaving.
            lag_ms: Delay until the store has the list, ms.

        Returns:
            The revision, or zero if the list is delayed.
        """
        omitted = set(without)
        states = dict.fromkeys(leaving, HostState.LEAVING)
        hosts = {
            name: member.host(states.get(name, HostState.LIVE))
            for name, member in self.members.items()
            if name not in omitted
        }
        host_list = HostList(0, hosts)
        return self.put(HOSTS_KEY, msgspec.json.encode(host_list), lag_ms)

    def set_faults(self, **faults: bool) -> None:
        """Switches faults of the store on or off."""
        body = json.dumps(faults).encode()
        send_request(self.operator_port, 'POST', '/faults', body)

    def counters(self) -> Any:
        """Returns the store's read counters."""
        return send_request(self.operator_port, 'GET', '/counters').json()

    def wait_in_force(
        self,
        number: int,
        names: Iterable[str] | None = None,
        timeout_s: float = 20,
    ) -> float:
        """Waits until hosts have a release in force.

        Args:
            number: The number of the release.
            names: The hosts, all by default.
            timeout_s: Longest wait for one host, seconds.

        Returns:
            The time taken, seconds.
        """
        started_at = time.monotonic()
        for name in names or tuple(self.members):
            check = functools.partial(has_in_force, self.members[name], number)
            wait_until(check, timeout_s, f'release {number} on {name}')
        return time.monotonic() - started_at

    def close(self) -> list[int]:
        """Stops every process, by a kill if it doesn't stop in time.

        Returns:
            The exit codes; zero for a graceful stop.
        """
        members = self.members.values()
        processes = [
            process for member in members for process in member.processes()
        ]
        processes.append(self.platform)
        for process in processes:
            process.send_signal(signal.SIGCONT)
            process.terminate()
        return list(map(stop_process, processes))


def has_in_force(member: Member, number: int) -> bool:
    """Returns whether a daemon is ready and has a release in force."""
    status = member.status()
    return bool(status['ready'] and status['number'] == number)


def stop_process(process: subprocess.Popen[bytes]) -> int:
    """Waits for a process to end and kills it after a timeout.

    Returns:
        The exit code.
    """
    try:
        return process.wait(STOP_TIMEOUT_S)
    except subprocess.TimeoutExpired:
        process.kill()
        return process.wait()
