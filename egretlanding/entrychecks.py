"""Checks whether the entry of a target names one that can be used."""

import functools
import ipaddress
import re
from collections.abc import Iterator

from egretlanding.roster import TargetEntry

ADDRESS_FORM = 'an IPv4 address of a host and a port from 1 to 65535'
PORT_PATTERN = '[0-9]{1,5}'
MAX_PORT = 65_535
CACHED_ENDPOINTS = 2_048
INSTANCE_PATTERN = '[A-Za-z0-9._-]{1,128}'
MAX_SERVICE_CHARS = 128
# The same bound as for the slots that a service declares.
MAX_SLOTS = 1_024
# A target that wrote its entry each millisecond would need 31 years for these.
MAX_SEQUENCE = 1_000_000_000_000
# Longest time by which a target may have started after the reader's clock, ms.
# Clocks differ by seconds, and refusing all targets for a wrong clock would be
# worse than using a false start for as long as this.
MAX_START_AHEAD_MS = 86_400_000


# Entries change far more often than the addresses in them.
@functools.lru_cache(maxsize=CACHED_ENDPOINTS)
def parse_endpoint(text: str) -> tuple[str, int]:
    """Returns the IPv4 address and the TCP port of a target.

    Args:
        text: The address and the port with a colon in between.

    Raises:
        ValueError: The text isn't of that form, or no host can have the
            address.
    """
    address, _, port = text.partition(':')
    host = ipaddress.IPv4Address(address)
    if host.is_unspecified or host.is_multicast or host.is_reserved:
        raise ValueError(f'no host can have the address; write {ADDRESS_FORM}')
    if not re.fullmatch(PORT_PATTERN, port) or not 1 <= int(port) <= MAX_PORT:
        raise ValueError(f'the port is not valid; write {ADDRESS_FORM}')
    return address, int(port)


def find_entry_faults(entry: TargetEntry, wall_ms: int) -> Iterator[str]:
    """Yields why an entry names no target that can be used.

    Whether its service exists depends on the configuration in force, so that
    is decided by the roster.

    Args:
        entry: The entry.
        wall_ms: The reader's wall clock, ms since the epoch.
    """
    if not re.fullmatch(INSTANCE_PATTERN, entry.instance):
        yield 'its key ends with no name of a target'
    if not 1 <= len(entry.service) <= MAX_SERVICE_CHARS:
        yield 'its service has no name or a name that is too long'
    if not entry.service.isprintable():
        yield 'the name of its service has characters that are not printable'
    if not entry.region:
        yield 'its failure domain is not in the settings'
    if not 1 <= entry.slots <= MAX_SLOTS:
        yield f'its slots are not from 1 to {MAX_SLOTS}'
    if not 0 <= entry.born_ms <= wall_ms + MAX_START_AHEAD_MS:
        yield 'its start is before 1970 or more than a day ahead'
    if not 0 <= entry.sequence <= MAX_SEQUENCE:
        yield f'its sequence is not from 0 to {MAX_SEQUENCE}'
