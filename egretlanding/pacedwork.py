"""Work that is superseded by later work and may take a share of the time."""

from collections.abc import Callable
from typing import Any

import attrs

from egretlanding.containment import contained

# Time for which work is left until others have been served, seconds. What has
# arrived meanwhile, such as the questions of other daemons, is handled first.
DELAY_S = 0.02
# Largest share of the time that the work takes, up to the longest pause.
MAX_SHARE = 0.2
# Longest pause, seconds. A host that was suspended during the work would
# otherwise pause for a multiple of that time.
MAX_PAUSE_S = 0.5


@attrs.define(eq=False)
class PacedWork:
    """Runs the latest piece of work, and pauses in proportion to its time.

    Attributes:
        reactor: The reactor that gives the time.
        name: What the work is, for the log.
        pending: The latest piece that has not run, None if there is none.
        timer: When it runs, None if nothing is scheduled.
        next_at: Time before which no piece runs, seconds.
        superseded: Number of pieces that were left out for a later one.
    """

    reactor: Any
    name: str
    pending: Callable[[], None] | None = None
    timer: Any = None
    next_at: float = 0
    superseded: int = 0

    def submit(self, work: Callable[[], None]) -> None:
        """Runs a piece of work soon, unless a later one comes before."""
        self.superseded += self.pending is not None
        self.pending = work
        if self.timer is None:
            now = self.reactor.seconds()
            delay_s = max(DELAY_S, self.next_at - now)
            self.timer = self.reactor.callLater(delay_s, self.run)

    def run(self) -> None:
        """Runs the latest piece of work."""
        self.timer = None
        work = self.pending
        self.pending = None
        started_at = self.reactor.seconds()
        if work:
            with contained(self.name):
                work()
        now = self.reactor.seconds()
        pause_s = (now - started_at) * (1 / MAX_SHARE - 1)
        self.next_at = now + min(pause_s, MAX_PAUSE_S)
