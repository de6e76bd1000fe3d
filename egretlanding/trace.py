"""Collects the events of one request from the logs of daemons."""

import re
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any

import msgspec

from egretlanding.commandresult import CommandResult, ExitCode
from egretlanding.exceptions import TraceError

# Fields that are shown at the start of a line or that readers don't need.
OMITTED_FIELDS = frozenset(
    ('time', 'steady', 'host', 'event', 'name', 'message', 'request', 'level'),
)
# Log collectors put times and names before what a process wrote.
LINE_PATTERN = re.compile(r'\{"time":.*\}\s*$')
MS_PER_S = 1_000


def trace(request: str, files: Iterable[Path]) -> CommandResult:
    """Returns what daemons decided about a request, in order of time.

    Args:
        request: Id of the request.
        files: Logs of any number of daemons.

    Raises:
        TraceError: A file can't be read.
    """
    undecoded = 0
    events: list[dict[str, Any]] = []
    for line in _read_lines(files):
        event = parse_event(line)
        if event is None:
            undecoded += request in line
        elif event.get('request') == request:
            events.append(event)
    events.sort(key=lambda event: event['time'])
    lines = [describe(event, events[0]['time']) for event in events]
    if not events:
        lines.append(
            f'no event of {request} found; give the logs of all daemons',
        )
    if undecoded:
        lines.append(
            f'left out {undecoded} lines that mention {request} but hold no '
            'complete event',
        )
    code = ExitCode.DONE if events else ExitCode.FOUND
    return CommandResult.from_lines(lines, events, code)


def parse_event(line: str) -> dict[str, Any] | None:
    """Returns the event in a line, or None if it holds no complete event."""
    match = LINE_PATTERN.search(line)
    if match is None:
        return None
    try:
        event = msgspec.json.decode(match[0])
    except msgspec.MsgspecError:
        # The line is truncated; trace() counts it.
        return None
    is_event = isinstance(event, dict) and isinstance(
        event.get('time'),
        int | float,
    )
    return event if is_event else None


def describe(event: dict[str, Any], start: float) -> str:
    """Renders one event as a line of text.

    Args:
        event: The event.
        start: Time of the first event, seconds since the epoch.
    """
    elapsed_ms = (event['time'] - start) * MS_PER_S
    details = ' '.join(
        f'{name}={value}'
        for name, value in event.items()
        if name not in OMITTED_FIELDS and value not in ('', [])
    )
    return (
        f'{elapsed_ms:+8.0f} ms  {event.get("host", "?"):15} '
        f'{event.get("name", "?")}: {event.get("message", "")} ({details})'
    )


def _read_lines(files: Iterable[Path]) -> Iterator[str]:
    for path in files:
        try:
            with path.open(encoding='utf-8', errors='replace') as file:
                yield from file
        except OSError as error:
            raise TraceError(
                f'{path} cannot be read ({error.strerror})',
                'give the files that hold the log output of the daemons',
            ) from error
