"""The names of the HTTP headers by which callers, daemons and targets talk."""

from http import HTTPStatus

import attrs

from egretlanding.outcomes import REASON_TRAITS, Execution, Reason


@attrs.frozen
class Dialect:
    """The headers of one deployment; an empty name is a header not used.

    All names are in lower case.

    Attributes:
        caller_deadline: Time that the caller will wait, ms.
        target_deadline: Time that the target has, ms.
        target_call: Name by which the target can be asked to end a call.
        not_run: Present in a target's answer that it did not run the call.
        request_id: Names a request; the target repeats it in the answer.
        origin: The service beside which the request began.
        wanted_instance: The process of the target that is to run the call.
        seal: Present in each answer that a target made by running a call.
        forward_call_headers: Whether depth and retry marks go with each
            attempt.
        sends_reason_headers: Whether refusals carry the headers of this
            project.
        status_shows_execution: Whether the status of a refusal alone says if
            the call ran: 503 for a call that did not, 502 and 504 for others.
    """

    caller_deadline: str = 'x-timeout-ms'
    target_deadline: str = 'x-deadline-ms'
    target_call: str = 'x-call-id'
    not_run: str = 'x-not-run'
    request_id: str = ''
    origin: str = ''
    wanted_instance: str = ''
    seal: str = ''
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


# Refusals that tell the caller that the request itself is wrong.
CALLER_FAULTS = frozenset(
    (Reason.NO_ROUTE, Reason.HEADER_MALFORMED, Reason.TOO_DEEP),
)
OWN_DIALECT = Dialect()
