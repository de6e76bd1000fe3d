"""Counts and logs what became of releases, host lists and exchanges."""

import time
from collections import deque
from collections.abc import Callable, Iterable

import attrs

from egretlanding.events import Event, Severity, log_event
from egretlanding.ledger import Adopted, Conflict, Outcome, Refused
from egretlanding.release import HEAD_KEY, shorten
from egretlanding.transitions import SetEvents

MAX_APPLIED = 32


@attrs.define
class Counters:
    """What the control tasks did, for metrics.

    Attributes:
        releases_applied: Releases put in force.
        releases_refused: Releases kept out.
        hosts_applied: Host lists put in force.
        exchanges: Comparisons that succeeded, as their client.
        exchange_failures: Comparisons that failed, as their client.
        exchanges_answered: Comparisons that other daemons asked for.
        pulls: Releases and host lists pulled from other daemons.
        pauses: Pauses of the process that were noticed.
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
        revision: The store's revision of its head.
        applied_at: Wall clock time, seconds since the epoch.
        source: Where it came from: a host's id or "store".
    """

    number: int
    revision: int
    applied_at: float
    source: str


def _conflict_events() -> SetEvents:
    return SetEvents(
        Event.RELEASE_CONFLICT,
        'two releases exclude each other; the later one is in force',
    )


def _duty_events() -> SetEvents:
    return SetEvents(
        Event.WATCH_STARTED,
        'reads the store for its region',
        Event.WATCH_STOPPED,
        'leaves the store to other daemons',
        Severity.INFO,
    )


@attrs.define(eq=False)
class Journal:
    """Hears of every outcome, whichever way it came about.

    Attributes:
        on_news: Called when news should be applied and passed on.
        counters: What happened so far.
        applied: The releases applied last.
        conflicts: Conflicts of releases, as number/digests.
        duty: Keys of the store that this daemon is to watch.
    """

    on_news: Callable[[], None]
    counters: Counters = attrs.field(factory=Counters)
    applied: deque[AppliedRelease] = attrs.field(
        factory=lambda: deque(maxlen=MAX_APPLIED),
    )
    conflicts: SetEvents = attrs.field(factory=_conflict_events)
    duty: SetEvents = attrs.field(factory=_duty_events)

    def note_release(self, outcome: Outcome, source: str) -> None:
        """Reports what became of a release.

        Args:
            outcome: What became of it.
            source: Where it came from: a host's id or "store".
        """
        match outcome:
            case Adopted(position=position):
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
                    'release refused; the one in force stays',
                    Severity.ERROR,
                    number=position.number,
                    digest=shorten(position.digest),
                    faults='; '.join(faults),
                )
        self.on_news()

    def note_hosts(self, taken: bool, revision: int) -> None:
        """Reports a host list, if it was taken."""
        if taken:
            self.counters.hosts_applied += 1
            log_event(
                Event.HOSTS_UPDATED,
                'host list updated',
                revision=revision,
            )
            self.on_news()

    def note_state(self, conflicts: Iterable[Conflict], on_duty: bool) -> None:
        """Reports new conflicts, and the begin and end of watching."""
        subjects = (
            '/'.join((str(conflict.number), *conflict.digests))
            for conflict in conflicts
        )
        self.conflicts.update(frozenset(subjects))
        self.duty.update(frozenset((HEAD_KEY,) if on_duty else ()))

    def note_pause(self, gap: float) -> None:
        """Reports that the process did not run for some seconds."""
        self.counters.pauses += 1
        log_event(
            Event.DAEMON_WOKE,
            'the process was paused; comparing again before serving',
            Severity.WARNING,
            seconds=round(gap, 1),
        )
