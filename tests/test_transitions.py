"""Tests of the log events for changes of a set."""

import re
from pathlib import Path

import pytest
from absl import logging

from egretlanding.events import Event
from egretlanding.transitions import SetChangeLog

PACKAGE = Path(__file__).parent.parent / 'egretlanding'


def test_each_change_is_logged_once(caplog: pytest.LogCaptureFixture) -> None:
    change_log = SetChangeLog(
        Event.TARGET_SHUNNED, 'shunned', Event.TARGET_RESTORED, 'restored'
    )
    logging.use_python_logging(quiet=True)
    logging.get_absl_logger().propagate = True
    logging.set_verbosity(logging.INFO)
    for entries in ('ab', 'ab', 'b'):
        change_log.update(frozenset(entries))
    numbers = re.findall(r'E(\d+) \w+ subject=(\w)', caplog.text)
    assert numbers == [('302', 'a'), ('302', 'b'), ('303', 'a')]


def test_each_event_of_the_catalogue_is_logged_somewhere() -> None:
    code = ''.join(
        path.read_text()
        for path in PACKAGE.glob('*.py')
        if path.stem != 'events'
    )
    unused = [
        event.name for event in Event if f'Event.{event.name}' not in code
    ]
    assert not unused
