"""Odd entries that another writer may leave among those of the targets."""

import json
import time

DEEP = 100_000
ARRAYS = '[' * DEEP + ']' * DEEP
OBJECTS = ''.join(('{"":' * DEEP, '1', '}' * DEEP))
# Deep enough to exhaust the decoder's stack, in a small value.
SHALLOW_ARRAYS = '[' * 5_000 + ']' * 5_000
DIGITS = '1' * 5_000
LETTERS = 'x' * 1_000_000
MARK = 'the place of the odd value'
START_MS = int(time.time() * 1_000) - 60_000
CENTURY_MS = 100 * 365 * 86_400_000

# The field that is odd, and the JSON text in its place; HOST and PORT stand
# for the address that the entry names.
ODD_FIELDS = {
    'arrays-in-unknown-field': ('extra', ARRAYS),
    'objects-in-unknown-field': ('extra', OBJECTS),
    'arrays-in-known-field': ('status', ARRAYS),
    'objects-in-known-field': ('info', OBJECTS),
    'small-arrays-in-unknown-field': ('extra', SHALLOW_ARRAYS),
    'small-arrays-in-known-field': ('info.slots', SHALLOW_ARRAYS),
    'long-unknown-field': ('extra', f'"{LETTERS}"'),
    'port-99999': ('address', '"HOST:99999"'),
    'port-65536': ('address', '"HOST:65536"'),
    'port-zero': ('address', '"HOST:0"'),
    'port-negative': ('address', '"HOST:-1"'),
    'port-signed': ('address', '"HOST:+PORT"'),
    'port-underscore': ('address', '"HOST:8_0"'),
    'port-arabic': ('address', '"HOST:٨٠٨٠"'),
    'port-superscript': ('address', '"HOST:²"'),
    'port-spaces': ('address', '"HOST: PORT "'),
    'port-empty': ('address', '"HOST:"'),
    'port-missing': ('address', '"HOST"'),
    'port-5000-digits': ('address', f'"HOST:{DIGITS}"'),
    'port-long': ('address', f'"HOST:{LETTERS[:50_000]}"'),
    'port-with-path': ('address', '"HOST:PORT/a"'),
    'address-empty': ('address', '""'),
    'address-name': ('address', '"nohost:PORT"'),
    'address-localhost': ('address', '"localhost:PORT"'),
    'address-no-host': ('address', '":PORT"'),
    'address-ipv6': ('address', '"[::1]:PORT"'),
    'address-bare-ipv6': ('address', '"::1:PORT"'),
    'address-spaces': ('address', '" HOST :PORT"'),
    'address-url': ('address', '"http://HOST:PORT/"'),
    'address-path': ('address', '"HOST/a:PORT"'),
    'address-short': ('address', '"127.1:PORT"'),
    'address-octet': ('address', '"127.0.0.256:PORT"'),
    'address-any': ('address', '"0.0.0.0:PORT"'),
    'address-broadcast': ('address', '"255.255.255.255:PORT"'),
    'address-multicast': ('address', '"224.0.0.1:PORT"'),
    'address-zero-byte': ('address', r'"HOST\u0000:PORT"'),
    'address-surrogate': ('address', r'"\ud800:PORT"'),
    'address-number': ('address', '7'),
    'slots-huge': ('info.slots', str(2**64 - 1)),
    'slots-negative': ('info.slots', '-5'),
    'slots-zero': ('info.slots', '0'),
    'slots-1e308': ('info.slots', '1e308'),
    'slots-1e400': ('info.slots', '1e400'),
    'slots-5000-digits': ('info.slots', DIGITS),
    'slots-float': ('info.slots', '2.5'),
    'slots-text': ('info.slots', '"2"'),
    'slots-null': ('info.slots', 'null'),
    'slots-true': ('info.slots', 'true'),
    'born-huge': ('born', str(2**64 - 1)),
    'born-larger': ('born', str(10**30)),
    'born-next-century': ('born', str(START_MS + CENTURY_MS)),
    'born-negative': ('born', '-1'),
    'born-float': ('born', f'{START_MS}.5'),
    'born-text': ('born', f'"{START_MS}"'),
    'sequence-huge': ('status.sequence', str(2**64 - 1)),
    'sequence-larger': ('status.sequence', str(10**30)),
    'sequence-negative': ('status.sequence', '-1'),
    'sequence-text': ('status.sequence', '"1"'),
    'state-unknown': ('status.state', '"asleep"'),
    'state-null': ('status.state', 'null'),
    'state-long': ('status.state', f'"{LETTERS[:50_000]}"'),
    'state-surrogate': ('status.state', r'"\udfff"'),
    'service-empty': ('info.service', '""'),
    'service-null': ('info.service', 'null'),
    'service-long': ('info.service', f'"{LETTERS[:50_000]}"'),
    'zone-unknown': ('info.zone', '"z9"'),
    'zone-empty': ('info.zone', '""'),
    'info-list': ('info', '[]'),
    'status-null': ('status', 'null'),
}
# No record tells of these; the configuration names no such service.
UNKNOWN_SERVICES = {
    'service-unknown': ('info.service', '"no-such-service"'),
    'service-zero-byte': ('info.service', r'"orders\u0000"'),
}
ODD_VALUES = {
    'empty': b'',
    'not-json': b'not JSON',
    'truncated': b'{"address": "127.0.0.1:80", "info": {',
    'array': b'[]',
    'number': b'7',
    'null': b'null',
    'empty-object': b'{}',
    'not-utf8': b'\xff\xfe',
    'zero-bytes': bytes(100),
    'long-junk': b'{' * 1_000_000,
}
# Keys below the prefix of entries that are no name of a target.
ODD_NAMES = {
    'key-200-bytes': 'k' * 192,
    'key-slashes': 'i-1/i-2',
    'key-dots': '../i-1',
    'key-non-ascii': 'i-ä٨',
    'key-spaces': 'i 1',
    'key-lines': 'i-1\r\nx: y',
    'key-zero-byte': 'i-\0',
}


def sound_entry(address: str, port: int, sequence: int = 1) -> dict:
    """Returns an entry that names a target of the service `orders`."""
    return {
        'address': f'{address}:{port}',
        'info': {
            'service': 'orders',
            'version': 'v1',
            'zone': 'z1',
            'slots': 2,
        },
        'status': {
            'state': 'ready',
            'sequence': sequence,
            'cold-remaining': '0ms',
        },
        'born': START_MS,
    }


def odd_entry(kind: str, address: str, port: int) -> bytes:
    """Returns the bytes of an odd entry that names an address."""
    odd_value = ODD_VALUES.get(kind)
    if odd_value is not None:
        return odd_value
    path, odd_text = {**ODD_FIELDS, **UNKNOWN_SERVICES}[kind]
    entry = sound_entry(address, port)
    *parents, name = path.split('.')
    place = entry[parents[0]] if parents else entry
    place[name] = MARK
    odd_text = odd_text.replace('HOST', address).replace('PORT', str(port))
    return json.dumps(entry).replace(f'"{MARK}"', odd_text).encode()
