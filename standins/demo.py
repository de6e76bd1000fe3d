"""Shows the whole path: publish, calls, a change, refusals, a clean stop."""

import pathlib
import shutil
import subprocess
import sys
import time

from egretlanding.archive import read_archive
from egretlanding.objects import ConfigObject, Route
from egretlanding.release import Release
from standins.fleet import Answer, Fleet, Member, wait_until
from standins.layouts import TROUSSE, TROUSSE_STORE_REGION

EXAMPLES = pathlib.Path(__file__).parent.parent / 'examples' / 'trousse'
IN_FORCE_LIMIT_S = 13


def show(step: str) -> None:
    """Prints one step."""
    print(f'demo: {step}', flush=True)


def require(holds: object, what: str) -> None:
    """Stops the demo unless something holds."""
    if not holds:
        sys.exit(f'demo: failed: {what}')


def run_command(*arguments: str) -> subprocess.CompletedProcess[str]:
    """Runs the command line of egretlanding and prints what it prints."""
    show(f'$ egretlanding {" ".join(arguments)}')
    done = subprocess.run(
        [sys.executable, '-m', 'egretlanding', *arguments],
        capture_output=True,
        text=True,
        check=False,
    )
    print(done.stdout + done.stderr, end='', flush=True)
    return done


def compile_release(
    directory: pathlib.Path,
    number: int,
    parent: str,
    out: pathlib.Path,
) -> Release:
    """Checks and compiles a directory as an operator does."""
    require(run_command('check', str(directory)).returncode == 0, 'check')
    done = run_command(
        'compile',
        str(directory),
        '--number',
        str(number),
        '--parent',
        parent,
        '--out',
        str(out),
    )
    require(done.returncode == 0, 'compile')
    return read_archive(out)


def publish(fleet: Fleet, release: Release) -> None:
    """Publishes a release and shows how long it takes to be in force."""
    fleet.publish(release)
    taken = fleet.wait_in_force(release.number, timeout_s=IN_FORCE_LIMIT_S)
    show(
        f'release {release.number} in force on all {len(fleet.members)} '
        f'daemons after {taken:.2f} s',
    )


def show_answer(what: str, entry: Member, answer: Answer) -> None:
    """Prints the answer to a call, which must have run."""
    require((answer.status, answer.ran) == (200, 'yes'), what)
    show(
        f'{what} by way of {entry.host_id}: {answer.status}, '
        f'ran: {answer.ran}, answered by {answer.body.decode()}',
    )


def show_calls(fleet: Fleet) -> None:
    """Makes an idempotent and a non-idempotent call."""
    entry, other = fleet.members['tournees-0'], fleet.members['magasin-1']
    lookup = entry.call('GET', '/catalogue/kits/7')
    show_answer('idempotent lookup', entry, lookup)
    issued = entry.call('POST', '/.egretlanding/keys/commandes')
    key = issued.json()['key']
    first = entry.call(
        'POST', '/commandes', b'refill kit 7', idempotency_key=key
    )
    show_answer('non-idempotent order', entry, first)
    again = other.call(
        'POST', '/commandes', b'refill kit 7', idempotency_key=key
    )
    show_answer('the same order again, same key', other, again)
    runs = [
        run
        for member in fleet.members.values()
        for run in member.executions()
        if run['key'] == key
    ]
    require(len(runs) == 1, 'the order ran once')
    show('the targets recorded 1 run of the order')


def edited_copy(folder: pathlib.Path) -> pathlib.Path:
    """Returns a copy of the example with one policy changed."""
    copy = folder / 'edited'
    shutil.copytree(EXAMPLES, copy)
    path = copy / 'policies.yaml'
    text = path.read_text()
    edited = text.replace('hedge_ms: 60', 'hedge_ms: 70', 1)
    require(edited != text, 'the example has a policy to edit')
    path.write_text(edited)
    return copy


def refuse_broken(fleet: Fleet, good: Release) -> None:
    """Shows that a broken set is refused by the check and by the daemons."""
    copy = fleet.folder / 'broken'
    shutil.copytree(EXAMPLES, copy)
    (copy / 'broken.yaml').write_text(
        'kind: Route\n'
        'name: lost\n'
        'spec: {path_prefix: /lost, service: nowhere, policy: lookup}\n',
    )
    require(run_command('check', str(copy)).returncode == 1, 'check refuses')
    lost = Route(path_prefix='/lost', service='nowhere', policy='lookup')
    broken = Release.from_objects(
        good.number + 1,
        good.digest,
        [*good.objects.values(), ConfigObject('Route', 'lost', lost)],
    )
    fleet.publish(broken)
    member = fleet.members['catalogue-0']
    refused = wait_until(
        lambda: member.status()['refused'],
        IN_FORCE_LIMIT_S,
        'the broken release is refused',
    )
    show(f'published all the same, refused by the daemons: {refused[0]}')
    held = {entry.status()['number'] for entry in fleet.members.values()}
    require(held == {good.number}, 'the good release stays in force')
    show(f'release {good.number} is still in force everywhere')


def run(fleet: Fleet) -> None:
    """Runs every step."""
    first = compile_release(EXAMPLES, 1, '', fleet.folder / 'one')
    began = time.monotonic()
    fleet.start()
    fleet.publish(first)
    fleet.wait_in_force(1)
    show(
        f'{len(fleet.members)} daemons in two regions started, release 1 in '
        f'force on all after {time.monotonic() - began:.1f} s',
    )
    show_calls(fleet)
    edited = edited_copy(fleet.folder)
    run_command('diff', str(EXAMPLES), str(edited))
    second = compile_release(edited, 2, first.digest, fleet.folder / 'two')
    publish(fleet, second)
    admin = [
        f'127.0.0.1:{fleet.members[name].settings["admin_port"]}'
        for name in ('catalogue-0', 'commandes-1')
    ]
    status = run_command('status', '--daemon', admin[0], '--daemon', admin[1])
    require(status.returncode == 0, 'status agrees')
    refuse_broken(fleet, second)


def main() -> int:
    """Runs the demo and stops everything it started."""
    fleet = Fleet.from_placements(TROUSSE, store_region=TROUSSE_STORE_REGION)
    try:
        run(fleet)
    finally:
        codes = fleet.close()
    require(not any(codes), f'graceful stop, exit codes {codes}')
    show(f'all {len(codes)} processes stopped gracefully')
    return 0


if __name__ == '__main__':
    sys.exit(main())
