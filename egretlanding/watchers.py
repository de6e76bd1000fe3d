"""Which daemons read the store, chosen without coordination."""

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
FAR_WATCH_POLL_S = 30
MIN_POLL_SHARE = 0.5
STARTUP_JITTER_S = 0.5

# Standbys exchange with the watchers, so their ages are seconds old.
TAKEOVER_AGE_S = 6
TAKEOVER_STEP_S = 0.5
UNCONFIRMED_AGE_S = 12
UNCONFIRMED_STEP_S = 4

# Other daemons get ages through several exchanges.
FAR_TAKEOVER_AGE_S = 45
FAR_TAKEOVER_STEP_S = 1

# A daemon without a host list doesn't know its rank; seeds go first.
UNRANKED_SPREAD_S = 40
SEED_SPREAD_S = 2

# A daemon that holds nothing and hears nothing asks earlier.
EMPTY_TAKEOVER_AGE_S = 20
EMPTY_TAKEOVER_STEP_S = 0.2

HEARD_S = 15
ANSWERED_S = 10
DUTY_S = 60


@attrs.define
class WatchDuty:
    """Whether this daemon reads the store now.

    The first ranks of each region always do. The next ranks step in when
    nobody is known to have tried for a while, or when trying brings no
    confirmation; the others only when nothing at all is heard. Whoever
    stepped in goes on until enough daemons of better rank are heard to
    reach the store.

    Attributes:
        host: This daemon's own host.
        random: Source of jitter.
        started_at: When the process started or woke, seconds.
        is_seed: Whether the host is among the seeds that all hosts know.
        ranking: The region's hosts in order, empty without a host list.
        rank: This host's place in it, or none if it isn't listed.
        jitter: Share of the random delays that this process takes, 0 to 1.
        poll_s: Longest time that the next read waits for a change, seconds.
        attempted_at: When this daemon last asked the store on duty, seconds.
        confirmed_at: When the store last answered this daemon, seconds.
        heard: When hosts of better rank were heard to reach the store.
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
    heard: dict[str, float] = attrs.field(factory=dict)

    def __attrs_post_init__(self) -> None:
        self.jitter = self.random.random()

    @property
    def is_standby(self) -> bool:
        """Whether this daemon is among the first to step in."""
        return (
            self.rank is not None
            and WATCHERS_PER_REGION <= self.rank < ranked_limit()
        )

    @property
    def is_near_front(self) -> bool:
        """Whether this daemon is a watcher or a standby, or may become one."""
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
            freshness: The age of what is known of the store.
            holds_release: Whether any release is in force.
        """
        waited = now - self.started_at
        if not self.ranking:
            spread = SEED_SPREAD_S if self.is_seed else UNRANKED_SPREAD_S
            return waited >= self.jitter * spread
        if self._is_watcher():
            return waited >= self.jitter * STARTUP_JITTER_S
        attempted = min(waited, freshness.attempted_age(now))
        if attempted > self._takeover_age(holds_release=holds_release):
            return True
        confirmed = min(waited, freshness.confirmed_age(now))
        if self.is_standby and confirmed > self._unconfirmed_age():
            return True
        return now - self.attempted_at < DUTY_S

    def is_carrier(self, now: float) -> bool:
        """Returns whether this daemon exchanges with other regions."""
        return self._is_watcher() or now - self.attempted_at < ANSWERED_S

    def is_watching(self, now: float) -> bool:
        """Returns whether the store lately answered this daemon."""
        return now - self.confirmed_at < ANSWERED_S

    def rank_among(self, hosts: Iterable[Host]) -> None:
        """Takes a new host list into account."""
        self.ranking = rank_hosts(hosts, self.host.region)
        ranks = {host_id: rank for rank, host_id in enumerate(self.ranking)}
        self.rank = ranks.get(self.host.host_id)
        better = self.ranking[: self.rank]
        self.heard = {
            host_id: at
            for host_id, at in self.heard.items()
            if host_id in better
        }

    def hear(self, host_id: str, now: float) -> None:
        """Records that another host said that it reaches the store."""
        limit = len(self.ranking) if self.rank is None else self.rank
        if host_id in self.ranking[: min(limit, ranked_limit())]:
            self.heard[host_id] = now
        if self._is_relieved(now):
            self.attempted_at = -math.inf

    def note_attempt(self, now: float) -> None:
        """Records that this daemon asks the store.

        The ages that others depend on come from watchers and standbys, at
        different times; the many other daemons spare the store if ever they
        have to read it.
        """
        longest = WATCH_POLL_S if self.is_near_front else FAR_WATCH_POLL_S
        self.poll_s = longest * self.random.uniform(MIN_POLL_SHARE, 1)
        if self.ranking:
            self.attempted_at = now

    def restart(self, now: float) -> None:
        """Starts over after a pause."""
        self.started_at = now
        self.jitter = self.random.random()
        self.heard.clear()
        self.attempted_at = -math.inf

    def _is_watcher(self) -> bool:
        return self.rank is not None and self.rank < WATCHERS_PER_REGION

    def _is_relieved(self, now: float) -> bool:
        heard = sum(now - at < HEARD_S for at in self.heard.values())
        return heard >= WATCHERS_PER_REGION

    def _takeover_age(self, *, holds_release: bool) -> float:
        if self.is_standby:
            return TAKEOVER_AGE_S + TAKEOVER_STEP_S * self._delay_rank()
        if not holds_release:
            return (
                EMPTY_TAKEOVER_AGE_S
                + EMPTY_TAKEOVER_STEP_S * self._delay_rank()
            )
        return FAR_TAKEOVER_AGE_S + FAR_TAKEOVER_STEP_S * self._delay_rank()

    def _unconfirmed_age(self) -> float:
        return UNCONFIRMED_AGE_S + UNCONFIRMED_STEP_S * self._delay_rank()

    def _delay_rank(self) -> float:
        rank = len(self.ranking) if self.rank is None else self.rank
        return rank - WATCHERS_PER_REGION + self.jitter


def ranked_limit() -> int:
    """Returns how many ranks of a region may watch side by side."""
    return WATCHERS_PER_REGION + STANDBYS_PER_REGION
