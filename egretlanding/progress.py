"""Judges by the bytes moved whether a transfer makes progress."""

import attrs

# Least rate of a body that arrives or an answer that is read, bytes a second,
# on average over a period.
MIN_RATE_BYTES_PER_S = 256
# Time over which the rate of a body is judged, seconds.
BODY_PERIOD_S = 10.0
# Time over which the rate of reading is judged, seconds. The kernel reports in
# large steps that a slow caller has read something.
ANSWER_PERIOD_S = 30.0
# Time without a byte after which a transfer counts as stalled, seconds.
STALL_S = 1.0


@attrs.define
class TransferProgress:
    """The progress of one transfer.

    Attributes:
        period_s: Time over which the rate is judged, seconds.
        began_at: Start of the present period, monotonic seconds.
        began_with: Bytes that had moved by then.
        moved_at: When the count was last seen to change, seconds.
        moved: The count at that time.
    """

    period_s: float
    began_at: float = 0
    began_with: int = 0
    moved_at: float = 0
    moved: int = 0

    def restart(self, now: float, moved: int = 0) -> None:
        """Begins a new transfer, or a period in which no rate is due."""
        self.began_at = now
        self.began_with = moved
        self.moved_at = now
        self.moved = moved

    def is_too_slow(self, now: float, moved: int) -> bool:
        """Returns whether a whole period passed below the least rate.

        Args:
            now: Monotonic time, seconds.
            moved: Bytes moved since the transfer began.
        """
        if moved != self.moved:
            self.moved = moved
            self.moved_at = now
        elapsed_s = now - self.began_at
        if elapsed_s < self.period_s:
            return False
        too_slow = moved - self.began_with < MIN_RATE_BYTES_PER_S * elapsed_s
        self.began_at = now
        self.began_with = moved
        return too_slow
