"""The testbed of a soak: daemon processes behind a fault proxy, and a store."""

import itertools
import signal
import subprocess
import tempfile
import threading
import time
from collections.abc import Sequence
from concurrent.futures import ThreadPoolExecutor
from http import HTTPStatus
from pathlib import Path
from typing import Any

import attrs

from soak.placement import COLD_PER_S, COLD_S, HOME_MARK
from soak.records import History, SoakAction, TargetRun, clock
from standins.faults import LinkRequest, LinkRule
from standins.platformfleet import (
    START_TIMEOUT_S,
    ZONES,
    Member,
    PlatformFleet,
    Store,
    TargetHandler,
    free_ports,
    serve,
    wait_until,
)
from standins.proxyprocess import FaultProxy

PORT_NAMES = ('callers', 'peers', 'readiness', 'metrics', 'target')
STOP_TIMEOUT_S = 8
# Time after SIGTERM at which the platform kills a daemon, seconds.
GRACE_S = 6.0
# Requests that a target works on at a time at most.
SLOT_COUNT = 16
# Paths of requests that take long, and whether the route of each is idempotent.
SLOW_PATHS = {'/slow-read/a': True, '/slow-write/a': False}
# Time that a target works on such a request, seconds.
SLOW_WORK_S = 1.0
# Paths of requests whose route names a region, and whether it is idempotent.
HOME_PATHS = {
    f'/{HOME_MARK}south/a': True,
    f'/{HOME_MARK}north/a': False,
}
# Longer than callers leave their connections idle.
IDLE_TIMEOUT = '8s'
# Last octet of the addresses of the first host.
FIRST_HOST_NUMBER = 11
STORE_LINK = 'store'
# Number of earlier versions whose routes are still published.
KEPT_VERSION_COUNT = 3
MS_PER_S = 1_000
# Settings of daemons in several failure domains.
PLACEMENT_SETTINGS = {
    'regions': [f'{name}={region}' for name, region in ZONES.items()],
    'evacuations': 'on',
}
CONFIG_KEY = 'op/config'
EVACUATION_PREFIX = 'op/evacuate/'


def route(
    prefix: str,
    *,
    idempotent: bool,
    target_latency: str = '400ms',
) -> dict:
    """Returns a route to the only service of the fleet."""
    return {
        'host': 'one.example',
        'prefix': prefix,
        'route-kind': 'safe' if idempotent else 'unsafe',
        'timeout': '1500ms',
        'target-latency': target_latency,
        'priority': int(idempotent),
        'service': 'orders',
        'max-attempts': 2,
    }


def slow_routes() -> dict[str, dict]:
    """Returns the routes of the requests that take long."""
    return {
        path.split('/')[1]: route(
            path.removesuffix('a'),
            idempotent=idempotent,
            target_latency='1200ms',
        )
        for path, idempotent in SLOW_PATHS.items()
    }


def home_routes() -> dict[str, dict]:
    """Returns the routes that name a region."""
    segments = {
        path.split('/')[1]: idempotent
        for path, idempotent in HOME_PATHS.items()
    }
    return {
        segment: {
            **route(f'/{segment}/', idempotent=idempotent),
            'allowed-regions': [segment.removeprefix(HOME_MARK)],
        }
        for segment, idempotent in segments.items()
    }


@attrs.define(eq=False)
class SoakMember(Member):
    """A host whose target records its runs and can be replaced.

    Attributes:
        history: Where runs are recorded.
        instance_number: Increases with each replacement of the target.
        fault_lock: Held while a fault is injected at this host.
        state: The state of the target in the store.
        sequence: Number of the last entry that the target wrote.
        born_ms: When the last replacement of the target started, ms since the
            epoch; zero before the first.
    """

    history: History = attrs.field(factory=History)
    instance_number: int = 1
    fault_lock: Any = attrs.field(factory=threading.Lock)
    born_ms: int = 0
    state: str = 'ready'
    sequence: int = 0

    @property
    def instance(self) -> str:
        """The instance name of the target's current process."""
        return f'i-{self.advertised_address}-{self.instance_number}'

    def handle_request(
        self, path: str, headers: dict[str, str]
    ) -> tuple[int, bytes]:
        """Records a run and answers with the request id and the instance."""
        request_id = headers.get('Request-Id') or headers.get('request-id', '')
        instance, status = self.instance, self.status
        if status == HTTPStatus.OK:
            target_run = TargetRun(
                request_id,
                instance,
                path,
                clock(),
                self.zone,
                self.advertised_address,
            )
            self.history.record(target_run)
            if path in SLOW_PATHS:
                time.sleep(SLOW_WORK_S)
        return status, f'{request_id} {instance}'.encode()

    def next_entry(self) -> dict:
        """Returns the next entry that the target writes to the store."""
        self.sequence += 1
        fields = self.store_record(self.state)
        fields['info']['slots'] = SLOT_COUNT
        fields['status']['sequence'] = self.sequence
        return {**fields, 'born': self.born_ms}

    def replace_target(self) -> None:
        """Stops the target and starts it again as another instance."""
        self.target.shutdown()
        self.target.server_close()
        self.instance_number += 1
        self.state = 'ready'
        self.statements = {}
        self.born_ms = int(time.time() * MS_PER_S)
        began = clock()
        self.cold_until = began + COLD_S
        self.history.record(
            SoakAction('cold', self.instance, began, self.cold_until)
        )
        self.target = serve(
            (self.address, self.ports['target']), TargetHandler, self
        )


@attrs.define(eq=False)
class Testbed:
    """Everything that runs during a soak.

    Attributes:
        fleet: The store and the hosts.
        proxy: The proxy in front of each daemon, each target and the store.
        history: The records of the run.
        paths: The paths of requests, and whether the route of each is
            idempotent.
        version: The version of the newest configuration.
        version_lock: Held while the operator writes to the store.
        evacuated: The failure domains that are evacuated.
    """

    fleet: PlatformFleet
    proxy: FaultProxy
    history: History
    paths: dict[str, bool]
    version: int = 0
    version_lock: threading.Lock = attrs.field(factory=threading.Lock)
    evacuated: set[str] = attrs.field(factory=set)

    @classmethod
    def start(cls, count: int, folder: Path | None = None) -> 'Testbed':
        """Starts all processes and waits until the daemons are ready.

        Args:
            count: The number of hosts.
            folder: Folder for settings and logs; a new one by default.
        """
        ports = free_ports(PORT_NAMES)
        history = History()
        proxy = FaultProxy.start()
        members: list[Member] = [
            SoakMember(
                f'127.0.0.{number}',
                'orders',
                ports,
                advertised_address=f'127.0.3.{number}',
                history=history,
                zone=zone,
                settings=PLACEMENT_SETTINGS,
            )
            for number, zone in zip(
                range(FIRST_HOST_NUMBER, FIRST_HOST_NUMBER + count),
                itertools.cycle(ZONES),
                strict=False,
            )
        ]
        directory = folder or Path(tempfile.mkdtemp(prefix='soak-'))
        testbed = cls(
            PlatformFleet(
                Store(),
                members,
                directory,
                IDLE_TIMEOUT,
                service_spec={
                    'cold-start': f'{COLD_S}s',
                    'cold-per-s': COLD_PER_S,
                },
            ),
            proxy,
            history,
            {},
        )
        testbed.open_links()
        for member in members:
            testbed.write_entry(member)
        testbed.publish()
        for member in members:
            testbed.start_daemon(member)
        for member in members:
            wait_until(member.is_ready, START_TIMEOUT_S)
        return testbed

    def open_links(self) -> None:
        """Opens the links to all daemons and targets and to the store."""
        for member in self.fleet.members:
            for name in ('peers', 'target'):
                port = member.ports[name]
                spec = LinkRequest(
                    name=f'{name}-{member.advertised_address}',
                    target_port=port,
                    target_address=member.address,
                    port=port,
                    address=member.advertised_address,
                )
                self.proxy.open_link(spec)
        self.proxy.add_link(STORE_LINK, self.fleet.store.server.server_port)

    def start_daemon(self, member: Member) -> None:
        """Starts the daemon of a host."""
        store_port = self.proxy.ports[STORE_LINK]
        member.start(store_port, self.fleet.seeds(), self.fleet.folder)

    def write_entry(self, member: Member) -> None:
        """Writes the entry of a target to the store."""
        assert isinstance(member, SoakMember)
        self.fleet.store.write(
            f'servers/{member.instance}', member.next_entry()
        )

    def restore_store(self, lost_writes: int) -> None:
        """Returns the store from an older copy.

        The operator and the targets that run write again what was lost, and
        the entries of targets that are gone are removed again.

        Args:
            lost_writes: Number of the last writes that the copy lacks.
        """
        store = self.fleet.store
        # Every copy has the first configuration and entries.
        first_writes = len(self.fleet.members) + 1
        with self.version_lock:
            revision = max(first_writes, len(store.events) - lost_writes)
            lost = {event['key'] for event in store.events[revision:]}
            store.restore(revision)
            if CONFIG_KEY in lost:
                self.write_configuration()
            lost_zones = [
                name for name in ZONES if EVACUATION_PREFIX + name in lost
            ]
            for zone in lost_zones:
                write_evacuation(self, zone)
        evacuations = {EVACUATION_PREFIX + name for name in lost_zones}
        self.restore_entries(lost - {CONFIG_KEY} - evacuations)

    def restore_entries(self, lost: set[str]) -> None:
        """Writes the entries of some keys again, or removes them again."""
        current = {
            f'servers/{member.instance}': member
            for member in self.fleet.members
        }
        for key in sorted(lost & current.keys()):
            self.write_entry(current[key])
        for key in sorted(lost - current.keys()):
            self.fleet.store.write(key, None)

    def publish(self) -> None:
        """Publishes a configuration with a new route."""
        with self.version_lock:
            self.version += 1
            self.write_configuration()
            now = clock()
            self.history.record(
                SoakAction('publish', f'v{self.version}', now, now)
            )
            # Callers don't use the earlier versions' routes, which are removed
            # soon.
            self.paths = {
                '/read/a': True,
                '/write/a': False,
                f'/v{self.version}/a': True,
                **HOME_PATHS,
            }

    def write_configuration(self) -> None:
        """Writes the current version to the store."""
        oldest = max(1, self.version - KEPT_VERSION_COUNT)
        version_routes = {
            f'v{number}': route(f'/v{number}/', idempotent=True)
            for number in range(oldest, self.version + 1)
        }
        permanent_routes = {
            'read': route('/read/', idempotent=True),
            'write': route('/write/', idempotent=False),
            **slow_routes(),
            **home_routes(),
        }
        self.fleet.configure(self.version, **permanent_routes, **version_routes)

    def current_paths(self) -> dict[str, bool]:
        """Returns the paths of requests, and whether each is idempotent."""
        return self.paths

    def slow_paths(self) -> dict[str, bool]:
        """Returns the paths of requests that take long, like `paths`."""
        return SLOW_PATHS

    def set_rule(self, link: str, *rules: LinkRule) -> None:
        """Replaces the rules of a link; without rules it has no faults."""
        self.proxy.set_rules(link, *rules)

    def send_signal(self, member: Member, number: signal.Signals) -> None:
        """Sends a signal to a daemon if it runs."""
        if member.process and member.process.poll() is None:
            member.process.send_signal(number)

    def restart(self, member: Member, number: signal.Signals) -> None:
        """Ends a daemon by a signal and starts it again once it has ended."""
        began = clock()
        self.send_signal(member, number)
        if member.process:
            try:
                member.process.wait(GRACE_S)
            except subprocess.TimeoutExpired:
                self.kill_overdue(member, began)
        self.start_daemon(member)

    def kill_overdue(self, member: Member, began: float) -> None:
        """Kills a daemon whose stop has outlasted the grace time.

        Args:
            member: The daemon's host.
            began: When the stop began, seconds.
        """
        self.send_signal(member, signal.SIGKILL)
        self.history.record(
            SoakAction('overdue', member.advertised_address, began, clock())
        )
        if member.process:
            member.process.wait(STOP_TIMEOUT_S)

    def restart_several(self, members: Sequence[Member]) -> None:
        """Stops daemons gracefully at once and starts them again."""
        began = clock()
        with ThreadPoolExecutor(len(members)) as pool:
            restarts = [
                pool.submit(self.restart, member, signal.SIGTERM)
                for member in members
            ]
        for restarted in restarts:
            restarted.result()
        for member in members:
            host = member.advertised_address
            self.history.record(SoakAction('term', host, began, clock()))

    def close(self) -> None:
        """Stops all processes, servers and the proxy."""
        for member in self.fleet.members:
            self.send_signal(member, signal.SIGCONT)
            member.close()
        self.fleet.store.close()
        self.proxy.close()


def evacuate(testbed: Testbed, zone: str) -> bool:
    """Begins the evacuation of a failure domain.

    Returns:
        Whether it began. One failure domain always stays in service.
    """
    with testbed.version_lock:
        others = testbed.evacuated - {zone}
        if zone in testbed.evacuated or len(others) + 1 >= len(ZONES):
            return False
        testbed.evacuated.add(zone)
        write_evacuation(testbed, zone)
    return True


def end_evacuation(testbed: Testbed, zone: str) -> None:
    """Ends the evacuation of a failure domain."""
    with testbed.version_lock:
        testbed.evacuated.discard(zone)
        write_evacuation(testbed, zone)


def write_evacuation(testbed: Testbed, zone: str) -> None:
    """Writes to the store whether a failure domain is evacuated."""
    content = {'by': 'soak'} if zone in testbed.evacuated else None
    testbed.fleet.store.write(EVACUATION_PREFIX + zone, content)
