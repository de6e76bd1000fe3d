"""Tests of the command line: help, exit codes, files, requests to daemons."""

import functools
import itertools
import json
import os
import re
import subprocess
import sys
import threading
import time
from collections.abc import Iterator
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path

import attrs
import pytest
from hypothesis import given
from hypothesis import strategies as st
from syrupy.assertion import SnapshotAssertion

from egretlanding.cmdline import COMMANDS, gather_daemons, main
from egretlanding.declarations import Declarations
from egretlanding.documents import MAX_FILE_BYTES, MAX_TOTAL_BYTES
from egretlanding.releasefiles import read_release
from egretlanding.status import RefusedRelease, ReleaseConflict, StatusReport
from tests.commands import launch

EXAMPLE = Path(__file__).parent.parent / 'examples' / 'trousse'
MAX_HOSTILE_CHECK_S = 30
MAX_HOSTILE_CHECK_KB = 400_000

REPORT = StatusReport(
    host_id='catalogue-0',
    region='casa-nord',
    failure_domain='ain-sebaa',
    service='catalogue',
    incarnation=1,
    ready=True,
    draining=False,
    number=7,
    digest='a' * 64,
    revision=12,
    confirmed_age_s=0.5,
)
BEHIND = attrs.evolve(
    REPORT,
    host_id='catalogue-1',
    ready=False,
    number=6,
    digest='b' * 64,
    confirmed_age_s=None,
    refused=(
        RefusedRelease(
            8, 'c' * 64, 'a linked object is missing; publish again'
        ),
        RefusedRelease(0, 'd' * 64, 'reported by b-1; publish again'),
    ),
    conflicts=(
        ReleaseConflict(6, 'bbbb', 'dddd', 'same number; publish 7'),
        ReleaseConflict(5, '', 'eeee, ffff', 'same parent; publish 7'),
    ),
)


def run(*arguments: str | Path) -> int:
    """Runs a command in this process and returns its exit code."""
    with pytest.raises(SystemExit) as exit_info:
        main(list(map(str, arguments)))
    assert isinstance(exit_info.value.code, int)
    return exit_info.value.code


class Handler(BaseHTTPRequestHandler):
    """Responds with the answer stored for a path, or with status 404."""

    def __init__(self, answers: dict[str, bytes], *rest: object) -> None:
        """Stores the answers by path."""
        self.answers = answers
        super().__init__(*rest)  # type: ignore[arg-type]

    def do_GET(self) -> None:
        """Answers one request."""
        body = self.answers.get(self.path)
        self.send_response(404 if body is None else 200)
        self.end_headers()
        self.wfile.write(body or b'')


class AdminServers:
    """HTTP servers that replace the admin ports of daemons."""

    def __init__(self) -> None:
        """Starts with no server."""
        self.servers: list[ThreadingHTTPServer] = []

    def add(self, answers: dict[str, bytes]) -> str:
        """Starts a server with these answers and returns its address."""
        server = ThreadingHTTPServer(
            ('127.0.0.1', 0),
            functools.partial(Handler, answers),
        )
        self.servers.append(server)
        threading.Thread(target=server.serve_forever, daemon=True).start()
        return f'127.0.0.1:{server.server_port}'


@pytest.fixture
def daemons() -> Iterator[AdminServers]:
    """Provides servers for admin ports and stops them after the test."""
    started = AdminServers()
    yield started
    for server in started.servers:
        server.shutdown()
        server.server_close()


@pytest.mark.parametrize('command', ['', *COMMANDS])
def test_help(
    command: str,
    capsys: pytest.CaptureFixture[str],
    monkeypatch: pytest.MonkeyPatch,
    snapshot: SnapshotAssertion,
) -> None:
    monkeypatch.setenv('COLUMNS', '80')
    assert run(*filter(None, [command]), '--help') == 0
    assert capsys.readouterr().out == snapshot


@pytest.mark.parametrize(
    'arguments',
    [
        ['check'],
        ['check', 'x', '--unknown'],
        ['status'],
        ['status', '--daemon', 'http://h:1/'],
        ['compile', str(EXAMPLE), '--number', '0', '--out', 'x'],
        ['compile', str(EXAMPLE), '--number', 'x', '--out', 'x'],
        [
            'compile',
            str(EXAMPLE),
            '--number',
            '2',
            '--parent',
            'x',
            '--out',
            '',
        ],
        ['compile', str(EXAMPLE), '--number', '2', '--out', '/proc/none'],
        ['diff', str(EXAMPLE), '/none'],
    ],
)
def test_wrong_usage(
    arguments: list[str],
    capsys: pytest.CaptureFixture[str],
) -> None:
    assert run(*arguments) == 2
    captured = capsys.readouterr()
    assert captured.err.strip()
    assert not captured.out


def test_check_reports_json(
    tmp_path: Path,
    capsys: pytest.CaptureFixture[str],
) -> None:
    assert run('check', EXAMPLE, '--json') == 0
    assert json.loads(capsys.readouterr().out)['findings'] == []
    (tmp_path / 'a.yaml').write_text('kind: Region\nname: a')
    assert run('check', tmp_path, '--json') == 1
    faults = json.loads(capsys.readouterr().out)['findings']
    assert faults[0]['line'] == 1


def test_compile_writes_releases_that_can_be_read(tmp_path: Path) -> None:
    first, second = tmp_path / 'first', tmp_path / 'second'
    compile_example = ('compile', EXAMPLE, '--number')
    assert run(*compile_example, 1, '--out', first) == 0
    release = Declarations.from_directory(EXAMPLE).compile(1, '')
    assert read_release(first) == release
    assert run(*compile_example, 2, '--parent', first, '--out', second) == 0
    assert read_release(second).parent == release.digest
    by_digest = (*compile_example, 2, '--parent', release.digest, '--out')
    assert run(*by_digest, tmp_path / 'third') == 0
    assert read_release(tmp_path / 'third') == read_release(second)
    assert run(*compile_example, 1, '--parent', first, '--out', first) == 2


def test_faulty_objects_are_not_compiled(tmp_path: Path) -> None:
    (tmp_path / 'a.yaml').write_text('kind: Region\nname: a')
    out = tmp_path / 'out'
    assert run('compile', tmp_path, '--number', '1', '--out', out) == 1
    assert not out.exists()


def test_diff_includes_changes_of_inherited_fields(
    tmp_path: Path,
    capsys: pytest.CaptureFixture[str],
    snapshot: SnapshotAssertion,
) -> None:
    for path in EXAMPLE.iterdir():
        text = path.read_text()
        text = text.replace('retry_percent: 10', 'retry_percent: 20')
        text = text.replace('[POST, PUT, DELETE]', '[POST]')
        (tmp_path / path.name).write_text(text)
    (tmp_path / 'magasin.yaml').unlink()
    assert run('diff', EXAMPLE, tmp_path) == 1
    assert capsys.readouterr().out == snapshot
    assert run('diff', tmp_path, tmp_path) == 0


OPTIONS = st.sampled_from(
    [('--daemon', 'a:1'), ('--daemon=b:2',), ('--json',), ('GET',)],
)


@given(st.lists(OPTIONS).map(lambda rows: list(itertools.chain(*rows))))
def test_repeated_daemon_options_are_merged(arguments: list[str]) -> None:
    gathered = gather_daemons(arguments)
    others, _, daemons = ' '.join(gathered).partition('--daemon')
    expected_daemons = re.findall('[ab]:[12]', ' '.join(arguments))
    assert daemons.split() == expected_daemons
    assert others.split() == [
        argument for argument in arguments if argument in {'--json', 'GET'}
    ]


def test_status_names_daemons_behind_and_without_answer(
    daemons: AdminServers,
    snapshot: SnapshotAssertion,
) -> None:
    newest = daemons.add({'/status': REPORT.to_bytes()})
    behind = daemons.add({'/status': BEHIND.to_bytes()})
    malformed = daemons.add({'/status': b'{"host_id": 5}'})
    not_found = daemons.add({})
    agreed = launch('status', '--daemon', newest)
    assert agreed.returncode == 0, agreed.stderr
    split = launch('status', '--daemon', newest, f'--daemon={behind}')
    assert split.returncode == 1
    text = split.stdout.replace(newest, 'A').replace(behind, 'B')
    assert text == snapshot
    options = [
        f'--daemon={address}' for address in (newest, malformed, not_found)
    ]
    partial = launch('status', *options, '--daemon', '127.0.0.1:1', '--json')
    assert partial.returncode == 3
    status = json.loads(partial.stdout)
    assert list(status['reports']) == [newest]
    assert set(status['silent']) == {malformed, not_found, '127.0.0.1:1'}


def test_explain_and_dump_print_the_answers_of_daemons(
    daemons: AdminServers,
) -> None:
    daemon = daemons.add(
        {
            '/explain?method=GET&path=%2Fa%3Fb%26c': b'{"route": "a"}',
            '/explain?method=GET&path=%2Fb': b'{"route": "", "reasons": []}',
            '/dump': b'{"tasks": []}',
        },
    )
    call = ('explain', 'get', '/a?b&c', '--daemon', daemon, '--json')
    explained = launch(*call)
    assert json.loads(explained.stdout) == {daemon: {'route': 'a'}}
    assert explained.returncode == 0
    assert launch('explain', 'GET', '/b', '--daemon', daemon).returncode == 1
    dumped = launch('dump', '--daemon', daemon)
    assert 'tasks: []' in dumped.stdout
    assert launch('explain', 'PUT', '/x', '--daemon', daemon).returncode == 3


def test_debug_prints_json() -> None:
    printed = json.loads(launch('debug', '--json').stdout)
    assert printed.keys() >= {'version', 'settings', 'kinds', 'checks'}


def test_checking_a_hostile_directory_is_bounded(
    tmp_path: Path,
) -> None:
    count = 2 * MAX_TOTAL_BYTES // MAX_FILE_BYTES
    objects = '- {a: 1}\n' * 10_000
    for number in range(count):
        (tmp_path / f'{number}.yaml').write_text(objects)
    (tmp_path / 'loop').symlink_to(tmp_path, target_is_directory=True)
    started = time.monotonic()
    with (tmp_path / 'out').open('wb') as out:
        process = subprocess.Popen(
            [sys.executable, '-m', 'egretlanding', 'check', str(tmp_path)],
            stdout=out,
        )
        _, wait_status, usage = os.wait4(process.pid, 0)
    process.returncode = os.waitstatus_to_exitcode(wait_status)
    assert process.returncode == 1
    assert time.monotonic() - started < MAX_HOSTILE_CHECK_S
    assert usage.ru_maxrss < MAX_HOSTILE_CHECK_KB
