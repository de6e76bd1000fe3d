"""Bytes of the control exchange, counted by how far they go."""

import enum

import attrs

from egretlanding.hosts import Host


class LinkClass(enum.StrEnum):
    """How far two hosts are from each other."""

    FAILURE_DOMAIN = 'failure_domain'
    REGION = 'region'
    REMOTE = 'remote'
    UNKNOWN = 'unknown'

    @classmethod
    def between(cls, host: Host, other: Host | None) -> 'LinkClass':
        """Returns the class of the link between two hosts."""
        if other is None:
            return cls.UNKNOWN
        if other.region != host.region:
            return cls.REMOTE
        near = other.failure_domain == host.failure_domain
        return cls.FAILURE_DOMAIN if near else cls.REGION


@attrs.define
class ByteCount:
    """Bytes in both directions.

    Attributes:
        sent: Bytes sent.
        received: Bytes received.
    """

    sent: int = 0
    received: int = 0


@attrs.define
class Traffic:
    """The bytes of one daemon by link class.

    Attributes:
        counts: Bytes by link class.
    """

    counts: dict[LinkClass, ByteCount] = attrs.field(
        factory=lambda: {link: ByteCount() for link in LinkClass},
    )

    def move(self, count: ByteCount, link: LinkClass) -> ByteCount:
        """Adds a count to a class.

        Args:
            count: Bytes that were counted before their class was known.
            link: The class.

        Returns:
            The count of the class, to go on with.
        """
        total = self.counts[link]
        total.sent += count.sent
        total.received += count.received
        return total
