"""The two forms of idempotency keys, and their text format."""

import random
import re
import uuid
import zlib

import attrs

from egretlanding.exceptions import KeyFormatError

ISSUED_PREFIX = 'egk1'
SEPARATOR = ':'
MAX_KEY_LENGTH = 400
ISSUED_FIELD_COUNT = 5
UUID_VERSION = 7
UUID_TIME_SHIFT = 80
UUID_RANDOM_BITS = 74
UUID_LOW_BITS = 62
UUID_VERSION_SHIFT = 76
UUID_VARIANT_SHIFT = 62
UUID_VARIANT = 2
HEX_BASE = 16
MS_PER_S = 1_000

_NAME_PATTERN = re.compile('[A-Za-z0-9._-]{1,120}')
_HEX_PATTERN = re.compile('[0-9a-f]{1,32}')
_REMEDY = 'send a UUIDv7, or a key issued by POST /.egretlanding/keys/<service>'


@attrs.frozen
class CallerKey:
    """A key that the caller generated.

    Attributes:
        text: The UUIDv7 in its canonical form.
        created: When the caller generated it, seconds since the epoch.
    """

    text: str
    created: float


@attrs.frozen
class IssuedKey:
    """A key issued by a daemon, with the only process that may run its call.

    Attributes:
        service: The service that the key is for.
        host_id: The host whose daemon owns the key.
        incarnation: Start time of that daemon, ns since the epoch.
        unique: The UUIDv7 that distinguishes the keys of one owner.
    """

    service: str
    host_id: str
    incarnation: int
    unique: CallerKey

    @property
    def created(self) -> float:
        """When the key was issued, seconds since the epoch."""
        return self.unique.created

    @property
    def text(self) -> str:
        """The key as callers send it."""
        body = SEPARATOR.join(
            (
                ISSUED_PREFIX,
                self.service,
                self.host_id,
                f'{self.incarnation:x}',
                self.unique.text.replace('-', ''),
            )
        )
        return f'{body}{SEPARATOR}{_checksum(body)}'


Key = CallerKey | IssuedKey


def make_uuid7(wall: float, rng: random.Random) -> CallerKey:
    """Generates a UUIDv7 key; such keys sort by time.

    Args:
        wall: Wall clock time, seconds since the epoch.
        rng: Source of the random bits.
    """
    bits = rng.getrandbits(UUID_RANDOM_BITS)
    high, low = bits >> UUID_LOW_BITS, bits & ((1 << UUID_LOW_BITS) - 1)
    number = (
        (int(wall * MS_PER_S) << UUID_TIME_SHIFT)
        | (UUID_VERSION << UUID_VERSION_SHIFT)
        | (high << (UUID_VARIANT_SHIFT + 2))
        | (UUID_VARIANT << UUID_VARIANT_SHIFT)
        | low
    )
    return _from_uuid(uuid.UUID(int=number))


def issue_key(
    service: str,
    host_id: str,
    incarnation: int,
    wall: float,
    rng: random.Random,
) -> IssuedKey:
    """Issues a key whose call only one incarnation of a daemon may run.

    Args:
        service: The service that the key is for.
        host_id: The host of the owner, a healthy target of the service.
        incarnation: Start time of the owner's daemon, ns since the epoch.
        wall: Wall clock time, seconds since the epoch.
        rng: Source of the random bits.

    Raises:
        KeyFormatError: A name is not allowed in a key.
    """
    for name in (service, host_id):
        if not _NAME_PATTERN.fullmatch(name):
            raise KeyFormatError(
                f'the name {name!r} is not allowed in a key',
                'use only letters, digits, dots, dashes and underscores',
            )
    return IssuedKey(service, host_id, incarnation, make_uuid7(wall, rng))


def parse_key(text: str) -> Key:
    """Parses a key.

    Raises:
        KeyFormatError: The text has neither of the two forms.
    """
    if len(text) > MAX_KEY_LENGTH:
        raise KeyFormatError('the key is too long', _REMEDY)
    if text.startswith(ISSUED_PREFIX + SEPARATOR):
        return _parse_issued(text)
    return _parse_uuid(text)


def _parse_issued(text: str) -> IssuedKey:
    body, _, checksum = text.rpartition(SEPARATOR)
    fields = body.split(SEPARATOR)
    if checksum != _checksum(body) or len(fields) != ISSUED_FIELD_COUNT:
        raise KeyFormatError('the issued key is damaged', _REMEDY)
    service, host_id, incarnation, unique = fields[1:]
    names_are_valid = _NAME_PATTERN.fullmatch(
        service
    ) and _NAME_PATTERN.fullmatch(host_id)
    if not names_are_valid or not _HEX_PATTERN.fullmatch(incarnation):
        raise KeyFormatError('the issued key is damaged', _REMEDY)
    key = IssuedKey(
        service,
        host_id,
        int(incarnation, HEX_BASE),
        _parse_uuid(unique),
    )
    if key.text != text:
        raise KeyFormatError('the issued key is not canonical', _REMEDY)
    return key


def _parse_uuid(text: str) -> CallerKey:
    try:
        parsed = uuid.UUID(text)
    except ValueError as error:
        raise KeyFormatError('the key is not a UUID', _REMEDY) from error
    if parsed.version != UUID_VERSION:
        raise KeyFormatError('the key is a UUID but not version 7', _REMEDY)
    return _from_uuid(parsed)


def _from_uuid(parsed: uuid.UUID) -> CallerKey:
    return CallerKey(
        str(parsed),
        (parsed.int >> UUID_TIME_SHIFT) / MS_PER_S,
    )


def _checksum(body: str) -> str:
    return f'{zlib.crc32(body.encode()):08x}'
