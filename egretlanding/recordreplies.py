"""Packs the records that one daemon sends to another."""

import zlib

import attrs
import msgspec

from egretlanding.frames import RecordsRequest, RecordsState, RecordsUpdate
from egretlanding.records import Record, RecordTable
from egretlanding.release import inflate

# Most bytes that the records of one frame may decompress to.
MAX_UNPACKED_BYTES = 4_000_000


@attrs.define
class RecordReplies:
    """Replies with the records that other daemons lack, cached if possible.

    Attributes:
        cache: Replies for one position, by the request.
        position: That position: the era, and the last change in it.
    """

    cache: dict[RecordsRequest, RecordsUpdate] = attrs.field(factory=dict)
    position: tuple[int | None, int | None] = (None, None)

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
        reply = self.cache.get(frame)
        if reply is None:
            reply = pack_reply(frame, table, state)
            self.cache[frame] = reply
        return msgspec.structs.replace(
            reply, revision=state.revision, age_ms=state.age_ms
        )


def pack_reply(
    frame: RecordsRequest, table: RecordTable, state: RecordsState
) -> RecordsUpdate:
    """Packs the records that another daemon lacks.

    All records are sent if deletions after its revision may have been dropped
    here, or if that daemon has no records, those of another era or those of an
    era that it does not name.
    """
    send_all = (
        not table.has_deletions_since(frame.after)
        or not frame.after
        or frame.era != state.era
    )
    records = table.since(0 if send_all else frame.after)
    if send_all:
        records = [record for record in records if not record.deleted]
    return RecordsUpdate(
        state.revision,
        state.age_ms,
        zlib.compress(msgspec.msgpack.encode(records)),
        send_all,
        state.era,
        state.topic,
    )


def unpack(update: RecordsUpdate) -> list[Record]:
    """Returns the records that another daemon sent.

    Raises:
        ReleaseError: The bytes are corrupt or too many.
        MsgspecError: They aren't records.
    """
    unpacked = inflate(update.packed, MAX_UNPACKED_BYTES)
    return msgspec.msgpack.decode(unpacked, type=list[Record])
