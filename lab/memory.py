"""Measures how much resident memory each library of a daemon adds.

Usage: python -m lab.memory
"""

import importlib
import pathlib

from egretlanding import reactors

STEPS = (
    ('interpreter', ()),
    ('asyncio', ('asyncio',)),
    ('twisted with the asyncio reactor', ('twisted.internet.asyncioreactor',)),
    ('grpclib and protobuf', ('egretlanding.exchange_grpc',)),
    (
        'msgspec, attrs, absl, YAML',
        ('msgspec', 'attrs', 'absl.logging', 'yaml'),
    ),
    ('HTTP client of the store (treq)', ('treq',)),
    ('all of the daemon', ('egretlanding.daemon',)),
    ('admin port in use (klein)', ('klein',)),
    ('metrics read (OpenTelemetry)', ('opentelemetry.sdk.metrics',)),
)
KB_PER_MB = 1_024


def resident_kb() -> int:
    """Returns the resident memory of this process, kB."""
    status = pathlib.Path('/proc/self/status').read_text()
    line = next(row for row in status.splitlines() if row.startswith('VmRSS'))
    return int(line.split()[1])


def load_steps() -> None:
    """Imports step by step and prints how much memory each step adds."""
    previous_kb = 0
    for name, modules in STEPS:
        for module in modules:
            importlib.import_module(module)
        current_kb = resident_kb()
        print(f'| {name} | {(current_kb - previous_kb) / KB_PER_MB:.1f} |')
        previous_kb = current_kb
    print(f'| in all | {previous_kb / KB_PER_MB:.1f} |')


if __name__ == '__main__':
    # Importing `reactors` prevents the import of TLS, as in the daemon.
    assert reactors
    load_steps()
