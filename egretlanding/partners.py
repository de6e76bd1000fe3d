"""With whom a daemon exchanges summaries, and when."""

import bisect
import enum
import itertools
from collections.abc import Iterable
from random import Random

import attrs

from egretlanding.hosts import Host, HostList
from egretlanding.membership import Membership
from egretlanding.ranking import rank_hosts
from egretlanding.watchers import (
    WATCHERS_PER_REGION,
    WatchDuty,
    ranked_limit,
)

COMPARE_PERIOD_S = 2
UNREADY_PERIOD_S = 0.5
LINK_PERIOD_S = 5
ROTATE_PERIOD_S = 60
NOTIFY_GAP_S = 1
NEAR_SHARE = 0.7
LINK_PARTNERS = 1
JITTER = 0.5


class Place(enum.Enum):
    """Where a partner is, seen from this daemon."""

    NEAR = enum.auto()
    REGION = enum.auto()


PARTNERS = {Place.NEAR: 6, Place.REGION: 4}
FAN_OUT = {Place.NEAR: 3, Place.REGION: 2}


@attrs.define
class Partners:
    """A bounded random set of hosts to exchange summaries with.

    Most partners are in the same failure domain, some in others of the
    region. Only daemons that read the store have partners in other regions:
    the first ranks there, or the next ones while those don't answer.

    Attributes:
        host: This daemon's own host.
        random: Source of choice and jitter.
        domains: Failure domains in which there are other hosts.
        pools: Host ids to choose from by place.
        chosen: The partners by place.
        successor: The next host of the failure domain, which is notified
            always, so that each host is notified by at least one other.
        remote: Ranked host ids of each other region.
        urgent: Hosts to notify as soon as possible.
        compare_at: Time of the next exchange within the region, seconds.
        link_at: Time of the next exchange across regions, seconds.
        rotate_at: When a partner is replaced next, seconds.
        notify_at: Earliest time of the next notification, seconds.
    """

    host: Host
    random: Random
    domains: frozenset[str] = frozenset()
    pools: dict[Place, tuple[str, ...]] = attrs.field(factory=dict)
    chosen: dict[Place, list[str]] = attrs.field(factory=dict)
    successor: tuple[str, ...] = ()
    remote: tuple[tuple[str, ...], ...] = ()
    urgent: dict[str, None] = attrs.field(factory=dict)
    compare_at: float = 0
    link_at: float = 0
    rotate_at: float = 0
    notify_at: float = 0

    def choose_from(self, hosts: HostList) -> None:
        """Takes a new host list into account, keeping partners still in it."""
        others = [
            host
            for host in hosts.hosts.values()
            if host.host_id != self.host.host_id
        ]
        self.domains = frozenset(host.failure_domain for host in others)
        regions = {host.region for host in others} - {self.host.region}
        self.remote = tuple(
            rank_hosts(others, region)[: ranked_limit()]
            for region in sorted(regions)
        )
        self.pools = {
            place: tuple(sorted(self._ids_in(place, others))) for place in Place
        }
        near = self.pools[Place.NEAR]
        place_in_ring = bisect.bisect(near, self.host.host_id)
        self.successor = (near[place_in_ring:] + near)[:1]
        for place, pool in self.pools.items():
            kept = set(pool).intersection(self.chosen.get(place, ()))
            self.chosen[place] = sorted(kept)
            self._fill(place)

    def notify(
        self,
        now: float,
        membership: Membership,
        duty: WatchDuty,
        *,
        at_once: bool = False,
        across: bool = True,
    ) -> None:
        """Plans exchanges with several partners, to pass news on.

        Args:
            now: The time, seconds.
            membership: Evidence on the hosts.
            duty: Whether this daemon has partners in other regions.
            at_once: Whether the news are urgent; others are passed on at
                most once in `NOTIFY_GAP_S`.
            across: Whether other regions may not know the news yet.
        """
        if not at_once and now < self.notify_at:
            return
        self.notify_at = now + NOTIFY_GAP_S
        for place, count in FAN_OUT.items():
            self._plan(self._sample(place, count, membership, now))
        self._plan(self._usable(self.successor, membership, now))
        if across and duty.is_carrier(now):
            self._plan(self._across(membership, duty, now))

    def take_due(
        self,
        now: float,
        membership: Membership,
        duty: WatchDuty,
        *,
        ready: bool,
    ) -> tuple[str, ...]:
        """Takes the exchanges that are due off the schedule.

        Args:
            now: The time, seconds.
            membership: Evidence on the hosts.
            duty: Whether this daemon has partners in other regions.
            ready: Whether the daemon serves; until then it asks more often.

        Returns:
            The ids of the hosts to exchange summaries with now.
        """
        self._rotate(now, membership)
        self._compare(now, membership, duty, ready=ready)
        if duty.is_carrier(now) and now >= self.link_at:
            self.link_at = now + self._jittered(LINK_PERIOD_S)
            across = self._across(membership, duty, now)
            self._plan(self.random.sample(across, min(1, len(across))))
        due = tuple(self.urgent)
        self.urgent.clear()
        return due

    def restart(self, now: float) -> None:
        """Makes every exchange due at once, after a pause."""
        self.compare_at = now
        self.link_at = now
        self.notify_at = now

    def _compare(
        self,
        now: float,
        membership: Membership,
        duty: WatchDuty,
        *,
        ready: bool,
    ) -> None:
        if now < self.compare_at:
            return
        period = COMPARE_PERIOD_S if ready else UNREADY_PERIOD_S
        self.compare_at = now + self._jittered(period)
        near = self.random.random() < NEAR_SHARE
        places = (
            (Place.NEAR, Place.REGION) if near else (Place.REGION, Place.NEAR)
        )
        samples = (self._sample(place, 1, membership, now) for place in places)
        self._plan(next(filter(None, samples), []))
        if duty.is_near_front:
            watchers = duty.ranking[:WATCHERS_PER_REGION]
            usable = self._usable(watchers, membership, now)
            self._plan(self.random.sample(usable, min(1, len(usable))))

    def _plan(self, host_ids: Iterable[str]) -> None:
        self.urgent.update(dict.fromkeys(host_ids))

    def _across(
        self,
        membership: Membership,
        duty: WatchDuty,
        now: float,
    ) -> list[str]:
        # Each watcher starts at its own rank, so that the watchers of one
        # region talk to different ones of another.
        offset = (duty.rank or 0) % WATCHERS_PER_REGION
        orders = (
            ranking[offset:WATCHERS_PER_REGION]
            + ranking[:offset]
            + ranking[WATCHERS_PER_REGION:]
            for ranking in self.remote
        )
        return [
            host_id
            for order in orders
            for host_id in self._usable(order, membership, now)[:LINK_PARTNERS]
        ]

    def _rotate(self, now: float, membership: Membership) -> None:
        if now < self.rotate_at:
            return
        self.rotate_at = now + self._jittered(ROTATE_PERIOD_S)
        for place, chosen in self.chosen.items():
            if len(chosen) < len(self.pools[place]):
                failing = self._failing(chosen, membership, now)
                chosen.remove(self.random.choice(failing or chosen))
                self._fill(place)

    def _failing(
        self,
        chosen: list[str],
        membership: Membership,
        now: float,
    ) -> list[str]:
        usable = self._usable(chosen, membership, now)
        return [host_id for host_id in chosen if host_id not in usable]

    def _sample(
        self,
        place: Place,
        count: int,
        membership: Membership,
        now: float,
    ) -> list[str]:
        usable = self._usable(self.chosen.get(place, ()), membership, now)
        return self.random.sample(usable, min(count, len(usable)))

    def _usable(
        self,
        host_ids: Iterable[str],
        membership: Membership,
        now: float,
    ) -> list[str]:
        return [
            host_id
            for host_id in host_ids
            if host_id != self.host.host_id
            and membership.may_contact(host_id, now)
        ]

    def _fill(self, place: Place) -> None:
        chosen = self.chosen[place]
        rest = sorted(set(self.pools[place]).difference(chosen))
        missing = min(PARTNERS[place] - len(chosen), len(rest))
        chosen.extend(self.random.sample(rest, max(0, missing)))

    def _ids_in(self, place: Place, others: list[Host]) -> list[str]:
        inside = itertools.filterfalse(self._is_remote, others)
        near = place is Place.NEAR
        return [
            host.host_id
            for host in inside
            if (host.failure_domain == self.host.failure_domain) is near
        ]

    def _is_remote(self, host: Host) -> bool:
        return host.region != self.host.region

    def _jittered(self, period: float) -> float:
        return period * self.random.uniform(1 - JITTER, 1 + JITTER)
