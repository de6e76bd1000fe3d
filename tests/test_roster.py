"""Tests of which targets are on the roster."""

import attrs

from egretlanding.hosts import HostState
from egretlanding.roster import RENEWAL_GRACE_S, Roster, TargetEntry

ENTRY = TargetEntry(
    instance='i-1',
    address='10.0.0.1',
    port=8300,
    service='orders',
    region='north',
    failure_domain='one',
    slots=6,
)


def make_roster(*entries: TargetEntry) -> Roster:
    """Returns a roster to which some entries have been written."""
    roster = Roster(7_000)
    for revision, entry in enumerate(entries, 1):
        roster.update(entry, revision)
    return roster


def test_a_target_without_an_entry_is_removed_at_once() -> None:
    roster = make_roster(ENTRY)
    roster.remove('i-1', 10)
    assert not roster.host_list().hosts


def test_a_target_whose_entry_lapsed_in_an_outage_stays() -> None:
    roster = make_roster(ENTRY)
    roster.remove('i-1', 10, outage_ended_at=10)
    assert roster.host_list().hosts
    roster.update(ENTRY, 9)
    assert not roster.expire(10 + 2 * RENEWAL_GRACE_S)
    assert roster.host_list().hosts


def test_an_entry_that_does_not_come_back_is_gone() -> None:
    roster = make_roster(ENTRY)
    roster.remove('i-1', 10, outage_ended_at=10)
    assert not roster.expire(10 + RENEWAL_GRACE_S - 0.1)
    assert roster.expire(10 + RENEWAL_GRACE_S) == ['i-1']
    assert not roster.host_list().hosts


# Failure: a target that left after the store's return was held for as long as
# if its entry had lapsed before, so that calls reached it late.
def test_the_time_to_write_an_entry_again_begins_with_the_return() -> None:
    roster = make_roster(ENTRY)
    roster.remove('i-1', 9 + RENEWAL_GRACE_S, outage_ended_at=10)
    assert roster.expire(10 + RENEWAL_GRACE_S) == ['i-1']
    later = make_roster(ENTRY)
    later.remove('i-1', 10 + RENEWAL_GRACE_S, outage_ended_at=10)
    assert not later.host_list().hosts


def test_a_draining_target_is_removed_in_an_outage_too() -> None:
    roster = make_roster(attrs.evolve(ENTRY, draining=True))
    assert roster.host_list().hosts['10.0.0.1'].state is HostState.LEAVING
    roster.remove('i-1', 10, outage_ended_at=10)
    assert not roster.host_list().hosts


def test_the_latest_target_at_an_address_is_listed() -> None:
    later = attrs.evolve(ENTRY, instance='i-2', service='billing', born_ms=5)
    for entries in ((ENTRY, later), (later, ENTRY)):
        roster = make_roster(*entries)
        assert roster.host_list().hosts['10.0.0.1'].instance == 'i-2'
        assert roster.entry_at('10.0.0.1', 8300) == later


def test_a_target_with_an_entry_precedes_one_without() -> None:
    roster = make_roster(attrs.evolve(ENTRY, born_ms=9))
    roster.remove('i-1', 10, outage_ended_at=10)
    roster.update(attrs.evolve(ENTRY, instance='i-2', born_ms=1), 5)
    assert roster.host_list().hosts['10.0.0.1'].instance == 'i-2'


# Failure: a target that was draining or had left got calls again once the store
# was restored from a copy in which it had not.
def test_an_entry_of_a_restored_store_that_was_replaced_is_outdated() -> None:
    first = attrs.evolve(ENTRY, born_ms=50, sequence=3)
    draining = attrs.evolve(first, draining=True, sequence=7)
    roster = Roster(7_000)
    roster.update(draining, 9, era=1)
    assert roster.is_outdated(first, era=2)
    assert not roster.is_outdated(draining, era=2)
    restarted = attrs.evolve(first, born_ms=60, sequence=1)
    assert not roster.is_outdated(restarted, era=2)
    # Within an era, the store's own order decides.
    assert not roster.is_outdated(first, era=1)


def test_a_target_that_left_returns_only_with_a_later_entry() -> None:
    last = attrs.evolve(ENTRY, born_ms=50, sequence=3)
    roster = Roster(7_000)
    roster.update(last, 9, era=1)
    roster.remove('i-1', 10, 1)
    assert roster.is_outdated(last, era=2)
    assert not roster.is_outdated(last, era=1)
    assert not roster.is_outdated(attrs.evolve(last, sequence=4), era=2)


def test_a_target_that_the_restored_store_does_not_list_may_write_again() -> (
    None
):
    entry = attrs.evolve(ENTRY, born_ms=50, sequence=3)
    roster = Roster(7_000)
    roster.update(entry, 9, era=1)
    roster.remove('i-1', 10, 2, outage_ended_at=10)
    assert not roster.is_outdated(entry, era=2)
    assert roster.expire(10 + RENEWAL_GRACE_S) == ['i-1']
    assert not roster.is_outdated(entry, era=2)
    assert roster.is_outdated(entry, era=3)


# Failure: an entry of a service that no configuration names hid the target at
# its address, and daemons fetched records from the address that it named.
def test_an_entry_of_an_unknown_service_is_left_out() -> None:
    unknown = attrs.evolve(ENTRY, instance='i-2', service='none', born_ms=5)
    elsewhere = attrs.evolve(unknown, instance='i-3', address='10.0.0.2')
    roster = make_roster(ENTRY, unknown, elsewhere)
    assert len(roster.host_list().hosts) == 2
    roster.services = frozenset(('orders',))
    hosts = roster.host_list().hosts
    assert {host.instance for host in hosts.values()} == {'i-1'}
    assert roster.entry_at('10.0.0.1', 8300) == ENTRY
    roster.services = frozenset(('orders', 'none'))
    assert len(roster.host_list().hosts) == 2
