"""Named pieces of work on the event loop, at most one of each name."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

import attrs

from egretlanding.events import Event, Severity, log_event

Work = Callable[[], Coroutine[Any, Any, None]]


@attrs.define(eq=False)
class Background:
    """The work that a task has under way.

    Attributes:
        running: The work by name.
    """

    running: dict[str, asyncio.Task[None]] = attrs.field(factory=dict)

    def start(self, name: str, work: Work) -> None:
        """Starts work unless work of that name is under way."""
        if name not in self.running:
            task = asyncio.ensure_future(work())
            self.running[name] = task
            task.add_done_callback(lambda done: self.finished(name, done))

    def finished(self, name: str, task: 'asyncio.Task[None]') -> None:
        """Forgets work that has ended, and reports a fault in it."""
        self.running.pop(name, None)
        if not task.cancelled() and task.exception():
            log_event(
                Event.TASK_FAILED,
                'work failed and will be started again when it is due',
                Severity.ERROR,
                work=name,
                error=repr(task.exception()),
            )

    def cancel(self) -> None:
        """Cancels all work."""
        for task in tuple(self.running.values()):
            task.cancel()
