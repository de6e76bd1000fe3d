"""Decides which release is in force when other releases are offered."""

import enum
import itertools
from collections.abc import Callable, Iterable, Sequence
from typing import Any

import attrs

from egretlanding.delta import ReleaseHeader, release_update
from egretlanding.messages import ReleaseUpdate
from egretlanding.objects import ConfigObject
from egretlanding.release import Position, Release, shorten

MAX_BASES = 8
MAX_ACCEPTED = 32
MAX_REFUSED = 64
MAX_CONFLICTS = 16
MAX_FAULTS_KEPT = 8

FindFaults = Callable[[Iterable[ConfigObject]], Sequence[Any]]


@attrs.frozen
class Applied:
    """The offered release was put in force.

    Attributes:
        previous: Position that was in force before.
        position: Position in force now.
    """

    previous: Position
    position: Position


@attrs.frozen
class Ignored:
    """The offered release isn't later than the one in force.

    Attributes:
        position: Position of the offered release.
    """

    position: Position


@attrs.frozen
class Refused:
    """The offered release fails the check of its whole set of objects.

    Attributes:
        position: Position of the offered release.
        faults: The first faults that the check found, as text.
    """

    position: Position
    faults: tuple[str, ...]


Outcome = Applied | Ignored | Refused


class ConflictReason(enum.StrEnum):
    """Why two releases are in conflict."""

    SAME_NUMBER = 'same number'
    SAME_PARENT = 'same parent'


@attrs.frozen(order=True)
class Conflict:
    """Two releases of which only one can stay in force.

    Attributes:
        number: The greater number of the two.
        digests: The first digits of both digests, in ascending order.
        reason: Why only one of them can stay in force.
    """

    number: int
    digests: tuple[str, str]
    reason: ConflictReason = attrs.field(order=False)

    @classmethod
    def between(
        cls, first: ReleaseHeader, second: ReleaseHeader
    ) -> 'Conflict | None':
        """Returns the conflict between two releases, or None."""
        if first.digest == second.digest:
            return None
        reason = _conflict_reason(first, second)
        if reason is None:
            return None
        low, high = sorted((first.digest, second.digest))
        return cls(
            number=max(first.number, second.number),
            digests=(shorten(low), shorten(high)),
            reason=reason,
        )

    @classmethod
    def from_text(
        cls,
        subject: str,
        evidence: tuple[str, ...],
    ) -> 'Conflict | None':
        """Parses a conflict from a notice; returns None if it is malformed.

        Args:
            subject: The notice's subject: number and digests, separated by
                slashes.
            evidence: The notice's evidence, which is the reason only.
        """
        try:
            number, low, high = subject.split('/')
            reason = ConflictReason(*evidence)
            return cls(int(number), (low, high), reason)
        except (ValueError, TypeError):
            return None


@attrs.define
class ReleaseTable:
    """The release in force and the recent releases that were offered.

    The position in force never goes down. A release that fails the check is
    recorded by its digest only, so it can't block another release, whatever
    the number of that release.

    Attributes:
        find_faults: The check of a release's whole set of objects.
        position: Position of the release in force.
        release: The release in force, if any.
        delta_bases: Releases recently in force by digest, as bases of deltas.
        passed_headers: Headers of recent releases that passed the check by
            digest, to detect conflicts.
        refused: Releases that failed the check by digest.
        conflicts: The known conflicts, ordered by number.
        updates: Cache of encoded updates to the release in force by the
            digest of their base, empty for the whole release.
    """

    find_faults: FindFaults
    position: Position = attrs.field(factory=Position)
    release: Release | None = None
    delta_bases: dict[str, Release] = attrs.field(factory=dict)
    passed_headers: dict[str, ReleaseHeader] = attrs.field(factory=dict)
    refused: dict[str, Refused] = attrs.field(factory=dict)
    conflicts: tuple[Conflict, ...] = ()
    updates: dict[str, ReleaseUpdate] = attrs.field(factory=dict)

    @property
    def digest(self) -> str:
        """Digest of the release in force, or empty."""
        return self.position.digest

    def should_pull(self, position: Position) -> bool:
        """Returns whether to pull the release at a position.

        It should be pulled if it is later than the one in force and wasn't
        refused.
        """
        return position > self.position and position.digest not in self.refused

    def update_for(self, base_digest: str) -> ReleaseUpdate | None:
        """Returns the release in force as changes against a base.

        Args:
            base_digest: Digest of the release that the receiver holds. If it
                isn't among the bases, the update has the whole release.

        Returns:
            The update, or None if no release is in force.
        """
        if self.release is None:
            return None
        base = self.delta_bases.get(base_digest)
        key = base.digest if base else ''
        if key not in self.updates:
            self.updates[key] = release_update(
                base,
                self.release,
                self.position.revision,
            )
        return self.updates[key]

    def offer(self, release: Release, revision: int) -> Outcome:
        """Checks a release and puts it in force if it is later.

        Args:
            release: A release whose digest was verified.
            revision: The store's revision of the head that announced it.
        """
        position = release.position(revision)
        earlier_refusal = self.refused.get(release.digest)
        if earlier_refusal is not None:
            return earlier_refusal
        faults = self._faults_of(release)
        if faults:
            return self._refuse(position, faults)
        self._record_conflicts(release)
        if position <= self.position:
            return Ignored(position)
        return self._apply(release, position)

    def add_conflicts(self, conflicts: Iterable[Conflict]) -> bool:
        """Records conflicts, keeping those with the greatest numbers.

        Returns:
            Whether the recorded conflicts changed.
        """
        by_number = sorted({*self.conflicts, *conflicts})
        kept = tuple(by_number[-MAX_CONFLICTS:])
        if kept == self.conflicts:
            return False
        self.conflicts = kept
        return True

    def _faults_of(self, release: Release) -> tuple[str, ...]:
        if release.digest in self.passed_headers:
            return ()
        faults = self.find_faults(tuple(release.objects.values()))
        return tuple(
            str(fault) for fault in itertools.islice(faults, MAX_FAULTS_KEPT)
        )

    def _refuse(self, position: Position, faults: tuple[str, ...]) -> Refused:
        refused = Refused(position, faults)
        self.refused[position.digest] = refused
        _trim(self.refused, MAX_REFUSED)
        return refused

    def _record_conflicts(self, release: Release) -> None:
        header = ReleaseHeader.from_release(release)
        conflicts = (
            Conflict.between(header, other)
            for other in self.passed_headers.values()
        )
        self.add_conflicts(filter(None, conflicts))
        self.passed_headers[release.digest] = header
        _trim(self.passed_headers, MAX_ACCEPTED)

    def _apply(self, release: Release, position: Position) -> Applied:
        applied = Applied(self.position, position)
        self.release = release
        self.position = position
        self.delta_bases[release.digest] = release
        _trim(self.delta_bases, MAX_BASES)
        self.updates.clear()
        return applied


def _conflict_reason(
    first: ReleaseHeader, second: ReleaseHeader
) -> ConflictReason | None:
    if first.number == second.number:
        return ConflictReason.SAME_NUMBER
    if first.parent and first.parent == second.parent:
        return ConflictReason.SAME_PARENT
    return None


def _trim(table: dict[str, Any], size: int) -> None:
    for key in tuple(itertools.islice(table, max(0, len(table) - size))):
        del table[key]
