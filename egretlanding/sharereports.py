"""Reports on the shares of routes at the local target to logs and metrics."""

from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING

from egretlanding.events import Event, log_event
from egretlanding.fairshares import RouteTotals
from egretlanding.metrics import Sample

if TYPE_CHECKING:
    from egretlanding.egress import Egress

# Routes that one line of the log names at most.
MAX_LOGGED_ROUTES = 8


def log_shares(egress: 'Egress') -> None:
    """Logs that guaranteed shares have become needed or unneeded."""
    shares = egress.admission.shares
    change = shares.take_change(egress.reactor.seconds()) if shares else None
    if change is None:
        return
    routes = list(change.routes[:MAX_LOGGED_ROUTES])
    if change.needed:
        log_event(
            Event.SHARES_NEEDED,
            'routes get their guaranteed shares of the overloaded target',
            routes=routes,
            count=len(change.routes),
        )
    else:
        log_event(
            Event.SHARES_UNNEEDED,
            'no route needs its guaranteed share any more',
            routes=routes,
            count=len(change.routes),
            seconds=round(change.seconds, 1),
        )


def retain_routes(egress: 'Egress', routes: Iterable[str]) -> None:
    """Drops what was counted for routes that were removed.

    Args:
        egress: The calls of the target.
        routes: The routes of the configuration in force.
    """
    shares = egress.admission.shares
    if shares:
        shares.retain(routes)


def share_samples(
    egress: 'Egress', observe: Callable[[RouteTotals], float]
) -> list[Sample]:
    """Returns a total of each route, nothing if shares are off."""
    shares = egress.admission.shares
    if shares is None:
        return []
    return [
        Sample(round(observe(totals), 3), {'route': route})
        for route, totals in shares.totals.items()
    ]
