"""Measures how long `egretlanding check` takes for a large configuration.

Prints a row for each number of routes: the processor time and the elapsed time
to check a file in the platform's form for faults and warnings against a version
in force that differs in one route, in one process that has loaded its modules.
Usage: python -m lab.checkcost
"""

import json
import statistics
import tempfile
import time
from pathlib import Path

from egretlanding.checkcommand import CheckOptions, check_configuration
from egretlanding.platform.configfile import RecordFileSource
from lab.applycost import SETTINGS, encode_configuration

ROUTES = (200, 2_000, 8_000)
REPEATS = 7


def measure_s(directory: Path, routes: int) -> tuple[float, float]:
    """Returns the median processor and elapsed times of a check, seconds.

    Args:
        directory: Directory to write files to.
        routes: Number of routes.
    """
    candidate, in_force, settings = (
        directory / name for name in ('new.json', 'old.json', 'settings.json')
    )
    in_force.write_bytes(encode_configuration(1, routes))
    candidate.write_bytes(encode_configuration(2, routes))
    settings.write_text(json.dumps(SETTINGS))
    assert RecordFileSource().accepts(candidate)
    options = CheckOptions(in_force=in_force, settings=settings)
    busy, elapsed = [], []
    for _ in range(REPEATS):
        busy_at, began = time.process_time(), time.perf_counter()
        result = check_configuration(candidate, options)
        busy.append(time.process_time() - busy_at)
        elapsed.append(time.perf_counter() - began)
        assert len(result.content['differences']) == 1
    return statistics.median(busy), statistics.median(elapsed)


def main() -> None:
    """Prints the table."""
    print('| routes | processor time of a check, s | elapsed time, s |')
    print('| --- | --- | --- |')
    with tempfile.TemporaryDirectory() as name:
        for routes in ROUTES:
            busy_s, elapsed_s = measure_s(Path(name), routes)
            print(f'| {routes} | {busy_s:.2f} | {elapsed_s:.2f} |')


if __name__ == '__main__':
    main()
