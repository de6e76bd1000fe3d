"""Tells the story of one request from the logs of the daemons."""

import re
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any

import msgspec

from egretlanding.answers import ExitCode, Reply
from egretlanding.exceptions import TraceError

# Shown at the front of a line, or of no use to a reader.
FRONT_FIELDS = frozenset(
    ('time', 'steady', 'host', 'event', 'name', 'message', 'request', 'level'),
)
# Collectors of logs put times and names before what a process wrote.
LINE_PATTERN = re.compile(r'\{"time":.*\}\s*$')
MS_PER_S = 1_000


def trace(request: str, files: Iterable[Path]) -> Reply:
    """Returns what daemons decided on a request, in order of time.

    Args:
        request: The request's id.
        files: Logs of any number of daemons.

    Raises:
        TraceError: A file can't be read.
    """
    torn = 0
    found: list[dict[str, Any]] = []
    for line in _lines(files):
        entry = read_line(line)
        if entry is None:
            torn += request in line
        elif entry.get('request') == request:
            found.append(entry)
    found.sort(key=lambda entry: entry['time'])
    lines = [describe(entry, found[0]['time']) for entry in found]
    if not found:
        lines.append(f'no line tells of {request}; are all logs given?')
    if torn:
        lines.append(f'{torn} lines that name it are torn and were left out')
    code = ExitCode.DONE if found else ExitCode.FOUND
    return Reply.from_lines(lines, found, code)


def read_line(line: str) -> dict[str, Any] | None:
    """Returns the event that a line holds, or None if it holds none."""
    match = LINE_PATTERN.search(line)
    if match is None:
        return None
    try:
        entry = msgspec.json.decode(match[0])
    except msgspec.MsgspecError:
        # A line that was cut; the caller counts it.
        return None
    is_event = isinstance(entry, dict) and isinstance(
        entry.get('time'),
        int | float,
    )
    return entry if is_event else None


def describe(entry: dict[str, Any], start: float) -> str:
    """Returns one event as a line for people.

    Args:
        entry: The event.
        start: Time of the first event, seconds since the epoch.
    """
    passed_ms = (entry['time'] - start) * MS_PER_S
    details = ' '.join(
        f'{name}={value}'
        for name, value in entry.items()
        if name not in FRONT_FIELDS and value not in ('', [])
    )
    return (
        f'{passed_ms:+8.0f} ms  {entry.get("host", "?"):15} '
        f'{entry.get("name", "?")}: {entry.get("message", "")} ({details})'
    )


def _lines(files: Iterable[Path]) -> Iterator[str]:
    for path in files:
        try:
            with path.open(encoding='utf-8', errors='replace') as file:
                yield from file
        except OSError as error:
            raise TraceError(
                f'{path} can not be read ({error.strerror})',
                'name the files that hold the output of the daemons',
            ) from error
