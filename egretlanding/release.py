"""Releases: immutable snapshots of all configuration objects."""

import hashlib
import zlib
from collections.abc import Iterable, Iterator, Mapping
from typing import Any

import attrs
import msgspec

from egretlanding.exceptions import ReleaseError
from egretlanding.objects import KINDS, ConfigObject

HEAD_KEY = 'release/head'
PART_PREFIX = 'release/parts/'
HOSTS_KEY = 'hosts'

PART_TARGET_BYTES = 262_144
MAX_PART_BYTES = 4_194_304
MAX_VALUE_BYTES = 1_000_000
MAX_PARTS = 1_024
MAX_RELEASE_BYTES = 33_554_432
SHORT_DIGEST_LENGTH = 12
BUCKET_HASH_DIGITS = 8
HEX_BASE = 16

ObjectKey = tuple[str, str]

# Exceptions that decoding of malformed input raises.
DECODE_ERRORS = (
    msgspec.MsgspecError,
    LookupError,
    RecursionError,
    TypeError,
    ValueError,
)


@attrs.frozen
class Position:
    """The position of a release in the total order that daemons follow.

    Releases are ordered by number. Of two releases with the same number,
    the one that was written to the store later wins on every daemon.

    Attributes:
        number: The number that operators gave the release.
        revision: The store's revision of the head that announced it.
        digest: The release's digest, the tie-breaker if number and
            revision are equal.
    """

    number: int = 0
    revision: int = 0
    digest: str = ''

    def __lt__(self, other: 'Position') -> bool:
        return self.sort_key < other.sort_key

    def __le__(self, other: 'Position') -> bool:
        return self.sort_key <= other.sort_key

    def __gt__(self, other: 'Position') -> bool:
        return self.sort_key > other.sort_key

    def __ge__(self, other: 'Position') -> bool:
        return self.sort_key >= other.sort_key

    @property
    def sort_key(self) -> tuple[int, int, str]:
        """The tuple by which positions are compared."""
        return self.number, self.revision, self.digest


@attrs.frozen
class PartReference:
    """Identifies one part of a release by its digest.

    Attributes:
        digest: Hex SHA-256 of the part as stored.
        size: Size of the part as stored, bytes.
    """

    digest: str
    size: int


@attrs.frozen
class Head:
    """The value in the store that announces a release and lists its parts.

    Attributes:
        number: The release's number.
        parent: Digest of the release that it succeeds, or empty.
        digest: The release's digest.
        parts: The parts that hold its objects.
    """

    number: int
    parent: str
    digest: str
    parts: tuple[PartReference, ...] = ()

    @classmethod
    def from_bytes(cls, encoded: bytes) -> 'Head':
        """Decodes a head.

        Raises:
            ReleaseError: The bytes aren't a well-formed head.
        """
        try:
            head = msgspec.json.decode(encoded, type=cls)
        except DECODE_ERRORS as error:
            raise ReleaseError(
                f'the release head is malformed ({error})',
                'publish the files that "egretlanding compile" wrote',
            ) from error
        if head.number < 1 or len(head.parts) > MAX_PARTS:
            raise ReleaseError(
                'the release head has a number below 1 or too many parts',
                f'use numbers from 1 and at most {MAX_PARTS} parts',
            )
        return head

    def to_bytes(self) -> bytes:
        """Encodes the head as canonical JSON."""
        return msgspec.json.encode(self, order='sorted')


@attrs.frozen
class Release:
    """All configuration objects of one publication.

    Attributes:
        number: The number that operators gave the release, from 1.
        parent: Digest of the release that it succeeds, or empty.
        objects: The objects by kind and name.
        index: The digest of each object by kind and name.
        digest: Hex SHA-256 over number, parent and index.
    """

    number: int
    parent: str
    objects: Mapping[ObjectKey, ConfigObject] = attrs.field(repr=False)
    index: Mapping[ObjectKey, str] = attrs.field(repr=False)
    digest: str

    @classmethod
    def from_objects(
        cls,
        number: int,
        parent: str,
        objects: Iterable[ConfigObject],
    ) -> 'Release':
        """Builds a release; the order of the objects doesn't matter."""
        by_key = {
            (release_object.kind, release_object.name): release_object
            for release_object in objects
        }
        index = {
            key: digest_of(encode_object(config_object))
            for key, config_object in sorted(by_key.items())
        }
        return cls(
            number=number,
            parent=parent,
            objects=by_key,
            index=index,
            digest=digest_of(_encode_index(number, parent, index)),
        )

    @classmethod
    def from_parts(
        cls,
        head: Head,
        parts: Mapping[str, bytes],
    ) -> 'Release':
        """Rebuilds a release from its head and its parts.

        Args:
            head: The head that announced the release.
            parts: The stored parts by digest.

        Raises:
            ReleaseError: A part is missing or corrupt, or the rebuilt
                release doesn't have the announced digest.
        """
        release = cls.from_objects(
            head.number,
            head.parent,
            map(decode_object, _decompress_lines(head, parts)),
        )
        return release.verify_digest(head.digest)

    def verify_digest(self, digest: str) -> 'Release':
        """Checks the digest and returns the release itself.

        Args:
            digest: The digest that the head announced.

        Raises:
            ReleaseError: The digests differ.
        """
        if self.digest != digest:
            raise ReleaseError(
                f'release {self.number} has digest {shorten(self.digest)}, '
                f'but its head announced {shorten(digest)}',
                'publish the head and parts of one "egretlanding compile" run',
            )
        return self

    def position(self, revision: int) -> Position:
        """Returns the release's position in the order of releases.

        Args:
            revision: The store's revision of its head.
        """
        return Position(self.number, revision, self.digest)

    def to_parts(self) -> tuple[Head, dict[str, bytes]]:
        """Splits the release into a head and content-addressed parts.

        Objects are assigned to parts by a hash of their key, so that
        changing one object changes only one part.

        Returns:
            The head and the compressed parts by digest.
        """
        encoded = {
            key: encode_object(config_object)
            for key, config_object in sorted(self.objects.items())
        }
        count = _part_count(sum(map(len, encoded.values())))
        buckets: list[list[bytes]] = [[] for _ in range(count)]
        for key, line in encoded.items():
            buckets[_bucket(key, count)].append(line)
        stored = [zlib.compress(b'\n'.join(bucket), 9) for bucket in buckets]
        references = tuple(
            PartReference(digest_of(part), len(part)) for part in stored
        )
        head = Head(self.number, self.parent, self.digest, references)
        return head, {digest_of(part): part for part in stored}


def digest_of(content: bytes) -> str:
    """Returns the hex SHA-256 of the content."""
    return hashlib.sha256(content).hexdigest()


def shorten(digest: str) -> str:
    """Returns the first digits of a digest, for logs and error messages."""
    return digest[:SHORT_DIGEST_LENGTH]


def encode_object(config_object: ConfigObject) -> bytes:
    """Encodes an object as one line of canonical JSON."""
    return msgspec.json.encode(config_object, order='sorted')


def decode_object(encoded: bytes) -> ConfigObject:
    """Decodes an object and requires its canonical form.

    Raises:
        ReleaseError: The object is malformed, of an unknown kind, or has
            fields that this version doesn't know.
    """
    try:
        config_object = _decode(encoded)
    except DECODE_ERRORS as error:
        raise ReleaseError(
            f'an object of the release is malformed ({error})',
            'compile the release with the version that the daemons run',
        ) from error
    if encode_object(config_object) != encoded:
        raise ReleaseError(
            f'{config_object.kind} {config_object.name} is not in canonical '
            'form',
            'compile the release with the version that the daemons run',
        )
    return config_object


def inflate(compressed: bytes, limit: int = MAX_PART_BYTES) -> bytes:
    """Decompresses bytes up to a limit.

    Args:
        compressed: The bytes as `zlib.compress` wrote them.
        limit: Maximum size of the decompressed bytes.

    Raises:
        ReleaseError: The bytes are corrupt or truncated, or decompress to
            more than the limit.
    """
    inflater = zlib.decompressobj()
    try:
        plain = inflater.decompress(compressed, limit)
    except zlib.error as error:
        raise ReleaseError(
            f'compressed data is corrupt ({error})',
            'fetch it again; if that fails, publish the release again',
        ) from error
    if not inflater.eof:
        raise ReleaseError(
            f'compressed data is truncated or exceeds {limit} bytes',
            'fetch it again; if that fails, publish fewer or smaller objects',
        )
    return plain


@attrs.frozen
class _EncodedObject:
    kind: str
    name: str
    spec: dict[str, Any]


def _decode(encoded: bytes) -> ConfigObject:
    plain = msgspec.json.decode(encoded, type=_EncodedObject)
    spec: Any = msgspec.convert(plain.spec, KINDS[plain.kind])
    return ConfigObject(plain.kind, plain.name, spec)


def _encode_index(
    number: int,
    parent: str,
    index: Mapping[ObjectKey, str],
) -> bytes:
    rows = [[*key, digest] for key, digest in sorted(index.items())]
    return msgspec.json.encode([number, parent, rows])


def _part_count(size: int) -> int:
    return 1 << max(0, (size // PART_TARGET_BYTES).bit_length())


def _bucket(key: ObjectKey, count: int) -> int:
    return (
        int(digest_of('/'.join(key).encode())[:BUCKET_HASH_DIGITS], HEX_BASE)
        % count
    )


def _decompress_lines(
    head: Head,
    parts: Mapping[str, bytes],
) -> Iterator[bytes]:
    # Small compressed parts may decompress to far more than their stored size.
    remaining_bytes = MAX_RELEASE_BYTES
    for reference in head.parts:
        plain = _decompress_part(reference, parts)
        remaining_bytes -= len(plain)
        if remaining_bytes < 0:
            raise ReleaseError(
                f'the release exceeds {MAX_RELEASE_BYTES} bytes',
                'publish fewer or smaller objects',
            )
        yield from plain.splitlines()


def _decompress_part(
    reference: PartReference,
    parts: Mapping[str, bytes],
) -> bytes:
    compressed = parts.get(reference.digest)
    if compressed is None or digest_of(compressed) != reference.digest:
        raise ReleaseError(
            f'part {shorten(reference.digest)} is missing or corrupt',
            'publish all parts before the head',
        )
    return inflate(compressed)
