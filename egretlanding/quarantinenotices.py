"""Converts facts about requests that crash targets to and from notices."""

from collections.abc import Iterator

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
        notice
        for fact in quarantine.facts(now)
        for notice in notices_of_fact(fact)
    )


def notices_of_fact(fact: RequestFact) -> Iterator[Notice]:
    """Yields a notice of the crashes that count, and one of those voided."""
    kind = NOTICE_KINDS[fact.kind]
    for notice_kind, is_voided in ((kind, False), (NoticeKind.CLEARED, True)):
        evidence = sorted(
            process
            for process, crash in fact.crashes.items()
            if crash.voided == is_voided
        )
        if evidence:
            yield Notice(
                notice_kind,
                fact.signature,
                ttl=fact.ttl_s,
                evidence=tuple(evidence),
            )


def merge_notice(quarantine: Quarantine, notice: Notice, now: float) -> None:
    """Merges a notice from another daemon if it is about a suspect."""
    kind = FACT_KINDS.get(notice.kind)
    if kind:
        fact = RequestFact.without_times(
            kind, notice.subject, notice.evidence, notice.ttl
        )
        quarantine.merge(fact, now)
