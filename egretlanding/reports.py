"""Notices by which every daemon learns of refused and conflicting releases."""

from egretlanding.ledger import Conflict, Refused
from egretlanding.messages import Notice, NoticeKind

REPORT_TTL_S = 1_800
MAX_FAULT_LENGTH = 200


def refusal_notice(refused: Refused) -> Notice:
    """Returns the notice of a release that failed the check."""
    return Notice(
        kind=NoticeKind.REFUSED,
        subject=refused.position.digest,
        ttl=REPORT_TTL_S,
        evidence=tuple(
            fault[:MAX_FAULT_LENGTH] for fault in refused.faults[:1]
        ),
    )


def conflict_notice(conflict: Conflict) -> Notice:
    """Returns the notice of two releases in conflict."""
    return Notice(
        kind=NoticeKind.CONFLICT,
        subject='/'.join((str(conflict.number), *conflict.digests)),
        ttl=REPORT_TTL_S,
        evidence=(conflict.reason.value,),
    )


def conflict_of(notice: Notice) -> Conflict | None:
    """Rebuilds a conflict from its notice; none if it is malformed."""
    return Conflict.from_text(notice.subject, notice.evidence)
