"""Helpers for tests of distribution: fleets, releases, an observer."""

import contextlib
import itertools
import threading
import time
from collections import defaultdict
from collections.abc import Iterable, Iterator
from http import client
from typing import Any

from egretlanding.objects import ConfigObject, Policy, Region, Route, Service
from egretlanding.release import HEAD_KEY, PART_PREFIX, Release
from standins.fleet import Fleet, Member, Placement, send_request, wait_until
from standins.partitionedfleet import PartitionedFleet

CONVERGENCE_S = 13
NumberAndRevision = tuple[int, int]
# The positions and digests that a process had in force, in order.
History = list[tuple[NumberAndRevision, str]]
NEAR, FAR = 'casa-nord', 'souss-sud'
DOMAINS = {
    NEAR: ('ain-sebaa', 'sidi-maarouf'),
    FAR: ('inezgane', 'ait-melloul'),
}
SERVICE = 'catalogue'


def placements(near: int, far: int) -> list[Placement]:
    """Returns hosts of both regions, spread over their failure domains.

    Args:
        near: Number of hosts in the region of the store.
        far: Number of hosts in the other region.
    """
    return [
        Placement(
            f'{region[:4]}-{index}',
            region,
            DOMAINS[region][index % 2],
            SERVICE,
        )
        for region, count in ((NEAR, near), (FAR, far))
        for index in range(count)
    ]


def build_release(
    number: int,
    parent: str = '',
    *,
    timeout_ms: int = 1_000,
    routed: bool = True,
    service: str = SERVICE,
) -> Release:
    """Returns a small release.

    Args:
        number: Its number.
        parent: Digest of the release that it was made from.
        timeout_ms: Timeout of the policy, ms; gives releases with the same
            number different content.
        routed: Whether the release has a route.
        service: The service that the route names.
    """
    objects = [
        ConfigObject('Policy', 'default', Policy(timeout_ms=timeout_ms)),
        ConfigObject('Service', SERVICE, Service(regions=(NEAR, FAR))),
        *(
            ConfigObject('Region', name, Region(failure_domains=domains))
            for name, domains in DOMAINS.items()
        ),
    ]
    if routed:
        route = Route(path_prefix='/kits', service=service, policy='default')
        objects.append(ConfigObject('Route', 'kits', route))
    return Release.from_objects(number, parent, objects)


def publish_damaged(fleet: Fleet, release: Release, kind: str) -> None:
    """Publishes a release with its parts or its head damaged."""
    head, parts = release.to_parts()
    for digest, part in parts.items():
        damaged = {
            'corrupt part': bytes(octet ^ 0x55 for octet in part),
            'truncated part': part[: len(part) // 2],
        }
        fleet.put(f'{PART_PREFIX}{digest}', damaged.get(kind, part))
    encoded = head.to_bytes()
    if kind == 'wrong digest':
        encoded = encoded.replace(release.digest.encode(), b'0' * 64)
    fleet.put(HEAD_KEY, encoded)


def kill_daemons(members: Iterable[Member]) -> None:
    """Kills daemons with SIGKILL, so that they announce nothing."""
    for member in members:
        assert member.daemon
        member.daemon.kill()
        member.daemon.wait()


def statuses(fleet: Fleet) -> dict[str, Any]:
    """Returns the status of each reachable daemon, by host."""
    reports = {}
    for name, member in fleet.members.items():
        with contextlib.suppress(OSError, client.HTTPException):
            reports[name] = member.status()
    return reports


def wait_everywhere(
    fleet: Fleet,
    digest: str,
    timeout_s: float = CONVERGENCE_S,
) -> float:
    """Waits until all daemons are ready with a release in force.

    Returns:
        The time that it took, seconds.
    """
    started_at = time.monotonic()

    def in_force() -> bool:
        reports = statuses(fleet)
        return len(reports) == len(fleet.members) and all(
            status['ready'] and status['digest'] == digest
            for status in reports.values()
        )

    try:
        wait_until(in_force, timeout_s, f'release {digest[:12]} everywhere')
    except TimeoutError as error:
        raise TimeoutError(f'{error}: {statuses(fleet)}') from error
    return time.monotonic() - started_at


def wait_refused(fleet: Fleet, digest: str) -> None:
    """Waits until every daemon reports a release as refused."""

    def is_reported() -> bool:
        return all(
            digest in {refused['digest'] for refused in status['refused']}
            for status in statuses(fleet).values()
        )

    wait_until(is_reported, CONVERGENCE_S, f'{digest[:12]} shown as refused')


class FleetObserver:
    """Polls daemons and records what they have in force, within a block.

    Attributes:
        fleet: The fleet.
        seen: The positions and digests seen, in order, by host and
            incarnation.
        ready: The digests that ready daemons had in force, by host and
            incarnation.
        recorded: The positions applied by each daemon, in order, as recorded
            by itself.
        stopping: Set when the polling should stop.
        thread: The thread that polls.
    """

    def __init__(self, fleet: Fleet) -> None:
        """Prepares to observe a fleet."""
        self.fleet = fleet
        self.seen: dict[tuple[str, int], History] = defaultdict(list)
        self.ready: dict[tuple[str, int], set[str]] = defaultdict(set)
        self.recorded: list[list[NumberAndRevision]] = []
        self.stopping = threading.Event()
        self.thread = threading.Thread(target=self.run, daemon=True)

    def __enter__(self) -> 'FleetObserver':
        self.poll()
        self.thread.start()
        return self

    def __exit__(self, *_error: object) -> None:
        self.stopping.set()
        self.thread.join()
        self.poll()
        self.recorded = [
            [
                (applied['number'], applied['revision'])
                for applied in member.get_admin('/dump')['applied']
            ]
            for member in self.fleet.members.values()
        ]

    def run(self) -> None:
        """Polls all daemons until the block ends."""
        while not self.stopping.wait(0.05):
            self.poll()

    def poll(self) -> None:
        """Reads the status of all daemons once."""
        for name, status in statuses(self.fleet).items():
            position = (status['number'], status['revision'])
            key = (name, status['incarnation'])
            self.seen[key].append((position, status['digest']))
            if status['ready']:
                self.ready[key].add(status['digest'])

    def digests(self) -> set[str]:
        """Returns every digest that was in force on any daemon."""
        return {
            digest for history in self.seen.values() for _, digest in history
        }

    def regressions(self) -> list[Any]:
        """Returns pairs of positions where a daemon went back to an older one.

        The positions recorded by the daemons are checked too, because
        polling may miss a short return to an older release.
        """
        histories = [
            [position for position, _ in history]
            for history in self.seen.values()
        ]
        histories.extend(self.recorded)
        pairs = itertools.chain.from_iterable(
            map(itertools.pairwise, histories),
        )
        return [pair for pair in pairs if pair[1] < pair[0]]


@contextlib.contextmanager
def running_fleet(
    near: int,
    far: int,
    *,
    targets: bool = False,
) -> Iterator[tuple[Fleet, Release]]:
    """Runs a fleet that has the first release in force."""
    fleet = Fleet.from_placements(placements(near, far), NEAR)
    try:
        yield fleet, start_fleet(fleet, targets=targets)
    finally:
        fleet.close()


@contextlib.contextmanager
def running_split(
    near: int,
    far: int,
) -> Iterator[tuple[PartitionedFleet, Release]]:
    """Runs a fleet whose connections pass through a fault proxy."""
    split = PartitionedFleet.from_placements(placements(near, far), NEAR)
    try:
        yield split, start_fleet(split.fleet)
    finally:
        split.close()


def start_fleet(fleet: Fleet, *, targets: bool = False) -> Release:
    """Starts the daemons and waits until the first release is in force."""
    first = build_release(1)
    fleet.publish(first)
    fleet.publish_hosts()
    for member in fleet.members.values():
        member.start_daemon()
        if targets:
            member.start_target()
    wait_everywhere(fleet, first.digest, timeout_s=40)
    return first


def store_reads(fleet: Fleet) -> int:
    """Returns the number of reads that the store has counted so far."""
    return int(fleet.counters()['reads'])


def freeze_store(fleet: Fleet) -> None:
    """Saves the store's current state, which a stale store will return."""
    send_request(fleet.operator_port, 'POST', '/freeze')
