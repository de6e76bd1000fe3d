"""The typed messages of the control exchange between daemons."""

import enum
import math

import attrs

from egretlanding.release import Position

MAX_EVIDENCE = 8


class NoticeKind(enum.StrEnum):
    """The kinds of short-lived facts that daemons pass on."""

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
        subject: The host's id, the call's signature or the release.
        incarnation: Incarnation of the host that the fact is about, or 0.
        ttl: Remaining lifetime, seconds.
        evidence: Hosts or texts that support the fact.
    """

    kind: NoticeKind
    subject: str
    incarnation: int = 0
    ttl: float = 0
    evidence: tuple[str, ...] = ()


@attrs.frozen
class Summary:
    """What a daemon holds, as it tells other daemons.

    Attributes:
        host_id: The sender's host.
        incarnation: Start time of the sending process, ns since the epoch.
        position: Place of the release in force in the order of releases.
        hosts_revision: The store's revision of the host list held.
        confirmed_age: Time since the store confirmed what is held, seconds.
        attempted_age: Time since any watcher asked the store, seconds.
        notices: Facts to pass on.
        ready: Whether the sender is ready to serve calls.
        watching: Whether the sender itself lately reached the store.
        hosts_age: Time since the host list held was the latest, seconds.
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
class Comparison:
    """What a daemon should pull from the sender of a summary.

    Attributes:
        pull_release: Whether the sender holds a later release.
        pull_hosts: Whether the sender holds a later host list.
    """

    pull_release: bool
    pull_hosts: bool


@attrs.frozen
class ReleaseUpdate:
    """A release as changes against a base, or whole.

    Attributes:
        header: Canonical JSON of number, parent and digest.
        revision: The store's revision of the head that announced it.
        base_digest: Digest of the base, or empty for a whole release.
        payload: Compressed changed objects and removed keys.
    """

    header: bytes
    revision: int
    base_digest: str
    payload: bytes


@attrs.frozen
class HostsUpdate:
    """A host list as changes against a base, or whole.

    Attributes:
        revision: The store's revision of the list.
        base_revision: Revision of the base, or 0 for a whole list.
        payload: Compressed changed hosts, removed ids and the digest.
    """

    revision: int
    base_revision: int
    payload: bytes
