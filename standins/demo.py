"""Demonstrates a fleet: publication, calls, a change, a refusal, a stop."""

import pathlib
import shutil
import subprocess
import sys
import time

from egretlanding.objects import ConfigObject, Route
from egretlanding.release import Release
from egretlanding.releasefiles import read_release
from standins.fleet import Answer, Fleet, Member, wait_until
from standins.layouts import TROUSSE_PLACEMENTS, TROUSSE_STORE_REGION

EXAMPLES = pathlib.Path(__file__).parent.parent / 'examples' / 'trousse'
IN_FORCE_LIMIT_S = 13


def print_step(step: str) -> None:
    """Prints one line of the demo."""
    print(f'demo: {step}', flush=True)


def require(condition: object, step: str) -> None:
    """Ends the demo with an error unless the condition of a step holds."""
    if not condition:
        sys.exit(f'demo: failed: {step}')


def run_command(*arguments: str) -> subprocess.CompletedProcess[str]:
    """Runs a command of egretlanding and prints its output."""
    print_step(f'$ egretlanding {" ".join(arguments)}')
    completed = subprocess.run(
        [sys.executable, '-m', 'egretlanding', *arguments],
        capture_output=True,
        text=True,
        check=False,
    )
    print(completed.stdout + completed.stderr, end='', flush=True)
    return completed


def compile_release(
    directory: pathlib.Path,
    number: int,
    parent: str,
    out: pathlib.Path,
) -> Release:
    """Checks and compiles a directory as an operator does."""
    require(run_command('check', str(directory)).returncode == 0, 'check')
    compiled = run_command(
        'compile',
        str(directory),
        '--number',
        str(number),
        '--parent',
        parent,
        '--out',
        str(out),
    )
    require(compiled.returncode == 0, 'compile')
    return read_release(out)


def publish(fleet: Fleet, release: Release) -> None:
    """Publishes a release and prints the time until it is in force."""
    fleet.publish(release)
    elapsed_s = fleet.wait_in_force(release.number, timeout_s=IN_FORCE_LIMIT_S)
    print_step(
        f'release {release.number} in force on all {len(fleet.members)} '
        f'daemons after {elapsed_s:.2f} s',
    )


def print_answer(description: str, ingress: Member, answer: Answer) -> None:
    """Requires that a call ran successfully, and prints its answer."""
    require((answer.status, answer.ran_header) == (200, 'yes'), description)
    print_step(
        f'{description} through {ingress.host_id}: {answer.status}, '
        f'ran: {answer.ran_header}, answered by {answer.body.decode()}',
    )


def demonstrate_calls(fleet: Fleet) -> None:
    """Makes an idempotent and a non-idempotent call."""
    ingress, other = fleet.members['tournees-0'], fleet.members['magasin-1']
    lookup = ingress.call('GET', '/catalogue/kits/7')
    print_answer('idempotent lookup', ingress, lookup)
    issued = ingress.call('POST', '/.egretlanding/keys/commandes')
    key = issued.json()['key']
    first = ingress.call(
        'POST', '/commandes', b'refill kit 7', idempotency_key=key
    )
    print_answer('non-idempotent order', ingress, first)
    repeated = other.call(
        'POST', '/commandes', b'refill kit 7', idempotency_key=key
    )
    print_answer('the same order again, same key', other, repeated)
    runs = [
        run
        for member in fleet.members.values()
        for run in member.executions()
        if run['key'] == key
    ]
    require(len(runs) == 1, 'the order ran once')
    print_step('the targets recorded 1 run of the order')


def copy_edited_example(folder: pathlib.Path) -> pathlib.Path:
    """Returns a copy of the example with one policy changed."""
    copy = folder / 'edited'
    shutil.copytree(EXAMPLES, copy)
    path = copy / 'policies.yaml'
    text = path.read_text()
    edited = text.replace('hedge_ms: 60', 'hedge_ms: 70', 1)
    require(edited != text, 'the example has a policy to edit')
    path.write_text(edited)
    return copy


def demonstrate_refusal(fleet: Fleet, in_force: Release) -> None:
    """Shows that the check and the daemons refuse invalid configuration."""
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
        in_force.number + 1,
        in_force.digest,
        [*in_force.objects.values(), ConfigObject('Route', 'lost', lost)],
    )
    fleet.publish(broken)
    observed = fleet.members['catalogue-0']
    refused = wait_until(
        lambda: observed.status()['refused'],
        IN_FORCE_LIMIT_S,
        'the broken release is refused',
    )
    print_step(f'published anyway, refused by the daemons: {refused[0]}')
    numbers = {member.status()['number'] for member in fleet.members.values()}
    require(numbers == {in_force.number}, 'the good release stays in force')
    print_step(f'release {in_force.number} is still in force everywhere')


def run(fleet: Fleet) -> None:
    """Runs all steps of the demo."""
    first = compile_release(EXAMPLES, 1, '', fleet.folder / 'one')
    started_at = time.monotonic()
    fleet.start()
    fleet.publish(first)
    fleet.wait_in_force(1)
    print_step(
        f'{len(fleet.members)} daemons in two regions started, release 1 in '
        f'force on all after {time.monotonic() - started_at:.1f} s',
    )
    demonstrate_calls(fleet)
    edited = copy_edited_example(fleet.folder)
    run_command('diff', str(EXAMPLES), str(edited))
    second = compile_release(edited, 2, first.digest, fleet.folder / 'two')
    publish(fleet, second)
    admin_addresses = [
        f'127.0.0.1:{fleet.members[name].settings["admin_port"]}'
        for name in ('catalogue-0', 'commandes-1')
    ]
    status = run_command(
        'status',
        '--daemon',
        admin_addresses[0],
        '--daemon',
        admin_addresses[1],
    )
    require(status.returncode == 0, 'status agrees')
    demonstrate_refusal(fleet, second)


def main() -> int:
    """Runs the demo and stops all processes that it started."""
    fleet = Fleet.from_placements(
        TROUSSE_PLACEMENTS, store_region=TROUSSE_STORE_REGION
    )
    try:
        run(fleet)
    finally:
        codes = fleet.close()
    require(not any(codes), f'graceful stop, exit codes {codes}')
    print_step(f'all {len(codes)} processes stopped gracefully')
    return 0


if __name__ == '__main__':
    sys.exit(main())
