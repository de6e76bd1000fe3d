"""Contains unexpected errors: they are logged, and all other work goes on."""

import contextlib
import functools
import traceback
from collections.abc import Callable, Iterator
from typing import Any

from twisted.logger import globalLogBeginner
from twisted.python.failure import Failure

from egretlanding.events import Event, Severity, log_event


def log_unexpected(work: str, error: BaseException) -> None:
    """Logs an error that the code doesn't expect.

    Args:
        work: What failed because of it.
        error: The error.
    """
    frames = traceback.extract_tb(error.__traceback__)
    place = f'{frames[-1].name}:{frames[-1].lineno}' if frames else ''
    log_event(
        Event.TASK_FAILED,
        'work failed with an unexpected error; other work goes on',
        Severity.ERROR,
        work=work,
        error=repr(error),
        place=place,
    )


@contextlib.contextmanager
def contained(work: str) -> Iterator[None]:
    """Logs an unexpected error in place of raising it.

    Args:
        work: What fails because of it.
    """
    try:
        yield
    except Exception as error:
        log_unexpected(work, error)


def logs_failure(work: Callable[[], None]) -> Callable[[], None]:
    """Returns periodic work that goes on after an unexpected error."""

    @functools.wraps(work)
    def run() -> None:
        with contained(work.__name__):
            work()

    return run


def log_reactor_errors() -> None:
    """Logs the errors that the reactor handles, in timers and connections."""
    observer: Any = log_reactor_event
    globalLogBeginner.beginLoggingTo(
        [observer], redirectStandardIO=False, discardBuffer=True
    )


def log_reactor_event(event: dict[str, Any]) -> None:
    """Logs one event of the reactor if it reports an error."""
    failure = event.get('log_failure')
    if isinstance(failure, Failure) and failure.value:
        log_unexpected('reactor', failure.value)
