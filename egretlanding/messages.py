"""The typed messages that daemons exchange to distribute configuration."""

import enum
import math

import attrs

from egretlanding.release import Position

MAX_EVIDENCE = 8


class NoticeKind(enum.StrEnum):
    """The kinds of notices, short-lived facts that daemons forward."""

    LEAVING = 'leaving'
    RETURNED = 'returned'
    SUSPECT = 'suspect'
    QUARANTINED = 'quarantined'
    CLEARED = 'cleared'
    REFUSED = 'refused'
    CONFLICT = 'conflict'


@attrs.frozen
class Notice:
    """A short-lived fact about a host, a kind of call or a release.

    Attributes:
        kind: The kind of fact.
        subject: Id of the host, signature of the call, or number and digest
            of the release.
        incarnation: Incarnation of the host that the notice is about, or 0.
        ttl: Remaining lifetime, seconds.
        evidence: Hosts or texts that support the notice.
    """

    kind: NoticeKind
    subject: str
    incarnation: int = 0
    ttl: float = 0
    evidence: tuple[str, ...] = ()


@attrs.frozen
class Summary:
    """What a daemon holds, as it reports to other daemons.

    Attributes:
        host_id: The sender's host.
        incarnation: Start time of the sending process, ns since the epoch.
        position: Position of the release in force.
        hosts_revision: The store's revision of the host list held.
        confirmed_age: Time since a watcher last confirmed the release held
            against the store's head, seconds.
        attempted_age: Time since any watcher last tried to read the store,
            seconds.
        notices: Notices to forward.
        ready: Whether the sender is ready to serve calls.
        watching: Whether the sender itself reached the store recently.
        hosts_age: Time since the host list held was last known to be the
            latest, seconds.
    """

    host_id: str
    incarnation: int
    position: Position
    hosts_revision: int
    confirmed_age: float
    attempted_age: float
    notices: tuple[Notice, ...] = ()
    ready: bool = False
    watching: bool = False
    hosts_age: float = math.inf


@attrs.frozen
class PullDecision:
    """What a daemon should request from the sender of a summary.

    Attributes:
        pull_release: Whether the sender holds a later release.
        pull_hosts: Whether the sender holds a later host list.
    """

    pull_release: bool
    pull_hosts: bool


@attrs.frozen
class ReleaseUpdate:
    """A release, either complete or as the changes since a base.

    Attributes:
        header: Canonical JSON of number, parent and digest.
        revision: The store's revision of the head that announced it.
        base_digest: Digest of the base, or empty for a complete release.
        payload: Compressed changed objects and removed keys.
    """

    header: bytes
    revision: int
    base_digest: str
    payload: bytes


@attrs.frozen
class HostsUpdate:
    """A host list, either complete or as the changes since a base.

    Attributes:
        revision: The store's revision of the list.
        base_revision: Revision of the base, or 0 for a complete list.
        payload: Compressed changed hosts, removed ids and the digest.
    """

    revision: int
    base_revision: int
    payload: bytes
