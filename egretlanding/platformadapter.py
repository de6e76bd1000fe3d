"""Interface to the platform for a daemon that reads a store of records."""

from typing import Protocol

import attrs

from egretlanding.answerbuffers import AnswerBuffers
from egretlanding.dialect import Dialect
from egretlanding.publication import Publication
from egretlanding.recordfeed import RecordStore
from egretlanding.records import Record
from egretlanding.roster import TargetEntry


class Decoder(Protocol):
    """Decodes the records of a store.

    Decoding raises PlatformError if a record is malformed.
    """

    def is_publication(self, record: Record) -> bool:
        """Returns whether a record holds a publication."""

    def target_of_entry(self, record: Record) -> str:
        """Returns the target whose roster entry a record holds, or ''."""

    def domain_of_evacuation(self, record: Record) -> str:
        """Returns the failure domain whose evacuation a record is, or ''."""

    def decode_publication(self, record: Record) -> Publication:
        """Decodes a publication."""

    def decode_entry(self, record: Record) -> TargetEntry:
        """Decodes the roster entry of a target."""


@attrs.frozen
class PlatformAdapter:
    """The parts of a daemon that depend on the platform.

    Attributes:
        dialect: The names of the HTTP headers.
        store: The store of records.
        decoder: Decodes the records of the store.
        readiness_path: Path at which the daemon answers readiness checks.
        store_answers: The answers of the store that are arriving.
    """

    dialect: Dialect
    store: RecordStore
    decoder: Decoder
    readiness_path: str
    store_answers: AnswerBuffers = attrs.field(factory=AnswerBuffers)
