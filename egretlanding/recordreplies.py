"""Packs the records that one daemon sends to another."""

import zlib
from collections.abc import Iterable

import attrs
import msgspec

from egretlanding.difference import decode_difference, encode_difference
from egretlanding.events import Event, Severity, log_event
from egretlanding.exceptions import ReleaseError
from egretlanding.frames import RecordsRequest, RecordsState, RecordsUpdate
from egretlanding.records import Record, RecordTable
from egretlanding.release import inflate

# Most bytes that the records of one frame may decompress to.
MAX_UNPACKED_BYTES = 4_000_000
# Most bytes of a record without its content.
MAX_RECORD_HEAD_BYTES = 256
# Records smaller than this are sent as they are, bytes.
MIN_BASE_BYTES = 2_048
# Most bytes of earlier contents that are kept as bases.
MAX_BASES_BYTES = 1_000_000


@attrs.define
class RecordReplies:
    """Replies with the records that other daemons lack, cached if possible.

    Attributes:
        cache: Replies for one position, by the request.
        position: That position: the era, and the last change in it.
        bases: Contents of large records by era and revision, the newest last.
    """

    cache: dict[RecordsRequest, RecordsUpdate] = attrs.field(factory=dict)
    position: tuple[int | None, int | None] = (None, None)
    bases: dict[tuple[int, int], bytes] = attrs.field(factory=dict)

    def keep(self, changed: Iterable[Record], era: int) -> None:
        """Keeps the contents of large records as bases of differences.

        Args:
            changed: The records.
            era: The era of the store in which they were written.
        """
        for record in changed:
            if len(record.content) >= MIN_BASE_BYTES:
                self.bases[era, record.revision] = record.content
        size = sum(map(len, self.bases.values()))
        while size > MAX_BASES_BYTES and len(self.bases) > 1:
            size -= len(self.bases.pop(next(iter(self.bases))))

    def reply_to(
        self, frame: RecordsRequest, table: RecordTable, state: RecordsState
    ) -> RecordsUpdate:
        """Returns the records that another daemon lacks.

        Args:
            frame: The request.
            table: The records held here.
            state: The state of this daemon's records.
        """
        position = (state.era, state.newest)
        if position != self.position:
            self.cache.clear()
            self.position = position
        wanted = msgspec.structs.replace(frame, stamp=0)
        reply = self.cache.get(wanted)
        if reply is None:
            base = self.base_for(frame, table)
            reply = pack_reply(frame, table, state, base)
            self.cache[wanted] = reply
        return msgspec.structs.replace(
            reply,
            revision=state.revision,
            age_ms=state.age_ms,
            echo=frame.stamp,
        )

    def base_for(self, frame: RecordsRequest, table: RecordTable) -> bytes:
        """Returns the content that a request names as its base, or nothing."""
        if not frame.base or frame.era != table.era:
            return b''
        kept = self.bases.get((table.era, frame.base), b'')
        return kept or find_content(table, frame.base)


def pack_reply(
    frame: RecordsRequest,
    table: RecordTable,
    state: RecordsState,
    base: bytes,
) -> RecordsUpdate:
    """Packs the records that another daemon lacks.

    All records are sent if deletions after its revision may have been dropped
    here, or if that daemon has no records, those of another era or those of an
    era that it does not name.

    Args:
        frame: The request.
        table: The records held here.
        state: The state of this daemon's records.
        base: The content at the request's base, empty if it isn't kept.
    """
    send_all = (
        not table.has_deletions_since(frame.after)
        or not frame.after
        or frame.era != state.era
    )
    records = table.since(0 if send_all else frame.after)
    if send_all:
        records = [record for record in records if not record.deleted]
    encoded = msgspec.msgpack.encode(without_longest(records))
    has_base = bool(base)
    return RecordsUpdate(
        state.revision,
        state.age_ms,
        encode_difference(encoded, base)
        if has_base
        else zlib.compress(encoded),
        send_all,
        state.era,
        state.topic,
        frame.base if has_base else 0,
    )


def without_longest(records: list[Record]) -> list[Record]:
    """Leaves out the longest contents until one frame can hold all records.

    Entries of targets are short, so contents that don't fit together are of
    other writers, whose records name no target with or without their contents.
    """
    head_bytes = MAX_RECORD_HEAD_BYTES * len(records)
    excess = head_bytes - MAX_UNPACKED_BYTES
    excess += sum(map(content_length, records))
    emptied = set()
    for longest in sorted(records, key=content_length, reverse=True):
        if excess <= 0:
            break
        excess -= content_length(longest)
        emptied.add(longest.key)
    if emptied:
        log_event(
            Event.RECORDS_SHORTENED,
            'records are too long to be sent to other daemons',
            Severity.WARNING,
            records=len(records),
            without_content=len(emptied),
        )
    return [
        msgspec.structs.replace(record, content=b'')
        if record.key in emptied
        else record
        for record in records
    ]


def content_length(record: Record) -> int:
    """Returns the length of a record's content, bytes."""
    return len(record.content)


def base_of(table: RecordTable) -> int:
    """Returns the revision of the largest record, 0 if all are small."""
    large = (
        (len(record.content), record.revision)
        for record in table.records.values()
        if len(record.content) >= MIN_BASE_BYTES
    )
    return max(large, default=(0, 0))[1]


def unpack(update: RecordsUpdate, table: RecordTable) -> list[Record]:
    """Returns the records that another daemon sent.

    Args:
        update: The frame that carries them.
        table: The records held here, one of which may be the base.

    Raises:
        ReleaseError: The bytes are corrupt or too many, or the base isn't held.
        MsgspecError: They aren't records.
    """
    if update.base:
        base = find_base(update, table)
        unpacked = decode_difference(update.packed, base, MAX_UNPACKED_BYTES)
    else:
        unpacked = inflate(update.packed, MAX_UNPACKED_BYTES)
    return msgspec.msgpack.decode(unpacked, type=list[Record])


def find_base(update: RecordsUpdate, table: RecordTable) -> bytes:
    """Returns the content that a difference is based on.

    Raises:
        ReleaseError: It isn't held, or is of another era.
    """
    base = find_content(table, update.base) if update.era == table.era else b''
    if not base:
        raise ReleaseError(
            f'a difference is based on revision {update.base}, which is not '
            'held here any more',
            'none; the daemon requests the records again',
        )
    return base


def find_content(table: RecordTable, revision: int) -> bytes:
    """Returns the content of the record at a revision, empty if none is held.

    A deletion that a list implies may have the revision of another record.
    """
    contents = (
        record.content
        for record in table.records.values()
        if record.revision == revision and record.content
    )
    return next(contents, b'')
