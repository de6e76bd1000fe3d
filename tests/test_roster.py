"""Tests of which targets are believed to run."""

import attrs

from egretlanding.hosts import HostState
from egretlanding.roster import RETURN_S, Roster, TargetEntry

ENTRY = TargetEntry(
    instance='i-1',
    address='10.0.0.1',
    port=8300,
    service='orders',
    region='north',
    failure_domain='one',
    slots=6,
)


def listed(*entries: TargetEntry) -> Roster:
    """Returns a roster with some entries."""
    roster = Roster(7_000)
    for revision, entry in enumerate(entries, 1):
        roster.update(entry, revision)
    return roster


def test_an_entry_that_goes_while_the_store_is_well_is_gone_at_once() -> None:
    roster = listed(ENTRY)
    roster.remove('i-1', 10, lapsed=False)
    assert not roster.host_list().hosts


def test_an_entry_that_lapsed_in_an_outage_is_held_until_it_is_back() -> None:
    roster = listed(ENTRY)
    roster.remove('i-1', 10, lapsed=True)
    assert roster.host_list().hosts
    roster.update(ENTRY, 9)
    assert not roster.expire(10 + 2 * RETURN_S)
    assert roster.host_list().hosts


def test_an_entry_that_does_not_come_back_is_gone() -> None:
    roster = listed(ENTRY)
    roster.remove('i-1', 10, lapsed=True)
    assert not roster.expire(10 + RETURN_S - 0.1)
    assert roster.expire(10 + RETURN_S) == ['i-1']
    assert not roster.host_list().hosts


def test_a_leaving_target_whose_entry_lapses_is_gone_at_once() -> None:
    roster = listed(attrs.evolve(ENTRY, draining=True))
    assert roster.host_list().hosts['10.0.0.1'].state is HostState.LEAVING
    roster.remove('i-1', 10, lapsed=True)
    assert not roster.host_list().hosts


def test_of_two_targets_at_an_address_the_later_one_counts() -> None:
    later = attrs.evolve(ENTRY, instance='i-2', service='billing', born_ms=5)
    for entries in ((ENTRY, later), (later, ENTRY)):
        roster = listed(*entries)
        assert roster.host_list().hosts['10.0.0.1'].instance == 'i-2'
        assert roster.at('10.0.0.1', 8300) == later


def test_a_target_that_is_held_gives_way_to_one_with_an_entry() -> None:
    roster = listed(attrs.evolve(ENTRY, born_ms=9))
    roster.remove('i-1', 10, lapsed=True)
    roster.update(attrs.evolve(ENTRY, instance='i-2', born_ms=1), 5)
    assert roster.host_list().hosts['10.0.0.1'].instance == 'i-2'
