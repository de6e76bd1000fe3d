"""Log events for entries that come into or leave a set."""

import attrs

from egretlanding.events import Event, Severity, log_event


@attrs.define
class SetEvents:
    """Logs one event for each entry that a set gained or lost.

    Policy modules are pure and don't log; their tasks pass the sets that
    they hold to `update` now and then.

    Attributes:
        gained: Event of an entry that was added.
        gained_text: What it means, in one clause.
        lost: Event of an entry that is gone, None if that isn't logged.
        lost_text: What that means, in one clause.
        severity: How urgent an added entry is.
        held: The entries at the last update.
    """

    gained: Event
    gained_text: str
    lost: Event | None = None
    lost_text: str = ''
    severity: Severity = Severity.WARNING
    held: frozenset[str] = frozenset()

    def update(self, entries: frozenset[str]) -> None:
        """Logs what changed since the last update."""
        for entry in sorted(entries - self.held):
            log_event(
                self.gained,
                self.gained_text,
                self.severity,
                subject=entry,
            )
        if self.lost is not None:
            for entry in sorted(self.held - entries):
                log_event(self.lost, self.lost_text, subject=entry)
        self.held = entries
