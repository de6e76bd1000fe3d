"""The promises that a soak checks against the history of a run."""

import math
from collections import Counter
from collections.abc import Callable, Iterator

import attrs

from soak.records import CallerRequest, History, SoakAction

REFUSAL_STATUSES = frozenset((408, 421, 429, 503))
OK = 200
NOT_FOUND = 404
# Text of each refusal of a daemon that has no route for a request. Its status
# is 503 instead of 404 while the daemon's configuration isn't confirmed.
UNMATCHED_TEXT = 'no Route matches'
# Time after which a draining target must get no new requests, seconds.
DRAIN_LIMIT_S = 2.0
# Time after which a configuration must be in force everywhere, seconds.
IN_FORCE_LIMIT_S = 2.0
# Time after a fault during which checks with a time limit don't apply, seconds.
FAULT_AFTERMATH_S = 3.0
# Time after the last fault in which all daemons must serve again, seconds.
RECOVERY_LIMIT_S = 15.0
# Time before the end of a connection after which a request may cross its
# closing unread, seconds.
CROSSING_S = 0.5
# Faults of the store, which can delay updates.
STORE_FAULTS = ('store-cut', 'store-silent', 'store-slow', 'store-restored')
# Faults of daemons and of the connections between them.
DAEMON_FAULTS = ('kill', 'pause', 'cut', 'silence', 'one-way', 'delay')


@attrs.frozen
class Breach:
    """A promise that was broken.

    Attributes:
        promise: The name of the promise.
        detail: What was observed.
    """

    promise: str
    detail: str


Promise = Callable[[History], Iterator[str]]
PROMISES: dict[str, Promise] = {}


def promise(name: str) -> Callable[[Promise], Promise]:
    """Registers a check, which yields one text for each breach.

    Args:
        name: The name of the promise that it checks.
    """

    def register(check: Promise) -> Promise:
        PROMISES[name] = check
        return check

    return register


def find_breaches(history: History) -> list[Breach]:
    """Returns the breaches of all promises."""
    return [
        Breach(name, detail)
        for name, check in PROMISES.items()
        for detail in check(history)
    ]


@promise('at-most-once')
def check_at_most_once(history: History) -> Iterator[str]:
    """Non-idempotent requests run at most once."""
    run_counts = Counter(run.request_id for run in history.runs)
    return (
        f'{request.request_id} ran {run_counts[request.request_id]} times'
        for request in history.requests
        if not request.idempotent and run_counts[request.request_id] > 1
    )


@promise('true-refusals')
def check_refusals(history: History) -> Iterator[str]:
    """A non-idempotent request that was refused did not run."""
    run_ids = {run.request_id for run in history.runs}
    return (
        f'{request.request_id} was refused with {request.status} but ran'
        for request in history.requests
        if not request.idempotent
        and request.status in REFUSAL_STATUSES
        and request.request_id in run_ids
    )


@promise('own-answers')
def check_answers(history: History) -> Iterator[str]:
    """Every success is the complete answer of a target to this request."""
    answers = {f'{run.request_id} {run.instance}' for run in history.runs}
    return (
        f'{request.request_id} got the answer {request.body!r}'
        for request in history.requests
        if request.status == OK
        and (
            request.body not in answers
            or not request.body.startswith(f'{request.request_id} ')
        )
    )


@promise('never-back')
def check_routes_kept(history: History) -> Iterator[str]:
    """A daemon that has served a route doesn't lose it until it restarts."""
    return (
        f'{later.host} served {later.path} and lacked its route afterwards'
        for earlier, later in lost_routes(history)
        if not was_restarted(history, earlier, later)
    )


def lacks_route(request: CallerRequest) -> bool:
    """Returns whether a daemon had no route for a request."""
    return request.status == NOT_FOUND or (
        request.status in REFUSAL_STATUSES and UNMATCHED_TEXT in request.body
    )


def lost_routes(
    history: History,
) -> Iterator[tuple[CallerRequest, CallerRequest]]:
    """Yields a success and a later lack of the route, of one daemon each.

    Only a success shows that a daemon had the route: one without any
    configuration answers 503.
    """
    last_successes: dict[tuple[str, str], CallerRequest] = {}
    answered = (request for request in history.requests if request.status)
    for request in answered:
        key = (request.host, request.path)
        earlier = last_successes.get(key)
        if request.status == OK:
            last_successes[key] = request
        elif earlier and lacks_route(request):
            yield earlier, request


def was_restarted(
    history: History,
    earlier: CallerRequest,
    later: CallerRequest,
) -> bool:
    """Returns whether a daemon may have been restarted between two answers."""
    return any(
        action.subject == later.host
        and action.kind in {'kill', 'term'}
        and action.started_at < later.ended
        and action.undone_at > earlier.sent
        for action in history.actions
    )


@promise('in-force')
def check_in_force(history: History) -> Iterator[str]:
    """Every daemon serves an added route in time if there are no faults."""
    published_at = {
        action.subject: action.started_at
        for action in history.actions
        if action.kind == 'publish'
    }
    for request in history.requests:
        began = published_at.get(request.path.split('/')[1])
        if began is None or not lacks_route(request):
            continue
        faults = (*STORE_FAULTS, *DAEMON_FAULTS, 'term')
        undisturbed = not history.has_actions(
            began - FAULT_AFTERMATH_S,
            request.ended,
            *faults,
        )
        if undisturbed and request.sent > began + IN_FORCE_LIMIT_S:
            late_s = round(request.sent - began, 1)
            yield (
                f'{request.host} did not serve {request.path} '
                f'{late_s} s after its publication'
            )


@promise('drain')
def check_drain(history: History) -> Iterator[str]:
    """A draining target gets no new requests if there are no faults."""
    sent_at = {request.request_id: request.sent for request in history.requests}
    drains = [action for action in history.actions if action.kind == 'leave']
    faults = (*STORE_FAULTS, *DAEMON_FAULTS)
    return (
        f'{run.request_id} ran at {run.instance}, which was draining'
        for drain in drains
        for run in history.runs
        if run.instance == drain.subject
        and drain.started_at + DRAIN_LIMIT_S < run.began < drain.undone_at
        and sent_at.get(run.request_id, 0) > drain.started_at + DRAIN_LIMIT_S
        and not history.has_actions(
            drain.started_at - FAULT_AFTERMATH_S,
            run.began,
            *faults,
        )
    )


@promise('caught-up')
def check_caught_up(history: History) -> Iterator[str]:
    """Every daemon has all published routes after the recovery limit."""
    faults_ended = max(
        (action.undone_at for action in history.actions), default=math.inf
    )
    return (
        f'{request.host} lacked the route of {request.path}, '
        f'{round(request.sent - faults_ended, 1)} s after the last fault'
        for request in history.requests
        if lacks_route(request)
        and request.sent > faults_ended + RECOVERY_LIMIT_S
    )


@promise('graceful-stop')
def check_graceful_stop(history: History) -> Iterator[str]:
    """A graceful stop or reload drops no request that a target has run."""
    run_ids = {run.request_id for run in history.runs}
    return (
        f'{request.request_id} got no answer while {request.host} was stopped'
        for request in history.requests
        if not request.status
        and request.request_id in run_ids
        and was_stopped(history, request)
        and not history.has_actions(
            request.sent - FAULT_AFTERMATH_S,
            request.ended,
            *DAEMON_FAULTS,
            'target-kill',
        )
    )


def was_stopped(history: History, request: CallerRequest) -> bool:
    """Returns whether a daemon was stopped or reloaded during a request."""
    return any(
        action.kind in {'term', 'reload'}
        and action.subject == request.host
        and action.started_at < request.ended
        and action.undone_at > request.sent
        for action in history.actions
    )


@promise('stop-in-time')
def check_stop_in_time(history: History) -> Iterator[str]:
    """A graceful stop ends within the grace time."""
    return (
        f'{action.subject} was killed '
        f'{round(action.undone_at - action.started_at, 1)} s after SIGTERM'
        for action in history.actions
        if action.kind == 'overdue' and not is_excused(history, action)
    )


def is_excused(history: History, overdue: SoakAction) -> bool:
    """Returns whether the daemon had just been started or paused."""
    earliest = overdue.started_at - FAULT_AFTERMATH_S
    return any(
        action.subject == overdue.subject
        and action.kind in {'kill', 'pause', 'term'}
        and earliest < action.undone_at <= overdue.started_at
        for action in history.actions
    )


@promise('answered')
def check_answered(history: History) -> Iterator[str]:
    """A daemon answers each request that it has read, unless it is killed.

    Requests that cross the closing of their connection may stay unanswered if
    no target has run them.
    """
    run_ids = {run.request_id for run in history.runs}
    return (
        f'{request.request_id} got no answer from {request.host} in '
        f'{round(request.ended - request.sent, 1)} s'
        for request in history.requests
        if not request.status
        and (
            was_read(request)
            or (request.request_id in run_ids and was_changed(history, request))
        )
        and not was_cut_off(history, request)
    )


def was_read(request: CallerRequest) -> bool:
    """Returns whether a daemon had the time to read a request."""
    return (
        request.written is not None
        and request.ended > request.written + CROSSING_S
    )


def was_changed(history: History, request: CallerRequest) -> bool:
    """Returns whether a daemon's process or configuration was changed."""
    return was_stopped(history, request) or history.has_actions(
        request.sent - IN_FORCE_LIMIT_S, request.ended, 'publish'
    )


def was_cut_off(history: History, request: CallerRequest) -> bool:
    """Returns whether a daemon was killed or paused by the soak."""
    return history.has_actions(
        request.sent - FAULT_AFTERMATH_S,
        request.ended,
        'kill',
        'pause',
        subject=request.host,
    ) or any(
        action.kind == 'overdue'
        and action.subject == request.host
        and request.sent < action.undone_at < request.ended + CROSSING_S
        and is_excused(history, action)
        for action in history.actions
    )


@promise('recovery')
def check_recovery(history: History) -> Iterator[str]:
    """Every daemon serves at least half of the requests after recovery."""
    end = max((request.ended for request in history.requests), default=0)
    start = min((request.sent for request in history.requests), default=0)
    faults_ended = max(
        (action.undone_at for action in history.actions),
        default=start,
    )
    if end < faults_ended + RECOVERY_LIMIT_S:
        return
    for host in sorted({request.host for request in history.requests}):
        successes = [
            request.status == OK
            for request in history.requests
            if request.host == host
            and request.sent > faults_ended + RECOVERY_LIMIT_S
        ]
        if successes and sum(successes) * 2 < len(successes):
            yield (
                f'{host} served only {sum(successes)} of {len(successes)} '
                'requests after the recovery limit'
            )
