"""Reads the YAML files of a directory as node trees, within fixed bounds."""

import os
from collections.abc import Iterator
from pathlib import Path

import attrs
import yaml
from result import Err, Ok, Result

from egretlanding.bounds import SPLIT_REMEDY, refusals
from egretlanding.findings import Finding
from egretlanding.texts import show

MAX_FILES = 4_096
MAX_FILE_BYTES = 262_144
MAX_TOTAL_BYTES = 8_388_608
SUFFIXES = ('.yaml', '.yml')


@attrs.frozen
class Document:
    """The node tree of one file.

    Attributes:
        file: Path of the file, relative to the directory that was read.
        root: The root node, with line marks.
    """

    file: str
    root: yaml.Node


def read_directory(
    directory: Path,
) -> tuple[tuple[Document, ...], tuple[Finding, ...]]:
    """Reads every YAML file below a directory.

    Args:
        directory: The directory; links to other directories aren't followed.

    Returns:
        The documents of the files that could be read, and a finding for
        each file that couldn't.
    """
    files = list(_find_files(directory))
    if not files:
        return (), (_without_files(directory),)
    room = MAX_TOTAL_BYTES
    documents: list[Document] = []
    findings: list[Finding] = []
    for path in files[:MAX_FILES]:
        name = show(str(path.relative_to(directory)))
        content = _read_bytes(path, min(room, MAX_FILE_BYTES))
        room -= len(content.unwrap_or(b''))
        outcome = content.and_then(compose)
        if isinstance(outcome, Ok):
            documents.append(Document(name, outcome.ok_value))
        else:
            findings.append(attrs.evolve(outcome.err_value, file=name))
    if len(files) > MAX_FILES:
        findings.append(_surplus(directory, files[MAX_FILES]))
    return tuple(documents), tuple(findings)


def compose(content: bytes) -> Result[yaml.Node, Finding]:
    """Parses one document in bounded time and memory.

    Args:
        content: The bytes of the file.

    Returns:
        The root node, or a finding that says what was refused.
    """
    try:
        return _compose(content.decode('utf-8'))
    except UnicodeDecodeError as error:
        line = content[: error.start].count(b'\n') + 1
        return Err(
            Finding('', line, '', 'not UTF-8', 'save the file as UTF-8'),
        )
    except yaml.YAMLError as error:
        return Err(_syntax_finding(error))


def _compose(text: str) -> Result[yaml.Node, Finding]:
    # The events are checked first, since composing recurses into the tree
    # and follows aliases.
    events = yaml.parse(text, Loader=yaml.CSafeLoader)
    refused = next(refusals(events), None)
    if refused is not None:
        return Err(refused)
    root = yaml.compose(text, Loader=yaml.CSafeLoader)
    if root is None:
        return Err(
            Finding('', 0, '', 'the file is empty', 'write objects or drop it'),
        )
    return Ok(root)


def _syntax_finding(error: yaml.YAMLError) -> Finding:
    mark = getattr(error, 'problem_mark', None)
    problem = getattr(error, 'problem', None) or getattr(error, 'reason', '')
    return Finding(
        '',
        mark.line + 1 if mark else 0,
        '',
        f'not well-formed YAML ({show(str(problem))})',
        'correct the syntax near this line',
    )


def _find_files(directory: Path) -> Iterator[Path]:
    for root, folders, names in os.walk(directory):
        folders.sort()
        for name in sorted(names):
            if name.endswith(SUFFIXES):
                yield Path(root, name)


def _read_bytes(path: Path, most: int) -> Result[bytes, Finding]:
    # Opening a named pipe would block until another process writes to it.
    if not path.is_file():
        return Err(Finding('', 0, '', 'not a regular file', 'remove it'))
    try:
        with path.open('rb') as stream:
            content = stream.read(most + 1)
    except OSError as error:
        reason = f'not readable ({error.strerror})'
        return Err(Finding('', 0, '', reason, 'correct its permissions'))
    if len(content) > most:
        return Err(_oversized())
    return Ok(content)


def _oversized() -> Finding:
    return Finding(
        '',
        0,
        '',
        f'over {MAX_FILE_BYTES} bytes, or all files over {MAX_TOTAL_BYTES}',
        SPLIT_REMEDY,
    )


def _without_files(directory: Path) -> Finding:
    return Finding(
        show(str(directory)),
        0,
        '',
        'no YAML files found',
        'name a directory that holds files ending in .yaml',
    )


def _surplus(directory: Path, first: Path) -> Finding:
    return Finding(
        show(str(first.relative_to(directory))),
        0,
        '',
        f'more than {MAX_FILES} files; this one and later ones were not read',
        'write several objects in one file',
    )
