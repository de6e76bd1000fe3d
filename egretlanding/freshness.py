"""The age of what a daemon knows of the store, without a common clock."""

import math

import attrs


@attrs.define
class Freshness:
    """When the store was last asked, and last confirmed what is held.

    Times are on this process's own monotonic clock. Ages from other daemons
    are upper bounds, because the receiver adds the whole duration of the
    request that brought them; so ages here are upper bounds as well, and
    they keep growing while the process is paused.

    Attributes:
        confirmed_at: Time of the last confirmation by any watcher, seconds.
        attempted_at: Time of the last attempt by any watcher, seconds.
        hosts_at: Time since when any later host list was published, seconds.
    """

    confirmed_at: float = -math.inf
    attempted_at: float = -math.inf
    hosts_at: float = -math.inf

    def confirmed_age(self, now: float) -> float:
        """Returns the time since the last confirmation, seconds."""
        return now - self.confirmed_at

    def attempted_age(self, now: float) -> float:
        """Returns the time since the last attempt, seconds."""
        return now - self.attempted_at

    def hosts_age(self, now: float) -> float:
        """Returns how long ago the host list held was the latest, seconds."""
        return now - self.hosts_at

    def note_hosts(self, now: float, age: float = 0) -> None:
        """Takes a confirmation of the host list into account."""
        self.hosts_at = max(self.hosts_at, now - age)

    def note_confirmed(self, now: float, age: float = 0) -> None:
        """Takes a confirmation of some age into account."""
        self.confirmed_at = max(self.confirmed_at, now - age)

    def note_attempted(self, now: float, age: float = 0) -> None:
        """Takes an attempt of some age into account."""
        self.attempted_at = max(self.attempted_at, now - age)
