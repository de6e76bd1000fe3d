"""Named background coroutines, of which one per name runs at a time."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

import attrs

from egretlanding.events import Event, Severity, log_event

Work = Callable[[], Coroutine[Any, Any, None]]


@attrs.define(eq=False)
class Background:
    """Runs coroutines in the background, at most one of each name.

    Attributes:
        running: The running asyncio tasks by name.
    """

    running: dict[str, asyncio.Task[None]] = attrs.field(factory=dict)

    def start(self, name: str, work: Work) -> None:
        """Starts a coroutine unless one of this name is running."""
        if name not in self.running:
            task = asyncio.ensure_future(work())
            self.running[name] = task
            task.add_done_callback(lambda done: self.finished(name, done))

    def finished(self, name: str, task: 'asyncio.Task[None]') -> None:
        """Removes a coroutine that has ended, and logs its exception."""
        self.running.pop(name, None)
        if not task.cancelled() and task.exception():
            log_event(
                Event.TASK_FAILED,
                'background work failed; it starts again when it is next due',
                Severity.ERROR,
                work=name,
                error=repr(task.exception()),
            )

    def cancel(self) -> None:
        """Cancels all running coroutines."""
        for task in tuple(self.running.values()):
            task.cancel()
