"""The promises on what targets state in their answers."""

import bisect
from collections.abc import Iterator

import attrs

from soak.promises import DAEMON_FAULTS, DRAIN_LIMIT_S, OK, promise
from soak.records import History, SoakAction, TargetRun

# Calls a second that a limited target takes, and how many more it may get in a
# window of some seconds, from some seconds after it named the limit.
LIMIT_PER_S = 2.0
LIMIT_WINDOW_S = 4.0
LIMIT_RATIO = 1.5
LIMIT_EXCESS = 5
LIMIT_SETTLED_S = 3.0
# Time after an answer from which a daemon must heed what it states, seconds.
STATEMENT_HEARD_S = 0.5
# Faults that a daemon's knowledge of what targets state need not survive.
HEARING_FAULTS = (*DAEMON_FAULTS, 'term', 'term-several')


@attrs.frozen
class HeedfulRun:
    """A run of a request whose daemon had heard what the target states.

    Attributes:
        run: The run.
        host: The host id of the daemon.
        sent: When the request was sent, seconds.
        heard_at: When the daemon had first passed on an answer that states
            it, seconds.
    """

    run: TargetRun
    host: str
    sent: float
    heard_at: float


@promise('limit')
def check_limit(history: History) -> Iterator[str]:
    """A target gets no more calls than it says that it takes."""
    most = LIMIT_RATIO * LIMIT_WINDOW_S * LIMIT_PER_S + LIMIT_EXCESS
    for action in history.actions_of('target-limit'):
        settled_at = action.started_at + LIMIT_SETTLED_S
        began = sorted(
            found.run.began
            for found in heedful_runs(history, action)
            if settled_at < found.run.began < action.undone_at
            and found.run.began > found.heard_at + STATEMENT_HEARD_S
        )
        calls = most_in_window(began)
        if calls > most:
            yield f'{action.subject} got {calls} calls in {LIMIT_WINDOW_S} s'


@promise('leaving')
def check_leaving(history: History) -> Iterator[str]:
    """A target that says that it leaves gets no new calls of who heard it."""
    return (
        f'{found.run.request_id} ran at {action.subject}, which had said to '
        f'{found.host} that it leaves'
        for action in history.actions_of('target-leaving')
        for found in heedful_runs(history, action)
        if found.sent > found.heard_at + DRAIN_LIMIT_S
    )


def most_in_window(began: list[float]) -> int:
    """Returns the most runs in a window of the limit."""
    return max(
        (
            bisect.bisect(began, first + LIMIT_WINDOW_S) - index
            for index, first in enumerate(began)
        ),
        default=0,
    )


def heedful_runs(history: History, action: SoakAction) -> Iterator[HeedfulRun]:
    """Yields the runs whose daemon had heard what the target states.

    Daemons that were restarted, paused or cut off since are left out.

    Args:
        history: The records of the run.
        action: The time for which the target states something.
    """
    heard_at = hearing_times(history, action)
    requests = {request.request_id: request for request in history.requests}
    found = [
        HeedfulRun(run, request.host, request.sent, heard_at[request.host])
        for run in history.runs
        if run.instance == action.subject
        and (request := requests.get(run.request_id)) is not None
        and request.host in heard_at
    ]
    return (
        heedful
        for heedful in found
        if heedful.heard_at < heedful.run.began
        and not history.has_actions(
            action.started_at,
            heedful.run.began,
            *HEARING_FAULTS,
            subject=heedful.host,
        )
    )


def hearing_times(history: History, action: SoakAction) -> dict[str, float]:
    """Returns when each daemon first passed on an answer that states it."""
    answers = sorted(
        (request.ended, request.host)
        for request in history.requests
        if request.status == OK
        and request.sent > action.started_at
        and request.body.endswith(f' {action.subject}')
    )
    return {host: ended for ended, host in reversed(answers)}
