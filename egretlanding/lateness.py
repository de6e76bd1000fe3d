"""How long bytes that arrive now may have waited while the process slept."""

from collections.abc import Callable
from typing import Any

import attrs

from egretlanding.events import Event, Severity, log_event
from egretlanding.pauses import PauseDetector

# Bytes that waited through a pause are read within this time after it.
WAKE_WINDOW_S = 0.25


@attrs.define(eq=False)
class Lateness:
    """Notices pauses of the process, before anything else is served.

    Whoever reads calls asks for `late_s` first, so that it doesn't matter
    whether the beat or the calls come first after a pause.

    Attributes:
        reactor: The reactor that gives the time.
        pauses: Detects pauses.
        on_wake: Called with the time after each pause, before calls are
            served.
        pause_s: Length of the last pause, seconds.
        woke_at: When it ended, seconds.
    """

    reactor: Any
    pauses: PauseDetector
    on_wake: list[Callable[[float], None]] = attrs.field(factory=list)
    pause_s: float = 0
    woke_at: float = float('-inf')

    @classmethod
    def from_reactor(cls, reactor: Any) -> 'Lateness':
        """Builds the detector of a process that runs now."""
        return cls(reactor, PauseDetector(reactor.seconds()))

    def late_s(self) -> float:
        """Returns how long bytes that are read now may have waited."""
        now = self.reactor.seconds()
        gap = self.pauses.gap(now)
        if gap:
            self.wake(gap, now)
        return self.pause_s if now - self.woke_at < WAKE_WINDOW_S else 0

    def beat(self) -> None:
        """Records that the process runs."""
        self.late_s()
        self.pauses.beat(self.reactor.seconds())

    def wake(self, pause_s: float, now: float) -> None:
        """Has old beliefs dropped after a pause."""
        self.pauses.beat(now)
        self.pause_s = pause_s
        self.woke_at = now
        log_event(
            Event.DAEMON_WOKE,
            'the process was paused',
            Severity.WARNING,
            seconds=round(pause_s, 1),
        )
        for drop_beliefs in self.on_wake:
            drop_beliefs(now)
