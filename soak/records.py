"""Records of what the callers, the targets and the soak did during a run.

All times are in seconds of the clock that `clock` returns.
"""

import threading
import time
from typing import Any

import attrs


@attrs.frozen
class CallerRequest:
    """One request of a caller and its outcome.

    Attributes:
        request_id: The id of the request.
        host: The host id of the daemon that it was sent to.
        path: The path.
        idempotent: Whether its route is idempotent.
        sent: When it was sent, seconds.
        ended: When its answer arrived or its connection ended, seconds.
        status: The status of the answer, zero if the connection ended.
        body: The body of the answer.
        written: When its last byte was sent, seconds; None if it wasn't.
    """

    request_id: str
    host: str
    path: str
    idempotent: bool
    sent: float
    ended: float
    status: int
    body: str = ''
    written: float | None = None


@attrs.frozen
class TargetRun:
    """One run of a request at a target.

    Attributes:
        request_id: The id of the request.
        instance: The instance name of the target's process.
        path: The path of the request.
        began: When it began, seconds.
        zone: The failure domain of the target.
        host: The host id of the daemon beside it.
    """

    request_id: str
    instance: str
    path: str
    began: float
    zone: str = ''
    host: str = ''


@attrs.frozen
class SoakAction:
    """A fault or a publication by the soak.

    Attributes:
        kind: The name of the fault; `overdue` for a graceful stop that ended
            by a kill at the end of the grace time.
        subject: The host id of a daemon; for `leave`, `target-limit` and
            `target-leaving`, the instance name of a target; for `publish`,
            the path segment of the new route; for `evacuated`, a failure
            domain; for `cold`, the instance name of a target.
        started_at: When it began, seconds.
        undone_at: When it was undone, seconds.
    """

    kind: str
    subject: str
    started_at: float
    undone_at: float


@attrs.define(eq=False)
class History:
    """All records of a run, in the order in which they were added.

    Attributes:
        requests: The requests of callers.
        runs: The runs at targets.
        actions: The faults and publications of the soak.
        lock: Held while a record is added.
    """

    requests: list[CallerRequest] = attrs.field(factory=list)
    runs: list[TargetRun] = attrs.field(factory=list)
    actions: list[SoakAction] = attrs.field(factory=list)
    lock: Any = attrs.field(factory=threading.Lock)

    def record(self, event: CallerRequest | TargetRun | SoakAction) -> None:
        """Adds a record to the list of its kind."""
        with self.lock:
            if isinstance(event, CallerRequest):
                self.requests.append(event)
            elif isinstance(event, TargetRun):
                self.runs.append(event)
            else:
                self.actions.append(event)

    def actions_of(self, kind: str) -> list[SoakAction]:
        """Returns the actions of one kind."""
        return [action for action in self.actions if action.kind == kind]

    def has_actions(
        self,
        began: float,
        ended: float,
        *kinds: str,
        subject: str | None = None,
    ) -> bool:
        """Returns whether actions of some kinds overlap a time span.

        Args:
            began: The start of the time span, seconds.
            ended: The end of the time span, seconds.
            kinds: The names of the faults.
            subject: The only subject that counts; None for all.
        """
        return any(
            action.kind in kinds
            and subject in {None, action.subject}
            and action.started_at < ended
            and action.undone_at > began
            for action in self.actions
        )


def clock() -> float:
    """Returns the monotonic time of this process, seconds."""
    return time.monotonic()
