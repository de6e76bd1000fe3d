"""Tests of what daemons say of routes that they lack."""

import json
import time
from collections.abc import Callable, Iterator
from contextlib import AbstractContextManager, contextmanager
from pathlib import Path

import pytest

from standins.platformfleet import (
    ORDERS_ROUTE,
    START_TIMEOUT_S,
    PlatformFleet,
    Store,
    platform_fleet,
    wait_until,
)

NEW_ROUTE = {**ORDERS_ROUTE, 'prefix': '/new/'}
# Age of a configuration from which on a daemon can't deny a route, seconds.
BOUND_S = 1.5
# Time that an answer of the store may have been on its way, seconds.
MARGIN_S = 0.5
APPLY_TIMEOUT_S = 3
WATCHED_S = 1.5
LOG_TIMEOUT_S = 2

# The status and headers of an answer.
Answer = tuple[int, dict[str, str]]
Outage = Callable[[Store], AbstractContextManager[object]]


@pytest.fixture(name='fleet')
def start_fleet(tmp_path: Path) -> Iterator[PlatformFleet]:
    with platform_fleet(tmp_path, ['front', 'orders']) as fleet:
        yield fleet


def silent(store: Store) -> AbstractContextManager[object]:
    """Keeps a store from answering while this context is open."""
    return store.events_added


@contextmanager
def unavailable(store: Store) -> Iterator[None]:
    """Makes a store refuse all reads while this context is open."""
    store.refuses = True
    try:
        yield
    finally:
        store.refuses = False


def ask(fleet: PlatformFleet, path: str) -> list[Answer]:
    """Returns the status and headers of the answers of all daemons."""
    headers = {
        'Host': 'one.example',
        'Request_Id': 'id-1',
        'Deadline_Ms': '2000',
    }
    answers = [member.send_request(path, **headers) for member in fleet.members]
    return [(status, headers) for status, _, headers in answers]


def statuses(fleet: PlatformFleet, path: str) -> set[int]:
    """Returns the statuses of the answers of all daemons to a path."""
    return {status for status, _ in ask(fleet, path)}


def answers_for(
    fleet: PlatformFleet, path: str, seconds: float
) -> list[Answer]:
    """Returns all answers to a path that is asked for some seconds."""
    answers = []
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        answers.extend(ask(fleet, path))
        time.sleep(0.05)
    return answers


def refusal_lines(fleet: PlatformFleet, path: str) -> list[dict]:
    """Returns what all daemons logged of refused requests for a path."""
    lines: list[dict] = []
    for member in fleet.members:
        text = (fleet.folder / f'{member.address}.log').read_text()
        lines.extend(
            json.loads(line)
            for line in text.splitlines()
            if line.startswith('{')
        )
    return [
        line
        for line in lines
        if line['name'] == 'call_refused' and line['path'] == path
    ]


# Failure: proper requests for a route that had been added while the store
# was away were turned away for good, with 404.
@pytest.mark.parametrize('outage', [silent, unavailable])
def test_a_route_added_in_an_outage_of_the_store_is_not_denied(
    fleet: PlatformFleet, outage: Outage
) -> None:
    with outage(fleet.store):
        fleet.configure(2, orders=ORDERS_ROUTE, new=NEW_ROUTE)
        time.sleep(BOUND_S + MARGIN_S)
        answers = answers_for(fleet, '/new/x', WATCHED_S)
    assert {status for status, _ in answers} == {503}
    assert all(float(headers['retry-after']) > 0 for _, headers in answers)
    wait_until(lambda: statuses(fleet, '/new/x') == {200}, APPLY_TIMEOUT_S)


# Failure: a daemon said of a route that nobody had confirmed to be missing
# that it doesn't exist.
@pytest.mark.parametrize('outage', [silent, unavailable])
def test_a_missing_route_is_denied_only_by_a_confirmed_configuration(
    fleet: PlatformFleet, outage: Outage
) -> None:
    with outage(fleet.store):
        time.sleep(BOUND_S + MARGIN_S)
        assert statuses(fleet, '/none/x') == {503}
        assert statuses(fleet, '/a/x') == {200}
    wait_until(lambda: statuses(fleet, '/none/x') == {404}, APPLY_TIMEOUT_S)


def test_a_missing_route_is_denied_while_the_store_answers(
    fleet: PlatformFleet,
) -> None:
    answers = answers_for(fleet, '/none/x', 2 * WATCHED_S)
    assert {status for status, _ in answers} == {404}


def test_a_missing_route_is_denied_by_a_daemon_informed_by_others(
    fleet: PlatformFleet,
) -> None:
    orders = fleet.members[1]
    assert orders.process
    orders.process.kill()
    orders.process.wait()
    orders.start(
        fleet.store.unavailable_server.server_port,
        fleet.seeds(),
        fleet.folder,
    )
    wait_until(orders.is_ready, START_TIMEOUT_S)
    answers = answers_for(fleet, '/none/x', 2 * WATCHED_S)
    assert {status for status, _ in answers} == {404}


def wait_for_lines(fleet: PlatformFleet, path: str) -> list[dict]:
    """Returns the lines on the refusals of a path, one for each daemon."""
    wait_until(
        lambda: len(refusal_lines(fleet, path)) == len(fleet.members),
        LOG_TIMEOUT_S,
    )
    return refusal_lines(fleet, path)


# Failure: the log of a daemon that denied a proper request did not tell on
# which configuration that rested, how old it was or which domain was meant.
def test_the_log_of_a_denial_names_the_configuration_and_its_age(
    fleet: PlatformFleet,
) -> None:
    assert statuses(fleet, '/none/x') == {404}
    for line in wait_for_lines(fleet, '/none/x'):
        assert line['reason'] == 'no-route'
        assert line['domain'] == 'one.example'
        assert line['release'] == 1
        assert 0 <= line['release_age_s'] < BOUND_S


# Failure: the same of a refusal that the age of the configuration caused.
def test_the_log_of_a_refusal_names_the_configuration_and_its_age(
    fleet: PlatformFleet,
) -> None:
    with silent(fleet.store):
        time.sleep(BOUND_S + MARGIN_S)
        assert statuses(fleet, '/none/x') == {503}
    for line in wait_for_lines(fleet, '/none/x'):
        assert line['reason'] == 'route-unconfirmed'
        assert line['release'] == 1
        assert line['release_age_s'] > BOUND_S
