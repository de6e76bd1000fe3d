"""The faults of a soak, which are injected from outside and undone.

Each is a generator that injects a fault, yields while it lasts, and undoes it.
"""

import random
import signal
import time
from collections.abc import Callable, Iterator
from contextlib import AbstractContextManager, ExitStack, contextmanager

from soak.placement import EVAC_LIMIT_S
from soak.records import SoakAction, clock
from soak.testbed import (
    STORE_LINK,
    SoakMember,
    Testbed,
    end_evacuation,
)
from soak.testbed import evacuate as begin_evacuation
from standins.faults import DirectionFaults, LinkRule

# Injects a fault before its only yield and undoes it afterwards.
Fault = Callable[[Testbed, SoakMember], Iterator[None]]
FAULTS: dict[str, Fault] = {}
# How often a fault is chosen, relative to others, if not once.
FAULT_WEIGHTS = {'term': 3, 'term-several': 2}
# Faults whose subject is the process of a target instead of a host.
TARGET_FAULTS = ('leave', 'target-limit', 'target-leaving')
DELAY_MS = 150.0
LOST_WRITES = 4
# Time for which an evacuation goes on after it must be in force, seconds.
EVACUATED_S = 4.0
BLACKHOLED = DirectionFaults(blackhole=True)


def fault(name: str) -> Callable[[Fault], Fault]:
    """Registers a fault.

    Args:
        name: Its name in the history.
    """

    def register(inject: Fault) -> Fault:
        FAULTS[name] = inject
        return inject

    return register


def fault_context(
    name: str,
    testbed: Testbed,
    member: SoakMember,
) -> AbstractContextManager[None]:
    """Returns a context manager that injects a fault and undoes it."""
    return contextmanager(FAULTS[name])(testbed, member)


def subject_of(name: str, member: SoakMember) -> str:
    """Returns the subject of a fault for the history."""
    if name in TARGET_FAULTS:
        return member.instance
    return member.advertised_address


def pick_fault(rng: random.Random) -> str:
    """Returns the name of a random fault."""
    names = sorted(FAULTS)
    weights = [FAULT_WEIGHTS.get(name, 1) for name in names]
    return rng.choices(names, weights)[0]


@fault('kill')
def crash_daemon(testbed: Testbed, member: SoakMember) -> Iterator[None]:
    """Kills a daemon and starts it again."""
    testbed.restart(member, signal.SIGKILL)
    yield


@fault('term')
def restart_daemon(testbed: Testbed, member: SoakMember) -> Iterator[None]:
    """Stops a daemon gracefully and starts it again."""
    testbed.restart(member, signal.SIGTERM)
    yield


@fault('term-several')
def restart_daemons(testbed: Testbed, member: SoakMember) -> Iterator[None]:
    """Stops all daemons but one gracefully at once and starts them again.

    Daemons with another fault are left alone.
    """
    with ExitStack() as stack:
        stopped = [member, *lock_others(testbed, member, stack)]
        testbed.restart_several(stopped)
        yield


def lock_others(
    testbed: Testbed,
    member: SoakMember,
    stack: ExitStack,
) -> list[SoakMember]:
    """Reserves the daemons without a fault, all but one, for a fault.

    Args:
        testbed: The daemons.
        member: The host that is reserved already.
        stack: Ends the reservation of the daemons.
    """
    others = [
        other
        for other in testbed.fleet.members
        if isinstance(other, SoakMember) and other is not member
    ]
    locked = []
    for other in others[1:]:
        if other.fault_lock.acquire(blocking=False):
            stack.callback(other.fault_lock.release)
            locked.append(other)
    return locked


@fault('reload')
def reload_daemon(testbed: Testbed, member: SoakMember) -> Iterator[None]:
    """Makes a daemon reload its settings."""
    testbed.send_signal(member, signal.SIGHUP)
    yield


@fault('pause')
def pause_daemon(testbed: Testbed, member: SoakMember) -> Iterator[None]:
    """Pauses a daemon's process while the fault lasts."""
    testbed.send_signal(member, signal.SIGSTOP)
    yield
    testbed.send_signal(member, signal.SIGCONT)


def link_rule(testbed: Testbed, link: str, rule: LinkRule) -> Iterator[None]:
    """Applies a rule to a link while the fault lasts."""
    testbed.set_rule(link, rule)
    yield
    testbed.set_rule(link)


@fault('cut')
def cut_daemon(testbed: Testbed, member: SoakMember) -> Iterator[None]:
    """Resets the connections of other daemons to a daemon."""
    yield from link_rule(
        testbed, f'peers-{member.advertised_address}', LinkRule(cut=True)
    )


@fault('silence')
def blackhole_daemon(testbed: Testbed, member: SoakMember) -> Iterator[None]:
    """Holds back all bytes between other daemons and a daemon."""
    rule = LinkRule(to_server=BLACKHOLED, to_client=BLACKHOLED)
    yield from link_rule(testbed, f'peers-{member.advertised_address}', rule)


@fault('one-way')
def blackhole_daemon_replies(
    testbed: Testbed, member: SoakMember
) -> Iterator[None]:
    """Holds back what a daemon sends on connections that others opened."""
    rule = LinkRule(to_client=BLACKHOLED)
    yield from link_rule(testbed, f'peers-{member.advertised_address}', rule)


@fault('delay')
def delay_daemon(testbed: Testbed, member: SoakMember) -> Iterator[None]:
    """Delays bytes between other daemons and a daemon."""
    slow = DirectionFaults(delay_ms=DELAY_MS)
    rule = LinkRule(to_server=slow, to_client=slow)
    yield from link_rule(testbed, f'peers-{member.advertised_address}', rule)


@fault('store-cut')
def cut_store(testbed: Testbed, _member: SoakMember) -> Iterator[None]:
    """Resets the connections of all daemons to the store."""
    yield from link_rule(testbed, STORE_LINK, LinkRule(cut=True))


@fault('store-silent')
def blackhole_store_replies(
    testbed: Testbed, _member: SoakMember
) -> Iterator[None]:
    """Holds back the answers of the store."""
    yield from link_rule(testbed, STORE_LINK, LinkRule(to_client=BLACKHOLED))


@fault('store-slow')
def slow_store(testbed: Testbed, _member: SoakMember) -> Iterator[None]:
    """Delays the answers of the store."""
    slow = DirectionFaults(delay_ms=DELAY_MS)
    yield from link_rule(testbed, STORE_LINK, LinkRule(to_client=slow))


@fault('store-restored')
def restore_store(testbed: Testbed, _member: SoakMember) -> Iterator[None]:
    """Returns the store from a copy that lacks the last writes."""
    testbed.restore_store(LOST_WRITES)
    yield


@fault('publish')
def publish(testbed: Testbed, _member: SoakMember) -> Iterator[None]:
    """Publishes a configuration with a new route."""
    testbed.publish()
    yield


@fault('evacuate')
def evacuate(testbed: Testbed, member: SoakMember) -> Iterator[None]:
    """Evacuates the failure domain of a host for longer than other faults."""
    began = clock()
    if begin_evacuation(testbed, member.zone):
        time.sleep(EVAC_LIMIT_S + EVACUATED_S)
        ended = clock()
        end_evacuation(testbed, member.zone)
        testbed.history.record(
            SoakAction('evacuated', member.zone, began, ended)
        )
    yield
