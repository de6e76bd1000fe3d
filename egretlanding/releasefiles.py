"""Compiled releases as files, which operators publish to the store."""

import os
import re
from pathlib import Path

import attrs

from egretlanding.exceptions import SourceError
from egretlanding.release import (
    HEAD_KEY,
    MAX_PARTS,
    MAX_VALUE_BYTES,
    PART_PREFIX,
    Head,
    Release,
)
from egretlanding.texts import printable_path

# Below this prefix, a key of the store is the path of its file in the output
# directory.
KEY_ROOT = 'release/'
DIGEST_PATTERN = '[0-9a-f]{64}'


@attrs.frozen
class Parent:
    """The release that another release succeeds.

    Attributes:
        digest: Its digest; empty if the other release is the first.
        number: Its number; zero if only the digest is known.
    """

    digest: str = ''
    number: int = 0

    @classmethod
    def from_text(cls, text: str) -> 'Parent':
        """Parses a digest, or the path of a head or of a compiled release.

        Raises:
            SourceError: The text is neither a digest nor the path of a readable
                file.
            ReleaseError: The file is not a head.
        """
        if not text or re.fullmatch(DIGEST_PATTERN, text):
            return cls(text)
        head = read_head(Path(text))
        return cls(head.digest, head.number)


def is_compiled_release(directory: Path) -> bool:
    """Returns whether a directory holds a compiled release."""
    return _key_path(directory, HEAD_KEY).is_file()


def read_head(path: Path) -> Head:
    """Reads the head of a compiled release.

    Args:
        path: The file of the head, or the directory that holds it.

    Raises:
        SourceError: The file can't be read.
        ReleaseError: The file is not a head.
    """
    file = _key_path(path, HEAD_KEY) if path.is_dir() else path
    return Head.from_bytes(_read(file))


def read_release(directory: Path) -> Release:
    """Reads a compiled release.

    Raises:
        SourceError: A file can't be read.
        ReleaseError: A file is corrupt.
    """
    head = read_head(directory)
    parts = {
        reference.digest: _read(
            _key_path(directory, f'{PART_PREFIX}{reference.digest}'),
        )
        for reference in head.parts
        if re.fullmatch(DIGEST_PATTERN, reference.digest)
    }
    return Release.from_parts(head, parts)


def write_release(release: Release, directory: Path) -> Head:
    """Writes a release, the parts first and the head last.

    Args:
        release: The release.
        directory: Directory to write to; it may hold files of earlier
            releases.

    Raises:
        SourceError: A file can't be written, or the release is too large
            for the store.
    """
    head, parts = release.to_parts()
    files = {
        **{f'{PART_PREFIX}{digest}': part for digest, part in parts.items()},
        HEAD_KEY: head.to_bytes(),
    }
    largest = max(map(len, files.values()))
    if largest > MAX_VALUE_BYTES or len(head.parts) > MAX_PARTS:
        raise SourceError(
            f'the release has {len(head.parts)} parts of up to {largest} bytes',
            f'keep to {MAX_PARTS} parts of {MAX_VALUE_BYTES} bytes',
        )
    for key, content in files.items():
        _write(_key_path(directory, key), content)
    return head


def _key_path(directory: Path, key: str) -> Path:
    return directory / key.removeprefix(KEY_ROOT)


def _read(path: Path) -> bytes:
    try:
        with path.open('rb') as stream:
            return stream.read(MAX_VALUE_BYTES)
    except OSError as error:
        raise SourceError(
            f'{printable_path(path)} cannot be read ({error.strerror})',
            'give a directory that "egretlanding compile" wrote, or its head',
        ) from error


def _write(path: Path, content: bytes) -> None:
    # The replacement is atomic, so no reader sees a partly written file.
    temporary = path.with_name(f'{path.name}.draft')
    try:
        path.parent.mkdir(parents=True, exist_ok=True)
        temporary.write_bytes(content)
        os.replace(temporary, path)
    except OSError as error:
        raise SourceError(
            f'{printable_path(path)} cannot be written ({error.strerror})',
            'give a directory that you may write to',
        ) from error
