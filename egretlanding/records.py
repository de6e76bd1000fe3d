"""A daemon's table of the records of a store that it can only read."""

import enum
from collections.abc import Iterable

import attrs
import msgspec

MAX_DELETED = 4_096


class Topic(enum.StrEnum):
    """What records are about; each topic is read and distributed by itself.

    The entries of targets are small, so that they must never wait behind the
    configuration, which is large.
    """

    CONFIGURATION = 'configuration'
    ENTRIES = 'entries'


class Record(msgspec.Struct, frozen=True, array_like=True):
    """The last known write to one key of the store.

    Attributes:
        key: The key.
        revision: The store's revision of the write.
        content: The bytes that were written, empty for a deletion.
        deleted: Whether the key was deleted.
    """

    key: str
    revision: int
    content: bytes = b''
    deleted: bool = False


@attrs.define
class RecordTable:
    """The newest known record of each key.

    Its position, the era of the store and the revision within that era, never
    goes down. All records in it are of one era.

    Attributes:
        records: The records by key, including deleted ones.
        era: How often the store had been restored from an older copy. A
            restored store gives out revisions again, so revisions of
            different eras can't be compared.
        complete_revision: All changes up to this revision have been applied.
        newest_revision: The greatest revision of a change that is known, or
            that a list may have hidden.
        deletions_dropped_to: Deletions up to this revision may be missing,
            because only a bounded number is kept, or because the records were
            listed, which shows no deletions.
    """

    records: dict[str, Record] = attrs.field(factory=dict)
    era: int = 0
    complete_revision: int = 0
    newest_revision: int = 0
    deletions_dropped_to: int = 0

    @property
    def content_revision(self) -> int:
        """The revision of the last change that the table is complete for.

        A table that is complete up to here lacks nothing that this one holds,
        however many changes of other topics the store has counted since.
        """
        return min(self.newest_revision, self.complete_revision)

    def is_before(self, era: int, revision: int) -> bool:
        """Returns whether the table lacks changes up to a position."""
        return (self.era, self.complete_revision) < (era, revision)

    def since(self, revision: int) -> list[Record]:
        """Returns the records written after a revision, oldest first."""
        changed = (
            record
            for record in self.records.values()
            if record.revision > revision
        )
        return sorted(changed, key=lambda record: record.revision)

    def has_deletions_since(self, revision: int) -> bool:
        """Returns whether `since` is complete for a revision.

        It isn't if deletions after that revision were dropped.
        """
        return revision >= self.deletions_dropped_to

    def apply(self, records: Iterable[Record]) -> list[Record]:
        """Applies the records that are newer than those in the table.

        Returns:
            The records that were applied.
        """
        applied = []
        for record in records:
            previous = self.records.get(record.key)
            if previous is None or previous.revision < record.revision:
                self.records[record.key] = record
                applied.append(record)
        newest = max((one.revision for one in applied), default=0)
        self.newest_revision = max(self.newest_revision, newest)
        self._drop_old_deletions()
        return applied

    def confirm(self, revision: int) -> None:
        """Records that all changes up to a revision were applied."""
        self.complete_revision = max(self.complete_revision, revision)

    def replace(
        self, existing: Iterable[Record], since: int, era: int = 0
    ) -> list[Record]:
        """Applies a list of all records that exist in the store.

        Args:
            existing: The records.
            since: The store's revision when reading the list began. Later
                writes may be missing from the list.
            era: The era in which the list was read. A list of an earlier era
                or revision than the table's is passed over.

        Returns:
            The records that changed, with deletions for those not listed.
        """
        listed = {record.key: record for record in existing}
        if (era, since) < (self.era, self.complete_revision):
            # It may list what was deleted since, of which nothing is kept.
            return []
        if era > self.era:
            return self._begin_era(listed, since, era)
        if since > self.complete_revision:
            # Records that came and went since then were never held here, but
            # another daemon may hold them.
            self.deletions_dropped_to = since
            self.newest_revision = max(self.newest_revision, since)
        missing = [
            Record(key, since, deleted=True)
            for key, held in self.records.items()
            if key not in listed and held.revision <= since and not held.deleted
        ]
        for deletion in missing:
            self.records[deletion.key] = deletion
        changed = [*missing, *self.apply(listed.values())]
        self.confirm(since)
        return changed

    def _begin_era(
        self, listed: dict[str, Record], since: int, era: int
    ) -> list[Record]:
        held = {
            key: record
            for key, record in self.records.items()
            if not record.deleted
        }
        self.records = listed
        self.era = era
        self.complete_revision = since
        self.newest_revision = since
        self.deletions_dropped_to = since
        missing = [
            Record(key, since, deleted=True)
            for key in held
            if key not in listed
        ]
        changed = [
            record
            for key, record in listed.items()
            if key not in held or held[key].content != record.content
        ]
        return [*missing, *changed]

    def _drop_old_deletions(self) -> None:
        deleted = [held for held in self.records.values() if held.deleted]
        if len(deleted) <= MAX_DELETED:
            return
        deleted.sort(key=lambda record: record.revision)
        for record in deleted[: len(deleted) - MAX_DELETED // 2]:
            self.deletions_dropped_to = max(
                self.deletions_dropped_to, record.revision
            )
            del self.records[record.key]
