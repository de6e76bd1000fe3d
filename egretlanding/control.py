"""The facade that the command line and other programs drive."""

import platform
import sys
from collections.abc import Callable, Collection, Iterable, Sequence
from importlib import metadata
from pathlib import Path
from typing import Any

import attrs
from result import Err, Result

from egretlanding import __version__
from egretlanding.adminclient import (
    AdminClient,
    Outcome,
    Question,
    check_daemon,
    decode_json,
)
from egretlanding.agreement import Agreement, report_lines
from egretlanding.answers import ExitCode, Reply, outline, plain
from egretlanding.archive import (
    Parent,
    is_archive,
    read_archive,
    write_archive,
)
from egretlanding.config import DaemonConfig
from egretlanding.declarations import Declarations
from egretlanding.diff import Objects, compare
from egretlanding.events import Event
from egretlanding.exceptions import AdminError, SourceError
from egretlanding.faults import CHECKS
from egretlanding.objects import KINDS
from egretlanding.reference import describe_fields
from egretlanding.trace import trace

LIBRARIES = ('attrs', 'grpclib', 'klein', 'msgspec', 'PyYAML', 'Twisted')


@attrs.frozen
class Egretlanding:
    """Every command of egretlanding as a method.

    Attributes:
        client: Asks daemons; None where no daemon is asked.
    """

    client: AdminClient | None = None

    def check(self, directory: Path) -> Reply:
        """Reports every fault of a directory of objects."""
        declared = Declarations.from_directory(directory)
        if declared.findings:
            return _faulty(declared)
        count = len(declared.sources)
        return Reply.from_lines(
            [f'{count} objects, no fault'],
            {'objects': count, 'findings': []},
        )

    def compile(
        self,
        directory: Path,
        number: int,
        parent: str,
        out: Path,
    ) -> Reply:
        """Writes the release of a directory of objects.

        Args:
            directory: The directory.
            number: The number to give the release, from 1.
            parent: Digest or head of the release it succeeds, or empty.
            out: Directory to write head and parts to.

        Raises:
            SourceError: An argument is wrong or a file can't be written.
            ReleaseError: The parent is no head.
        """
        before = Parent.from_text(parent)
        if number <= before.number:
            raise SourceError(
                f'number {number} does not exceed {before.number}, the parent',
                f'use {before.number + 1}',
            )
        declared = Declarations.from_directory(directory)
        if declared.findings:
            return _faulty(declared)
        release = declared.compile(number, before.digest)
        head = write_archive(release, out)
        lines = [
            f'release {number} of {len(release.objects)} objects, '
            f'parts: {len(head.parts)}',
            f'digest: {release.digest}',
            f'written to {out}; publish the parts first, the head last',
        ]
        return Reply.from_lines(lines, plain(head))

    def diff(self, old: Path, new: Path) -> Reply:
        """Reports the change between two directories or releases.

        Raises:
            SourceError: One of them has faults or can't be read.
            ReleaseError: A compiled release is corrupt.
        """
        changes = compare(_load(old), _load(new))
        lines = [line for change in changes for line in change.lines()]
        return Reply.from_lines(
            lines or ['no difference'],
            plain(changes),
            ExitCode.FOUND if changes else ExitCode.DONE,
        )

    async def status(self, daemons: Sequence[str]) -> Reply:
        """Reports what is in force on daemons, and whether they agree.

        Raises:
            AdminError: An address is malformed.
        """
        outcomes = await self._ask(daemons, Question('/status'))
        agreement = Agreement.from_outcomes(outcomes)
        lines = [
            *(
                line
                for daemon, report in agreement.reports.items()
                for line in report_lines(daemon, report)
            ),
            *(
                f'{daemon}: {reason}'
                for daemon, reason in agreement.silent.items()
            ),
            agreement.summary(),
        ]
        content = {
            'agreed': agreement.is_whole(),
            'summary': agreement.summary(),
            'reports': plain(agreement.reports),
            'silent': agreement.silent,
        }
        return Reply.from_lines(lines, content, _judge(agreement))

    async def dump(self, daemons: Sequence[str]) -> Reply:
        """Reports the whole state of daemons.

        Raises:
            AdminError: An address is malformed.
        """
        return _raw(await self._ask(daemons, Question('/dump')))

    async def explain(
        self,
        method: str,
        path: str,
        daemons: Sequence[str],
    ) -> Reply:
        """Reports why daemons would treat a call as they do.

        Raises:
            AdminError: An address is malformed.
        """
        options = {'method': method.upper(), 'path': path}
        outcomes = await self._ask(daemons, Question('/explain', options))
        return _raw(outcomes, _has_route)

    def trace(self, request: str, files: Sequence[Path]) -> Reply:
        """Reports what daemons decided on a request, from their logs.

        Raises:
            TraceError: A file can't be read.
        """
        return trace(request, files)

    def debug(self) -> Reply:
        """Reports versions, settings, kinds, checks and surroundings."""
        content = {
            'version': __version__,
            'python': sys.version,
            'platform': platform.platform(),
            'encoding': sys.stdout.encoding,
            'libraries': {name: metadata.version(name) for name in LIBRARIES},
            'settings': describe_fields(DaemonConfig),
            'kinds': {
                name: describe_fields(spec) for name, spec in KINDS.items()
            },
            'checks': list(CHECKS),
            'events': {event.value: event.name for event in Event},
            'exit codes': {code.value: code.name for code in ExitCode},
        }
        return Reply.from_lines(outline(content), plain(content))

    async def _ask(
        self,
        daemons: Iterable[str],
        question: Question,
    ) -> dict[str, Outcome]:
        addresses = [check_daemon(daemon) for daemon in daemons]
        if self.client is None or not addresses:
            raise AdminError(
                'no daemon was named',
                'add --daemon HOST:PORT, once for each daemon',
            )
        return await self.client.ask(addresses, question)


def _faulty(declared: Declarations) -> Reply:
    count = len(declared.findings)
    lines = [*map(str, declared.findings), f'{count} faults']
    content = {
        'objects': len(declared.sources),
        'findings': plain(declared.findings),
    }
    return Reply.from_lines(lines, content, ExitCode.FOUND)


def _load(directory: Path) -> Objects:
    if is_archive(directory):
        return read_archive(directory).objects
    return Declarations.from_directory(directory).compile(1, '').objects


def _judge(agreement: Agreement) -> ExitCode:
    if agreement.silent:
        return ExitCode.UNREACHABLE
    return ExitCode.DONE if agreement.is_whole() else ExitCode.FOUND


def _has_route(answer: Any) -> bool:
    return bool(isinstance(answer, dict) and answer.get('route'))


def _is_anything(_answer: Any) -> bool:
    return True


def _raw(
    outcomes: dict[str, Outcome],
    is_found: Callable[[Any], bool] = _is_anything,
) -> Reply:
    answers = {
        daemon: outcome.and_then(decode_json)
        for daemon, outcome in outcomes.items()
    }
    content = {daemon: _shown(answer) for daemon, answer in answers.items()}
    return Reply.from_lines(
        outline(content),
        content,
        _worst(answers.values(), is_found),
    )


def _worst(
    answers: Collection[Result[Any, AdminError]],
    is_found: Callable[[Any], bool],
) -> ExitCode:
    if any(isinstance(answer, Err) for answer in answers):
        return ExitCode.UNREACHABLE
    found = all(is_found(answer.unwrap()) for answer in answers)
    return ExitCode.DONE if found else ExitCode.FOUND


def _shown(answer: Result[Any, AdminError]) -> Any:
    if isinstance(answer, Err):
        return {'error': str(answer.err_value)}
    return answer.ok_value
