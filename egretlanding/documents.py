"""Reads the YAML files of a directory as node trees, within fixed limits."""

import os
from collections.abc import Iterator
from itertools import islice
from pathlib import Path

import attrs
import yaml
from result import Err, Ok, Result, is_err, is_ok

from egretlanding.bounds import MAX_NODES_PER_FILE, SPLIT_REMEDY, Usage
from egretlanding.findings import Finding
from egretlanding.texts import printable, printable_path

MAX_FILES = 4_096
MAX_FILE_BYTES = 262_144
MAX_TOTAL_BYTES = 8_388_608
MAX_TOTAL_NODES = 262_144
SUFFIXES = ('.yaml', '.yml')


@attrs.frozen
class Document:
    """The node tree of one file.

    Attributes:
        file: Path of the file, relative to the directory that was read.
        root: The root node; nodes know their line.
    """

    file: str
    root: yaml.Node


@attrs.define
class RemainingLimits:
    """What remains of the limits for all files together.

    Attributes:
        size: Remaining bytes.
        nodes: Remaining nodes of YAML trees.
    """

    size: int = MAX_TOTAL_BYTES
    nodes: int = MAX_TOTAL_NODES


def read_directory(
    directory: Path,
) -> tuple[tuple[Document, ...], tuple[Finding, ...]]:
    """Reads every YAML file below a directory.

    Args:
        directory: The directory; symbolic links to directories aren't
            followed.

    Returns:
        The documents of the files that could be read, and a finding for
        each file that couldn't be read.
    """
    files = list(islice(_find_files(directory), MAX_FILES + 1))
    if not files:
        return (), (_no_files_finding(directory),)
    remaining = RemainingLimits()
    outcomes = [
        read_document(path, str(path.relative_to(directory)), remaining)
        for path in files[:MAX_FILES]
    ]
    excess = [_excess_finding(directory, path) for path in files[MAX_FILES:]]
    return (
        tuple(outcome.ok_value for outcome in outcomes if is_ok(outcome)),
        (
            *(outcome.err_value for outcome in outcomes if is_err(outcome)),
            *excess,
        ),
    )


def read_document(
    path: Path,
    name: str,
    remaining: RemainingLimits,
) -> Result[Document, Finding]:
    """Reads one file within bounds on time and memory.

    Args:
        path: The file.
        name: The file name to show in findings.
        remaining: The remaining limits; reduced by what the file uses.

    Returns:
        The document, or a finding that says why the file was refused.
    """
    shown_name = printable_path(name)
    outcome = _read_bytes(path, remaining).and_then(
        lambda content: _compose_bytes(shown_name, content, remaining),
    )
    return outcome.map_err(
        lambda finding: attrs.evolve(finding, file=shown_name),
    )


def _compose_bytes(
    name: str,
    content: bytes,
    remaining: RemainingLimits,
) -> Result[Document, Finding]:
    try:
        return _compose(name, content.decode('utf-8'), remaining)
    except UnicodeDecodeError as error:
        line = content[: error.start].count(b'\n') + 1
        return Err(
            Finding('', line, '', 'not valid UTF-8', 'save the file as UTF-8'),
        )
    except yaml.YAMLError as error:
        return Err(_syntax_finding(error))


def _compose(
    name: str,
    text: str,
    remaining: RemainingLimits,
) -> Result[Document, Finding]:
    # The limits are checked on parser events first, since composing the tree
    # is recursive and expands aliases.
    usage = Usage(min(remaining.nodes, MAX_NODES_PER_FILE))
    events = yaml.parse(text, Loader=yaml.CSafeLoader)
    violation = next(usage.violations(events), None)
    remaining.nodes -= usage.nodes
    if violation is not None:
        return Err(violation)
    root = yaml.compose(text, Loader=yaml.CSafeLoader)
    if root is None:
        return Err(
            Finding('', 0, '', 'the file is empty', 'add objects or delete it'),
        )
    return Ok(Document(name, root))


def _syntax_finding(error: yaml.YAMLError) -> Finding:
    mark = getattr(error, 'problem_mark', None)
    problem = getattr(error, 'problem', None) or getattr(error, 'reason', '')
    return Finding(
        '',
        mark.line + 1 if mark else 0,
        '',
        f'not well-formed YAML ({printable(str(problem))})',
        'correct the syntax near this line',
    )


def _find_files(directory: Path) -> Iterator[Path]:
    for root, folders, names in os.walk(directory):
        folders.sort()
        for name in sorted(names):
            if name.endswith(SUFFIXES):
                yield Path(root, name)


def _read_bytes(
    path: Path, remaining: RemainingLimits
) -> Result[bytes, Finding]:
    # Opening a named pipe would block until another process writes to it.
    if not path.is_file():
        return Err(Finding('', 0, '', 'not a regular file', 'remove it'))
    max_bytes = min(remaining.size, MAX_FILE_BYTES)
    try:
        with path.open('rb') as stream:
            content = stream.read(max_bytes + 1)
    except OSError as error:
        problem = f'cannot be read ({error.strerror})'
        return Err(Finding('', 0, '', problem, 'correct its permissions'))
    if len(content) > max_bytes:
        return Err(_oversized_finding())
    remaining.size -= len(content)
    return Ok(content)


def _oversized_finding() -> Finding:
    return Finding(
        '',
        0,
        '',
        f'larger than {MAX_FILE_BYTES} bytes, or all files together larger '
        f'than {MAX_TOTAL_BYTES}',
        SPLIT_REMEDY,
    )


def _no_files_finding(directory: Path) -> Finding:
    return Finding(
        printable_path(directory),
        0,
        '',
        'no YAML files found',
        'give a directory that contains files ending in .yaml',
    )


def _excess_finding(directory: Path, first: Path) -> Finding:
    return Finding(
        printable_path(first.relative_to(directory)),
        0,
        '',
        f'more than {MAX_FILES} files; this one and later ones were not read',
        'write several objects in one file',
    )
