"""Measures the processor time that daemons take for a start and for upkeep.

Real daemons beside a stand-in of the store, on this machine. Prints the time of
a start, and then a daemon's share of a core at rest, at rest with connections
to all targets, and under calls.
Usage: python -m lab.upkeepcost [DAEMONS]
"""

import os
import statistics
import sys
import tempfile
import threading
import time
from pathlib import Path

from standins.platformfleet import Member, PlatformFleet, platform_fleet

DEFAULT_DAEMONS = 20
SETTLING_S = 2
WINDOW_S = 8
# Time in which the daemons open their connections, and its rate of calls.
OPENING_S = 4
OPENING_RATE_PER_S = 10
# Time after its last call in which a connection comes to rest.
RESTING_S = 5
RATE_PER_S = 5
MS_PER_S = 1_000
# Fields of a process's state that hold its ticks in user and system mode.
TICK_FIELDS = slice(11, 13)


def processor_time(member: Member) -> float:
    """Returns the processor time of a daemon, seconds."""
    assert member.process
    text = Path(f'/proc/{member.process.pid}/stat').read_text()
    fields = text.rpartition(')')[2].split()
    ticks = sum(map(int, fields[TICK_FIELDS]))
    return ticks / os.sysconf('SC_CLK_TCK')


def total_times(fleet: PlatformFleet) -> list[float]:
    """Returns the processor time of each daemon, seconds."""
    return list(map(processor_time, fleet.members))


def send_calls(member: Member, rate_per_s: float, seconds: float) -> None:
    """Sends calls to a daemon, one after the other."""
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        member.send_request(
            '/a/x', Request_Id='id', Deadline_Ms='3000', Host='one.example'
        )
        time.sleep(1 / rate_per_s)


def start_calls(
    fleet: PlatformFleet, rate_per_s: float, seconds: float
) -> list[threading.Thread]:
    """Starts to send calls to all daemons."""
    threads = [
        threading.Thread(target=send_calls, args=(member, rate_per_s, seconds))
        for member in fleet.members
    ]
    for thread in threads:
        thread.start()
    return threads


def print_shares(fleet: PlatformFleet, what: str) -> None:
    """Prints the share of a core that daemons take in the next seconds."""
    before = total_times(fleet)
    time.sleep(WINDOW_S)
    after = total_times(fleet)
    shares = [
        (end - begin) / WINDOW_S
        for begin, end in zip(before, after, strict=True)
    ]
    print(f'| {what} | {statistics.mean(shares):.2%} | {max(shares):.2%} |')


def measure(fleet: PlatformFleet) -> None:
    """Prints the table of a fleet that has just started."""
    start_ms = statistics.mean(total_times(fleet)) * MS_PER_S
    print(f'a start: {start_ms:.0f} ms\n')
    print('| a daemon | share of a core, mean | greatest |')
    print('| --- | --- | --- |')
    time.sleep(SETTLING_S)
    print_shares(fleet, 'at rest, no connections to targets')
    for thread in start_calls(fleet, OPENING_RATE_PER_S, OPENING_S):
        thread.join()
    time.sleep(RESTING_S)
    print_shares(fleet, 'at rest, connected to all targets')
    threads = start_calls(fleet, RATE_PER_S, WINDOW_S + 1)
    print_shares(fleet, f'{RATE_PER_S} calls a second from callers')
    for thread in threads:
        thread.join()


def main() -> None:
    """Runs the daemons and prints the table."""
    daemons = int(sys.argv[1]) if sys.argv[1:] else DEFAULT_DAEMONS
    services = ['front'] * (daemons // 2) + ['orders'] * (daemons // 2)
    with (
        tempfile.TemporaryDirectory() as folder,
        platform_fleet(Path(folder), services) as fleet,
    ):
        measure(fleet)


if __name__ == '__main__':
    main()
