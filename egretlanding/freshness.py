"""Ages of a daemon's knowledge of the store, without a common clock."""

import math

import attrs


@attrs.define
class Freshness:
    """When the store was last read, and last confirmed what this daemon holds.

    Times are on this process's own monotonic clock. Ages from other daemons
    are upper bounds, because the receiver adds the whole duration of the
    request in whose reply they came. Thus the ages here are upper bounds as
    well. They keep growing while the process is paused.

    Attributes:
        confirmed_at: Time of the last confirmation by any watcher, seconds.
        attempted_at: Time of the last attempt by any watcher, seconds.
        hosts_at: When the host list held was last known to be the latest,
            seconds.
    """

    confirmed_at: float = -math.inf
    attempted_at: float = -math.inf
    hosts_at: float = -math.inf

    def confirmed_age(self, now: float) -> float:
        """Returns the age of the last confirmation, seconds."""
        return now - self.confirmed_at

    def attempted_age(self, now: float) -> float:
        """Returns the age of the last attempt, seconds."""
        return now - self.attempted_at

    def hosts_age(self, now: float) -> float:
        """Returns the age of the host list's last confirmation, seconds."""
        return now - self.hosts_at

    def note_hosts(self, now: float, age: float = 0) -> None:
        """Records that the host list was confirmed `age` seconds ago."""
        self.hosts_at = max(self.hosts_at, now - age)

    def note_confirmed(self, now: float, age: float = 0) -> None:
        """Records that the release in force was confirmed `age` seconds ago."""
        self.confirmed_at = max(self.confirmed_at, now - age)

    def note_attempted(self, now: float, age: float = 0) -> None:
        """Records that a read of the store was attempted `age` seconds ago."""
        self.attempted_at = max(self.attempted_at, now - age)
