"""Measures the control cost of real daemons, with and without exchange.

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
ZONES = 3
IDLE_S = 30
CHANGES = 10
CHANGE_GAP_S = 4
START_S = 120
TICKS_PER_S = os.sysconf('SC_CLK_TCK')
PAGE_KB = os.sysconf('SC_PAGE_SIZE') // 1_024


@attrs.frozen
class Reading:
    """What one daemon had used at one moment.

    Attributes:
        cpu_s: Processor time, seconds.
        bytes_by_link: Bytes of the exchange, both directions, by link class.
    """

    cpu_s: float
    bytes_by_link: dict[str, int]

    @classmethod
    def from_member(cls, member: Member) -> 'Reading':
        """Reads a daemon's counters, at the cost of one request to it."""
        traffic = member.admin('/dump')['traffic']
        return cls(
            cpu_seconds(member),
            {link: sum(count.values()) for link, count in traffic.items()},
        )


@attrs.frozen
class Span:
    """What all daemons used between two moments.

    Attributes:
        seconds: The time between them.
        cpu_s: Processor time of each daemon, seconds.
        bytes_by_link: Bytes of all daemons by link class.
        reads: Reads of the store.
    """

    seconds: float
    cpu_s: tuple[float, ...]
    bytes_by_link: Counter[str]
    reads: int

    def cpu_percent(self) -> tuple[float, float]:
        """Returns mean and greatest share of a core, percent."""
        shares = [100 * used / self.seconds for used in self.cpu_s]
        return sum(shares) / len(shares), max(shares)

    def bytes_per_s(self) -> float:
        """Returns the bytes that a daemon sent and received, bytes/s."""
        total = sum(self.bytes_by_link.values())
        return total / self.seconds / len(self.cpu_s)


@attrs.define
class Recorder:
    """Takes spans of a fleet."""

    fleet: Fleet
    began: float = 0
    reads: int = 0
    readings: list[Reading] = attrs.field(factory=list)

    def start(self) -> None:
        """Begins a span."""
        self.readings = self.read()
        self.began = time.monotonic()
        self.reads = self.store_reads()

    def stop(self) -> Span:
        """Ends a span."""
        seconds = time.monotonic() - self.began
        reads = self.store_reads() - self.reads
        readings = self.read()
        moved: Counter[str] = Counter()
        for later in readings:
            moved.update(later.bytes_by_link)
        for earlier in self.readings:
            moved.subtract(earlier.bytes_by_link)
        used = tuple(
            after.cpu_s - before.cpu_s
            for before, after in zip(self.readings, readings, strict=True)
        )
        return Span(seconds, used, moved, reads)

    def read(self) -> list[Reading]:
        """Reads every daemon."""
        members = self.fleet.members.values()
        return [Reading.from_member(member) for member in members]

    def store_reads(self) -> int:
        """Returns the reads of the store so far."""
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


def placements(size: int) -> Iterator[Placement]:
    """Yields hosts spread over two regions and six failure domains."""
    zones = itertools.cycle(
        (region, f'{region}-{zone}')
        for zone in range(ZONES)
        for region in REGIONS
    )
    for index, (region, zone) in zip(range(size), zones, strict=False):
        yield Placement(f'h{index}', region, zone, f's{index % 10}')


def releases() -> Iterator[Release]:
    """Yields releases of 140 services that differ in one object each."""
    objects = make_objects()
    parent = ''
    for number in itertools.count(1):
        key = ('Policy', 'default')
        changed = attrs.evolve(
            objects[key],
            spec=Policy(timeout_ms=1_000 + number),
        )
        objects[key] = changed
        release = Release.from_objects(number, parent, objects.values())
        parent = release.digest
        yield release


def is_running(fleet: Fleet, number: int) -> bool:
    """Tells whether all daemons are ready with a release."""
    found = (member.status() for member in fleet.members.values())
    return all(each['ready'] and each['number'] == number for each in found)


def publish_all(fleet: Fleet, made: Iterator[Release]) -> dict[int, float]:
    """Publishes releases; returns when each was published, wall clock."""
    published = {}
    for release in itertools.islice(made, CHANGES):
        fleet.publish(release)
        published[release.number] = time.time()
        time.sleep(CHANGE_GAP_S)
    return published


def convergence(fleet: Fleet, published: dict[int, float]) -> list[float]:
    """Returns the time from each publication to each daemon, seconds.

    A release that a daemon passed over, because it got a later one first,
    counts by the later one.
    """
    logs = [
        member.admin('/dump')['applied'] for member in fleet.members.values()
    ]
    return [
        first_from(applied, number) - at
        for applied in logs
        for number, at in published.items()
    ]


def first_from(applied: Sequence[Any], number: int) -> float:
    """Returns when a release or a later one was applied, wall clock."""
    return min(
        float(entry['applied_at'])
        for entry in applied
        if entry['number'] >= number
    )


def measure(size: int, mode: str) -> str:
    """Runs one fleet and returns a row of the table."""
    fleet = Fleet.from_placements(
        placements(size),
        REGIONS[0],
        distribution=mode,
    )
    try:
        return run(fleet, mode)
    finally:
        fleet.close()


def run(fleet: Fleet, mode: str) -> str:
    """Measures a fleet at rest and under changes."""
    made = releases()
    first = next(made)
    fleet.publish(first)
    fleet.publish_hosts()
    for member in fleet.members.values():
        member.start_daemon()
    wait_until(lambda: is_running(fleet, 1), START_S, 'release 1 everywhere')
    recorder = Recorder(fleet)
    time.sleep(CHANGE_GAP_S)
    recorder.start()
    time.sleep(IDLE_S)
    idle = recorder.stop()
    recorder.start()
    times = publish_all(fleet, made)
    busy = recorder.stop()
    taken = convergence(fleet, times)
    resident = list(map(resident_kb, fleet.members.values()))
    return row(mode, idle, busy, taken, resident)


def row(
    mode: str,
    idle: Span,
    busy: Span,
    taken: Sequence[float],
    resident: Sequence[int],
) -> str:
    """Returns one row of the table."""
    size = len(resident)
    mean, most = idle.cpu_percent()
    rest = sum(idle.cpu_s) / idle.seconds * busy.seconds
    change_ms = 1_000 * (sum(busy.cpu_s) - rest) / size / CHANGES
    links = idle.bytes_by_link
    per_s = (links[name] / idle.seconds / size for name in LINKS)
    remote = busy.bytes_by_link['remote'] - (
        links['remote'] / idle.seconds * busy.seconds
    )
    columns = (
        size,
        mode,
        f'{mean:.2f} / {most:.2f}',
        f'{change_ms:.1f}',
        f'{sum(resident) / size / 1_024:.1f}',
        ' / '.join(f'{rate:.0f}' for rate in per_s),
        f'{busy.bytes_per_s():.0f}',
        f'{remote / CHANGES / 2:.0f}',
        ' / '.join(
            f'{percentile(taken, share):.2f}' for share in (0.5, 0.99, 1)
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
    main([int(each) for each in sys.argv[1:]] or SIZES)
