"""The command line: parses arguments and runs commands of the facade."""

import contextlib
import sys
from collections.abc import Awaitable, Callable, Sequence
from itertools import islice
from pathlib import Path
from typing import Any, NoReturn

import defopt
from result import Err, Ok, Result
from twisted.internet.defer import ensureDeferred
from twisted.internet.task import react

from egretlanding import __version__
from egretlanding.adminclient import AdminClient
from egretlanding.checkcommand import CheckOptions
from egretlanding.commandresult import CommandResult, ExitCode
from egretlanding.exceptions import RemediedError
from egretlanding.facade import Egretlanding

PROGRAM = 'egretlanding'
DAEMON_OPTION = '--daemon'

FacadeQuery = Callable[[Egretlanding], Awaitable[CommandResult]]


def check(
    path: Path,
    *,
    in_force: Path | None = None,
    targets: Path | None = None,
    settings: Path | None = None,
    json: bool = False,
) -> ExitCode:
    """Reports all faults in a configuration before it is published.

    Also reports warnings, which never keep a configuration out, and the
    differences from the version in force, route by route. Exits with 0 if
    there are no faults and with 1 if there are any.

    Args:
        path: Directory of YAML files, or a file in the form of the platform.
        in_force: The version in force, to compare with.
        targets: File that lists the targets that run.
        settings: Settings file of a daemon that will read the configuration.
        json: Print the result as JSON.
    """
    options = CheckOptions(in_force, targets, settings)
    return _print_result(Egretlanding().check(path, options), json=json)


def build(
    directory: Path,
    *,
    number: int,
    out: Path,
    parent: str = '',
    json: bool = False,
) -> ExitCode:
    """Checks a directory of objects and writes its release to files.

    Writes local files only. Publish each file of OUT/parts as the key
    release/parts/<digest>, then OUT/head as release/head. Exits with 1 and
    writes nothing if the objects have faults.

    Args:
        directory: Directory of YAML files.
        number: Number of the release, greater than its parent's.
        out: Directory to write head and parts to.
        parent: Digest, head or directory of the release that this one
            succeeds; empty for the first.
        json: Print the result as JSON.
    """
    return _print_result(
        Egretlanding().compile(directory, number, parent, out), json=json
    )


def diff(old: Path, new: Path, *, json: bool = False) -> ExitCode:
    """Shows the differences between two directories, for review.

    Fields that policies inherit are written out, so that a change is shown
    for every policy that it affects. Exits with 0 if there is no difference
    and with 1 if there are differences.

    Args:
        old: Directory of YAML files or of a compiled release.
        new: Directory of YAML files or of a compiled release.
        json: Print the result as JSON.
    """
    return _print_result(Egretlanding().diff(old, new), json=json)


def status(*, daemon: list[str], json: bool = False) -> ExitCode:
    """Shows which release is in force on each daemon and whether they agree.

    Exits with 0 if all daemons hold the same release, with 1 if they don't,
    and with 3 if a daemon gives no usable answer.

    Args:
        daemon: Admin port of a daemon as HOST:PORT; may be repeated.
        json: Print the result as JSON.
    """
    return _query_daemons(lambda facade: facade.status(daemon), json=json)


def dump(*, daemon: list[str], json: bool = False) -> ExitCode:
    """Shows the complete state of daemons.

    Exits with 3 if a daemon gives no usable answer.

    Args:
        daemon: Admin port of a daemon as HOST:PORT; may be repeated.
        json: Print the result as JSON.
    """
    return _query_daemons(lambda facade: facade.dump(daemon), json=json)


def explain(
    method: str,
    path: str,
    *,
    daemon: list[str],
    json: bool = False,
) -> ExitCode:
    """Shows where daemons would send a call, and why.

    Exits with 0 if every daemon has a route for the call, with 1 if a daemon
    has none, and with 3 if a daemon gives no usable answer.

    Args:
        method: HTTP method of the call.
        path: Path of the call.
        daemon: Admin port of a daemon as HOST:PORT; may be repeated.
        json: Print the result as JSON.
    """
    return _query_daemons(
        lambda facade: facade.explain(method, path, daemon), json=json
    )


def trace(request: str, *files: Path, json: bool = False) -> ExitCode:
    """Shows what daemons decided about one request, from their logs.

    Exits with 0 if the logs hold events of the request and with 1 if not.

    Args:
        request: Id of the request.
        files: Files that hold the log output of daemons.
        json: Print the result as JSON.
    """
    return _print_result(Egretlanding().trace(request, files), json=json)


def debug(*, json: bool = False) -> ExitCode:
    """Shows versions, settings, kinds, checks, events and the platform.

    Args:
        json: Print the result as JSON.
    """
    return _print_result(Egretlanding().debug(), json=json)


COMMANDS: dict[str, Callable[..., ExitCode]] = {
    'check': check,
    'compile': build,
    'diff': diff,
    'status': status,
    'dump': dump,
    'explain': explain,
    'trace': trace,
    'debug': debug,
}


def gather_daemons(arguments: Sequence[str]) -> list[str]:
    """Merges repeated `--daemon` options into one.

    The argument parser would keep only the last of them.

    Args:
        arguments: The arguments of the command line.

    Returns:
        The other arguments, followed by one `--daemon` option with all
        daemons if there are any.
    """
    others: list[str] = []
    daemons: list[str] = []
    remaining = iter(arguments)
    for argument in remaining:
        option, _, daemon = argument.partition('=')
        if option != DAEMON_OPTION:
            others.append(argument)
        elif daemon:
            daemons.append(daemon)
        else:
            daemons.extend(islice(remaining, 1))
    return [*others, DAEMON_OPTION, *daemons] if daemons else others


def main(arguments: Sequence[str] | None = None) -> NoReturn:
    """Runs one command and exits with its exit code.

    Args:
        arguments: The arguments; if None, those of the process.
    """
    command_line = sys.argv[1:] if arguments is None else arguments
    try:
        code = defopt.run(
            COMMANDS,
            argv=gather_daemons(command_line),
            argparse_kwargs={'prog': PROGRAM, 'allow_abbrev': False},
            no_negated_flags=True,
            short={},
            version=__version__,
        )
    except RemediedError as error:
        print(f'{PROGRAM}: {error}', file=sys.stderr)
        code = ExitCode.USAGE
    sys.exit(code)


def _print_result(command_result: CommandResult, *, json: bool) -> ExitCode:
    print(command_result.json() if json else command_result.text())
    return command_result.code


def _query_daemons(query: FacadeQuery, *, json: bool) -> ExitCode:
    outcomes: list[Result[CommandResult, RemediedError]] = []

    async def run(reactor: Any) -> None:
        facade = Egretlanding(AdminClient(reactor))
        try:
            outcomes.append(Ok(await query(facade)))
        except RemediedError as error:
            outcomes.append(Err(error))

    # react() always raises SystemExit when it is done.
    with contextlib.suppress(SystemExit):
        react(lambda reactor: ensureDeferred(run(reactor)))
    if not outcomes:
        return ExitCode.UNREACHABLE
    if isinstance(outcomes[0], Err):
        raise outcomes[0].err_value
    return _print_result(outcomes[0].ok_value, json=json)
