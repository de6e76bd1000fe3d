"""The promises on where calls run: regions, evacuations and cold targets."""

import bisect
from collections.abc import Iterator

from soak.promises import STORE_FAULTS, promise
from soak.records import History, SoakAction
from standins.platformfleet import ZONES

# First segment of the paths whose route names a region, before that region.
HOME_MARK = 'home-'
# Time after which an evacuation must be in force everywhere, seconds.
EVAC_LIMIT_S = 5.0
# Calls a second that a cold target takes, and for how long it is cold after its
# start, seconds. In any second it may get half as much again and some more.
COLD_PER_S = 2.0
COLD_S = 3.0
COLD_RATIO = 1.5
COLD_EXCESS = 8
COLD_WINDOW_S = 1.0
# Faults that keep news from one daemon.
NEWS_FAULTS = ('kill', 'pause', 'cut', 'silence', 'one-way', 'delay', 'term')


@promise('home')
def check_home(history: History) -> Iterator[str]:
    """Calls of a route that names a region run in that region only."""
    for run in history.runs:
        segment = run.path.split('/')[1]
        if not segment.startswith(HOME_MARK):
            continue
        region = ZONES.get(run.zone)
        if region != segment.removeprefix(HOME_MARK):
            yield f'{run.request_id} to {run.path} ran in {region}'


@promise('evacuated')
def check_evacuated(history: History) -> Iterator[str]:
    """Targets of an evacuated failure domain get no calls."""
    return (
        f'{run.request_id} ran in {run.zone}, which was evacuated'
        for action in history.actions_of('evacuated')
        for run in history.runs
        if run.zone == action.subject
        and action.started_at + EVAC_LIMIT_S < run.began < action.undone_at
        and settled_at(history, action, run.host) < run.began
    )


def settled_at(history: History, action: SoakAction, host: str) -> float:
    """Returns when the daemon of a host must know of an evacuation, seconds.

    Faults of the store and of this daemon put it off.
    """
    at = action.started_at + EVAC_LIMIT_S
    faults = [
        fault
        for fault in sorted(history.actions, key=lambda one: one.started_at)
        if fault.kind in STORE_FAULTS
        or (fault.kind in NEWS_FAULTS and fault.subject == host)
    ]
    for fault in faults:
        if fault.started_at < at < fault.undone_at + EVAC_LIMIT_S:
            at = fault.undone_at + EVAC_LIMIT_S
    return at


@promise('cold')
def check_cold(history: History) -> Iterator[str]:
    """A target that started a short time ago gets no more than its limit."""
    most = COLD_RATIO * COLD_PER_S * COLD_WINDOW_S + COLD_EXCESS
    for action in history.actions_of('cold'):
        began = sorted(
            run.began
            for run in history.runs
            if run.instance == action.subject and run.began < action.undone_at
        )
        calls = max(
            (
                bisect.bisect(began, first + COLD_WINDOW_S) - index
                for index, first in enumerate(began)
            ),
            default=0,
        )
        if calls > most:
            yield f'{action.subject} got {calls} calls in a second while cold'
