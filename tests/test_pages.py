"""Tests that the pages below docs/ match the code."""

import re
from pathlib import Path

import pytest

from egretlanding.cmdline import COMMANDS
from egretlanding.commandresult import ExitCode
from egretlanding.events import Event
from egretlanding.pages import PAGES

DOCS = Path(__file__).parent.parent / 'docs'
EVENT_ROW = r'^\| (\d+) \| (\w+) \| [^|]+ \| [^|]+ \|$'


@pytest.mark.parametrize('name', PAGES)
def test_generated_page_is_current(name: str) -> None:
    message = f'docs/{name} is out of date; run "make pages"'
    assert (DOCS / name).read_text() == PAGES[name](), message


def test_events_page_lists_each_event_once() -> None:
    text = (DOCS / 'EVENTS.md').read_text()
    rows = re.findall(EVENT_ROW, text, re.MULTILINE)
    numbers = [int(number) for number, _ in rows]
    assert numbers == sorted(set(numbers)), 'sort the rows by their number'
    missing = {event.value: event.name for event in Event}.items() - {
        int(number): name for number, name in rows
    }.items()
    surplus = {name for _, name in rows} - {event.name for event in Event}
    assert not missing, (
        f'add a row "| number | name | meaning | what to do |" for {missing}'
    )
    assert not surplus, (
        f'remove the rows of {surplus}, which the code does not have'
    )


def test_cli_page_lists_commands_and_exit_codes() -> None:
    text = (DOCS / 'CLI.md').read_text()
    missing = [name for name in COMMANDS if f'\n## {name}\n' not in text]
    assert not missing, f'add a section for {missing} to docs/CLI.md'
    codes = re.findall(r'^\| (\d) \|', text, re.MULTILINE)
    assert list(map(int, codes)) == [code.value for code in ExitCode]


def test_tests_named_in_promises_page_exist() -> None:
    text = (DOCS / 'PROMISES.md').read_text()
    named = re.findall(r'`(tests/\w+\.py)::(\w+)`', text)
    assert named
    missing = [
        f'{path}::{name}'
        for path, name in named
        if f'def {name}(' not in (DOCS.parent / path).read_text()
    ]
    assert not missing
