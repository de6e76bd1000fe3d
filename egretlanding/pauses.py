"""Detects that this process was paused."""

import attrs

# Interval at which the process records that it runs, seconds.
BEAT_INTERVAL_S = 0.25
# Shortest time without a beat that counts as a pause, seconds.
MIN_PAUSE_S = 2


@attrs.define
class PauseDetector:
    """Detects pauses by the time since the last regular beat.

    Attributes:
        last_beat: Monotonic time of the last beat, seconds.
    """

    last_beat: float

    def pause_length_s(self, now: float) -> float:
        """Returns the length of a pause that ends now, seconds, or zero.

        After a pause, the daemon must call `reset_after_pause` of its target
        tables and `advance` of its admission, and have the host list confirmed
        before it accepts keys.

        Args:
            now: Monotonic time, seconds, of a clock that does not stop
                during a pause.
        """
        elapsed = now - self.last_beat
        return elapsed if elapsed > MIN_PAUSE_S else 0

    def beat(self, now: float) -> None:
        """Records that the process is running."""
        self.last_beat = max(self.last_beat, now)
