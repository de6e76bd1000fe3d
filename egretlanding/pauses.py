"""Detects that the own process was paused."""

import attrs

BEAT_S = 0.25
PAUSE_S = 2


@attrs.define
class PauseDetector:
    """Compares the time between beats with the time that they should take.

    Attributes:
        last: Time of the last beat, seconds.
    """

    last: float

    def gap(self, now: float) -> float:
        """Returns the length of a pause that ends now, seconds, or zero.

        Whoever sees a pause calls `wake` of its balancers, `advance` of its
        admission, and has the host list confirmed before it takes keys.

        Args:
            now: Monotonic time, seconds; it must run on during a pause.
        """
        elapsed = now - self.last
        return elapsed if elapsed > PAUSE_S else 0

    def beat(self, now: float) -> None:
        """Records that the process runs."""
        self.last = max(self.last, now)
