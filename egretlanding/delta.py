"""Encodes and applies deltas: changes between releases or host lists."""

import zlib
from collections.abc import Mapping
from typing import TypeVar

import attrs
import msgspec

from egretlanding.exceptions import DeltaError
from egretlanding.hosts import Host, HostList
from egretlanding.messages import HostsUpdate, ReleaseUpdate
from egretlanding.release import (
    ObjectKey,
    Release,
    decode_object,
    digest_of,
    encode_object,
    inflate,
    shorten,
)

MAX_UPDATE_BYTES = 16_777_216
COMPRESSION_LEVEL = 9
NO_OBJECTS: Mapping[ObjectKey, str] = {}
NO_HOSTS: Mapping[str, Host] = {}

Payload = TypeVar('Payload')


@attrs.frozen
class ReleaseHeader:
    """Identifies a release and its parent.

    Attributes:
        number: The release's number.
        parent: Digest of the release that it was derived from, or empty.
        digest: The release's digest.
    """

    number: int
    parent: str
    digest: str

    @classmethod
    def from_release(cls, release: Release) -> 'ReleaseHeader':
        """Returns the header of a release."""
        return cls(release.number, release.parent, release.digest)


@attrs.frozen
class ReleaseChanges:
    """The payload of a release update.

    Attributes:
        revision: The store's revision of the head. The release's digest
            doesn't cover it, but the compressed payload's checksum does.
        changed: New and changed objects in canonical form.
        removed: Kinds and names of removed objects.
    """

    revision: int
    changed: tuple[msgspec.Raw, ...]
    removed: tuple[ObjectKey, ...]


@attrs.frozen
class HostChanges:
    """The payload of a host list update.

    Attributes:
        revision: The store's revision of the list.
        digest: Hex SHA-256 of the resulting list.
        changed: New and changed hosts.
        removed: Ids of removed hosts.
    """

    revision: int
    digest: str
    changed: tuple[Host, ...]
    removed: tuple[str, ...]


def release_update(
    base: Release | None,
    release: Release,
    revision: int,
) -> ReleaseUpdate:
    """Encodes a release as changes against a base.

    Args:
        base: The release that the receiver holds, or None to encode the
            whole release.
        release: The release to encode.
        revision: The store's revision of the head that announced it.
    """
    base_index = base.index if base else NO_OBJECTS
    changes = ReleaseChanges(
        revision=revision,
        changed=tuple(
            msgspec.Raw(encode_object(release.objects[key]))
            for key, digest in release.index.items()
            if base_index.get(key) != digest
        ),
        removed=tuple(key for key in base_index if key not in release.index),
    )
    header = ReleaseHeader.from_release(release)
    return ReleaseUpdate(
        header=msgspec.json.encode(header, order='sorted'),
        revision=revision,
        base_digest=base.digest if base else '',
        payload=_compress(changes),
    )


def apply_release_update(
    base: Release | None,
    update: ReleaseUpdate,
) -> Release:
    """Builds the release that an update leads to, and verifies it.

    Args:
        base: The held release that the update is based on, or None.
        update: The update.

    Raises:
        DeltaError: The update is malformed or doesn't fit the base.
        ReleaseError: The result doesn't have the announced digest, or an
            object is malformed.
    """
    held_digest = base.digest if base else ''
    if update.base_digest != held_digest:
        raise DeltaError(
            f'the update needs release {shorten(update.base_digest)}',
            'ask for the whole release',
        )
    header = _decode(update.header, ReleaseHeader)
    changes = _decode(_inflate(update.payload), ReleaseChanges)
    _check_revision(update.revision, changes.revision)
    objects = dict(base.objects) if base else {}
    for key in changes.removed:
        objects.pop(key, None)
    changed_objects = [decode_object(bytes(line)) for line in changes.changed]
    objects.update(
        {
            (config_object.kind, config_object.name): config_object
            for config_object in changed_objects
        }
    )
    release = Release.from_objects(
        header.number,
        header.parent,
        objects.values(),
    )
    return release.verify_digest(header.digest)


def hosts_update(base: HostList | None, hosts: HostList) -> HostsUpdate:
    """Encodes a host list as changes against a base, if there is one."""
    base_hosts = base.hosts if base else NO_HOSTS
    changes = HostChanges(
        revision=hosts.revision,
        digest=hosts_digest(hosts),
        changed=tuple(
            host
            for host_id, host in sorted(hosts.hosts.items())
            if base_hosts.get(host_id) != host
        ),
        removed=tuple(sorted(base_hosts.keys() - hosts.hosts.keys())),
    )
    return HostsUpdate(
        revision=hosts.revision,
        base_revision=base.revision if base else 0,
        payload=_compress(changes),
    )


def apply_hosts_update(base: HostList, update: HostsUpdate) -> HostList:
    """Builds the host list that an update leads to, and verifies it.

    Raises:
        DeltaError: The update is malformed, doesn't fit the base, or the
            result doesn't have the announced digest.
    """
    if update.base_revision not in (0, base.revision):
        raise DeltaError(
            f'the update needs host list {update.base_revision}',
            'ask for the whole host list',
        )
    changes = _decode(_inflate(update.payload), HostChanges)
    _check_revision(update.revision, changes.revision)
    hosts = dict(base.hosts) if update.base_revision else {}
    for host_id in changes.removed:
        hosts.pop(host_id, None)
    hosts.update({host.host_id: host for host in changes.changed})
    host_list = HostList(update.revision, hosts)
    if hosts_digest(host_list) != changes.digest:
        raise DeltaError(
            f'host list {update.revision} has an unexpected digest',
            'ask for the whole host list',
        )
    return host_list


def hosts_digest(hosts: HostList) -> str:
    """Returns the hex SHA-256 of a list's hosts."""
    ordered = [host for _, host in sorted(hosts.hosts.items())]
    return digest_of(msgspec.json.encode(ordered, order='sorted'))


def _check_revision(announced: int, contained: int) -> None:
    if announced != contained:
        raise DeltaError(
            f'an update announces revision {announced} '
            f'and contains {contained}',
            'ask for it again',
        )


def _compress(changes: ReleaseChanges | HostChanges) -> bytes:
    return zlib.compress(msgspec.json.encode(changes), COMPRESSION_LEVEL)


def _inflate(payload: bytes) -> bytes:
    return inflate(payload, MAX_UPDATE_BYTES)


def _decode(encoded: bytes, expected: type[Payload]) -> Payload:
    try:
        return msgspec.json.decode(encoded, type=expected)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise DeltaError(
            f'the update is malformed ({error})',
            'ask for the whole release or host list',
        ) from error
