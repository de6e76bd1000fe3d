"""Tells an outage of the store from requests that failed."""

import math

import attrs

MS_PER_S = 1_000
# Shortest time without a confirmation that counts as an outage of the store. An
# entry lapses after several missed heartbeats, so none does in a shorter one.
MIN_OUTAGE_S = 1.75


@attrs.define
class Outages:
    """What is known of failures of the store, also by other daemons.

    The store was away only if nobody is known to have been served for a while.
    If it turns some daemons away, the others confirm the records.

    Attributes:
        failed_at: When a request to the store last failed, of this daemon or
            of one that told so, seconds. The store may have served others.
        ended_at: When the store last failed before it answered again after an
            outage, or was found to have been restored from an older copy,
            seconds.
    """

    failed_at: float = -math.inf
    ended_at: float = -math.inf

    def record_failure(self, at: float) -> None:
        """Records that the store failed a request."""
        self.failed_at = max(self.failed_at, at)

    def record_restoration(self, at: float) -> None:
        """Records that the store was restored from an older copy."""
        self.ended_at = at

    def record_confirmation(self, previous: float, at: float) -> None:
        """Ends an outage if the records were not confirmed for long.

        A daemon that starts can't tell, and takes a failure for an outage.

        Args:
            previous: When the records were confirmed before, seconds.
            at: When they were confirmed now, seconds.
        """
        if at - previous > MIN_OUTAGE_S and self.failed_at > previous:
            self.ended_at = self.failed_at

    def failure_age_ms(self, now: float) -> int:
        """Returns the time since the last failure, ms; -1 if there is none."""
        age_s = now - self.failed_at
        return -1 if math.isinf(age_s) else int(age_s * MS_PER_S)

    def hear_failure(self, age_ms: int, now: float) -> None:
        """Records a failure that another daemon has told of.

        Args:
            age_ms: Time since then, ms; -1 for none.
            now: Monotonic time, seconds.
        """
        if age_ms >= 0:
            self.record_failure(now - age_ms / MS_PER_S)
