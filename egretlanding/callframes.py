"""Builds the frames of attempts, and the records of failed attempts."""

from typing import TYPE_CHECKING

from egretlanding.callheaders import forwarded_headers
from egretlanding.frames import CallReply, CallRequest, Ran
from egretlanding.jobs import MS_PER_S
from egretlanding.outcomes import FailedAttempt, Progress, Reason
from egretlanding.targets import heard_from, usual_run_us

if TYPE_CHECKING:
    from egretlanding.attempts import ActiveCall, Attempt


def build_call(call: 'ActiveCall', attempt: 'Attempt') -> CallRequest:
    """Builds the frame that carries an attempt to the egress daemon."""
    request = call.exchange.request
    dialect = call.ingress.dialect
    now = call.now
    headers = forwarded_headers(request.headers, dialect)
    if dialect.forward_call_headers:
        headers.extend(call.context.headers(len(call.tried) - 1, now).items())
    if dialect.origin:
        headers.append((dialect.origin, call.ingress.service))
    return CallRequest(
        call_id=0,
        method=request.method,
        path=request.path,
        headers=headers,
        body=request.body,
        route=call.match.route_name,
        remaining_ms=max(0, int((call.context.deadline - now) * MS_PER_S)),
        short_wait_ms=call.match.policy.short_wait_ms,
        work=call.ingress.work_class(call.match.route.work),
        idempotent=call.context.idempotent,
        key=call.key,
        hedge=attempt.is_hedge,
        instance=attempt.host.instance,
        priority=call.match.policy.priority,
        patience_ms=remaining_patience_ms(call),
        heard=heard_from(call.service_state.balancer.targets, attempt.host),
        regions=list(call.match.route.allowed_regions),
        usual_us=usual_run_us(
            call.service_state.balancer.targets, call.match.route_name
        ),
        may_retry=may_retry_lost(call),
    )


def may_retry_lost(call: 'ActiveCall') -> bool:
    """Returns whether the call would be sent elsewhere if its attempt is lost.

    A lost call may have run, so only an idempotent one is repeated. The result
    is always False unless lost calls are detected.
    """
    if not call.ingress.retries_lost or call.key or call.context.is_retry:
        return False
    policy = call.match.policy
    arrived = sum(attempt.arrived for attempt in call.failed_attempts)
    return (
        call.context.idempotent
        and arrived + 1 < policy.max_attempts
        and call.service_state.budget.allows(policy, call.now)
    )


def remaining_patience_ms(call: 'ActiveCall') -> int:
    """Returns what is left of the policy's target latency, ms.

    Returns:
        At least 1, or 0 if the policy has no target latency.
    """
    allowed_ms = call.match.policy.target_latency_ms
    if not allowed_ms:
        return 0
    spent_ms = int((call.now - call.arrived) * MS_PER_S)
    return max(1, allowed_ms - spent_ms - call.ingress.caller_latency_ms)


def failure_from_reply(
    attempt: 'Attempt',
    reply: CallReply,
    *,
    keyed: bool,
) -> FailedAttempt:
    """Builds the record of an attempt that got a refusal as its reply."""
    sent = attempt.is_sent()
    return FailedAttempt(
        reason_from_reply(reply),
        Progress.SENT if sent else Progress.UNSENT,
        confirmed_not_run=sent and reply.ran is Ran.NOT_RUN,
        keyed=keyed,
        detail=reply.detail,
        arrived=sent and reply.arrived,
    )


def failure_from_error(reply: CallReply) -> FailedAttempt:
    """Builds the record of an attempt that a target answered with an error."""
    return FailedAttempt(
        Reason.TARGET_ERROR,
        Progress.ANSWERING,
        detail=f'the target answered {reply.status}',
    )


def reason_from_reply(reply: CallReply) -> Reason:
    """Returns the reason of a refusal.

    Reasons that this version doesn't know count as a lost connection.
    """
    if reply.reason in set(Reason):
        return Reason(reply.reason)
    return Reason.CONNECTION_LOST
