"""The faults of a soak that concern targets."""

import time
from collections.abc import Iterator
from http import HTTPStatus

from soak.faults import BLACKHOLED, fault, link_rule
from soak.statements import LIMIT_PER_S
from soak.testbed import SoakMember, Testbed
from standins.faults import LinkRule

# Time for which a target goes on stating something, beyond the time that any
# fault lasts, seconds.
STATEMENT_S = 5


@fault('target-cut')
def cut_target(testbed: Testbed, member: SoakMember) -> Iterator[None]:
    """Resets the connections of a daemon to its target."""
    yield from link_rule(
        testbed, f'target-{member.advertised_address}', LinkRule(cut=True)
    )


@fault('target-one-way')
def blackhole_target_answers(
    testbed: Testbed, member: SoakMember
) -> Iterator[None]:
    """Holds back the answers of a target."""
    yield from link_rule(
        testbed,
        f'target-{member.advertised_address}',
        LinkRule(to_client=BLACKHOLED),
    )


@fault('target-shed')
def reject_requests(_testbed: Testbed, member: SoakMember) -> Iterator[None]:
    """Makes a target reject requests without running them."""
    member.status = HTTPStatus.SERVICE_UNAVAILABLE
    yield
    member.status = HTTPStatus.OK


@fault('target-slow')
def slow_target(_testbed: Testbed, member: SoakMember) -> Iterator[None]:
    """Makes a target answer requests slowly."""
    member.delay_s = 0.3
    yield
    member.delay_s = 0


@fault('target-kill')
def replace_target(testbed: Testbed, member: SoakMember) -> Iterator[None]:
    """Replaces a target's process without draining it first."""
    replace(testbed, member)
    yield


def replace(testbed: Testbed, member: SoakMember) -> None:
    """Ends the process of a target and starts another one."""
    old_key = f'servers/{member.instance}'
    member.replace_target()
    testbed.write_entry(member)
    testbed.fleet.store.write(old_key, None)


@fault('leave')
def drain_target(testbed: Testbed, member: SoakMember) -> Iterator[None]:
    """Marks a target as draining, and later as ready."""
    member.state = 'draining'
    testbed.write_entry(member)
    yield
    member.state = 'ready'
    testbed.write_entry(member)


@fault('target-limit')
def limit_target(_testbed: Testbed, member: SoakMember) -> Iterator[None]:
    """Makes a target name a limit in its answers."""
    member.statements = {'Server_Limit': str(LIMIT_PER_S)}
    yield
    time.sleep(STATEMENT_S)
    member.statements = {}


@fault('target-leaving')
def end_target(testbed: Testbed, member: SoakMember) -> Iterator[None]:
    """Makes a target say in its answers that it leaves, and replaces it."""
    member.statements = {'Server_Leaving': '1'}
    yield
    time.sleep(STATEMENT_S)
    replace(testbed, member)
