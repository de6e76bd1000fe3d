"""The ways in which releases reach a daemon."""

from collections.abc import Callable
from typing import Protocol, TypeVar

import attrs

from egretlanding.hosts import Host
from egretlanding.replica import Replica

MODES: dict[str, type['Mode']] = {}

DEFAULT_MODE = 'exchange'

Registered = TypeVar('Registered', bound='type[Mode]')


def mode(name: str) -> Callable[[Registered], Registered]:
    """Registers a way to distribute under the name used in settings."""

    def register(cls: Registered) -> Registered:
        MODES[name] = cls
        return cls

    return register


class Mode(Protocol):
    """Says with whom and when a daemon talks."""

    def __init__(self, replica: Replica) -> None:
        """Stores the policy that decides."""

    def next_exchanges(self, now: float) -> tuple[Host, ...]:
        """Takes the exchanges that are due off the schedule."""

    def should_watch(self, now: float) -> bool:
        """Returns whether to read the store's head now."""

    def should_read_hosts(self, now: float, link_silent_s: float) -> bool:
        """Returns whether to read the host list from the store now.

        Args:
            now: The time, seconds.
            link_silent_s: Time since an exchange with another region, s.
        """

    def is_ready(self, now: float) -> bool:
        """Returns whether the daemon may serve calls."""


@mode(DEFAULT_MODE)
@attrs.frozen
class ExchangeMode:
    """A few daemons watch the store; the others learn from each other.

    Outside the store's region even watchers get the host list from daemons
    of the other region, because a change of it is far smaller than the list
    that the store would send. They read the list only when they have none or
    when the exchange with the other region has been silent for long.

    Attributes:
        replica: The policy that decides.
    """

    replica: Replica

    def next_exchanges(self, now: float) -> tuple[Host, ...]:
        """Takes the exchanges that are due off the schedule."""
        return self.replica.next_exchanges(now)

    def should_watch(self, now: float) -> bool:
        """Returns whether to read the store's head now."""
        return self.replica.should_watch(now)

    def should_read_hosts(self, now: float, link_silent_s: float) -> bool:
        """Returns whether to read the host list from the store now."""
        replica = self.replica
        on_duty = replica.duty.should_watch(now, replica.freshness)
        if not on_duty or not replica.reads.available(now):
            return False
        if not replica.config.fetch_delay:
            return True
        limit_s = LINK_SILENT_S if replica.membership.hosts.revision else 0
        return link_silent_s > max(limit_s, FIRST_LIST_S)

    def is_ready(self, now: float) -> bool:
        """Returns whether the daemon may serve calls."""
        return self.replica.is_ready(now)


@mode('direct')
@attrs.frozen
class DirectMode:
    """Every daemon watches the store itself; the baseline to measure with.

    Attributes:
        replica: The policy that decides.
    """

    replica: Replica

    def next_exchanges(self, now: float) -> tuple[Host, ...]:
        """Returns nothing, because daemons don't talk to each other."""
        return ()

    def should_watch(self, now: float) -> bool:
        """Returns whether the read budget allows a read."""
        return self.replica.reads.may_attempt(now)

    def should_read_hosts(self, now: float, link_silent_s: float) -> bool:
        """Returns whether the read budget allows a read."""
        return bool(self.replica.reads.available(now))

    def is_ready(self, now: float) -> bool:
        """Returns whether a release and a host list are held."""
        held = self.replica.ledger.position.number
        return bool(held and self.replica.membership.hosts.revision)


LINK_SILENT_S = 60
FIRST_LIST_S = 3
