"""Writes what was decided on the calls of callers."""

from typing import TYPE_CHECKING

from egretlanding.events import Event, Severity, log_event
from egretlanding.frames import CallReply, Ran
from egretlanding.jobs import MS_PER_S

if TYPE_CHECKING:
    from egretlanding.attempts import CallRun


def log_call(
    run: 'CallRun',
    event: Event,
    message: str,
    **fields: object,
) -> None:
    """Writes a decision on a call of a caller."""
    request = run.entry.request
    view = run.ingress.routes.view
    log_event(
        event,
        message,
        Severity.INFO,
        request=request.header(run.ingress.dialect.request_id),
        route=run.match.route_name,
        service=run.match.service_name,
        release=view.release.number if view else 0,
        hosts=view.hosts.revision if view else 0,
        tried=sorted(run.tried),
        age_ms=int((run.now - run.arrived) * MS_PER_S),
        left_ms=int((run.context.deadline - run.now) * MS_PER_S),
        **fields,
    )


def log_answer(run: 'CallRun', reply: CallReply) -> None:
    """Writes how a call of a caller ended."""
    if not reply.reason:
        message = 'answered by a target'
        log_call(run, Event.CALL_ANSWERED, message, status=reply.status)
        return
    refused = reply.ran is Ran.NOT_RUN
    log_call(
        run,
        Event.CALL_REFUSED if refused else Event.CALL_FAILED,
        'refused; it did not run' if refused else 'failed; it may have run',
        reason=reply.reason,
        detail=reply.detail,
        attempts=len(run.failed),
    )
