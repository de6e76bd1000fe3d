"""What a daemon that reads a store of records needs of the platform."""

from typing import Protocol

import attrs

from egretlanding.dialect import Dialect
from egretlanding.publication import Publication
from egretlanding.recordfeed import RecordStore
from egretlanding.records import Record
from egretlanding.roster import TargetEntry


class Decoder(Protocol):
    """Decodes the records of a store; raises PlatformError."""

    def is_publication(self, record: Record) -> bool:
        """Tells whether a record holds the configuration."""

    def target_of(self, record: Record) -> str:
        """Returns the target that a record is the entry of, or nothing."""

    def decode_publication(self, record: Record) -> Publication:
        """Decodes the configuration."""

    def decode_entry(self, record: Record) -> TargetEntry:
        """Decodes the entry of a target."""


@attrs.frozen
class Surroundings:
    """What a daemon runs in.

    Attributes:
        dialect: The names of the HTTP headers.
        store: The store of records.
        decoder: Decodes the records.
        readiness_path: The path that is asked whether the daemon is ready.
    """

    dialect: Dialect
    store: RecordStore
    decoder: Decoder
    readiness_path: str
