"""Frees the slots of calls once they have ended at the target."""

from typing import TYPE_CHECKING

from egretlanding.admission import Admission, withdraw_call
from egretlanding.capacity import Ending
from egretlanding.capacityreports import ending_of
from egretlanding.outcomes import Execution, Progress, Refusal
from egretlanding.slots import MARGIN_RATIO
from egretlanding.targetpool import TargetOutcome

if TYPE_CHECKING:
    from egretlanding.egress import Egress


def release_slot(
    egress: 'Egress',
    call_id: int,
    outcome: TargetOutcome,
    refusal: Refusal | None,
) -> bool:
    """Frees the slot of a call, unless it may still run at the target.

    Args:
        egress: The calls of the target.
        call_id: Number of the call.
        outcome: How it ended here.
        refusal: The refusal that the target answered, if it did.

    Returns:
        Whether the call counts as lost and got no answer.
    """
    now = egress.reactor.seconds()
    ending = ending_of(outcome)
    if refusal and refusal.execution is Execution.NOT_RUN:
        ending = Ending.REFUSED
    lost = bool(egress.silent and egress.silent.end(call_id, outcome, ending))
    if call_id not in egress.admission.slots.running:
        # It was freed at the deadline of the call, see `SilentCalls`.
        return lost
    if outcome.progress is Progress.UNSENT or ending is Ending.REFUSED:
        egress.admission.record_shed(call_id, now, ending)
    elif egress.silent and outcome.may_run and hold_slot(egress, call_id):
        return lost
    elif lost:
        # How long it took says nothing about its route.
        withdraw_call(egress.admission, call_id, now, ending)
    else:
        egress.admission.release(call_id, now, ending)
    return lost


def usual_end(admission: Admission, call_id: int) -> float:
    """Returns by when a running call usually has ended, seconds.

    It is the call's deadline if that comes first.

    Args:
        admission: The slots of the target.
        call_id: Number of the call.
    """
    held = admission.slots.running[call_id]
    usual_s = MARGIN_RATIO * admission.times.expected(held.call.route)
    return min(held.call.deadline, held.started + usual_s)


def hold_slot(egress: 'Egress', call_id: int) -> bool:
    """Keeps the slot of a call whose connection the daemon has closed.

    The target may go on running the call, so another one would find no slot.

    Args:
        egress: The calls of the target.
        call_id: Number of the call.

    Returns:
        Whether the slot is kept; if not the call has usually ended by now.
    """
    left_s = usual_end(egress.admission, call_id) - egress.reactor.seconds()
    if left_s <= 0:
        return False
    egress.reactor.callLater(left_s, free_slot, egress, call_id)
    return True


def free_slot(egress: 'Egress', call_id: int) -> None:
    """Frees the slot of a call if it is taken, and starts the next call."""
    if call_id in egress.admission.slots.running:
        now = egress.reactor.seconds()
        withdraw_call(egress.admission, call_id, now)
        egress.advance()
