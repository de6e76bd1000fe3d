"""Holds calls back whose nested calls would be rejected."""

from typing import TYPE_CHECKING

from egretlanding.egress import Egress
from egretlanding.frames import CallReply, Ran
from egretlanding.nestedroutes import NestedRoutes
from egretlanding.outcomes import NO_CAPACITY_REASONS, Reason, Refusal
from egretlanding.slots import MIN_TIME_TO_RETRY_S

if TYPE_CHECKING:
    from egretlanding.attempts import ActiveCall

# The targets of other regions are left out once the link's budget is spent,
# which is asked for only if those of this region have no room.
LACKING_ROOM = NO_CAPACITY_REASONS | {Reason.LINK_BUDGET}


def check_nested(call: 'ActiveCall') -> Refusal | None:
    """Records a call, and refuses it as often as its nested calls are refused.

    Calls whose callers have no time to retry go on, because the work that
    waits for them would be lost.
    """
    nested = call.ingress.service_states.nested
    if nested is None:
        return None
    route, now = call.match.route_name, call.now
    nested.observe(route, routes_at_target(call.ingress.egress))
    share = nested.rejected_share(route, now)
    if not share or call.context.deadline - now <= MIN_TIME_TO_RETRY_S:
        return None
    if call.ingress.service_states.rng.random() >= share:
        return None
    nested.held_back[route] += 1
    call.is_held_back = True
    return Refusal.not_run(
        Reason.QUEUE_FULL,
        'no target had room for the calls that such calls make',
    )


def record_nested(call: 'ActiveCall', reply: CallReply) -> None:
    """Records how a call ended, if the local target makes such calls.

    Calls that were held back are left out: their share would keep itself up.
    """
    nested = call.ingress.service_states.nested
    if nested and not call.is_held_back:
        route, now = call.match.route_name, call.now
        nested.record_end(route, rejected=lacked_room(call, reply), now=now)


def lacked_room(call: 'ActiveCall', reply: CallReply) -> bool:
    """Returns whether no target had room for a call.

    A call that arrived after its deadline shows nothing about targets, and one
    that may have run had room.
    """
    if reply.ran is not Ran.NOT_RUN or reply.reason not in LACKING_ROOM:
        return False
    return reply.reason != Reason.DEADLINE or bool(call.failed_attempts)


def sample_target(nested: NestedRoutes | None, egress: Egress) -> None:
    """Records what runs at the local target.

    Args:
        nested: What is learned, None if fair shares are off.
        egress: The calls of the target.
    """
    shares = egress.admission.shares
    if nested and shares:
        starts = {name: held.starts for name, held in shares.totals.items()}
        now = egress.reactor.seconds()
        nested.sample(routes_at_target(egress), starts, now)


def routes_at_target(egress: Egress) -> list[str]:
    """Returns the routes of the calls that run at the local target."""
    running = egress.admission.slots.running.values()
    return [held.call.route for held in running]
