"""Writes log events as JSON lines, rate-limited and without blocking."""

import os
from collections.abc import Callable
from typing import Any

import attrs
import msgspec

from egretlanding.events import Event, Severity
from egretlanding.tokens import TokenBucket

# Rate and burst size of the lines of one event.
LINES_PER_S = 40
LINES_BURST = 200
# Lines are dropped while more bytes than this wait for a slow reader.
MAX_BUFFERED_BYTES = 65_536
FLUSH_BYTES = 4_096
TIME_DECIMALS = 3


@attrs.define(eq=False)
class LineLog:
    """Buffers lines and writes them as fast as the reader accepts them.

    Attributes:
        file: The file descriptor to write to; it must be non-blocking.
        clock: Returns monotonic time, seconds.
        wall: Returns the time since the epoch, seconds, for comparing
            processes.
        host: The name of the host, which each line contains.
        buffered: Bytes that aren't written yet.
        budgets: The rate limit of each event.
        left_out: Number of lines of each event that the rate limit has left
            out since the last summary.
        written: Number of lines that were added to the buffer.
        lost: Number of lines lost since the last summary because the buffer
            was full.
        dropped: Number of all lines left out or lost.
    """

    file: int
    clock: Callable[[], float]
    wall: Callable[[], float]
    host: str
    buffered: bytearray = attrs.field(factory=bytearray)
    budgets: dict[Event, TokenBucket] = attrs.field(factory=dict)
    left_out: dict[Event, int] = attrs.field(factory=dict)
    written: int = 0
    lost: int = 0
    dropped: int = 0

    def write(
        self,
        event: Event,
        message: str,
        severity: Severity,
        fields: dict[str, object],
    ) -> None:
        """Writes one event, unless it exceeds its rate limit."""
        now = self.clock()
        budget = self.budgets.get(event)
        if budget is None:
            budget = TokenBucket.full(LINES_PER_S, LINES_BURST, now)
            self.budgets[event] = budget
        if not budget.take(1, now):
            self.left_out[event] = self.left_out.get(event, 0) + 1
            self.dropped += 1
            return
        self.append(event, message, severity, fields)

    def append(
        self,
        event: Event,
        message: str,
        severity: Severity,
        fields: dict[str, object],
    ) -> None:
        """Adds a line to the buffer, or drops it if the buffer is full."""
        if len(self.buffered) > MAX_BUFFERED_BYTES:
            self.lost += 1
            self.dropped += 1
            return
        line: dict[str, Any] = {
            'time': round(self.wall(), TIME_DECIMALS),
            'steady': round(self.clock(), TIME_DECIMALS),
            'host': self.host,
            'level': severity.value,
            'event': event.value,
            'name': event.name.lower(),
            'message': message,
            **fields,
        }
        self.buffered.extend(msgspec.json.encode(line, enc_hook=str))
        self.buffered.extend(b'\n')
        self.written += 1
        if len(self.buffered) > FLUSH_BYTES:
            self.flush()

    def flush(self) -> None:
        """Writes as many buffered bytes as the reader accepts."""
        if not self.buffered:
            return
        try:
            written_bytes = os.write(self.file, self.buffered)
        except BlockingIOError:
            # The reader is slow; the lines stay buffered, and new ones are
            # lost if the buffer gets full.
            return
        del self.buffered[:written_bytes]

    def summarize(self) -> None:
        """Writes the number of lines that were left out, and flushes."""
        self.flush()
        has_room = len(self.buffered) <= MAX_BUFFERED_BYTES
        if has_room and (self.left_out or self.lost):
            left_out = {
                event.name.lower(): count
                for event, count in self.left_out.items()
            }
            fields: dict[str, object] = {'by_event': left_out}
            if self.lost:
                fields['lost'] = self.lost
            self.left_out.clear()
            self.lost = 0
            message = 'lines were left out to limit the log volume'
            self.append(Event.LINES_LEFT_OUT, message, Severity.INFO, fields)
        self.flush()
