"""Measures how long arriving bytes may have waited for a paused process."""

from collections.abc import Callable
from typing import Any

import attrs

from egretlanding.events import Event, Severity, log_event
from egretlanding.pauses import PauseDetector

# Bytes that arrived during a pause are read within this time after it.
READ_WINDOW_S = 0.25


@attrs.define(eq=False)
class PauseMonitor:
    """Detects pauses of the process before any call is served after them.

    Code that reads calls must first call `read_delay_s`. A pause is then
    detected by whichever comes first after it, the periodic beat or a call.

    Attributes:
        reactor: The reactor; its clock gives the monotonic time.
        pauses: Detects pauses.
        on_pause_ended: Called after each pause with the current time, before
            calls are served.
        pause_s: Length of the last pause, seconds.
        pause_ended_at: When it ended, monotonic seconds.
    """

    reactor: Any
    pauses: PauseDetector
    on_pause_ended: list[Callable[[float], None]] = attrs.field(factory=list)
    pause_s: float = 0
    pause_ended_at: float = float('-inf')

    @classmethod
    def from_reactor(cls, reactor: Any) -> 'PauseMonitor':
        """Builds the monitor of a process that is running now."""
        return cls(reactor, PauseDetector(reactor.seconds()))

    def read_delay_s(self) -> float:
        """Returns how long bytes read now may have waited unread, seconds."""
        now = self.reactor.seconds()
        pause_length_s = self.pauses.pause_length_s(now)
        if pause_length_s:
            self.end_pause(pause_length_s, now)
        return self.pause_s if now - self.pause_ended_at < READ_WINDOW_S else 0

    def beat(self) -> None:
        """Records that the process is running."""
        self.read_delay_s()
        self.pauses.beat(self.reactor.seconds())

    def end_pause(self, pause_s: float, now: float) -> None:
        """Records a pause and calls the `on_pause_ended` callbacks."""
        self.pauses.beat(now)
        self.pause_s = pause_s
        self.pause_ended_at = now
        log_event(
            Event.DAEMON_WOKE,
            'the process was paused',
            Severity.WARNING,
            seconds=round(pause_s, 1),
        )
        for callback in self.on_pause_ended:
            callback(now)
