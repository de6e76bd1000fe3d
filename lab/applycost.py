"""Processor time that a daemon spends on one change that it takes over.

    python -m lab.applycost

prints a row for each size: changes of the configuration, and of one target's
entry, which changes the list of hosts.
"""

import itertools
import json
import statistics
import tempfile
import time
from pathlib import Path
from typing import Any

from twisted.internet.task import Clock

from egretlanding.platform.names import DIALECT, READINESS_PATH
from egretlanding.platform.records import RecordDecoder
from egretlanding.platform.store import PlatformStore
from egretlanding.platformadapter import PlatformAdapter
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
    """A clock that opens no connection."""

    def connectTCP(self, *_args: Any, **_options: Any) -> None:
        """Does nothing."""

    def stop(self) -> None:
        """Does nothing."""


def build_daemon() -> Sidecar:
    """Returns a daemon without sockets."""
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


def configuration(version: int, routes: int) -> bytes:
    """Returns a configuration of which one route differs by version."""
    body = {
        f'r-{number}': {
            'host': f'h{number}.example',
            'prefix': f'/p{number}/',
            'route-kind': 'safe' if number % 2 else 'unsafe',
            'timeout': f'{1_500 + version * (number == 0)}ms',
            'target-latency': '500ms',
            'priority': 1,
            'service': f's{number % SERVICES}',
            'max-attempts': 2,
        }
        for number in range(routes)
    }
    services = {
        f's{each}': {'max-connections': 130} for each in range(SERVICES)
    }
    return json.dumps(
        {'version': version, 'routes': body, 'services': services},
    ).encode()


def entry(number: int, state: str) -> bytes:
    """Returns the entry of a target."""
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


def spent_ms(daemon: Sidecar, record: Record) -> float:
    """Returns the processor time of taking over a record, ms."""
    began = time.process_time()
    daemon.feed.apply_records([record], record.revision, 0, whole=False)
    return (time.process_time() - began) * MS_PER_S


def measure(routes: int, hosts: int) -> tuple[float, float]:
    """Returns the median time of a configuration and of an entry, ms."""
    daemon = build_daemon()
    revisions = itertools.count(1)
    listed = [
        Record(f'servers/i-{number}', next(revisions), entry(number, 'ready'))
        for number in range(hosts)
    ]
    daemon.feed.apply_records(listed, hosts, 0, whole=True)
    configurations, entries = [], []
    for version in range(1, REPEATS + 1):
        content = configuration(version, routes)
        record = Record('op/config', next(revisions), content)
        configurations.append(spent_ms(daemon, record))
        for number in range(SERVICES):
            daemon.calls.service_states.service(f's{number}', 0)
        state = 'draining' if version % 2 else 'ready'
        record = Record('servers/i-1', next(revisions), entry(1, state))
        entries.append(spent_ms(daemon, record))
    return statistics.median(configurations), statistics.median(entries)


def main() -> None:
    """Prints the table."""
    print('| routes | hosts | a configuration, ms | an entry, ms |')
    print('| --- | --- | --- | --- |')
    for routes, hosts in SIZES:
        configured, listed = measure(routes, hosts)
        print(f'| {routes} | {hosts} | {configured:.1f} | {listed:.1f} |')


if __name__ == '__main__':
    main()
