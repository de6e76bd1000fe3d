"""Typed refusals of calls: why, whether the call ran, and the remedy."""

import enum
from http import HTTPStatus

import attrs


class Execution(enum.StrEnum):
    """Whether a call without an answer may have run."""

    NOT_RUN = 'not-run'
    UNKNOWN = 'unknown'


class Progress(enum.IntEnum):
    """How far an attempt got towards its target."""

    UNSENT = 0
    SENT = 1
    ANSWERING = 2


class Reason(enum.StrEnum):
    """Why a call was refused or failed."""

    NO_ROUTE = 'no-route'
    NO_TARGET = 'no-target'
    DEADLINE = 'deadline'
    QUEUE_FULL = 'queue-full'
    SHORT_WAIT = 'short-wait'
    SHED = 'shed'
    DRAINING = 'draining'
    LINK_BUDGET = 'link-budget'
    QUARANTINED = 'quarantined'
    SUSPECT = 'suspect'
    TOO_DEEP = 'too-deep'
    CONNECTION_LOST = 'connection-lost'
    TRUNCATED = 'truncated'
    CANCELLED = 'cancelled'
    NOT_READY = 'not-ready'
    HEADER_MALFORMED = 'header-malformed'
    KEY_MALFORMED = 'key-malformed'
    KEY_REUSED = 'key-reused'
    KEY_EXPIRED = 'key-expired'
    KEY_EARLY = 'key-early'
    KEY_TABLE_FULL = 'key-table-full'
    KEY_NOT_OWNED = 'key-not-owned'
    KEY_OWNER_GONE = 'key-owner-gone'
    KEY_OWNER_UNREACHABLE = 'key-owner-unreachable'
    KEY_VIEW_STALE = 'key-view-stale'
    KEY_UNSETTLED = 'key-unsettled'
    ANSWER_DROPPED = 'answer-dropped'
    OTHER_INSTANCE = 'other-instance'
    GARBLED = 'garbled'
    TARGET_ERROR = 'target-error'


@attrs.frozen
class ReasonTraits:
    """What a reason means to a caller.

    Attributes:
        status: The HTTP status that the caller gets.
        remedy: What the caller or operator can do.
    """

    status: HTTPStatus
    remedy: str


_RESEND_KEY = 'resend with the same key; it can not run twice'
_CHECK_FIRST = 'find out whether the call took effect before a new key is used'
_LATER = 'try again after a pause'

TRAITS: dict[Reason, ReasonTraits] = {
    Reason.NO_ROUTE: ReasonTraits(
        HTTPStatus.NOT_FOUND,
        'publish a Route for the path and method',
    ),
    Reason.NO_TARGET: ReasonTraits(HTTPStatus.SERVICE_UNAVAILABLE, _LATER),
    Reason.DEADLINE: ReasonTraits(
        HTTPStatus.GATEWAY_TIMEOUT,
        'allow the call more time or try again after a pause',
    ),
    Reason.QUEUE_FULL: ReasonTraits(HTTPStatus.SERVICE_UNAVAILABLE, _LATER),
    Reason.SHORT_WAIT: ReasonTraits(HTTPStatus.SERVICE_UNAVAILABLE, _LATER),
    Reason.SHED: ReasonTraits(HTTPStatus.SERVICE_UNAVAILABLE, _LATER),
    Reason.DRAINING: ReasonTraits(
        HTTPStatus.SERVICE_UNAVAILABLE,
        'send the call to another host',
    ),
    Reason.LINK_BUDGET: ReasonTraits(
        HTTPStatus.SERVICE_UNAVAILABLE,
        'try again later or raise link_kbytes_per_s of the Region',
    ),
    Reason.QUARANTINED: ReasonTraits(
        HTTPStatus.FORBIDDEN,
        'change the request; it crashed the targets that ran it',
    ),
    Reason.SUSPECT: ReasonTraits(HTTPStatus.SERVICE_UNAVAILABLE, _LATER),
    Reason.TOO_DEEP: ReasonTraits(
        HTTPStatus.LOOP_DETECTED,
        'remove the loop of services that call one another',
    ),
    Reason.CONNECTION_LOST: ReasonTraits(HTTPStatus.BAD_GATEWAY, _CHECK_FIRST),
    Reason.TRUNCATED: ReasonTraits(HTTPStatus.BAD_GATEWAY, _CHECK_FIRST),
    Reason.CANCELLED: ReasonTraits(HTTPStatus.REQUEST_TIMEOUT, _CHECK_FIRST),
    Reason.NOT_READY: ReasonTraits(
        HTTPStatus.SERVICE_UNAVAILABLE,
        'send the call to another host',
    ),
    Reason.HEADER_MALFORMED: ReasonTraits(
        HTTPStatus.BAD_REQUEST,
        'send each header once, with a value in its bounds',
    ),
    Reason.KEY_MALFORMED: ReasonTraits(
        HTTPStatus.BAD_REQUEST,
        'send a UUIDv7 or a key issued by a daemon',
    ),
    Reason.KEY_REUSED: ReasonTraits(
        HTTPStatus.UNPROCESSABLE_ENTITY,
        'use a new key for each different request',
    ),
    Reason.KEY_EXPIRED: ReasonTraits(HTTPStatus.CONFLICT, _CHECK_FIRST),
    Reason.KEY_EARLY: ReasonTraits(
        HTTPStatus.CONFLICT,
        'set the clock of the host that made the key',
    ),
    Reason.KEY_TABLE_FULL: ReasonTraits(
        HTTPStatus.SERVICE_UNAVAILABLE,
        _LATER,
    ),
    Reason.KEY_NOT_OWNED: ReasonTraits(HTTPStatus.CONFLICT, _RESEND_KEY),
    Reason.KEY_OWNER_GONE: ReasonTraits(HTTPStatus.CONFLICT, _CHECK_FIRST),
    Reason.KEY_OWNER_UNREACHABLE: ReasonTraits(
        HTTPStatus.SERVICE_UNAVAILABLE,
        _RESEND_KEY,
    ),
    Reason.KEY_VIEW_STALE: ReasonTraits(
        HTTPStatus.SERVICE_UNAVAILABLE,
        'resend with the same key later, or use keys that a daemon issues',
    ),
    Reason.KEY_UNSETTLED: ReasonTraits(HTTPStatus.CONFLICT, _CHECK_FIRST),
    Reason.ANSWER_DROPPED: ReasonTraits(
        HTTPStatus.CONFLICT,
        'do not send it again; the call ran and its answer is not kept',
    ),
    Reason.OTHER_INSTANCE: ReasonTraits(HTTPStatus.SERVICE_UNAVAILABLE, _LATER),
    Reason.GARBLED: ReasonTraits(HTTPStatus.BAD_GATEWAY, _CHECK_FIRST),
    Reason.TARGET_ERROR: ReasonTraits(HTTPStatus.BAD_GATEWAY, _CHECK_FIRST),
}

NEVER_ACCEPTED = frozenset((Reason.KEY_MALFORMED, Reason.HEADER_MALFORMED))


@attrs.frozen
class Refusal:
    """A call that gets no answer from a target.

    Attributes:
        reason: Why.
        execution: Whether the call may have run.
        detail: What was found, in one clause.
    """

    reason: Reason
    execution: Execution
    detail: str = ''

    @classmethod
    def not_run(cls, reason: Reason, detail: str = '') -> 'Refusal':
        """Refuses a call that provably did not run."""
        return cls(reason, Execution.NOT_RUN, detail)

    @classmethod
    def unknown(cls, reason: Reason, detail: str = '') -> 'Refusal':
        """Refuses a call that may have run."""
        return cls(reason, Execution.UNKNOWN, detail)

    def of_keyed_call(self) -> 'Refusal':
        """Returns the refusal as it is told of a call that carries a key.

        That this daemon did not run the call says nothing of an earlier
        attempt with the same key by way of another one. Only a key that no
        daemon accepts can't have run.
        """
        if self.reason in NEVER_ACCEPTED:
            return self
        return Refusal.unknown(self.reason, self.detail)

    @property
    def status(self) -> HTTPStatus:
        """The HTTP status that the caller gets."""
        return TRAITS[self.reason].status

    @property
    def remedy(self) -> str:
        """What the caller or operator can do."""
        return TRAITS[self.reason].remedy


@attrs.frozen
class FailedAttempt:
    """An attempt that ended without a whole answer.

    Attributes:
        reason: Why it ended.
        progress: How far it got towards the target.
        denied: Whether the target itself said that it did not run the call,
            or the owner of the call's key did.
        keyed: Whether the call carries a key, so that another attempt, sent
            by way of another host, may have run it.
        retried_below: Whether a level below has made retries already.
        detail: What was found, in one clause.
        arrived: Whether the call may have reached a target, even one that
            refused it.
    """

    reason: Reason
    progress: Progress
    denied: bool = False
    keyed: bool = False
    retried_below: bool = False
    detail: str = ''
    arrived: bool = True

    @property
    def execution(self) -> Execution:
        """Whether the attempt may have run."""
        is_unsent = self.progress is Progress.UNSENT and not self.keyed
        if self.denied or is_unsent:
            return Execution.NOT_RUN
        return Execution.UNKNOWN

    def to_refusal(self) -> Refusal:
        """Returns the refusal that the caller gets for this attempt."""
        return Refusal(self.reason, self.execution, self.detail)


def combine(attempts: list[FailedAttempt]) -> Refusal:
    """Sums up all failed attempts of one call.

    Args:
        attempts: The attempts in order, at least one.

    Returns:
        The last refusal; `UNKNOWN` if any of the attempts may have run.
    """
    last = attempts[-1]
    ran = [
        attempt
        for attempt in attempts
        if attempt.execution is Execution.UNKNOWN
    ]
    if ran:
        return Refusal.unknown(last.reason, last.detail)
    return last.to_refusal()
