"""Tests of the command line with running daemons."""

import json
from collections.abc import Iterator

import pytest

from standins.fleet import Fleet
from tests.commands import launch
from tests.controlfleet import (
    build_release,
    kill_daemons,
    running_fleet,
    wait_refused,
)

HOSTS = ('casa-0', 'sous-0')
PATH = '/kits/7'


@pytest.fixture
def fleet() -> Iterator[Fleet]:
    with running_fleet(1, 1) as (started_fleet, _release):
        yield started_fleet


def admin_options(fleet: Fleet) -> list[str]:
    return [
        f'--daemon=127.0.0.1:{member.settings["admin_port"]}'
        for member in fleet.members.values()
    ]


def test_status_and_dump_show_the_state_of_daemons(fleet: Fleet) -> None:
    options = admin_options(fleet)
    agreed = launch('status', *options)
    assert agreed.returncode == 0, agreed.stdout
    assert '2 of 2 daemons hold release 1' in agreed.stdout
    faulty = build_release(2, service='nowhere')
    fleet.publish(faulty)
    wait_refused(fleet, faulty.digest)
    status = json.loads(launch('status', *options, '--json').stdout)
    numbers = {
        report['host_id']: (
            report['number'],
            [refused['number'] for refused in report['refused']],
        )
        for report in status['reports'].values()
    }
    assert numbers == dict.fromkeys(HOSTS, (1, [2]))
    dumped = json.loads(launch('dump', *options, '--json').stdout)
    assert {state['phase'] for state in dumped.values()} == {'ready'}
    kill_daemons([fleet.members[HOSTS[1]]])
    partial = launch('status', *options)
    assert partial.returncode == 3
    assert 'no answer' in partial.stdout


def test_explain_shows_route_and_targets_of_a_call(fleet: Fleet) -> None:
    options = admin_options(fleet)
    explained = launch('explain', 'GET', PATH, *options, '--json')
    assert explained.returncode == 0, explained.stdout
    for answer in json.loads(explained.stdout).values():
        targets = {target['host_id'] for target in answer['targets']}
        assert (answer['route'], targets) == ('kits', set(HOSTS))
    assert launch('explain', 'GET', '/nowhere', *options).returncode == 1
