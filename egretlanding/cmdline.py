"""The command line: parses arguments and calls the facade."""

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
from egretlanding.answers import ExitCode, Reply
from egretlanding.control import Egretlanding
from egretlanding.exceptions import RemediedError

PROGRAM = 'egretlanding'
DAEMON_OPTION = '--daemon'

Question = Callable[[Egretlanding], Awaitable[Reply]]


def check(directory: Path, *, json: bool = False) -> ExitCode:
    """Reports every fault of a directory of objects.

    Exits with 0 if there is none and with 1 if there are faults.

    Args:
        directory: Directory of YAML files.
        json: Print JSON for machines.
    """
    return _show(Egretlanding().check(directory), json=json)


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
        json: Print JSON for machines.
    """
    return _show(
        Egretlanding().compile(directory, number, parent, out), json=json
    )


def diff(old: Path, new: Path, *, json: bool = False) -> ExitCode:
    """Shows the change between two directories, for review.

    Inherited fields of policies are written out, so that a change shows at
    every policy that it affects. Exits with 0 if there is no difference and
    with 1 if there is one.

    Args:
        old: Directory of YAML files or of a compiled release.
        new: Directory of YAML files or of a compiled release.
        json: Print JSON for machines.
    """
    return _show(Egretlanding().diff(old, new), json=json)


def status(*, daemon: list[str], json: bool = False) -> ExitCode:
    """Shows what is in force on daemons and whether they agree.

    Exits with 0 if all hold the same release, with 1 if they don't, and with
    3 if one of them gives no answer.

    Args:
        daemon: Admin port of a daemon as HOST:PORT; may be repeated.
        json: Print JSON for machines.
    """
    return _ask(lambda facade: facade.status(daemon), json=json)


def dump(*, daemon: list[str], json: bool = False) -> ExitCode:
    """Shows the whole state of daemons.

    Exits with 3 if one of them gives no answer.

    Args:
        daemon: Admin port of a daemon as HOST:PORT; may be repeated.
        json: Print JSON for machines.
    """
    return _ask(lambda facade: facade.dump(daemon), json=json)


def explain(
    method: str,
    path: str,
    *,
    daemon: list[str],
    json: bool = False,
) -> ExitCode:
    """Shows where daemons would send a call, and why.

    Exits with 0 if each has a route for the call, with 1 if one has none,
    and with 3 if one gives no answer.

    Args:
        method: HTTP method of the call.
        path: Path of the call.
        daemon: Admin port of a daemon as HOST:PORT; may be repeated.
        json: Print JSON for machines.
    """
    return _ask(lambda facade: facade.explain(method, path, daemon), json=json)


def trace(request: str, *files: Path, json: bool = False) -> ExitCode:
    """Tells what daemons decided on one request, from their logs.

    Exits with 0 if a line tells of the request and with 1 if none does.

    Args:
        request: The request's id.
        files: Files that hold the output of daemons.
        json: Print JSON for machines.
    """
    return _show(Egretlanding().trace(request, files), json=json)


def debug(*, json: bool = False) -> ExitCode:
    """Shows versions, settings, kinds, checks, events and surroundings.

    Args:
        json: Print JSON for machines.
    """
    return _show(Egretlanding().debug(), json=json)


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
    """Joins repeated `--daemon` options, of which the parser keeps the last.

    Args:
        arguments: The arguments as given.

    Returns:
        The arguments with one `--daemon` option at the end, if there is any.
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
    """Runs one command and exits with its code.

    Args:
        arguments: The arguments; those of the process if None.
    """
    given = sys.argv[1:] if arguments is None else arguments
    try:
        code = defopt.run(
            COMMANDS,
            argv=gather_daemons(given),
            argparse_kwargs={'prog': PROGRAM, 'allow_abbrev': False},
            no_negated_flags=True,
            short={},
            version=__version__,
        )
    except RemediedError as error:
        print(f'{PROGRAM}: {error}', file=sys.stderr)
        code = ExitCode.USAGE
    sys.exit(code)


def _show(reply: Reply, *, json: bool) -> ExitCode:
    print(reply.json() if json else reply.text())
    return reply.code


def _ask(ask: Question, *, json: bool) -> ExitCode:
    outcomes: list[Result[Reply, RemediedError]] = []

    async def run(reactor: Any) -> None:
        facade = Egretlanding(AdminClient(reactor))
        try:
            outcomes.append(Ok(await ask(facade)))
        except RemediedError as error:
            outcomes.append(Err(error))

    # The reactor's runner always ends with SystemExit.
    with contextlib.suppress(SystemExit):
        react(lambda reactor: ensureDeferred(run(reactor)))
    if not outcomes:
        return ExitCode.UNREACHABLE
    if isinstance(outcomes[0], Err):
        raise outcomes[0].err_value
    return _show(outcomes[0].ok_value, json=json)
