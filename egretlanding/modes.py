"""Distribution modes: the ways in which releases reach a daemon."""

from collections.abc import Callable
from typing import Protocol, TypeVar

import attrs

from egretlanding.hosts import Host
from egretlanding.replica import Replica

MODES: dict[str, type['DistributionMode']] = {}

DEFAULT_MODE = 'exchange'
# Time without an exchange with another region after which a daemon may read
# the whole host list from the store, seconds.
MAX_LINK_SILENCE_S = 60

ModeClass = TypeVar('ModeClass', bound='type[DistributionMode]')


def mode(name: str) -> Callable[[ModeClass], ModeClass]:
    """Registers a distribution mode under its name in the settings.

    Args:
        name: The name.
    """

    def register(cls: ModeClass) -> ModeClass:
        MODES[name] = cls
        return cls

    return register


class DistributionMode(Protocol):
    """Decides when a daemon reads the store and exchanges with others."""

    def __init__(self, replica: Replica) -> None:
        """Stores the replica, which holds the state to decide by."""

    def next_exchanges(self, now: float) -> tuple[Host, ...]:
        """Removes the exchanges now due from the schedule.

        Returns:
            The hosts to exchange with.
        """

    def should_watch(self, now: float) -> bool:
        """Returns whether to read the head from the store now."""

    def should_read_hosts(self, now: float) -> bool:
        """Returns whether to ask the store for the host list now."""

    def may_read_host_list(self, link_silent_s: float) -> bool:
        """Returns whether the whole host list may be read from the store.

        Args:
            link_silent_s: Time since the last exchange with another region,
                seconds.
        """

    def parts_delay(self) -> float:
        """Returns the wait for a delta before parts are read, seconds."""

    def is_ready(self, now: float) -> bool:
        """Returns whether the daemon may serve calls."""


@mode(DEFAULT_MODE)
@attrs.frozen
class ExchangeMode:
    """A few daemons watch the store; the others get releases by exchanges.

    Outside the store's region even watchers get changes of the host list by
    exchanges with daemons of other regions, because a change is far smaller
    than the whole list that the store would send. They ask the store only
    for the revision of the list, unless there has been no exchange with
    another region for `MAX_LINK_SILENCE_S`.

    Attributes:
        replica: The replica, which decides on reads and exchanges.
    """

    replica: Replica

    def next_exchanges(self, now: float) -> tuple[Host, ...]:
        """Removes the exchanges now due from the schedule.

        Returns:
            The hosts to exchange with.
        """
        return self.replica.next_exchanges(now)

    def should_watch(self, now: float) -> bool:
        """Returns whether to read the head from the store now."""
        return self.replica.should_watch(now)

    def should_read_hosts(self, now: float) -> bool:
        """Returns whether to ask the store for the host list now."""
        replica = self.replica
        on_duty = replica.should_read_release(now)
        return on_duty and bool(replica.read_budget.available(now))

    def may_read_host_list(self, link_silent_s: float) -> bool:
        """Returns whether the whole host list may be read from the store."""
        is_store_near = not self.replica.config.parts_delay
        return is_store_near or link_silent_s > MAX_LINK_SILENCE_S

    def parts_delay(self) -> float:
        """Returns the wait for a delta before parts are read, seconds."""
        return self.replica.config.parts_delay

    def is_ready(self, now: float) -> bool:
        """Returns whether the daemon may serve calls."""
        return self.replica.is_ready(now)


@mode('direct')
@attrs.frozen
class DirectMode:
    """Every daemon watches the store itself; a baseline for measurements.

    Attributes:
        replica: The replica, which holds the read budget.
    """

    replica: Replica

    def next_exchanges(self, now: float) -> tuple[Host, ...]:
        """Returns no hosts, because the daemons exchange nothing."""
        return ()

    def should_watch(self, now: float) -> bool:
        """Returns whether the read budget allows an attempt to read."""
        return self.replica.read_budget.may_attempt(now)

    def should_read_hosts(self, now: float) -> bool:
        """Returns whether the read budget allows a read."""
        return bool(self.replica.read_budget.available(now))

    def may_read_host_list(self, link_silent_s: float) -> bool:
        """Returns true, because the host list is always read whole."""
        return True

    def parts_delay(self) -> float:
        """Returns zero, because no daemon sends deltas."""
        return 0

    def is_ready(self, now: float) -> bool:
        """Returns whether the daemon holds a release and a host list."""
        release_number = self.replica.releases.position.number
        return bool(release_number and self.replica.membership.hosts.revision)
