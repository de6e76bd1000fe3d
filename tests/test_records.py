"""Tests that a table of records never goes back to an older record."""

from hypothesis import given
from hypothesis import strategies as st

from egretlanding.records import MAX_DELETED, Record, RecordTable

KEYS = ('a', 'b', 'c')
HISTORIES = st.lists(
    st.tuples(st.sampled_from(KEYS), st.booleans()),
    min_size=1,
    max_size=12,
)


def make_records(history: list[tuple[str, bool]]) -> list[Record]:
    """Returns the records that a store wrote, in order."""
    return [
        Record(key, revision, b'' if gone else b'%d' % revision, gone)
        for revision, (key, gone) in enumerate(history, 1)
    ]


def newest(records: list[Record]) -> dict[str, Record]:
    """Returns the records that the store holds after some writes."""
    return {record.key: record for record in records}


@given(HISTORIES, st.randoms())
def test_any_order_of_news_ends_at_the_newest(history, random) -> None:
    records = make_records(history)
    shuffled = [*records, *records]
    random.shuffle(shuffled)
    table = RecordTable()
    seen: dict[str, int] = {}
    for record in shuffled:
        table.apply([record])
        held = table.records[record.key].revision
        assert held >= seen.get(record.key, 0)
        seen[record.key] = held
    assert table.records == newest(records)


@given(HISTORIES, st.integers(0, 12), st.integers(0, 12))
def test_a_list_that_is_read_while_writes_go_on_loses_nothing(
    history,
    held_revision,
    listed_revision,
) -> None:
    records = make_records(history)
    table = RecordTable()
    table.apply(records[:held_revision])
    listed = newest(records[:listed_revision])
    table.replace(
        [record for record in listed.values() if not record.deleted],
        min(listed_revision, len(records)),
    )
    table.apply(records[listed_revision:])
    for key, record in newest(records).items():
        held = table.records.get(key)
        if record.deleted:
            assert held is None or held.deleted
        else:
            assert held == record


@given(HISTORIES, st.integers(0, 12))
def test_records_since_a_revision_update_another_table(
    history,
    held_revision,
) -> None:
    records = make_records(history)
    ahead, behind = RecordTable(), RecordTable()
    ahead.apply(records)
    behind.apply(records[:held_revision])
    behind.apply(ahead.since(held_revision))
    assert behind.records == ahead.records


def test_a_bounded_number_of_deletions_is_kept() -> None:
    table = RecordTable()
    for revision in range(1, 2 * MAX_DELETED):
        table.apply([Record(str(revision), revision, deleted=True)])
    assert len(table.records) <= MAX_DELETED
    assert not table.has_deletions_since(1)
    assert table.has_deletions_since(2 * MAX_DELETED)


def test_changes_of_other_topics_do_not_count_as_changes() -> None:
    table = RecordTable()
    table.apply([Record('a', 3, b'x')])
    table.confirm(9)
    assert (table.content_revision, table.complete_revision) == (3, 9)


def test_a_record_that_was_read_early_is_not_yet_complete() -> None:
    table = RecordTable()
    table.replace([Record('a', 3, b'x'), Record('b', 7, b'y')], 5)
    assert table.content_revision == 5
    table.confirm(7)
    assert table.content_revision == 7


# Failure: DRAIN on the grown sites. A daemon that had listed the records sent
# the later changes without the deletions before them, so that a daemon that was
# behind kept a target that had left.
def test_a_list_does_not_hide_deletions_from_others() -> None:
    lister = RecordTable()
    lister.replace([Record('a', 1, b'x')], 5)
    assert not lister.has_deletions_since(3)
    assert lister.has_deletions_since(5)
    lister.apply([Record('b', 6, b'y')])
    lister.confirm(6)
    assert lister.has_deletions_since(5)


def test_a_list_of_what_is_held_hides_nothing() -> None:
    table = RecordTable()
    table.replace([Record('a', 1, b'x')], 5)
    table.apply([Record('a', 7, deleted=True)])
    table.confirm(7)
    table.replace([], 7)
    assert table.has_deletions_since(5)


# Failure: DRAIN on the grown sites; the same. A daemon that is complete up to
# the last record of a list may still lack a deletion behind it.
def test_a_list_may_hide_a_change_up_to_its_revision() -> None:
    lister = RecordTable()
    lister.replace([Record('a', 1, b'x')], 5)
    assert lister.content_revision == 5
