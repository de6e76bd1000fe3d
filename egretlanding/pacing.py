"""The pace at which a target takes calls, by the limit that it names."""

import attrs

from egretlanding.tokens import TokenBucket

# Least pace, calls per second. Without any call, no answer would say that the
# limit has ended.
MIN_RATE_PER_S = 0.25
# Time for which unused calls are saved up, seconds.
BURST_S = 0.25
# Rounding error of the number of calls saved up.
ROUNDING = 1e-6


@attrs.define
class Pace:
    """Spreads the calls to a target over time while it names a limit.

    Attributes:
        rate_per_s: The limit, None while the target names none.
        bucket: Holds one token for each call that may start, None while
            there is no limit.
    """

    rate_per_s: float | None = None
    bucket: TokenBucket | None = None

    def allows(self, now: float) -> bool:
        """Returns whether a call may start now."""
        if self.bucket is None:
            return True
        return self.bucket.available(now) >= 1 - ROUNDING

    def wait_s(self, calls: int, now: float) -> float:
        """Returns after what time the last of some calls may start, seconds."""
        if self.bucket is None:
            return 0
        missing = calls - self.bucket.available(now)
        return missing / self.bucket.rate if missing > ROUNDING else 0

    def change(self, rate_per_s: float | None, now: float) -> None:
        """Changes the limit.

        A new limit starts without saved calls, since the target may have had
        them already.

        Args:
            rate_per_s: Calls per second, or None for no limit.
            now: Monotonic time, seconds.
        """
        if rate_per_s == self.rate_per_s:
            return
        self.rate_per_s = rate_per_s
        if rate_per_s is None:
            self.bucket = None
            return
        rate = max(MIN_RATE_PER_S, rate_per_s)
        burst = max(1, rate * BURST_S)
        saved = self.bucket.available(now) if self.bucket else 0
        self.bucket = TokenBucket(rate, burst, min(saved, burst), now)

    def take(self, now: float) -> None:
        """Counts a call that starts now."""
        if self.bucket:
            self.bucket.charge(1, now)
