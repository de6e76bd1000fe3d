"""Logs the decisions on callers' calls."""

from typing import TYPE_CHECKING

from egretlanding.events import Event, Severity, log_event
from egretlanding.frames import CallReply, Ran
from egretlanding.jobs import MS_PER_S

if TYPE_CHECKING:
    from egretlanding.attempts import ActiveCall


def log_call(
    call: 'ActiveCall',
    event: Event,
    message: str,
    **fields: object,
) -> None:
    """Logs a decision on a caller's call."""
    request = call.exchange.request
    view = call.ingress.service_states.view
    log_event(
        event,
        message,
        Severity.INFO,
        request=request.header(call.ingress.dialect.request_id),
        route=call.match.route_name,
        service=call.match.service_name,
        release=view.release.number if view else 0,
        hosts=view.hosts.revision if view else 0,
        tried=sorted(call.tried),
        age_ms=int((call.now - call.arrived) * MS_PER_S),
        left_ms=int((call.context.deadline - call.now) * MS_PER_S),
        **fields,
    )


def log_answer(call: 'ActiveCall', reply: CallReply) -> None:
    """Logs how a caller's call ended."""
    if not reply.reason:
        message = 'answered by a target'
        log_call(call, Event.CALL_ANSWERED, message, status=reply.status)
        return
    not_run = reply.ran is Ran.NOT_RUN
    log_call(
        call,
        Event.CALL_REFUSED if not_run else Event.CALL_FAILED,
        'refused; it did not run' if not_run else 'failed; it may have run',
        reason=reply.reason,
        detail=reply.detail,
        attempts=len(call.failed_attempts),
    )
