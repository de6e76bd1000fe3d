"""The HTTP headers that daemons read, set and remove in calls."""

import functools
from http import HTTPStatus

import attrs

from egretlanding.dialect import DEFAULT_DIALECT, Dialect
from egretlanding.exceptions import CallHeaderError
from egretlanding.frames import CallReply, Headers, Ran
from egretlanding.httpheaders import header_values
from egretlanding.httpmessages import HttpRequest, HttpResponse
from egretlanding.outcomes import REASON_TRAITS, Execution, Reason, Refusal
from egretlanding.retries import (
    DEADLINE_HEADER,
    DEPTH_HEADER,
    KEY_HEADER,
    RETRY_HEADER,
)
from egretlanding.retryafter import FIRST_PAUSE_S

RAN_HEADER = 'x-egretlanding-ran'
REASON_HEADER = 'x-egretlanding-reason'
REPLAYED_HEADER = 'x-egretlanding-replayed'
RETRY_AFTER_HEADER = 'retry-after'

MAX_TIMEOUT_MS = 3_600_000
MAX_DEPTH_VALUE = 1_000
# The ingress sets these for each attempt; values of the caller are dropped.
REPLACED_HEADERS = frozenset(
    (
        DEADLINE_HEADER,
        DEPTH_HEADER,
        RETRY_HEADER,
        DEFAULT_DIALECT.target_deadline,
        DEFAULT_DIALECT.target_call,
    ),
)
# Only daemons may set these, so they are removed from targets' answers.
DAEMON_ANSWER_HEADERS = frozenset((RAN_HEADER, REASON_HEADER, REPLAYED_HEADER))


@attrs.frozen
class CallMeta:
    """The properties of a call that its headers state.

    Attributes:
        timeout_ms: The caller's timeout, ms, or None if it sent none.
        depth: Length of the chain of calls that led to this one.
        is_retry: Whether a caller further up that chain has already retried.
        key: The idempotency key, or empty.
    """

    timeout_ms: int | None
    depth: int
    is_retry: bool
    key: str

    @classmethod
    def from_request(
        cls,
        request: HttpRequest,
        dialect: Dialect = DEFAULT_DIALECT,
    ) -> 'CallMeta':
        """Reads the headers of a call.

        Args:
            request: The request.
            dialect: The names of the headers.

        Raises:
            CallHeaderError: A header is repeated or has an invalid value.
        """
        return cls(
            _integer_value(request, dialect.caller_deadline, MAX_TIMEOUT_MS),
            _integer_value(request, DEPTH_HEADER, MAX_DEPTH_VALUE) or 0,
            _integer_value(request, RETRY_HEADER, 1) == 1,
            _single_value(request, KEY_HEADER),
        )


def forwarded_headers(
    headers: Headers, dialect: Dialect = DEFAULT_DIALECT
) -> Headers:
    """Returns the caller's headers that are forwarded to the target."""
    replaced = replaced_headers(dialect)
    return [pair for pair in headers if pair[0] not in replaced]


@functools.cache
def replaced_headers(dialect: Dialect) -> frozenset[str]:
    """Returns the headers that daemons replace or remove in each attempt."""
    return REPLACED_HEADERS | {
        dialect.caller_deadline,
        dialect.target_deadline,
        dialect.origin,
        dialect.required_instance,
    }


def request_id_in(headers: Headers, dialect: Dialect) -> str:
    """Returns the id that a target repeats in its answer, '' if none."""
    return next(iter(header_values(headers, dialect.request_id)), '')


def domain_of(request: HttpRequest) -> str:
    """Returns the domain name in a request's Host header, without a port."""
    return request.header('host').partition(':')[0].lower()


def response_of(
    reply: CallReply,
    dialect: Dialect = DEFAULT_DIALECT,
    retry_after_s: float = FIRST_PAUSE_S,
) -> HttpResponse:
    """Converts a reply to the response that the caller gets.

    Args:
        reply: The answer or refusal of the call.
        dialect: The names of the headers.
        retry_after_s: Time after which the caller may retry a refused call,
            seconds.
    """
    if reply.reason:
        return refusal_response(reply, dialect, retry_after_s)
    if not dialect.sends_reason_headers:
        return HttpResponse(reply.status, reply.headers, reply.body)
    headers = [pair for pair in reply.headers if pair[0] != RAN_HEADER]
    headers.append((RAN_HEADER, reply.ran.value))
    return HttpResponse(reply.status, headers, reply.body)


def refusal_response(
    reply: CallReply,
    dialect: Dialect,
    retry_after_s: float,
) -> HttpResponse:
    """Converts a refusal to the response that the caller gets."""
    is_known_reason = reply.reason in set(Reason)
    remedy = (
        REASON_TRAITS[Reason(reply.reason)].remedy if is_known_reason else ''
    )
    ran = {'no': 'did not run', 'unknown': 'may have run'}.get(reply.ran, '')
    text = f'The call {ran}: {reply.detail or reply.reason}; {remedy}.\n'
    status = reply.status
    if is_known_reason:
        execution = (
            Execution.NOT_RUN if reply.ran is Ran.NOT_RUN else Execution.UNKNOWN
        )
        status = dialect.status_of(Reason(reply.reason), execution)
    headers = [('content-type', 'text/plain; charset=utf-8')]
    if dialect.sends_reason_headers:
        headers.append((RAN_HEADER, reply.ran.value))
        headers.append((REASON_HEADER, reply.reason))
    if (
        status == HTTPStatus.SERVICE_UNAVAILABLE
        and dialect.status_shows_execution
    ):
        headers.append((RETRY_AFTER_HEADER, f'{retry_after_s:.2f}'))
    return HttpResponse(status, headers, text.encode())


def without_daemon_headers(headers: Headers) -> Headers:
    """Returns a target's headers without those that only daemons may set."""
    return [pair for pair in headers if pair[0] not in DAEMON_ANSWER_HEADERS]


def malformed_refusal(error: CallHeaderError) -> Refusal:
    """Returns the refusal of a call with a malformed header."""
    return Refusal(Reason.HEADER_MALFORMED, Execution.NOT_RUN, str(error))


def _single_value(request: HttpRequest, header_name: str) -> str:
    header_values = [
        value for name, value in request.headers if name == header_name
    ]
    if len(header_values) > 1:
        raise CallHeaderError(
            f'header {header_name} was sent {len(header_values)} times',
            'send it once',
        )
    return header_values[0].strip() if header_values else ''


def _integer_value(
    request: HttpRequest, header_name: str, maximum: int
) -> int | None:
    text = _single_value(request, header_name)
    if not text:
        return None
    # The length is checked first, because int() is slow for long texts.
    fits = len(text) <= len(str(maximum)) and text.isascii() and text.isdigit()
    if not fits or int(text) > maximum:
        raise CallHeaderError(
            f'header {header_name} is not an integer from 0 to {maximum}',
            'send a decimal integer without a sign',
        )
    return int(text)
