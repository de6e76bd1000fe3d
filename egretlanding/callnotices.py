"""Notices on requests that crash targets."""

from egretlanding.messages import Notice, NoticeKind
from egretlanding.quarantine import FactKind, Quarantine, RequestFact

KINDS_OF_FACTS = {
    FactKind.SUSPECT: NoticeKind.SUSPECT,
    FactKind.QUARANTINED: NoticeKind.QUARANTINED,
    FactKind.CLEARED: NoticeKind.CLEARED,
}
FACTS_OF_KINDS = {kind: fact for fact, kind in KINDS_OF_FACTS.items()}


def quarantine_notices(
    quarantine: Quarantine,
    now: float,
) -> tuple[Notice, ...]:
    """Returns what other daemons should know of crashing requests."""
    return tuple(
        Notice(
            KINDS_OF_FACTS[fact.kind],
            fact.signature,
            ttl=fact.ttl_s,
            evidence=tuple(sorted(fact.crashes)),
        )
        for fact in quarantine.facts(now)
    )


def merge_notice(quarantine: Quarantine, notice: Notice, now: float) -> None:
    """Takes over what another daemon knows of a crashing request."""
    kind = FACTS_OF_KINDS.get(notice.kind)
    if kind:
        fact = RequestFact(
            kind,
            notice.subject,
            frozenset(notice.evidence),
            notice.ttl,
        )
        quarantine.merge(fact, now)
