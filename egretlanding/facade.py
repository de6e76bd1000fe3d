"""The facade that the command line and other programs call."""

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
    AdminRequest,
    FetchOutcome,
    check_address,
    decode_json,
)
from egretlanding.agreement import Agreement, report_lines
from egretlanding.checkcommand import CheckOptions, check_configuration
from egretlanding.commandresult import (
    CommandResult,
    ExitCode,
    plain_values,
    yaml_lines,
)
from egretlanding.config import DaemonConfig
from egretlanding.declarations import Declarations
from egretlanding.diff import Objects, compare
from egretlanding.events import Event
from egretlanding.exceptions import AdminError, SourceError
from egretlanding.faults import CHECKS
from egretlanding.fielddocs import describe_fields
from egretlanding.objects import KINDS
from egretlanding.releasefiles import (
    Parent,
    is_compiled_release,
    read_release,
    write_release,
)
from egretlanding.trace import trace
from egretlanding.warningchecks import WARNING_CHECKS

NO_OPTIONS = CheckOptions()
LIBRARIES = ('attrs', 'grpclib', 'klein', 'msgspec', 'PyYAML', 'Twisted')


@attrs.frozen
class Egretlanding:
    """Every command of egretlanding as a method.

    Attributes:
        client: Client of admin ports; None if no command sends requests to
            daemons.
    """

    client: AdminClient | None = None

    def check(
        self, path: Path, options: CheckOptions = NO_OPTIONS
    ) -> CommandResult:
        """Reports faults, warnings and differences of a configuration.

        Args:
            path: The configuration, in a form of `SOURCES`.
            options: What to check it against.

        Raises:
            RemediedError: A file can't be read, or the version in force has
                faults.
        """
        return check_configuration(path, options)

    def compile(
        self,
        directory: Path,
        number: int,
        parent: str,
        out: Path,
    ) -> CommandResult:
        """Writes the release of a directory of objects to files.

        Args:
            directory: The directory.
            number: The number of the release, from 1.
            parent: The release that it succeeds: its digest, its head or the
                directory that holds the head; empty for the first release.
            out: Directory to write head and parts to.

        Raises:
            SourceError: An argument is wrong or a file can't be written.
            ReleaseError: The parent's file is not a head.
        """
        predecessor = Parent.from_text(parent)
        if number <= predecessor.number:
            raise SourceError(
                f'number {number} is not greater than {predecessor.number}, '
                'the number of the parent',
                f'use {predecessor.number + 1}',
            )
        declarations = Declarations.from_directory(directory)
        if declarations.findings:
            return _result_from_findings(declarations)
        release = declarations.compile(number, predecessor.digest)
        head = write_release(release, out)
        lines = [
            f'release {number} of {len(release.objects)} objects, '
            f'parts: {len(head.parts)}',
            f'digest: {release.digest}',
            f'written to {out}; publish the parts first, the head last',
        ]
        return CommandResult.from_lines(lines, plain_values(head))

    def diff(self, old: Path, new: Path) -> CommandResult:
        """Reports the differences between two directories or releases.

        Raises:
            SourceError: One of the directories has faults or can't be read.
            ReleaseError: A compiled release is corrupt.
        """
        changes = compare(_load_objects(old), _load_objects(new))
        lines = [line for change in changes for line in change.lines()]
        return CommandResult.from_lines(
            lines or ['no difference'],
            plain_values(changes),
            ExitCode.FOUND if changes else ExitCode.DONE,
        )

    async def status(self, daemons: Sequence[str]) -> CommandResult:
        """Reports which release is in force on each daemon, and if they agree.

        Raises:
            AdminError: An address is malformed.
        """
        outcomes = await self._fetch(daemons, AdminRequest('/status'))
        agreement = Agreement.from_outcomes(outcomes)
        lines = [
            *(
                line
                for daemon, report in agreement.reports.items()
                for line in report_lines(daemon, report)
            ),
            *(
                f'{daemon}: {reason}'
                for daemon, reason in agreement.unreachable.items()
            ),
            agreement.summary(),
        ]
        content = {
            'agreed': agreement.is_complete(),
            'summary': agreement.summary(),
            'reports': plain_values(agreement.reports),
            'silent': agreement.unreachable,
        }
        return CommandResult.from_lines(
            lines, content, _agreement_code(agreement)
        )

    async def dump(self, daemons: Sequence[str]) -> CommandResult:
        """Reports the complete state of daemons.

        Raises:
            AdminError: An address is malformed.
        """
        return _result_by_daemon(
            await self._fetch(daemons, AdminRequest('/dump'))
        )

    async def explain(
        self,
        method: str,
        path: str,
        daemons: Sequence[str],
    ) -> CommandResult:
        """Reports where daemons would send a call, and why.

        Raises:
            AdminError: An address is malformed.
        """
        query = {'method': method.upper(), 'path': path}
        outcomes = await self._fetch(daemons, AdminRequest('/explain', query))
        return _result_by_daemon(outcomes, _has_route)

    def trace(self, request: str, files: Sequence[Path]) -> CommandResult:
        """Reports what daemons decided about a request, from their logs.

        Raises:
            TraceError: A file can't be read.
        """
        return trace(request, files)

    def debug(self) -> CommandResult:
        """Reports versions, settings, kinds, checks, events and platform."""
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
            'warnings': list(WARNING_CHECKS),
            'events': {event.value: event.name for event in Event},
            'exit codes': {code.value: code.name for code in ExitCode},
        }
        return CommandResult.from_lines(
            yaml_lines(content), plain_values(content)
        )

    async def _fetch(
        self,
        daemons: Iterable[str],
        request: AdminRequest,
    ) -> dict[str, FetchOutcome]:
        addresses = [check_address(daemon) for daemon in daemons]
        if self.client is None or not addresses:
            raise AdminError(
                'no daemon was given',
                'add --daemon HOST:PORT, once for each daemon',
            )
        return await self.client.fetch_all(addresses, request)


def _result_from_findings(declarations: Declarations) -> CommandResult:
    count = len(declarations.findings)
    lines = [*map(str, declarations.findings), f'{count} faults']
    content = {
        'objects': len(declarations.sources),
        'findings': plain_values(declarations.findings),
    }
    return CommandResult.from_lines(lines, content, ExitCode.FOUND)


def _load_objects(directory: Path) -> Objects:
    if is_compiled_release(directory):
        return read_release(directory).objects
    return Declarations.from_directory(directory).compile(1, '').objects


def _agreement_code(agreement: Agreement) -> ExitCode:
    if agreement.unreachable:
        return ExitCode.UNREACHABLE
    return ExitCode.DONE if agreement.is_complete() else ExitCode.FOUND


def _has_route(answer: Any) -> bool:
    return bool(isinstance(answer, dict) and answer.get('route'))


def _accept_any(_answer: Any) -> bool:
    return True


def _result_by_daemon(
    outcomes: dict[str, FetchOutcome],
    is_success: Callable[[Any], bool] = _accept_any,
) -> CommandResult:
    answers = {
        daemon: outcome.and_then(decode_json)
        for daemon, outcome in outcomes.items()
    }
    content = {
        daemon: _answer_or_error(answer) for daemon, answer in answers.items()
    }
    return CommandResult.from_lines(
        yaml_lines(content),
        content,
        _answers_code(answers.values(), is_success),
    )


def _answers_code(
    answers: Collection[Result[Any, AdminError]],
    is_success: Callable[[Any], bool],
) -> ExitCode:
    if any(isinstance(answer, Err) for answer in answers):
        return ExitCode.UNREACHABLE
    succeeded = all(is_success(answer.unwrap()) for answer in answers)
    return ExitCode.DONE if succeeded else ExitCode.FOUND


def _answer_or_error(answer: Result[Any, AdminError]) -> Any:
    if isinstance(answer, Err):
        return {'error': str(answer.err_value)}
    return answer.ok_value
