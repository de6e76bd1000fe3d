"""The records of a store that can only be read, as a daemon knows them."""

from collections.abc import Iterable

import attrs
import msgspec

MAX_DELETED = 4_096


class Record(msgspec.Struct, frozen=True, array_like=True):
    """One key of the store as it was written last.

    Attributes:
        key: The key.
        revision: The store's revision at which it was written.
        content: The bytes that were written, empty if it was deleted.
        deleted: Whether it was deleted.
    """

    key: str
    revision: int
    content: bytes = b''
    deleted: bool = False


@attrs.define
class RecordTable:
    """The newest known record of each key; revisions only go up.

    Attributes:
        records: The records by key, deleted ones among them.
        complete_to: All changes up to this revision are in the table.
        forgotten_to: Deletions up to this revision may be missing.
    """

    records: dict[str, Record] = attrs.field(factory=dict)
    complete_to: int = 0
    forgotten_to: int = 0

    def since(self, revision: int) -> list[Record]:
        """Returns the records written after a revision, in order."""
        changed = (
            record
            for record in self.records.values()
            if record.revision > revision
        )
        return sorted(changed, key=lambda record: record.revision)

    def can_continue(self, revision: int) -> bool:
        """Tells whether `since` misses no deletion after a revision."""
        return revision >= self.forgotten_to

    def apply(self, records: Iterable[Record]) -> list[Record]:
        """Takes over records that are newer than the known ones.

        Returns:
            The records that were taken over.
        """
        taken = []
        for record in records:
            known = self.records.get(record.key)
            if known is None or known.revision < record.revision:
                self.records[record.key] = record
                taken.append(record)
        self._forget_deleted()
        return taken

    def confirm(self, revision: int) -> None:
        """Records that all changes up to a revision were taken over."""
        self.complete_to = max(self.complete_to, revision)

    def replace(self, found: Iterable[Record], since: int) -> list[Record]:
        """Takes over a list of all records that exist.

        Args:
            found: The records.
            since: The store's revision when reading the list began; what
                was written later may be missing from it.

        Returns:
            The records that changed, with deletions for missing ones.
        """
        listed = {record.key: record for record in found}
        missing = [
            Record(key, since, deleted=True)
            for key, known in self.records.items()
            if key not in listed
            and known.revision <= since
            and not known.deleted
        ]
        for deletion in missing:
            self.records[deletion.key] = deletion
        changed = [*missing, *self.apply(listed.values())]
        self.confirm(since)
        return changed

    def _forget_deleted(self) -> None:
        deleted = [each for each in self.records.values() if each.deleted]
        if len(deleted) <= MAX_DELETED:
            return
        deleted.sort(key=lambda record: record.revision)
        for record in deleted[: len(deleted) - MAX_DELETED // 2]:
            self.forgotten_to = max(self.forgotten_to, record.revision)
            del self.records[record.key]
