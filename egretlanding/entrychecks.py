"""Checks whether the entry of a target names one that can be used."""

import ipaddress
import re

ADDRESS_FORM = 'an IPv4 address of a host and a port from 1 to 65535'
PORT_PATTERN = '[0-9]{1,5}'
MAX_PORT = 65_535


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
