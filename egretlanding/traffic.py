"""Counts the bytes of the control exchange by class of link."""

import enum

import attrs

from egretlanding.hosts import Host


class LinkClass(enum.StrEnum):
    """The class of a link, by the widest boundary between its two hosts."""

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
        same_domain = other.failure_domain == host.failure_domain
        return cls.FAILURE_DOMAIN if same_domain else cls.REGION


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

    def add_to_class(self, count: ByteCount, link: LinkClass) -> ByteCount:
        """Adds bytes that were counted separately to a link class.

        Args:
            count: Bytes that were counted before the class was known.
            link: The link class.

        Returns:
            The count of the class, for further bytes of the connection.
        """
        total = self.counts[link]
        total.sent += count.sent
        total.received += count.received
        return total
