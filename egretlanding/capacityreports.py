"""Reports what was learned about the local target to other daemons and logs."""

from http import HTTPStatus
from typing import TYPE_CHECKING, Any

import attrs

from egretlanding.admission import apply_learned
from egretlanding.capacity import Ending
from egretlanding.events import Event, log_event
from egretlanding.frames import CallRequest, CapacityReport, born_tag
from egretlanding.outcomes import Progress
from egretlanding.targetpool import TargetOutcome
from egretlanding.units import PERCENT, US_PER_S

if TYPE_CHECKING:
    from egretlanding.egress import Egress


def update_process(egress: 'Egress') -> None:
    """Learns anew if the listed process of the target is another one.

    Args:
        egress: The calls of the target.
    """
    admission, statements = egress.admission, egress.statements
    if admission.learned is None:
        return
    admission.learned.resize(admission.slots.limit.slots)
    process = (statements.listed_instance, statements.listed_born_ms)
    admission.learned.reset_for_process((*process, egress.health.epoch))
    apply_learned(admission, admission.learned)


def ending_of(outcome: TargetOutcome) -> Ending:
    """Returns how a call at the target ended, if it was not refused."""
    response = outcome.response
    if outcome.progress is Progress.UNSENT:
        return Ending.UNKNOWN
    if outcome.cancelled or response is None:
        return Ending.UNANSWERED
    if response.status >= HTTPStatus.INTERNAL_SERVER_ERROR:
        return Ending.UNKNOWN
    return Ending.ANSWERED


def report_of(
    egress: 'Egress', call: CallRequest, run_s: float = 0
) -> CapacityReport | None:
    """Returns what a reply to a call says about the target.

    Args:
        egress: The calls of the target.
        call: The call.
        run_s: Time that the target took for it, seconds; zero if unknown.

    Returns:
        None if nothing was learned about the process that the call was for.
    """
    learned = egress.admission.learned
    if learned is None or call.instance != learned.process[0]:
        return None
    if learned.process[2] != egress.health.epoch:
        return None
    speed = learned.speed(egress.reactor.seconds())
    return CapacityReport(
        learned.limit,
        round(speed * PERCENT),
        int(run_s * US_PER_S),
        born_tag(learned.process[1]),
    )


def log_change(egress: 'Egress') -> None:
    """Logs a change of the estimates, or drops those of an ended process."""
    learned = egress.admission.learned
    if learned is None:
        return
    if learned.process[2] != egress.health.epoch:
        update_process(egress)
    change = learned.take_change(egress.reactor.seconds())
    if change:
        log_event(
            Event.CAPACITY_LEARNED,
            'what was learned about the target changed by over a quarter',
            instance=learned.process[0],
            **describe_change(attrs.asdict(change)),
        )


def describe_change(change: dict[str, Any]) -> dict[str, Any]:
    """Returns the fields of a change, with speeds rounded for the log."""
    return {
        name: round(value, 2) if isinstance(value, float) else value
        for name, value in change.items()
    }
