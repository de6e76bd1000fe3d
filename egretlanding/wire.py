"""Converts the messages of the control exchange to and from protobuf."""

import math
import zlib
from collections.abc import Iterable
from typing import Any

from google.protobuf.message import Message

from egretlanding import exchange_pb2
from egretlanding.exceptions import FrameError
from egretlanding.messages import (
    MAX_EVIDENCE,
    HostsUpdate,
    Notice,
    NoticeKind,
    ReleaseUpdate,
    Summary,
)
from egretlanding.notices import MAX_NOTICES_SENT
from egretlanding.release import Position

MS_PER_S = 1_000
# Ten days. Greater ages are sent as `NEVER_MS`, since so old a confirmation is
# as good as none.
MAX_AGE_MS = 864_000_000
NEVER_MS = MAX_AGE_MS + 1
MAX_TEXT_LENGTH = 256


def summary_to_wire(summary: Summary) -> Any:
    """Encodes a summary as a protobuf `Summary`."""
    message = exchange_pb2.Summary(
        host_id=summary.host_id,
        incarnation=summary.incarnation,
        number=summary.position.number,
        revision=summary.position.revision,
        digest=bytes.fromhex(summary.position.digest),
        hosts_revision=summary.hosts_revision,
        confirmed_age_ms=_age_to_wire(summary.confirmed_age),
        attempted_age_ms=_age_to_wire(summary.attempted_age),
        notices=[_notice_to_wire(notice) for notice in summary.notices],
        ready=summary.ready,
        watching=summary.watching,
        hosts_age_ms=_age_to_wire(summary.hosts_age),
    )
    message.checksum = _checksum_of(message)
    return message


def summary_from_wire(message: Any) -> Summary:
    """Decodes a protobuf `Summary`.

    Notices of kinds that this version doesn't support are dropped.

    Raises:
        FrameError: The message is corrupt, has no host id, or has a text
            that is too long.
    """
    if message.checksum != _checksum_of(message):
        raise FrameError(
            'a summary is corrupt',
            'check the network between the hosts; it will be sent again',
        )
    if not message.host_id:
        raise FrameError(
            'a summary names no sender',
            'run the same version of the daemon on all hosts',
        )
    _check_lengths([message.host_id])
    return Summary(
        host_id=message.host_id,
        incarnation=message.incarnation,
        position=Position(
            message.number,
            message.revision,
            message.digest.hex(),
        ),
        hosts_revision=message.hosts_revision,
        confirmed_age=_age_from_wire(message.confirmed_age_ms),
        attempted_age=_age_from_wire(message.attempted_age_ms),
        notices=tuple(
            _notice_from_wire(notice)
            for notice in message.notices[:MAX_NOTICES_SENT]
            if notice.kind in set(NoticeKind)
        ),
        ready=message.ready,
        watching=message.watching,
        hosts_age=_age_from_wire(message.hosts_age_ms),
    )


def release_update_to_wire(update: ReleaseUpdate) -> Any:
    """Encodes a release update as a protobuf `ReleaseReply`."""
    return exchange_pb2.ReleaseReply(
        header=update.header,
        revision=update.revision,
        base_digest=bytes.fromhex(update.base_digest),
        payload=update.payload,
    )


def release_update_from_wire(message: Any) -> ReleaseUpdate:
    """Decodes a protobuf `ReleaseReply`."""
    return ReleaseUpdate(
        header=message.header,
        revision=message.revision,
        base_digest=message.base_digest.hex(),
        payload=message.payload,
    )


def hosts_update_to_wire(update: HostsUpdate) -> Any:
    """Encodes a host list update as a protobuf `HostsReply`."""
    return exchange_pb2.HostsReply(
        revision=update.revision,
        base_revision=update.base_revision,
        payload=update.payload,
    )


def hosts_update_from_wire(message: Any) -> HostsUpdate:
    """Decodes a protobuf `HostsReply`."""
    return HostsUpdate(
        revision=message.revision,
        base_revision=message.base_revision,
        payload=message.payload,
    )


def _checksum_of(message: Any) -> int:
    without_checksum = exchange_pb2.Summary()
    without_checksum.CopyFrom(message)
    without_checksum.ClearField('checksum')
    return zlib.crc32(without_checksum.SerializeToString(deterministic=True))


def _notice_to_wire(notice: Notice) -> Message:
    return exchange_pb2.Notice(
        kind=notice.kind.value,
        subject=notice.subject,
        incarnation=notice.incarnation,
        ttl_ms=max(0, math.floor(notice.ttl * MS_PER_S)),
        evidence=notice.evidence,
    )


def _notice_from_wire(message: Any) -> Notice:
    _check_lengths([message.subject, *message.evidence])
    return Notice(
        kind=NoticeKind(message.kind),
        subject=message.subject,
        incarnation=message.incarnation,
        ttl=message.ttl_ms / MS_PER_S,
        evidence=tuple(message.evidence[:MAX_EVIDENCE]),
    )


def _check_lengths(texts: Iterable[str]) -> None:
    longest = max(map(len, texts))
    if longest > MAX_TEXT_LENGTH:
        raise FrameError(
            f'a summary has a text of {longest} characters',
            f'use names of at most {MAX_TEXT_LENGTH} characters',
        )


def _age_to_wire(age: float) -> int:
    # Rounded up, so that the sent age is never too small.
    return NEVER_MS if math.isinf(age) else _clamped(math.ceil(age * MS_PER_S))


def _clamped(age_ms: int) -> int:
    return min(NEVER_MS, max(0, age_ms))


def _age_from_wire(age_ms: int) -> float:
    return math.inf if age_ms > MAX_AGE_MS else age_ms / MS_PER_S
