"""A token bucket with a rate that may change."""

import attrs


@attrs.define
class TokenBucket:
    """Grants tokens at a steady rate and up to a burst.

    Attributes:
        rate: Tokens added per second.
        burst: The most tokens held.
        level: Tokens held at `updated`.
        updated: Time of the last change, seconds.
    """

    rate: float
    burst: float
    level: float
    updated: float

    @classmethod
    def full(cls, rate: float, burst: float, now: float) -> 'TokenBucket':
        """Builds a bucket that holds its burst."""
        return cls(rate, burst, burst, now)

    def available(self, now: float) -> float:
        """Returns the tokens that could be taken now."""
        elapsed = max(0, now - self.updated)
        return min(self.burst, self.level + elapsed * self.rate)

    def take(self, amount: float, now: float) -> bool:
        """Takes tokens if there are enough.

        Returns:
            Whether the tokens were taken; nothing is taken otherwise.
        """
        level = self.available(now)
        if amount > level:
            return False
        self.level = level - amount
        self.updated = max(self.updated, now)
        return True

    def put(self, amount: float, now: float) -> None:
        """Adds tokens, up to the burst."""
        self.level = min(self.burst, self.available(now) + amount)
        self.updated = max(self.updated, now)

    def charge(self, amount: float, now: float) -> None:
        """Takes tokens that are spent already, if need be into debt."""
        self.level = self.available(now) - amount
        self.updated = max(self.updated, now)
