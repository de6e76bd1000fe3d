"""Limits how often one daemon reads the store."""

from random import Random

import attrs

READ_CAPACITY = 32
READS_PER_S = 1
RETRY_FIRST_S = 1
RETRY_CAP_S = 5
LOW_RANK_RETRY_FIRST_S = 60
LOW_RANK_RETRY_CAP_S = 120
MAX_DOUBLINGS = 6


@attrs.define
class ReadBudget:
    """A token bucket of reads, with backoff after failed attempts.

    Attributes:
        random: Source of jitter.
        refilled_at: When `tokens` was last computed, seconds.
        tokens: Reads available at `refilled_at`, below zero after overdraft.
        retry_at: Earliest time of the next attempt, seconds.
        failures: Attempts since the store last answered.
    """

    random: Random
    refilled_at: float
    tokens: float = READ_CAPACITY
    retry_at: float = 0
    failures: int = 0

    def available(self, now: float) -> int:
        """Returns the number of reads that may be made now."""
        return int(self._tokens_at(now))

    def may_attempt(self, now: float) -> bool:
        """Returns whether a request may be sent to the store now."""
        return now >= self.retry_at and self.available(now) >= 1

    def spend(self, reads: int, now: float) -> None:
        """Takes reads from the bucket, which may go below zero."""
        self.tokens = self._tokens_at(now) - reads
        self.refilled_at = now

    def attempt(self, now: float, watcher_or_standby: bool) -> None:
        """Takes one read and starts the backoff that an answer will end.

        Args:
            now: The time, seconds.
            watcher_or_standby: Whether the daemon is a watcher or a standby.
                All others back off for longer.
        """
        self.spend(1, now)
        first = RETRY_FIRST_S if watcher_or_standby else LOW_RANK_RETRY_FIRST_S
        cap = RETRY_CAP_S if watcher_or_standby else LOW_RANK_RETRY_CAP_S
        ceiling = min(cap, first * 2 ** min(self.failures, MAX_DOUBLINGS))
        self.retry_at = now + self.random.uniform(ceiling / 2, ceiling)
        self.failures += 1

    def succeed(self, now: float) -> None:
        """Ends the backoff after an answer of the store."""
        self.failures = 0
        self.retry_at = now

    def _tokens_at(self, now: float) -> float:
        gained = (now - self.refilled_at) * READS_PER_S
        return min(READ_CAPACITY, self.tokens + gained)
