"""Logs the entries that were added to or removed from a set."""

import attrs

from egretlanding.events import Event, Severity, log_event


@attrs.define
class SetChangeLog:
    """Logs one event for each entry that was added to or removed from a set.

    Policy modules are pure and don't log. Instead, the tasks that use them
    periodically pass the current set to `update`.

    Attributes:
        added_event: Event of an added entry.
        added_message: What the addition means, in one clause.
        removed_event: Event of a removed entry, None if removals aren't
            logged.
        removed_message: What the removal means, in one clause.
        severity: Severity of the event of an added entry.
        last_entries: The entries at the last update.
    """

    added_event: Event
    added_message: str
    removed_event: Event | None = None
    removed_message: str = ''
    severity: Severity = Severity.WARNING
    last_entries: frozenset[str] = frozenset()

    def update(self, entries: frozenset[str]) -> None:
        """Logs the changes since the last update."""
        for entry in sorted(entries - self.last_entries):
            log_event(
                self.added_event,
                self.added_message,
                self.severity,
                subject=entry,
            )
        if self.removed_event is not None:
            for entry in sorted(self.last_entries - entries):
                log_event(
                    self.removed_event, self.removed_message, subject=entry
                )
        self.last_entries = entries
