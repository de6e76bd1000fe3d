"""The report of a daemon on the release that it has in force."""

import attrs
import msgspec

from egretlanding.exceptions import AdminError


@attrs.frozen
class RefusedRelease:
    """A release that a daemon refuses to apply.

    Attributes:
        number: The number that operators gave the release; zero if its
            head can't be decoded.
        digest: The release's digest.
        reason: Why it was refused, with the remedy.
    """

    number: int
    digest: str
    reason: str


@attrs.frozen
class ReleaseConflict:
    """Two different releases that claim one number or one parent.

    Attributes:
        number: The number of the release that lost.
        winner: Short digest of the release that stays in force; empty if a
            later release has replaced both.
        loser: Short digest of the release that lost, or of both releases.
        reason: What the two have in common, with the remedy.
    """

    number: int
    winner: str
    loser: str
    reason: str


@attrs.frozen(kw_only=True)
class StatusReport:
    """What one daemon has in force, and how recently that was confirmed.

    Attributes:
        host_id: The id of the host that the daemon runs on.
        region: The region that the host is in.
        failure_domain: The failure domain that the host is in.
        service: The service that the host's target runs.
        incarnation: Start time of the process, ns since the epoch.
        ready: Whether the daemon accepts calls.
        draining: Whether the daemon is stopping gracefully.
        number: Number of the release in force; zero means none.
        digest: Digest of the release in force, or empty.
        revision: The store's revision of the head that announced it.
        parent: Digest of the release that it succeeds, or empty.
        confirmed_age_s: Time since a watcher last confirmed the release
            against the store's head, s; None if none did.
        hosts_revision: The store's revision of the host list held.
        refused: The releases that the daemon refuses to apply.
        conflicts: The conflicts between releases that it knows of.
    """

    host_id: str
    region: str
    failure_domain: str
    service: str
    incarnation: int
    ready: bool
    draining: bool
    number: int = 0
    digest: str = ''
    revision: int = 0
    parent: str = ''
    confirmed_age_s: float | None = None
    hosts_revision: int = 0
    refused: tuple[RefusedRelease, ...] = ()
    conflicts: tuple[ReleaseConflict, ...] = ()

    @classmethod
    def from_bytes(cls, encoded: bytes) -> 'StatusReport':
        """Decodes a report from JSON.

        Raises:
            AdminError: The bytes aren't a well-formed report.
        """
        try:
            return msgspec.json.decode(encoded, type=cls)
        except (ValueError, RecursionError) as error:
            raise AdminError(
                f'the status report is malformed ({error})',
                'give the address of the admin port of an egretlandingd',
            ) from error

    def to_bytes(self) -> bytes:
        """Encodes the report as JSON."""
        return msgspec.json.encode(self)
