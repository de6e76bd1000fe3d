"""The names of the HTTP headers that callers, daemons and targets use."""

from http import HTTPStatus

import attrs

from egretlanding.outcomes import REASON_TRAITS, Execution, Reason


@attrs.frozen
class Dialect:
    """The HTTP conventions of one deployment.

    Header names are in lower case; an empty name disables the header.

    Attributes:
        caller_deadline: Time that the caller will wait, ms.
        target_deadline: Time that the target has to answer, ms.
        target_call: Id by which the target can be asked to cancel a call.
        not_run: Present in the answer of a target that did not run the call.
        request_id: Id of a request; the target repeats it in the answer.
        origin: The service on whose host the request originated.
        required_instance: The process of the target that must run the call.
        seal: Present in each answer that a target produced by running a
            call.
        rate_limit: Calls a second that a target takes from all hosts
            together; present in its answers while that is so.
        leaving: Present in the answers of a target that is about to stop.
        cold_ms: In the answer to a health check of a target: for how long it
            stays cold, ms.
        instance: The process of the target that answered a health check.
        forward_call_headers: Whether the headers with call depth and retry
            mark are sent with each attempt.
        sends_reason_headers: Whether refusals carry the headers of this
            project.
        status_shows_execution: Whether the status of a refusal alone
            indicates if the call ran: 503 if it did not, 502 or 504
            otherwise.
    """

    caller_deadline: str = 'x-timeout-ms'
    target_deadline: str = 'x-deadline-ms'
    target_call: str = 'x-call-id'
    not_run: str = 'x-not-run'
    request_id: str = ''
    origin: str = ''
    required_instance: str = ''
    seal: str = ''
    rate_limit: str = ''
    leaving: str = ''
    cold_ms: str = ''
    instance: str = ''
    forward_call_headers: bool = True
    sends_reason_headers: bool = True
    status_shows_execution: bool = False

    def status_of(self, reason: Reason, execution: Execution) -> int:
        """Returns the HTTP status of a refusal."""
        status = REASON_TRAITS[reason].status
        if not self.status_shows_execution or reason in CALLER_FAULTS:
            return int(status)
        if execution is Execution.NOT_RUN:
            return HTTPStatus.SERVICE_UNAVAILABLE
        if reason is Reason.DEADLINE:
            return HTTPStatus.GATEWAY_TIMEOUT
        return HTTPStatus.BAD_GATEWAY


# Reasons of refusals that are caused by the request itself.
CALLER_FAULTS = frozenset(
    (Reason.NO_ROUTE, Reason.HEADER_MALFORMED, Reason.TOO_DEEP),
)
DEFAULT_DIALECT = Dialect()
