"""Writes log events as lines of JSON, bounded in volume and never blocking."""

import os
from collections.abc import Callable
from typing import Any

import attrs
import msgspec

from egretlanding.events import Event, Severity
from egretlanding.tokens import TokenBucket

# Lines of one event in a second, and at once after a quiet time.
LINES_PER_S = 40
LINES_BURST = 200
# Bytes that wait for a reader that is slow.
MAX_WAITING_BYTES = 65_536
FLUSH_BYTES = 4_096
DIGITS = 3


@attrs.define(eq=False)
class LineLog:
    """Gathers lines and writes them when the reader takes them.

    Attributes:
        file: The file descriptor to write to; it must not block.
        clock: Returns steady seconds, as times of beliefs are.
        wall: Returns seconds since the epoch, for comparing processes.
        host: The name of the host, which each line carries.
        waiting: Bytes that aren't written yet.
        budgets: What is left of each event's budget.
        left_out: Lines of each event that were left out since the last
            summary.
        written: Lines written.
        lost: Lines lost since then because the reader took none.
        dropped: Lines left out or lost.
    """

    file: int
    clock: Callable[[], float]
    wall: Callable[[], float]
    host: str
    waiting: bytearray = attrs.field(factory=bytearray)
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
        """Writes one event, unless its budget is spent."""
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
        """Adds a line to those that wait."""
        if len(self.waiting) > MAX_WAITING_BYTES:
            self.lost += 1
            self.dropped += 1
            return
        line: dict[str, Any] = {
            'time': round(self.wall(), DIGITS),
            'steady': round(self.clock(), DIGITS),
            'host': self.host,
            'level': severity.value,
            'event': event.value,
            'name': event.name.lower(),
            'message': message,
            **fields,
        }
        self.waiting.extend(msgspec.json.encode(line, enc_hook=str))
        self.waiting.extend(b'\n')
        self.written += 1
        if len(self.waiting) > FLUSH_BYTES:
            self.flush()

    def flush(self) -> None:
        """Writes what the reader takes."""
        if not self.waiting:
            return
        try:
            taken = os.write(self.file, self.waiting)
        except BlockingIOError:
            # The reader is slow; the lines wait, and new ones may be lost.
            return
        del self.waiting[:taken]

    def summarize(self) -> None:
        """Writes how many lines were left out, and flushes."""
        self.flush()
        room = len(self.waiting) <= MAX_WAITING_BYTES
        if room and (self.left_out or self.lost):
            left_out = {
                event.name.lower(): count
                for event, count in self.left_out.items()
            }
            fields: dict[str, object] = {'by_event': left_out}
            if self.lost:
                fields['lost'] = self.lost
            self.left_out.clear()
            self.lost = 0
            message = 'lines were left out to bound the volume'
            self.append(Event.LINES_LEFT_OUT, message, Severity.INFO, fields)
        self.flush()
