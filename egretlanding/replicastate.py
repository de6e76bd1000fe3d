"""One daemon's state: release in force, host list and age of both."""

import attrs

from egretlanding.budget import ReadBudget
from egretlanding.claims import Claims
from egretlanding.freshness import Freshness
from egretlanding.hosts import Host
from egretlanding.membership import Membership
from egretlanding.messages import Summary
from egretlanding.partners import Partners
from egretlanding.readiness import Readiness
from egretlanding.releasetable import ReleaseTable
from egretlanding.watchers import WatchDuty

PARTS_READ_DELAY_S = 1


@attrs.frozen
class ReplicaConfig:
    """What a replica must know before it receives anything.

    Attributes:
        host: The host that this daemon runs on.
        incarnation: Start time of the process, ns since the epoch.
        seeds: Hosts to exchange summaries with before there is a host list,
            the same for all daemons.
        store_region: Region that the store is in, or empty if unknown.
    """

    host: Host
    incarnation: int
    seeds: tuple[Host, ...] = ()
    store_region: str = ''

    @property
    def parts_delay(self) -> float:
        """How long to wait for a delta before reading parts, seconds.

        The wait is for daemons outside the store's region only. For them a
        delta from the watchers in that region takes less of the link between
        regions than the parts from the store do.
        """
        in_store_region = self.store_region in {'', self.host.region}
        return 0 if in_store_region else PARTS_READ_DELAY_S


@attrs.define
class ReplicaState:
    """The state of one daemon's replica, and queries that don't change it.

    Attributes:
        config: What the daemon knows from its settings.
        releases: The release in force and the recent releases offered.
        membership: The host list and later evidence about its hosts.
        watch_duty: Whether this daemon reads the store.
        read_budget: How often it may read the store.
        partners: The hosts that it exchanges summaries with, and when.
        readiness: Whether it knows enough to serve calls.
        freshness: Upper bounds on the age of what it knows of the store.
        stale: Whether the store's last answer had an older head than the one
            in force.
        claims: The pulls in progress.
        paused_for: Length of the last detected pause, seconds.
    """

    config: ReplicaConfig
    releases: ReleaseTable
    membership: Membership
    watch_duty: WatchDuty
    read_budget: ReadBudget
    partners: Partners
    readiness: Readiness
    freshness: Freshness = attrs.field(factory=Freshness)
    stale: bool = False
    claims: Claims = attrs.field(factory=Claims)
    paused_for: float = 0

    def summary(self, now: float) -> Summary:
        """Returns the summary that this daemon sends to others."""
        return Summary(
            host_id=self.config.host.host_id,
            incarnation=self.config.incarnation,
            position=self.releases.position,
            hosts_revision=self.membership.hosts.revision,
            confirmed_age=self.freshness.confirmed_age(now),
            attempted_age=self.freshness.attempted_age(now),
            notices=self.membership.notices.notices_for_summary(now),
            ready=self.is_ready(now),
            watching=self.watch_duty.is_watching(now),
            hosts_age=self.freshness.hosts_age(now),
        )

    def is_ready(self, now: float) -> bool:
        """Returns whether the daemon may serve calls."""
        return self.readiness.is_ready(now, self.releases.position)

    def should_watch(self, now: float) -> bool:
        """Returns whether this daemon should read the store now.

        It should while it is on duty and its read budget allows an attempt.
        """
        return self.read_budget.may_attempt(now) and self.is_on_duty(now)

    def should_read_release(self, now: float) -> bool:
        """Returns whether this daemon should read the release as well.

        A daemon without a host list reads only the host list. The list then
        shows whether the daemon is among those that read the release.
        """
        return bool(self.watch_duty.ranking) and self.is_on_duty(now)

    def is_on_duty(self, now: float) -> bool:
        """Returns whether this daemon is one of those that read the store."""
        return self.watch_duty.should_watch(
            now,
            self.freshness,
            holds_release=self.releases.release is not None,
        )

    def region_of(self, host_id: str) -> str:
        """Returns the region of a host, or empty if it isn't listed."""
        host = self.membership.hosts.hosts.get(host_id)
        return host.region if host else ''
