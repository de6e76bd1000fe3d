"""A bounded table of notices, which daemons pass on and which expire."""

import heapq
from collections.abc import Iterable

import attrs

from egretlanding.messages import MAX_EVIDENCE, Notice, NoticeKind

MAX_NOTICES = 512
MAX_NOTICES_SENT = 16
MAX_TTL_S = 3_600

# Groups of kinds that exclude one another: a host is leaving or has returned,
# a call is suspect or quarantined. About one subject the table holds one notice
# of each group. Of the same incarnation, the kind listed later replaces the
# others. That a call is cleared is held beside these, because its evidence is
# other crashes: a call may crash targets after it was cleared.
EXCLUSIVE_GROUPS = (
    (NoticeKind.RETURNED, NoticeKind.LEAVING),
    (NoticeKind.SUSPECT, NoticeKind.QUARANTINED),
)
# The first kind of the group of each such kind, and its rank in the group.
GROUP_RANKS = {
    kind: (kinds[0], rank)
    for kinds in EXCLUSIVE_GROUPS
    for rank, kind in enumerate(kinds)
}

NoticeKey = tuple[NoticeKind, str]


@attrs.frozen
class HeldNotice:
    """A notice with its time of expiry on this process's clock.

    Attributes:
        notice: The notice as it was received.
        expires_at: When it expires, seconds.
    """

    notice: Notice
    expires_at: float


@attrs.define
class NoticeTable:
    """The notices that this daemon holds, at most `MAX_NOTICES`.

    A notice of a greater incarnation replaces that of a lesser one. Of the
    same incarnation, the kind with the higher rank in its group replaces the
    other. A notice without new evidence doesn't prolong the one held.

    Attributes:
        held: The notices by kind (the first one of its group) and subject.
    """

    held: dict[NoticeKey, HeldNotice] = attrs.field(factory=dict)

    def find(
        self,
        kind: NoticeKind,
        subject: str,
        now: float,
    ) -> Notice | None:
        """Returns the notice of a kind about a subject, if one is held."""
        held_notice = self.held.get(_key(kind, subject))
        if held_notice is None or held_notice.expires_at <= now:
            return None
        return held_notice.notice if held_notice.notice.kind is kind else None

    def of_kind(self, kind: NoticeKind, now: float) -> tuple[Notice, ...]:
        """Returns the notices of a kind with their remaining lifetimes."""
        return tuple(
            _with_remaining_ttl(held_notice, now)
            for held_notice in self.held.values()
            if held_notice.notice.kind is kind and held_notice.expires_at > now
        )

    def notices_for_summary(self, now: float) -> tuple[Notice, ...]:
        """Returns the notices for a summary, those that expire last first."""
        unexpired = (
            held_notice
            for held_notice in self.held.values()
            if held_notice.expires_at > now
        )
        latest = heapq.nlargest(MAX_NOTICES_SENT, unexpired, key=_expires_at)
        return tuple(
            _with_remaining_ttl(held_notice, now) for held_notice in latest
        )

    def add(self, notice: Notice, now: float) -> bool:
        """Adds a notice, or merges it with the one held.

        Returns:
            Whether the notices held changed.
        """
        self.expire(now)
        added = HeldNotice(notice, now + min(notice.ttl, MAX_TTL_S))
        if added.expires_at <= now:
            return False
        previous = self.held.get(_key(notice.kind, notice.subject))
        if previous is not None:
            added = _merge_notices(previous, added)
        if added == previous or not self._make_room(previous, added):
            return False
        self.held[_key(notice.kind, notice.subject)] = added
        return True

    def expire(self, now: float) -> None:
        """Drops the notices that have expired."""
        self.held = {
            key: held_notice
            for key, held_notice in self.held.items()
            if held_notice.expires_at > now
        }

    def drop(self, kind: NoticeKind, subject: str) -> None:
        """Drops the notice of a kind, or of its group, about a subject."""
        self.held.pop(_key(kind, subject), None)

    def _make_room(
        self, previous: HeldNotice | None, added: HeldNotice
    ) -> bool:
        if previous is not None or len(self.held) < MAX_NOTICES:
            return True
        soonest = min(self.held, key=self._expiry_of)
        if self.held[soonest].expires_at >= added.expires_at:
            return False
        del self.held[soonest]
        return True

    def _expiry_of(self, key: NoticeKey) -> float:
        return self.held[key].expires_at


def _key(kind: NoticeKind, subject: str) -> NoticeKey:
    group, _ = GROUP_RANKS.get(kind, (kind, 0))
    return group, subject


def _expires_at(held_notice: HeldNotice) -> float:
    return held_notice.expires_at


def _with_remaining_ttl(held_notice: HeldNotice, now: float) -> Notice:
    return attrs.evolve(held_notice.notice, ttl=held_notice.expires_at - now)


def _rank(held_notice: HeldNotice) -> tuple[int, int]:
    kind = held_notice.notice.kind
    _, rank = GROUP_RANKS.get(kind, (kind, 0))
    return held_notice.notice.incarnation, rank


def _merge_notices(previous: HeldNotice, added: HeldNotice) -> HeldNotice:
    if _rank(added) != _rank(previous):
        return max(previous, added, key=_rank)
    evidence = _merge_evidence(previous.notice.evidence, added.notice.evidence)
    if evidence == previous.notice.evidence:
        return previous
    return HeldNotice(
        attrs.evolve(previous.notice, evidence=evidence),
        max(previous.expires_at, added.expires_at),
    )


def _merge_evidence(
    first: Iterable[str], second: Iterable[str]
) -> tuple[str, ...]:
    return tuple(sorted({*first, *second})[:MAX_EVIDENCE])
