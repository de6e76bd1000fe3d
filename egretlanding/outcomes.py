"""Refusals of calls: the reason, whether the call ran, and the remedy."""

import enum
from http import HTTPStatus

import attrs


class Execution(enum.StrEnum):
    """Whether a call without an answer may have run."""

    NOT_RUN = 'not-run'
    UNKNOWN = 'unknown'


class Progress(enum.IntEnum):
    """How far an attempt has got."""

    UNSENT = 0
    SENT = 1
    ANSWERING = 2


class Reason(enum.StrEnum):
    """Why a call was refused or failed."""

    NO_ROUTE = 'no-route'
    ROUTE_UNCONFIRMED = 'route-unconfirmed'
    NO_TARGET = 'no-target'
    DEADLINE = 'deadline'
    QUEUE_FULL = 'queue-full'
    SHORT_WAIT = 'short-wait'
    SHED = 'shed'
    DRAINING = 'draining'
    NO_TARGET_IN_REGION = 'no-target-in-region'
    OTHER_REGION = 'other-region'
    EVACUATED = 'evacuated'
    LINK_BUDGET = 'link-budget'
    QUARANTINED = 'quarantined'
    SUSPECT = 'suspect'
    TOO_DEEP = 'too-deep'
    CONNECTION_LOST = 'connection-lost'
    UNANSWERED = 'unanswered'
    TARGET_SILENT = 'target-silent'
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
    INTERNAL_ERROR = 'internal-error'
    BODY_TOO_LARGE = 'body-too-large'
    MEMORY = 'memory'


# Refusals by an egress daemon that has no capacity for the call in time.
NO_CAPACITY_REASONS = frozenset(
    (Reason.DEADLINE, Reason.QUEUE_FULL, Reason.SHORT_WAIT)
)


@attrs.frozen
class ReasonTraits:
    """The status and remedy that go with a reason.

    Attributes:
        status: The HTTP status that the caller gets.
        remedy: What the caller or operator can do.
    """

    status: HTTPStatus
    remedy: str


_RESEND_KEY = 'resend with the same key; the call cannot run twice'
_CHECK_EFFECT = 'check whether the call took effect before using a new key'
_RETRY_LATER = 'try again after a pause'

REASON_TRAITS: dict[Reason, ReasonTraits] = {
    Reason.NO_ROUTE: ReasonTraits(
        HTTPStatus.NOT_FOUND,
        'publish a Route for the path and method',
    ),
    Reason.ROUTE_UNCONFIRMED: ReasonTraits(
        HTTPStatus.SERVICE_UNAVAILABLE, _RETRY_LATER
    ),
    Reason.NO_TARGET: ReasonTraits(
        HTTPStatus.SERVICE_UNAVAILABLE, _RETRY_LATER
    ),
    Reason.NO_TARGET_IN_REGION: ReasonTraits(
        HTTPStatus.SERVICE_UNAVAILABLE,
        'try again after a pause, or allow the Route further regions',
    ),
    Reason.OTHER_REGION: ReasonTraits(
        HTTPStatus.SERVICE_UNAVAILABLE, _RETRY_LATER
    ),
    Reason.EVACUATED: ReasonTraits(
        HTTPStatus.SERVICE_UNAVAILABLE, _RETRY_LATER
    ),
    Reason.DEADLINE: ReasonTraits(
        HTTPStatus.GATEWAY_TIMEOUT,
        'allow the call more time or try again after a pause',
    ),
    Reason.QUEUE_FULL: ReasonTraits(
        HTTPStatus.SERVICE_UNAVAILABLE, _RETRY_LATER
    ),
    Reason.SHORT_WAIT: ReasonTraits(
        HTTPStatus.SERVICE_UNAVAILABLE, _RETRY_LATER
    ),
    Reason.MEMORY: ReasonTraits(HTTPStatus.SERVICE_UNAVAILABLE, _RETRY_LATER),
    Reason.SHED: ReasonTraits(HTTPStatus.SERVICE_UNAVAILABLE, _RETRY_LATER),
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
    Reason.SUSPECT: ReasonTraits(HTTPStatus.SERVICE_UNAVAILABLE, _RETRY_LATER),
    Reason.TOO_DEEP: ReasonTraits(
        HTTPStatus.LOOP_DETECTED,
        'remove the loop of services that call one another',
    ),
    Reason.UNANSWERED: ReasonTraits(HTTPStatus.GATEWAY_TIMEOUT, _CHECK_EFFECT),
    Reason.TARGET_SILENT: ReasonTraits(
        HTTPStatus.SERVICE_UNAVAILABLE, _RETRY_LATER
    ),
    Reason.CONNECTION_LOST: ReasonTraits(HTTPStatus.BAD_GATEWAY, _CHECK_EFFECT),
    Reason.TRUNCATED: ReasonTraits(HTTPStatus.BAD_GATEWAY, _CHECK_EFFECT),
    Reason.CANCELLED: ReasonTraits(HTTPStatus.REQUEST_TIMEOUT, _CHECK_EFFECT),
    Reason.NOT_READY: ReasonTraits(
        HTTPStatus.SERVICE_UNAVAILABLE,
        'send the call to another host',
    ),
    Reason.HEADER_MALFORMED: ReasonTraits(
        HTTPStatus.BAD_REQUEST,
        'send each header once, with a value within its limits',
    ),
    Reason.KEY_MALFORMED: ReasonTraits(
        HTTPStatus.BAD_REQUEST,
        'send a UUIDv7 or a key issued by a daemon',
    ),
    Reason.KEY_REUSED: ReasonTraits(
        HTTPStatus.UNPROCESSABLE_ENTITY,
        'use a new key for each different request',
    ),
    Reason.KEY_EXPIRED: ReasonTraits(HTTPStatus.CONFLICT, _CHECK_EFFECT),
    Reason.KEY_EARLY: ReasonTraits(
        HTTPStatus.CONFLICT,
        'correct the clock of the host that made the key',
    ),
    Reason.KEY_TABLE_FULL: ReasonTraits(
        HTTPStatus.SERVICE_UNAVAILABLE,
        _RETRY_LATER,
    ),
    Reason.KEY_NOT_OWNED: ReasonTraits(HTTPStatus.CONFLICT, _RESEND_KEY),
    Reason.KEY_OWNER_GONE: ReasonTraits(HTTPStatus.CONFLICT, _CHECK_EFFECT),
    Reason.KEY_OWNER_UNREACHABLE: ReasonTraits(
        HTTPStatus.SERVICE_UNAVAILABLE,
        _RESEND_KEY,
    ),
    Reason.KEY_VIEW_STALE: ReasonTraits(
        HTTPStatus.SERVICE_UNAVAILABLE,
        'resend with the same key later, or use keys that a daemon issues',
    ),
    Reason.KEY_UNSETTLED: ReasonTraits(HTTPStatus.CONFLICT, _CHECK_EFFECT),
    Reason.ANSWER_DROPPED: ReasonTraits(
        HTTPStatus.CONFLICT,
        'do not resend; the call ran and its answer is no longer stored',
    ),
    Reason.OTHER_INSTANCE: ReasonTraits(
        HTTPStatus.SERVICE_UNAVAILABLE, _RETRY_LATER
    ),
    Reason.GARBLED: ReasonTraits(HTTPStatus.BAD_GATEWAY, _CHECK_EFFECT),
    Reason.TARGET_ERROR: ReasonTraits(HTTPStatus.BAD_GATEWAY, _CHECK_EFFECT),
    Reason.BODY_TOO_LARGE: ReasonTraits(
        HTTPStatus.REQUEST_ENTITY_TOO_LARGE, 'send the body in parts'
    ),
    Reason.INTERNAL_ERROR: ReasonTraits(
        HTTPStatus.INTERNAL_SERVER_ERROR, _CHECK_EFFECT
    ),
}

# Every daemon refuses calls for these reasons, so the call ran nowhere.
REFUSED_BY_ALL_DAEMONS = frozenset(
    (Reason.KEY_MALFORMED, Reason.HEADER_MALFORMED)
)


@attrs.frozen
class Refusal:
    """What the caller of a call without an answer from a target gets.

    Attributes:
        reason: Why the call was refused or failed.
        execution: Whether the call may have run.
        detail: The specific cause, as one clause.
    """

    reason: Reason
    execution: Execution
    detail: str = ''

    @classmethod
    def not_run(cls, reason: Reason, detail: str = '') -> 'Refusal':
        """Builds the refusal of a call that provably did not run."""
        return cls(reason, Execution.NOT_RUN, detail)

    @classmethod
    def unknown(cls, reason: Reason, detail: str = '') -> 'Refusal':
        """Builds the refusal of a call that may have run."""
        return cls(reason, Execution.UNKNOWN, detail)

    def for_keyed_call(self) -> 'Refusal':
        """Returns the refusal to send if the call carries a key.

        Even if this daemon did not run the call, an earlier attempt with the
        same key may have run through another daemon. The call provably did
        not run only if every daemon refuses it.
        """
        if self.reason in REFUSED_BY_ALL_DAEMONS:
            return self
        return Refusal.unknown(self.reason, self.detail)

    @property
    def status(self) -> HTTPStatus:
        """The HTTP status that the caller gets."""
        return REASON_TRAITS[self.reason].status

    @property
    def remedy(self) -> str:
        """What the caller or operator can do."""
        return REASON_TRAITS[self.reason].remedy


@attrs.frozen
class FailedAttempt:
    """An attempt that ended without a complete answer.

    Attributes:
        reason: Why it ended.
        progress: How far it got.
        confirmed_not_run: Whether the target, or the owner of the call's key,
            stated that it did not run the call.
        keyed: Whether the call carries a key, so that another attempt,
            sent through another host, may have run it.
        retried_below: Whether a call nested below this one was already
            retried.
        detail: The specific cause, as one clause.
        arrived: Whether the call may have reached a target, even one that
            refused it.
    """

    reason: Reason
    progress: Progress
    confirmed_not_run: bool = False
    keyed: bool = False
    retried_below: bool = False
    detail: str = ''
    arrived: bool = True

    @property
    def execution(self) -> Execution:
        """Whether the attempt may have run."""
        is_unsent = self.progress is Progress.UNSENT and not self.keyed
        if self.confirmed_not_run or is_unsent:
            return Execution.NOT_RUN
        return Execution.UNKNOWN

    def to_refusal(self) -> Refusal:
        """Returns the refusal that the caller gets for this attempt."""
        return Refusal(self.reason, self.execution, self.detail)


def combine_failures(attempts: list[FailedAttempt]) -> Refusal:
    """Combines all failed attempts of one call into one refusal.

    Args:
        attempts: The attempts in order, at least one.

    Returns:
        The refusal of the last attempt, with `UNKNOWN` as its execution if
        any of the attempts may have run.
    """
    last = attempts[-1]
    may_have_run = [
        attempt
        for attempt in attempts
        if attempt.execution is Execution.UNKNOWN
    ]
    if may_have_run:
        return Refusal.unknown(last.reason, last.detail)
    return last.to_refusal()
