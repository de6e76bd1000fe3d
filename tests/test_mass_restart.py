"""Tests of the work that a daemon does while many targets restart.

Pattern: after a loss of power hundreds of entries change within seconds, and
every daemon applies each change.
"""

import attrs
import pytest

from egretlanding import recordtree
from egretlanding.roster import Roster, TargetEntry

HOSTS = 200
REGIONS = ('north', 'south')


def entry_of(number: int, sequence: int = 1) -> TargetEntry:
    """Returns the entry of a target, ready if its sequence is odd."""
    return TargetEntry(
        f'i-{number}',
        f'10.0.0.{number}',
        80,
        'orders',
        REGIONS[number % 2],
        f'd{number % 8}',
        slots=3,
        draining=sequence % 2 == 0,
        sequence=sequence,
    )


# Failure: each change of one entry built all hosts again.
def test_a_change_leaves_the_hosts_of_others_as_they_are() -> None:
    roster = Roster(7_000)
    for number in range(HOSTS):
        roster.update(entry_of(number), number)
    before = roster.host_list().hosts
    roster.update(entry_of(7, sequence=2), HOSTS)
    after = roster.host_list().hosts
    changed = [name for name in before if before[name] is not after[name]]
    assert changed == [entry_of(7).address]
    roster.remove('i-8', 0)
    assert set(before) - set(roster.host_list().hosts) == {'10.0.0.8'}
    assert set(roster.hosts) == set(roster.targets)


# Failure: all hosts were ranked again though only the state of some changed.
def test_hosts_are_ranked_again_only_when_they_come_or_go(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    ranked: list[str] = []
    rank = recordtree.rank_candidates

    def count(subject: str, candidates: frozenset[str]) -> list[str]:
        ranked.append(subject)
        return rank(subject, candidates)

    monkeypatch.setattr(recordtree, 'rank_candidates', count)
    recordtree.ranked_addresses.cache_clear()
    roster = Roster(7_000)
    for number in range(HOSTS):
        roster.update(entry_of(number), number)
    for number in range(HOSTS):
        roster.update(entry_of(number, sequence=2), HOSTS + number)
        hosts = roster.host_list().hosts
        tree = recordtree.RecordTree.of_host(
            '10.0.0.4', 'north', hosts.values()
        )
        assert tree.order == tuple(hosts[one.address] for one in tree.order)
    assert ranked == ['north']
    listed = attrs.evolve(entry_of(HOSTS), address='10.0.1.1')
    roster.update(listed, 2 * HOSTS)
    tree = recordtree.RecordTree.of_host(
        '10.0.0.4', 'north', roster.host_list().hosts.values()
    )
    assert ranked == ['north', 'north']
    assert '10.0.1.1' in {host.address for host in tree.order}
