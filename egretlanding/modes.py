"""The ways in which releases reach a daemon."""

from collections.abc import Callable
from typing import Protocol, TypeVar

import attrs

from egretlanding.hosts import Host
from egretlanding.replica import Replica

MODES: dict[str, type['Mode']] = {}

DEFAULT_MODE = 'exchange'
LINK_SILENT_S = 60

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

    def should_read_hosts(self, now: float) -> bool:
        """Returns whether to ask the store for the host list now."""

    def wants_list(self, link_silent_s: float) -> bool:
        """Returns whether a changed host list may be read as a whole.

        Args:
            link_silent_s: Time since an exchange with another region, s.
        """

    def fetch_delay(self) -> float:
        """Returns how long to wait for a delta before reading parts, s."""

    def is_ready(self, now: float) -> bool:
        """Returns whether the daemon may serve calls."""


@mode(DEFAULT_MODE)
@attrs.frozen
class ExchangeMode:
    """A few daemons watch the store; the others learn from each other.

    Outside the store's region even watchers get the host list from daemons
    of the other region, because a change of it is far smaller than the list
    that the store would send. They ask the store only for its revision,
    unless the exchange with the other region has been silent for long.

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

    def should_read_hosts(self, now: float) -> bool:
        """Returns whether to ask the store for the host list now."""
        replica = self.replica
        on_duty = replica.should_read_release(now)
        return on_duty and bool(replica.reads.available(now))

    def wants_list(self, link_silent_s: float) -> bool:
        """Returns whether a changed host list may be read as a whole."""
        near = not self.replica.config.fetch_delay
        return near or link_silent_s > LINK_SILENT_S

    def fetch_delay(self) -> float:
        """Returns how long to wait for a delta before reading parts, s."""
        return self.replica.config.fetch_delay

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

    def should_read_hosts(self, now: float) -> bool:
        """Returns whether the read budget allows a read."""
        return bool(self.replica.reads.available(now))

    def wants_list(self, link_silent_s: float) -> bool:
        """Returns that the list is always read as a whole."""
        return True

    def fetch_delay(self) -> float:
        """Returns that nobody sends deltas to wait for."""
        return 0

    def is_ready(self, now: float) -> bool:
        """Returns whether a release and a host list are held."""
        held = self.replica.ledger.position.number
        return bool(held and self.replica.membership.hosts.revision)
