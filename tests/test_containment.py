"""Tests that unexpected errors are logged and end nothing else."""

from collections.abc import Iterator

import pytest
from twisted.internet.task import Clock, LoopingCall
from twisted.logger import LogPublisher
from twisted.python.failure import Failure

from egretlanding.containment import log_reactor_event, logs_failure
from egretlanding.events import SINKS, Event

Line = tuple[Event, dict[str, object]]


@pytest.fixture(name='lines')
def collect_lines() -> Iterator[list[Line]]:
    lines: list[Line] = []
    SINKS.insert(
        0,
        lambda event, _message, _severity, fields: lines.append(
            (event, fields)
        ),
    )
    yield lines
    SINKS.pop(0)


def fail() -> None:
    """Fails as unexpected errors do."""
    raise LookupError('lost')


# Guards against periodic work that stops for good at its first error.
def test_periodic_work_goes_on_after_an_error(
    lines: list[Line],
) -> None:
    clock = Clock()
    loop = LoopingCall(logs_failure(fail))
    loop.clock = clock
    loop.start(1, now=False)
    clock.pump([1, 1, 1])
    assert [event for event, _ in lines] == [Event.TASK_FAILED] * 3
    assert lines[0][1]['work'] == 'fail'
    assert lines[0][1]['error'] == "LookupError('lost')"


# Guards against errors in timers and connections that no log shows.
def test_errors_that_the_reactor_handles_are_logged(
    lines: list[Line],
) -> None:
    publisher = LogPublisher(log_reactor_event)
    publisher({'log_format': 'a message'})
    try:
        fail()
    except LookupError:
        publisher({'log_failure': Failure()})
    assert [event for event, _ in lines] == [Event.TASK_FAILED]
    assert str(lines[0][1]['place']).startswith('fail:')
