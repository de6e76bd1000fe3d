"""Measures the memory that a daemon uses for the state of a large mesh.

Usage: python -m lab.statesize
"""

from egretlanding.hosts import Host, HostList
from egretlanding.release import Release
from lab.fleet import make_objects
from lab.memory import KB_PER_MB, resident_kb

HOSTS = 1_300


def make_host(number: int) -> Host:
    """Returns a host by its number."""
    return Host(
        host_id=f'host-{number:04}.mesh',
        address=f'10.0.{number // 250}.{number % 250}',
        call_port=7_001,
        peer_port=7_002,
        exchange_port=7_003,
        region=f'region-{number % 2}',
        failure_domain=f'domain-{number % 6}',
        service=f'service-{number % 140}',
    )


def load_state() -> None:
    """Builds the state of 1,300 hosts and 140 services; prints its size."""
    kb_before = resident_kb()
    hosts = HostList(1, {f'{n}': make_host(n) for n in range(HOSTS)})
    kb_after = resident_kb()
    # A kB has as many bytes as an MB has kB.
    bytes_each = (kb_after - kb_before) * KB_PER_MB / len(hosts.hosts)
    print(f'| one host in the list (of {HOSTS}) | {bytes_each:.0f} B |')
    kb_before = resident_kb()
    release = Release.from_objects(1, '', make_objects().values())
    bytes_each = (resident_kb() - kb_before) * KB_PER_MB / len(release.objects)
    print(f'| one object (of {len(release.objects)}) | {bytes_each:.0f} B |')


if __name__ == '__main__':
    load_state()
