"""A token bucket whose rate may change."""

import attrs


@attrs.define
class TokenBucket:
    """A bucket that is refilled at a steady rate up to a limit, the burst.

    Attributes:
        rate: Tokens added per second.
        burst: Maximum number of tokens held.
        level: Number of tokens at the time `updated`; negative in debt.
        updated: Time of the last change of the level, seconds.
    """

    rate: float
    burst: float
    level: float
    updated: float

    @classmethod
    def full(cls, rate: float, burst: float, now: float) -> 'TokenBucket':
        """Returns a bucket that is full."""
        return cls(rate, burst, burst, now)

    def available(self, now: float) -> float:
        """Returns the number of tokens held now; negative in debt."""
        elapsed = max(0, now - self.updated)
        return min(self.burst, self.level + elapsed * self.rate)

    def take(self, amount: float, now: float) -> bool:
        """Takes tokens if the bucket holds enough.

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
        """Takes tokens for a cost already incurred, if need be into debt."""
        self.level = self.available(now) - amount
        self.updated = max(self.updated, now)
