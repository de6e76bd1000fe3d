"""A bounded table of short-lived facts that daemons pass on."""

import heapq
from collections.abc import Iterable

import attrs

from egretlanding.messages import MAX_EVIDENCE, Notice, NoticeKind

MAX_NOTICES = 512
MAX_NOTICES_SENT = 16
MAX_TTL_S = 3_600

# Kinds that exclude one another share a place, which the later of the list
# takes: a host is leaving or has returned, a call is suspect or cleared.
EXCLUSIVE_KINDS = (
    (NoticeKind.RETURNED, NoticeKind.LEAVING),
    (NoticeKind.SUSPECT, NoticeKind.QUARANTINED, NoticeKind.CLEARED),
)
# The place of each such kind and its rank there.
PLACES = {
    kind: (kinds[0], rank)
    for kinds in EXCLUSIVE_KINDS
    for rank, kind in enumerate(kinds)
}

NoticeKey = tuple[NoticeKind, str]


@attrs.frozen
class HeldNotice:
    """A notice with its end on this process's clock.

    Attributes:
        notice: The notice as it was received.
        expires_at: When it ends, seconds.
    """

    notice: Notice
    expires_at: float


@attrs.define
class NoticeTable:
    """The facts that this daemon holds, at most `MAX_NOTICES`.

    A greater incarnation replaces a lesser one, and of one incarnation a
    kind of higher rank. A notice that adds nothing leaves the end as it is.

    Attributes:
        held: The notices by kind and subject.
    """

    held: dict[NoticeKey, HeldNotice] = attrs.field(factory=dict)

    def find(
        self,
        kind: NoticeKind,
        subject: str,
        now: float,
    ) -> Notice | None:
        """Returns the notice of a kind about a subject, if one is held."""
        entry = self.held.get(_key(kind, subject))
        if entry is None or entry.expires_at <= now:
            return None
        return entry.notice if entry.notice.kind is kind else None

    def of_kind(self, kind: NoticeKind, now: float) -> tuple[Notice, ...]:
        """Returns the notices of a kind with their remaining lifetimes."""
        return tuple(
            _remaining(entry, now)
            for entry in self.held.values()
            if entry.notice.kind is kind and entry.expires_at > now
        )

    def to_send(self, now: float) -> tuple[Notice, ...]:
        """Returns the notices for a summary, those that end last first."""
        alive = (
            entry for entry in self.held.values() if entry.expires_at > now
        )
        latest = heapq.nlargest(MAX_NOTICES_SENT, alive, key=_expiry)
        return tuple(_remaining(entry, now) for entry in latest)

    def add(self, notice: Notice, now: float) -> bool:
        """Takes a notice in.

        Returns:
            Whether it said anything new.
        """
        self.expire(now)
        entry = HeldNotice(notice, now + min(notice.ttl, MAX_TTL_S))
        if entry.expires_at <= now:
            return False
        known = self.held.get(_key(notice.kind, notice.subject))
        if known is not None:
            entry = _join(known, entry)
        if entry == known or not self._has_room(known, entry):
            return False
        self.held[_key(notice.kind, notice.subject)] = entry
        return True

    def expire(self, now: float) -> None:
        """Drops the notices that have ended."""
        self.held = {
            key: entry
            for key, entry in self.held.items()
            if entry.expires_at > now
        }

    def drop(self, kind: NoticeKind, subject: str) -> None:
        """Drops what is held of a kind about a subject."""
        self.held.pop(_key(kind, subject), None)

    def _has_room(self, known: HeldNotice | None, entry: HeldNotice) -> bool:
        if known is not None or len(self.held) < MAX_NOTICES:
            return True
        soonest = min(self.held, key=self._expiry_of)
        if self.held[soonest].expires_at >= entry.expires_at:
            return False
        del self.held[soonest]
        return True

    def _expiry_of(self, key: NoticeKey) -> float:
        return self.held[key].expires_at


def _key(kind: NoticeKind, subject: str) -> NoticeKey:
    place, _ = PLACES.get(kind, (kind, 0))
    return place, subject


def _expiry(entry: HeldNotice) -> float:
    return entry.expires_at


def _remaining(entry: HeldNotice, now: float) -> Notice:
    return attrs.evolve(entry.notice, ttl=entry.expires_at - now)


def _rank(entry: HeldNotice) -> tuple[int, int]:
    kind = entry.notice.kind
    _, rank = PLACES.get(kind, (kind, 0))
    return entry.notice.incarnation, rank


def _join(known: HeldNotice, entry: HeldNotice) -> HeldNotice:
    if _rank(entry) != _rank(known):
        return max(known, entry, key=_rank)
    evidence = _merge(known.notice.evidence, entry.notice.evidence)
    if evidence == known.notice.evidence:
        return known
    return HeldNotice(
        attrs.evolve(known.notice, evidence=evidence),
        max(known.expires_at, entry.expires_at),
    )


def _merge(first: Iterable[str], second: Iterable[str]) -> tuple[str, ...]:
    return tuple(sorted({*first, *second})[:MAX_EVIDENCE])
