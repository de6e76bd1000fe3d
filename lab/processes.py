"""Measures what the distribution of releases costs real daemons.

Compares daemons that exchange releases with each other to daemons that all
read the store directly.

Usage: python -m lab.processes [size ...]
"""

import itertools
import os
import pathlib
import sys
import time
from collections import Counter
from collections.abc import Iterable, Iterator, Sequence
from typing import Any

import attrs

from egretlanding.objects import Policy
from egretlanding.release import Release
from lab.fleet import REGIONS, make_objects, percentile
from standins.fleet import Fleet, Member, Placement, wait_until

SIZES = (10, 20, 40)
MODES = ('exchange', 'direct')
ZONES_PER_REGION = 3
IDLE_S = 30
CHANGES = 10
CHANGE_GAP_S = 4
START_S = 120
TICKS_PER_S = os.sysconf('SC_CLK_TCK')
PAGE_KB = os.sysconf('SC_PAGE_SIZE') // 1_024


@attrs.frozen
class UsageSample:
    """What one daemon has used since its start.

    Attributes:
        cpu_s: Processor time, seconds.
        bytes_by_link: Bytes sent and received in exchanges with other
            daemons, by link class.
    """

    cpu_s: float
    bytes_by_link: dict[str, int]

    @classmethod
    def from_member(cls, member: Member) -> 'UsageSample':
        """Reads a daemon's counters; the request itself uses some CPU time."""
        traffic = member.get_admin('/dump')['traffic']
        return cls(
            cpu_seconds(member),
            {link: sum(count.values()) for link, count in traffic.items()},
        )


@attrs.frozen
class Usage:
    """What all daemons used during a period.

    Attributes:
        seconds: Length of the period.
        cpu_s: Processor time of each daemon, seconds.
        bytes_by_link: Bytes of all daemons by link class.
        reads: Reads of the store by all daemons.
    """

    seconds: float
    cpu_s: tuple[float, ...]
    bytes_by_link: Counter[str]
    reads: int

    def cpu_percent(self) -> tuple[float, float]:
        """Returns the mean and highest CPU use of a daemon, % of a core."""
        shares = [100 * used / self.seconds for used in self.cpu_s]
        return sum(shares) / len(shares), max(shares)

    def bytes_per_s(self) -> float:
        """Returns the mean rate that a daemon sent and received, bytes/s."""
        total = sum(self.bytes_by_link.values())
        return total / self.seconds / len(self.cpu_s)


@attrs.define
class UsageRecorder:
    """Measures what the daemons of a fleet use during a period.

    Attributes:
        fleet: The fleet.
        started_at: Start of the period, monotonic seconds.
        reads_at_start: Reads of the store before the period.
        samples_at_start: What each daemon had used before the period.
    """

    fleet: Fleet
    started_at: float = 0
    reads_at_start: int = 0
    samples_at_start: list[UsageSample] = attrs.field(factory=list)

    def start(self) -> None:
        """Begins a period."""
        self.samples_at_start = self.sample_all()
        self.started_at = time.monotonic()
        self.reads_at_start = self.count_store_reads()

    def stop(self) -> Usage:
        """Ends the period; returns what was used in it."""
        seconds = time.monotonic() - self.started_at
        reads = self.count_store_reads() - self.reads_at_start
        samples = self.sample_all()
        traffic: Counter[str] = Counter()
        for end_sample in samples:
            traffic.update(end_sample.bytes_by_link)
        for start_sample in self.samples_at_start:
            traffic.subtract(start_sample.bytes_by_link)
        cpu_by_daemon = tuple(
            after.cpu_s - before.cpu_s
            for before, after in zip(
                self.samples_at_start, samples, strict=True
            )
        )
        return Usage(seconds, cpu_by_daemon, traffic, reads)

    def sample_all(self) -> list[UsageSample]:
        """Returns a sample of each daemon."""
        members = self.fleet.members.values()
        return [UsageSample.from_member(member) for member in members]

    def count_store_reads(self) -> int:
        """Returns the number of reads that the store has served."""
        return int(self.fleet.counters()['reads'])


def cpu_seconds(member: Member) -> float:
    """Returns the processor time that a daemon has used, seconds."""
    assert member.daemon
    stat = pathlib.Path(f'/proc/{member.daemon.pid}/stat').read_text()
    user, system = stat.rpartition(')')[2].split()[11:13]
    return (int(user) + int(system)) / TICKS_PER_S


def resident_kb(member: Member) -> int:
    """Returns a daemon's resident memory, kB."""
    assert member.daemon
    statm = pathlib.Path(f'/proc/{member.daemon.pid}/statm').read_text()
    return int(statm.split()[1]) * PAGE_KB


def make_placements(size: int) -> Iterator[Placement]:
    """Yields hosts spread over two regions and six failure domains."""
    zones = itertools.cycle(
        (region, f'{region}-{zone}')
        for zone in range(ZONES_PER_REGION)
        for region in REGIONS
    )
    for index, (region, zone) in zip(range(size), zones, strict=False):
        yield Placement(f'h{index}', region, zone, f's{index % 10}')


def make_releases() -> Iterator[Release]:
    """Yields releases of 140 services; each changes one object."""
    objects = make_objects()
    parent = ''
    for number in itertools.count(1):
        key = ('Policy', 'default')
        policy = attrs.evolve(
            objects[key],
            spec=Policy(timeout_ms=1_000 + number),
        )
        objects[key] = policy
        release = Release.from_objects(number, parent, objects.values())
        parent = release.digest
        yield release


def is_running(fleet: Fleet, number: int) -> bool:
    """Returns whether all daemons are ready and have a release in force."""
    statuses = (member.status() for member in fleet.members.values())
    return all(
        daemon['ready'] and daemon['number'] == number for daemon in statuses
    )


def publish_all(fleet: Fleet, releases: Iterator[Release]) -> dict[int, float]:
    """Publishes releases in turn.

    Returns:
        When each release was published, by number, wall clock, seconds.
    """
    published = {}
    for release in itertools.islice(releases, CHANGES):
        fleet.publish(release)
        published[release.number] = time.time()
        time.sleep(CHANGE_GAP_S)
    return published


def measure_convergence(
    fleet: Fleet, published: dict[int, float]
) -> list[float]:
    """Returns the time from each publication to each daemon, seconds.

    If a daemon skipped a release because it got a later one first, the time to
    the later one counts.
    """
    applied_logs = [
        member.get_admin('/dump')['applied']
        for member in fleet.members.values()
    ]
    return [
        first_applied_at(applied, number) - published_at
        for applied in applied_logs
        for number, published_at in published.items()
    ]


def first_applied_at(applied: Sequence[Any], number: int) -> float:
    """Returns when a release or a later one came into force.

    Args:
        applied: The daemon's log of the releases that it put in force.
        number: Number of the release.

    Returns:
        Wall clock time, seconds.
    """
    return min(
        float(release['applied_at'])
        for release in applied
        if release['number'] >= number
    )


def measure(size: int, mode: str) -> str:
    """Runs one fleet and returns a row of the table."""
    fleet = Fleet.from_placements(
        make_placements(size),
        REGIONS[0],
        distribution=mode,
    )
    try:
        return measure_fleet(fleet, mode)
    finally:
        fleet.close()


def measure_fleet(fleet: Fleet, mode: str) -> str:
    """Measures a fleet without changes and with one every few seconds."""
    releases = make_releases()
    first = next(releases)
    fleet.publish(first)
    fleet.publish_hosts()
    for member in fleet.members.values():
        member.start_daemon()
    wait_until(lambda: is_running(fleet, 1), START_S, 'release 1 everywhere')
    recorder = UsageRecorder(fleet)
    time.sleep(CHANGE_GAP_S)
    recorder.start()
    time.sleep(IDLE_S)
    idle = recorder.stop()
    recorder.start()
    published = publish_all(fleet, releases)
    busy = recorder.stop()
    convergence_s = measure_convergence(fleet, published)
    resident = list(map(resident_kb, fleet.members.values()))
    return format_row(mode, idle, busy, convergence_s, resident)


def format_row(
    mode: str,
    idle: Usage,
    busy: Usage,
    convergence_s: Sequence[float],
    resident: Sequence[int],
) -> str:
    """Returns one row of the table.

    Args:
        mode: How releases are distributed.
        idle: What was used while nothing changed.
        busy: What was used while releases were published.
        convergence_s: Times from a publication to a daemon, seconds.
        resident: Resident memory of each daemon, kB.
    """
    size = len(resident)
    mean, highest = idle.cpu_percent()
    idle_cpu_s = sum(idle.cpu_s) / idle.seconds * busy.seconds
    change_ms = 1_000 * (sum(busy.cpu_s) - idle_cpu_s) / size / CHANGES
    idle_bytes = idle.bytes_by_link
    per_s = (idle_bytes[name] / idle.seconds / size for name in LINKS)
    remote_bytes = busy.bytes_by_link['remote'] - (
        idle_bytes['remote'] / idle.seconds * busy.seconds
    )
    columns = (
        size,
        mode,
        f'{mean:.2f} / {highest:.2f}',
        f'{change_ms:.1f}',
        f'{sum(resident) / size / 1_024:.1f}',
        ' / '.join(f'{rate:.0f}' for rate in per_s),
        f'{busy.bytes_per_s():.0f}',
        f'{remote_bytes / CHANGES / 2:.0f}',
        ' / '.join(
            f'{percentile(convergence_s, share):.2f}'
            for share in (0.5, 0.99, 1)
        ),
        f'{idle.reads / idle.seconds:.2f}',
        f'{busy.reads / busy.seconds:.2f}',
    )
    return f'| {" | ".join(map(str, columns))} |'


LINKS = ('failure_domain', 'region', 'remote')
HEADER = (
    'daemons',
    'mode',
    'CPU idle mean / max, % of a core',
    'CPU per change, ms a daemon',
    'RSS, MiB',
    'idle B/s a daemon: domain / region / remote',
    'B/s a daemon, a change every 4 s',
    'bytes over the link per change, above idle',
    'in force p50 / p99 / max, s',
    'store reads/s idle',
    'store reads/s changing',
)


def main(sizes: Iterable[int]) -> None:
    """Prints the table."""
    print(f'| {" | ".join(HEADER)} |')
    print(f'|{"---|" * len(HEADER)}')
    for size in sizes:
        for mode in MODES:
            print(measure(size, mode), flush=True)


if __name__ == '__main__':
    main([int(text) for text in sys.argv[1:]] or SIZES)
