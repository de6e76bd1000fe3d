"""Ends a call or a job whose handling failed with an unexpected error.

Without this the reactor would close the connection that the error occurred on,
with all calls in flight on it, and the failed call would get no answer.
"""

import functools
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from egretlanding.admission import withdraw_call
from egretlanding.callheaders import response_of
from egretlanding.containment import contained, log_unexpected
from egretlanding.frames import CallReply, refusal_reply
from egretlanding.outcomes import Reason, Refusal

if TYPE_CHECKING:
    from egretlanding.attempts import ActiveCall
    from egretlanding.egress import Egress
    from egretlanding.jobs import Job

DETAIL = 'the daemon failed to handle the call; see its log'
Step = Callable[..., None]


def answers_failed_call(step: Step) -> Step:
    """Makes a method of `ActiveCall` answer the call if it fails."""

    @functools.wraps(step)
    def run(call: 'ActiveCall', *details: Any) -> None:
        try:
            step(call, *details)
        except Exception as error:
            log_unexpected(f'call, {step.__name__}', error)
            fail_call(call)

    return run


def fail_call(call: 'ActiveCall') -> None:
    """Cancels a call, and answers that it failed unless it is answered."""
    with contained('cancellation of a failed call'):
        call.cancel_open_attempts()
    call.finish()
    if call.exchange.response is not None:
        return
    refusal = Refusal.not_run(Reason.INTERNAL_ERROR, DETAIL)
    if call.tried or call.key:
        refusal = Refusal.unknown(Reason.INTERNAL_ERROR, DETAIL)
    reply = refusal_reply(0, refusal)
    call.ingress.count(reply)
    call.exchange.respond(response_of(reply, call.ingress.dialect))


def failed_reply() -> CallReply:
    """Returns the reply to a call that failed here and may have run."""
    return refusal_reply(0, Refusal.unknown(Reason.INTERNAL_ERROR, DETAIL))


def replies_to_failed_job(step: Step) -> Step:
    """Makes a method of `Egress` reply to its job if it fails."""

    @functools.wraps(step)
    def run(egress: 'Egress', job: 'Job', *details: Any) -> None:
        try:
            step(egress, job, *details)
        except Exception as error:
            log_unexpected(f'job, {step.__name__}', error)
            fail_job(egress, job)

    return run


def fail_job(egress: 'Egress', job: 'Job') -> None:
    """Frees the slot of a job, and replies that it may have run."""
    admission = egress.admission
    if job.job_id in admission.slots.running:
        withdraw_call(admission, job.job_id, egress.reactor.seconds())
        egress.reactor.callLater(0, egress.advance)
    if egress.silent:
        egress.silent.forget(job.job_id)
    if job.job_id in egress.table.jobs:
        refusal = Refusal.unknown(Reason.INTERNAL_ERROR, DETAIL)
        egress.end_refused(job, refusal)
