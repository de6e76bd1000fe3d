"""Decides without coordination which daemons read the store."""

import math
from collections.abc import Iterable
from random import Random

import attrs

from egretlanding.freshness import Freshness
from egretlanding.hosts import Host
from egretlanding.ranking import rank_hosts

WATCHERS_PER_REGION = 3
STANDBYS_PER_REGION = 6
WATCH_POLL_S = 4
LOW_RANK_POLL_S = 30
MIN_POLL_SHARE = 0.5
STARTUP_JITTER_S = 0.5

# Standbys exchange summaries with the watchers, so the ages that they know
# are seconds old.
TAKEOVER_AGE_S = 6
TAKEOVER_STEP_S = 0.5
UNCONFIRMED_AGE_S = 12
UNCONFIRMED_STEP_S = 4

# Daemons of lower rank learn the ages through several exchanges, so the ages
# that they know are older.
LOW_RANK_TAKEOVER_AGE_S = 45
LOW_RANK_TAKEOVER_STEP_S = 1

# Daemons without a host list don't know their rank and start to read at
# random times, seeds earlier than others.
UNRANKED_SPREAD_S = 40
SEED_SPREAD_S = 2

# A daemon that has no release and knows of no recent attempt takes over
# earlier than one that has a release.
EMPTY_TAKEOVER_AGE_S = 20
EMPTY_TAKEOVER_STEP_S = 0.2

WATCHER_SEEN_TTL_S = 15
WATCHING_TTL_S = 10
TAKEOVER_HOLD_S = 60


@attrs.define
class WatchDuty:
    """Whether this daemon reads the store now.

    The hosts of each region are ranked. The watchers, which rank first,
    always read the store. The standbys, which rank next, take over when no
    attempt to read the store is known for a while, or when the attempts
    bring no confirmation. All other daemons take over only when they know of
    no attempt for much longer. A daemon that took over goes on until enough
    daemons of better rank report that they reach the store.

    Attributes:
        host: The host that this daemon runs on.
        random: Source of jitter.
        started_at: When the process started or resumed after a pause, seconds.
        is_seed: Whether the host is among the seeds that all hosts know.
        ranking: Ids of the region's hosts by rank, empty without a host
            list.
        rank: This host's index in the ranking, None if it isn't listed.
        jitter: Share of the random delays that this process takes, 0 to 1.
        poll_s: Longest time that the next read waits for a change, seconds.
        attempted_at: When this daemon, knowing its rank, last sent a request
            to the store, seconds; minus infinity if it did not, or if enough
            daemons of better rank have reached the store since.
        confirmed_at: When the last request that the store answered was sent,
            seconds.
        better_watchers: When hosts of better rank last reported that they
            reach the store, by host id, seconds.
    """

    host: Host
    random: Random
    started_at: float
    is_seed: bool = False
    ranking: tuple[str, ...] = ()
    rank: int | None = None
    jitter: float = 0
    poll_s: float = WATCH_POLL_S
    attempted_at: float = -math.inf
    confirmed_at: float = -math.inf
    better_watchers: dict[str, float] = attrs.field(factory=dict)

    def __attrs_post_init__(self) -> None:
        self.jitter = self.random.random()

    @property
    def is_standby(self) -> bool:
        """Whether this daemon is among the first to take over."""
        return (
            self.rank is not None
            and WATCHERS_PER_REGION <= self.rank < ranked_limit()
        )

    @property
    def is_watcher_or_standby(self) -> bool:
        """Whether this daemon is a watcher or a standby, or may become one.

        Without a host list, only seeds count as such.
        """
        if not self.ranking:
            return self.is_seed
        return self.rank is not None and self.rank < ranked_limit()

    def should_watch(
        self,
        now: float,
        freshness: Freshness,
        *,
        holds_release: bool,
    ) -> bool:
        """Returns whether this daemon should read the store.

        Args:
            now: The time, seconds.
            freshness: Ages of the last known attempt and confirmation.
            holds_release: Whether any release is in force.
        """
        running_s = now - self.started_at
        if not self.ranking:
            spread = SEED_SPREAD_S if self.is_seed else UNRANKED_SPREAD_S
            return running_s >= self.jitter * spread
        if self._is_watcher():
            return running_s >= self.jitter * STARTUP_JITTER_S
        since_attempt = min(running_s, freshness.attempted_age(now))
        if since_attempt > self._takeover_age(holds_release=holds_release):
            return True
        since_confirmation = min(running_s, freshness.confirmed_age(now))
        if self.is_standby and since_confirmation > self._unconfirmed_age():
            return True
        return now - self.attempted_at < TAKEOVER_HOLD_S

    def has_remote_partners(self, now: float) -> bool:
        """Returns whether this daemon exchanges summaries across regions."""
        return self._is_watcher() or now - self.attempted_at < WATCHING_TTL_S

    def is_watching(self, now: float) -> bool:
        """Returns whether the store answered this daemon recently."""
        return now - self.confirmed_at < WATCHING_TTL_S

    def update_ranking(self, hosts: Iterable[Host]) -> None:
        """Ranks the region's hosts by a new host list."""
        self.ranking = rank_hosts(hosts, self.host.region)
        ranks = {host_id: rank for rank, host_id in enumerate(self.ranking)}
        self.rank = ranks.get(self.host.host_id)
        better_ranked = self.ranking[: self.rank]
        self.better_watchers = {
            host_id: seen_at
            for host_id, seen_at in self.better_watchers.items()
            if host_id in better_ranked
        }

    def note_watcher(self, host_id: str, now: float) -> None:
        """Records that another host reported that it reaches the store."""
        better_count = len(self.ranking) if self.rank is None else self.rank
        if host_id in self.ranking[: min(better_count, ranked_limit())]:
            self.better_watchers[host_id] = now
        if self._is_relieved(now):
            self.attempted_at = -math.inf

    def note_attempt(self, now: float) -> None:
        """Records that this daemon sends a request to the store.

        Watchers and standbys poll often, because the ages that all daemons
        know come from their reads, and at random intervals, so that they
        don't read at the same time. The many other daemons poll less often,
        to limit the load on the store if they have to read it.
        """
        longest = (
            WATCH_POLL_S if self.is_watcher_or_standby else LOW_RANK_POLL_S
        )
        self.poll_s = longest * self.random.uniform(MIN_POLL_SHARE, 1)
        if self.ranking:
            self.attempted_at = now

    def restart(self, now: float) -> None:
        """Starts over after a pause of the process."""
        self.started_at = now
        self.jitter = self.random.random()
        self.better_watchers.clear()
        self.attempted_at = -math.inf

    def _is_watcher(self) -> bool:
        return self.rank is not None and self.rank < WATCHERS_PER_REGION

    def _is_relieved(self, now: float) -> bool:
        watching = sum(
            now - seen_at < WATCHER_SEEN_TTL_S
            for seen_at in self.better_watchers.values()
        )
        return watching >= WATCHERS_PER_REGION

    def _takeover_age(self, *, holds_release: bool) -> float:
        if self.is_standby:
            return TAKEOVER_AGE_S + TAKEOVER_STEP_S * self._delay_rank()
        if not holds_release:
            return (
                EMPTY_TAKEOVER_AGE_S
                + EMPTY_TAKEOVER_STEP_S * self._delay_rank()
            )
        return (
            LOW_RANK_TAKEOVER_AGE_S
            + LOW_RANK_TAKEOVER_STEP_S * self._delay_rank()
        )

    def _unconfirmed_age(self) -> float:
        return UNCONFIRMED_AGE_S + UNCONFIRMED_STEP_S * self._delay_rank()

    def _delay_rank(self) -> float:
        rank = len(self.ranking) if self.rank is None else self.rank
        return rank - WATCHERS_PER_REGION + self.jitter


def ranked_limit() -> int:
    """Returns the number of watchers and standbys of a region."""
    return WATCHERS_PER_REGION + STANDBYS_PER_REGION
