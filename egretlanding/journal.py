"""Counts and logs the outcomes of releases, host lists and exchanges."""

import time
from collections import deque
from collections.abc import Callable, Iterable

import attrs

from egretlanding.events import Event, Severity, log_event
from egretlanding.release import HEAD_KEY, shorten
from egretlanding.releasetable import Applied, Conflict, Outcome, Refused
from egretlanding.transitions import SetChangeLog

MAX_APPLIED = 32


@attrs.define
class Counters:
    """Counts of the work of the control tasks, for metrics.

    Attributes:
        releases_applied: Releases put in force.
        releases_refused: Releases refused because the check found faults.
        hosts_applied: Host lists put in force.
        exchanges: Exchanges started by this daemon that succeeded.
        exchange_failures: Exchanges and pulls started by this daemon that
            failed.
        exchanges_answered: Exchanges started by other daemons.
        pulls: Releases and host lists pulled from other daemons.
        pauses: Pauses of the process that were detected.
    """

    releases_applied: int = 0
    releases_refused: int = 0
    hosts_applied: int = 0
    exchanges: int = 0
    exchange_failures: int = 0
    exchanges_answered: int = 0
    pulls: int = 0
    pauses: int = 0


@attrs.frozen
class AppliedRelease:
    """A release that was put in force.

    Attributes:
        number: The release's number.
        revision: The store's revision of the release's head.
        applied_at: Wall clock time, seconds since the epoch.
        source: Where it came from: a host's id or "store".
    """

    number: int
    revision: int
    applied_at: float
    source: str


def _conflict_events() -> SetChangeLog:
    return SetChangeLog(
        Event.RELEASE_CONFLICT,
        'two releases are in conflict; the later one is in force',
    )


def _watch_events() -> SetChangeLog:
    return SetChangeLog(
        Event.WATCH_STARTED,
        'started to read the store for the region',
        Event.WATCH_STOPPED,
        'stopped reading the store; other daemons read it',
        Severity.INFO,
    )


@attrs.define(eq=False)
class Journal:
    """Counts and logs outcomes, whether of the store or of other daemons.

    Attributes:
        on_update: Called when an update should be applied and propagated.
        counters: Counts since the start of the process.
        applied: The last `MAX_APPLIED` releases put in force.
        conflicts: Logs conflicts of releases, as number/digests.
        watched_keys: Logs which keys of the store this daemon watches.
    """

    on_update: Callable[[], None]
    counters: Counters = attrs.field(factory=Counters)
    applied: deque[AppliedRelease] = attrs.field(
        factory=lambda: deque(maxlen=MAX_APPLIED),
    )
    conflicts: SetChangeLog = attrs.field(factory=_conflict_events)
    watched_keys: SetChangeLog = attrs.field(factory=_watch_events)

    def note_release(self, outcome: Outcome, source: str) -> None:
        """Counts and logs the outcome of an offered release.

        Args:
            outcome: The outcome.
            source: Where the release came from: a host's id or "store".
        """
        match outcome:
            case Applied(position=position):
                self.counters.releases_applied += 1
                self.applied.append(
                    AppliedRelease(
                        position.number,
                        position.revision,
                        time.time(),
                        source,
                    ),
                )
                log_event(
                    Event.RELEASE_APPLIED,
                    'release applied',
                    number=position.number,
                    digest=shorten(position.digest),
                    source=source,
                )
            case Refused(position=position, faults=faults):
                self.counters.releases_refused += 1
                log_event(
                    Event.RELEASE_REFUSED,
                    'release refused; the current one stays in force',
                    Severity.ERROR,
                    number=position.number,
                    digest=shorten(position.digest),
                    faults='; '.join(faults),
                )
        self.on_update()

    def note_hosts(self, accepted: bool, revision: int) -> None:
        """Counts and logs a host list, if it was accepted."""
        if accepted:
            self.counters.hosts_applied += 1
            log_event(
                Event.HOSTS_UPDATED,
                'host list updated',
                revision=revision,
            )
            self.on_update()

    def note_state(
        self,
        conflicts: Iterable[Conflict],
        is_watcher: bool,
    ) -> None:
        """Logs new conflicts, and the start and stop of watching the store."""
        subjects = (
            '/'.join((str(conflict.number), *conflict.digests))
            for conflict in conflicts
        )
        self.conflicts.update(frozenset(subjects))
        self.watched_keys.update(frozenset((HEAD_KEY,) if is_watcher else ()))

    def note_pause(self, pause_s: float) -> None:
        """Counts and logs a pause of the process."""
        self.counters.pauses += 1
        log_event(
            Event.DAEMON_WOKE,
            'process was paused; syncing again before serving calls',
            Severity.WARNING,
            seconds=round(pause_s, 1),
        )
