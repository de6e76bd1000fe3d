"""Short-lived facts of the call path that daemons pass on to each other."""

import enum

import attrs

from egretlanding.quarantine import FactKind, Quarantine, RequestFact


class CallNoticeKind(enum.StrEnum):
    """The kinds of facts, as the control exchange names them."""

    LEAVING = 'leaving'
    SUSPECT = 'suspect'
    QUARANTINED = 'quarantined'
    CLEARED = 'cleared'


@attrs.frozen
class CallNotice:
    """One fact.

    Attributes:
        kind: The kind of fact.
        subject: The host's id, or the signature of a request.
        ttl: Remaining lifetime, seconds.
        evidence: Target processes that crashed, as host:incarnation.
    """

    kind: CallNoticeKind
    subject: str
    ttl: float
    evidence: tuple[str, ...] = ()


def quarantine_notices(
    quarantine: Quarantine,
    now: float,
) -> tuple[CallNotice, ...]:
    """Returns what other daemons should know of crashing requests."""
    return tuple(
        CallNotice(
            CallNoticeKind(fact.kind.value),
            fact.signature,
            fact.ttl_s,
            tuple(sorted(fact.crashes)),
        )
        for fact in quarantine.facts(now)
    )


def merge_notice(
    quarantine: Quarantine,
    notice: CallNotice,
    now: float,
) -> None:
    """Takes over what another daemon knows of a crashing request."""
    fact = RequestFact(
        FactKind(notice.kind.value),
        notice.subject,
        frozenset(notice.evidence),
        notice.ttl,
    )
    quarantine.merge(fact, now)
