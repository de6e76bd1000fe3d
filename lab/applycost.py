"""Measures the processor time that a daemon spends to apply one change.

Prints a row for each size of mesh. It changes the configuration, then one
target's entry, which changes the host list.
Usage: python -m lab.applycost
"""

import itertools
import json
import statistics
import tempfile
import time
from pathlib import Path
from typing import Any

from twisted.internet.task import Clock

from egretlanding.pacedwork import DELAY_S
from egretlanding.platform.names import DIALECT, READINESS_PATH
from egretlanding.platform.records import RecordDecoder
from egretlanding.platform.store import PlatformStore
from egretlanding.platformadapter import PlatformAdapter
from egretlanding.recordfeed import RecordFeed
from egretlanding.records import Record
from egretlanding.sidecar import Sidecar
from egretlanding.sidecarconfig import SidecarConfig

SIZES = ((320, 17), (320, 81), (320, 1_300), (1_000, 81), (3_000, 81))
SERVICES = 4
REPEATS = 7
MS_PER_S = 1_000
SETTINGS = {
    'host_id': '10.1.0.8',
    'address': '10.1.0.8',
    'callers': '10.1.0.8:8304',
    'peers': '10.1.0.8:8306',
    'readiness': '10.1.0.8:8302',
    'metrics_port': 9464,
    'target': '10.1.0.8:8301',
    'region': 'north',
    'failure_domain': 'n1',
    'regions': ['n1=north', 'n2=north', 's1=south', 's2=south'],
    'service': 's0',
    'store': '10.2.0.1:80',
}
DOMAINS = ('n1', 'n2', 's1', 's2')


class IdleReactor(Clock):
    """A reactor that runs timers by hand and opens no connection."""

    def connectTCP(self, *_args: Any, **_options: Any) -> None:
        """Does nothing."""

    def stop(self) -> None:
        """Does nothing."""


def build_daemon() -> Sidecar:
    """Returns a daemon that opens no sockets."""
    with tempfile.NamedTemporaryFile('w', suffix='.yaml') as file:
        file.write(json.dumps(SETTINGS))
        file.flush()
        config = SidecarConfig.from_file(file.name)
    reactor: Any = IdleReactor()
    decoder = RecordDecoder(
        config.region_of,
        config.retry_percent,
        config.cold_start_ms,
        config.queue_limit,
    )
    store = PlatformStore.from_address(reactor, '10.2.0.1', 80)
    adapter = PlatformAdapter(DIALECT, store, decoder, READINESS_PATH)
    path = str(Path(tempfile.gettempdir()) / 'unused.yaml')
    return Sidecar.from_config(reactor, path, config, adapter)


def encode_configuration(version: int, routes: int) -> bytes:
    """Returns an encoded configuration; one route differs by version."""
    route_bodies = {
        f'r-{index}': {
            'host': f'h{index}.example',
            'prefix': f'/p{index}/',
            'route-kind': 'safe' if index % 2 else 'unsafe',
            'timeout': f'{1_500 + version * (index == 0)}ms',
            'target-latency': '500ms',
            'priority': 1,
            'service': f's{index % SERVICES}',
            'max-attempts': 2,
        }
        for index in range(routes)
    }
    services = {
        f's{number}': {'max-connections': 130} for number in range(SERVICES)
    }
    return json.dumps(
        {'version': version, 'routes': route_bodies, 'services': services},
    ).encode()


def encode_entry(number: int, state: str) -> bytes:
    """Returns the encoded entry of a target."""
    domain = DOMAINS[number % len(DOMAINS)]
    return json.dumps(
        {
            'address': f'10.{number % 4 + 1}.{number // 250}.{number % 250}:80',
            'info': {
                'service': f's{number % SERVICES}',
                'zone': domain,
                'slots': 3,
            },
            'status': {'state': state},
        },
    ).encode()


def measure_apply_ms(feed: RecordFeed, record: Record) -> float:
    """Returns the processor time that a daemon needs for a record, ms."""
    started_at = time.process_time()
    feed.apply_records([record], record.revision, 0, whole=False)
    # A configuration that follows another is put in force by a timer.
    feed.reactor.advance(DELAY_S)
    return (time.process_time() - started_at) * MS_PER_S


def measure(routes: int, hosts: int) -> tuple[float, float]:
    """Returns the median times to apply a configuration and an entry, ms."""
    daemon = build_daemon()
    revisions = itertools.count(1)
    entries_at_start = [
        Record(
            f'servers/i-{number}',
            next(revisions),
            encode_entry(number, 'ready'),
        )
        for number in range(hosts)
    ]
    daemon.news.entries.apply_records(entries_at_start, hosts, 0, whole=True)
    configuration_ms, entry_ms = [], []
    for version in range(1, REPEATS + 1):
        content = encode_configuration(version, routes)
        record = Record('op/config', next(revisions), content)
        configuration_ms.append(
            measure_apply_ms(daemon.news.configuration, record)
        )
        for number in range(SERVICES):
            daemon.calls.service_states.service(f's{number}', 0)
        state = 'draining' if version % 2 else 'ready'
        record = Record('servers/i-1', next(revisions), encode_entry(1, state))
        entry_ms.append(measure_apply_ms(daemon.news.entries, record))
    return statistics.median(configuration_ms), statistics.median(entry_ms)


def main() -> None:
    """Prints the table."""
    print('| routes | hosts | a configuration, ms | an entry, ms |')
    print('| --- | --- | --- | --- |')
    for routes, hosts in SIZES:
        configuration_ms, entry_ms = measure(routes, hosts)
        print(
            f'| {routes} | {hosts} | {configuration_ms:.1f} | {entry_ms:.1f} |'
        )


if __name__ == '__main__':
    main()
