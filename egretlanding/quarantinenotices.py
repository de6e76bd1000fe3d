"""Converts facts about requests that crash targets to and from notices."""

from egretlanding.messages import Notice, NoticeKind
from egretlanding.quarantine import FactKind, Quarantine, RequestFact

NOTICE_KINDS = {
    FactKind.SUSPECT: NoticeKind.SUSPECT,
    FactKind.QUARANTINED: NoticeKind.QUARANTINED,
    FactKind.CLEARED: NoticeKind.CLEARED,
}
FACT_KINDS = {kind: fact for fact, kind in NOTICE_KINDS.items()}


def quarantine_notices(
    quarantine: Quarantine,
    now: float,
) -> tuple[Notice, ...]:
    """Returns the notices about suspected requests for other daemons."""
    return tuple(
        Notice(
            NOTICE_KINDS[fact.kind],
            fact.signature,
            ttl=fact.ttl_s,
            evidence=tuple(sorted(fact.crashes)),
        )
        for fact in quarantine.facts(now)
    )


def merge_notice(quarantine: Quarantine, notice: Notice, now: float) -> None:
    """Merges a notice from another daemon if it is about a suspect."""
    kind = FACT_KINDS.get(notice.kind)
    if kind:
        fact = RequestFact(
            kind,
            notice.subject,
            frozenset(notice.evidence),
            notice.ttl,
        )
        quarantine.merge(fact, now)
