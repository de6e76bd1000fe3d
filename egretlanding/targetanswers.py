"""What the answer of a target says about the call that it belongs to."""

from http import HTTPStatus

from egretlanding.dialect import Dialect
from egretlanding.httpheaders import header_values
from egretlanding.httpmessages import HttpResponse
from egretlanding.outcomes import Reason, Refusal


def states_not_run(
    response: HttpResponse,
    dialect: Dialect,
) -> bool:
    """Returns whether a target states that it did not run the call."""
    return any(name == dialect.not_run for name, _ in response.headers)


def has_target_seal(response: HttpResponse, dialect: Dialect) -> bool:
    """Returns whether a response has the header that marks a target's answer.

    Only successes must have it, and only if the dialect names one. A response
    with a content encoding never counts as the target's.
    """
    names = {name for name, _ in response.headers}
    if 'content-encoding' in names:
        # Callers don't ask for an encoding, so the target can't have made it.
        return False
    is_success = HTTPStatus.OK <= response.status < HTTPStatus.MULTIPLE_CHOICES
    return not is_success or not dialect.seal or dialect.seal in names


def is_misdirected(response: HttpResponse) -> bool:
    """Returns whether another process of the target refused the call."""
    return response.status == HTTPStatus.MISDIRECTED_REQUEST


def refusal_in_response(
    response: HttpResponse | None,
    request_id: str,
    dialect: Dialect,
) -> Refusal | None:
    """Returns the refusal that a response stands for, None for an answer.

    Args:
        response: The response, if there was one.
        request_id: Id of the request; empty if responses need not repeat it.
        dialect: The names of the headers.
    """
    if response is None:
        return None
    misdirected = is_misdirected(response)
    not_run = states_not_run(response, dialect)
    names_call = bool(header_values(response.headers, dialect.request_id))
    if (misdirected or not_run) and request_id and not names_call:
        # It may be an earlier refusal that a faulty target repeats.
        detail = 'a refusal of the target does not name the call'
        return Refusal.unknown(Reason.GARBLED, detail)
    if misdirected and dialect.required_instance:
        detail = 'another target process now has this address'
        return Refusal.not_run(Reason.OTHER_INSTANCE, detail)
    if not_run:
        return Refusal.not_run(Reason.SHED, 'the target refused the call')
    if not has_target_seal(response, dialect):
        return Refusal.unknown(Reason.GARBLED, "the target's answer is corrupt")
    return None
