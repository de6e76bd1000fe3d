"""Notices that report refused and conflicting releases to all daemons."""

from collections.abc import Iterable

from egretlanding.messages import Notice, NoticeKind
from egretlanding.releasetable import Conflict, Refused
from egretlanding.status import RefusedRelease

REPORT_TTL_S = 1_800
MAX_FAULT_LENGTH = 200
REFUSED_REMEDY = 'fix the objects, run "egretlanding check", publish again'


def refusal_notice(refused: Refused) -> Notice:
    """Returns the notice that a release failed the check."""
    return Notice(
        kind=NoticeKind.REFUSED,
        subject=release_subject(
            refused.position.number,
            refused.position.digest,
        ),
        ttl=REPORT_TTL_S,
        evidence=tuple(
            fault[:MAX_FAULT_LENGTH] for fault in refused.faults[:1]
        ),
    )


def release_subject(number: int, digest: str) -> str:
    """Returns the subject of a notice about one release."""
    return f'{number}/{digest}'


def refused_from_notice(notice: Notice) -> RefusedRelease:
    """Parses a refused release from its notice.

    The release's number is zero if the subject has none.
    """
    number_text, _, digest = notice.subject.rpartition('/')
    number = int(number_text) if number_text.isdecimal() else 0
    return describe_refused(number, digest, notice.evidence)


def describe_refused(
    number: int,
    digest: str,
    faults: Iterable[str],
) -> RefusedRelease:
    """Returns a refused release as it is reported to operators.

    Args:
        number: The release's number.
        digest: The release's digest.
        faults: The faults that the check found.
    """
    reason = '; '.join((*faults, REFUSED_REMEDY))
    return RefusedRelease(number, digest, reason)


def conflict_notice(conflict: Conflict) -> Notice:
    """Returns the notice that two releases are in conflict."""
    return Notice(
        kind=NoticeKind.CONFLICT,
        subject='/'.join((str(conflict.number), *conflict.digests)),
        ttl=REPORT_TTL_S,
        evidence=(conflict.reason.value,),
    )


def conflict_from_notice(notice: Notice) -> Conflict | None:
    """Parses a conflict from its notice; returns None if it is malformed."""
    return Conflict.from_text(notice.subject, notice.evidence)
