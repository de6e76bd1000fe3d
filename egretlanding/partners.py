"""Schedules a daemon's exchanges of summaries and chooses the partners."""

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

EXCHANGE_PERIOD_S = 2
UNREADY_PERIOD_S = 0.5
LINK_PERIOD_S = 5
ROTATE_PERIOD_S = 60
NOTIFY_GAP_S = 1
NEAR_SHARE = 0.7
LINK_PARTNERS = 1
JITTER = 0.5


class Place(enum.Enum):
    """Location of a partner relative to this daemon.

    NEAR is the same failure domain, REGION another one of the region.
    """

    NEAR = enum.auto()
    REGION = enum.auto()


PARTNER_COUNTS = {Place.NEAR: 6, Place.REGION: 4}
FAN_OUT = {Place.NEAR: 3, Place.REGION: 2}


@attrs.define
class Partners:
    """A bounded random set of hosts to exchange summaries with.

    Most partners are in the same failure domain, some in others of the
    region. Only daemons that read the store have partners in other regions:
    the hosts ranked first there, or the next ones while the first are
    unreachable.

    Attributes:
        host: The host that this daemon runs on.
        random: Source of random choices and jitter.
        domains: Failure domains in which there are other hosts.
        candidates: Ids of the hosts that can be partners by place.
        chosen: The partners by place.
        successor: Id of the host after this one in the failure domain,
            ordered by id as a ring; empty if there is no other. It is among
            those notified each time, so that every host is notified by at
            least one other.
        remote: Ranked host ids of each other region.
        pending: Ids of the hosts to exchange summaries with next.
        exchange_at: Time of the next exchange within the region, seconds.
        link_at: Time of the next exchange across regions, seconds.
        rotate_at: Time of the next replacement of a partner, seconds.
        notify_at: Earliest time of the next notification, seconds.
    """

    host: Host
    random: Random
    domains: frozenset[str] = frozenset()
    candidates: dict[Place, tuple[str, ...]] = attrs.field(factory=dict)
    chosen: dict[Place, list[str]] = attrs.field(factory=dict)
    successor: tuple[str, ...] = ()
    remote: tuple[tuple[str, ...], ...] = ()
    pending: dict[str, None] = attrs.field(factory=dict)
    exchange_at: float = 0
    link_at: float = 0
    rotate_at: float = 0
    notify_at: float = 0

    def update_hosts(self, hosts: HostList) -> None:
        """Applies a new host list, keeping the partners still on it."""
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
        self.candidates = {
            place: tuple(sorted(self._ids_in(place, others))) for place in Place
        }
        near = self.candidates[Place.NEAR]
        ring_index = bisect.bisect(near, self.host.host_id)
        self.successor = (near[ring_index:] + near)[:1]
        for place, place_candidates in self.candidates.items():
            kept_partners = set(place_candidates).intersection(
                self.chosen.get(place, ())
            )
            self.chosen[place] = sorted(kept_partners)
            self._fill(place)

    def notify(
        self,
        now: float,
        membership: Membership,
        duty: WatchDuty,
        *,
        at_once: bool = False,
        cross_region: bool = True,
    ) -> None:
        """Plans exchanges with several partners, to pass an update on.

        Args:
            now: The time, seconds.
            membership: Which hosts may be contacted now.
            duty: Whether this daemon has partners in other regions.
            at_once: Whether the update is urgent. Other updates are passed
                on at most once in `NOTIFY_GAP_S`.
            cross_region: Whether other regions may lack the update.
        """
        if not at_once and now < self.notify_at:
            return
        self.notify_at = now + NOTIFY_GAP_S
        for place, count in FAN_OUT.items():
            self._plan(self._sample(place, count, membership, now))
        self._plan(self._usable(self.successor, membership, now))
        if cross_region and duty.has_remote_partners(now):
            self._plan(self._remote_partners(membership, duty, now))

    def take_due(
        self,
        now: float,
        membership: Membership,
        duty: WatchDuty,
        *,
        ready: bool,
    ) -> tuple[str, ...]:
        """Removes the exchanges that are due from the schedule.

        Args:
            now: The time, seconds.
            membership: Which hosts may be contacted now.
            duty: Whether this daemon has partners in other regions.
            ready: Whether the daemon is ready; until then it exchanges
                summaries more often.

        Returns:
            The ids of the hosts to exchange summaries with now.
        """
        self._rotate(now, membership)
        self._plan_regional_exchange(now, membership, duty, ready=ready)
        if duty.has_remote_partners(now) and now >= self.link_at:
            self.link_at = now + self._jittered(LINK_PERIOD_S)
            remote_partners = self._remote_partners(membership, duty, now)
            self._plan(
                self.random.sample(
                    remote_partners, min(1, len(remote_partners))
                )
            )
        due = tuple(self.pending)
        self.pending.clear()
        return due

    def restart(self, now: float) -> None:
        """Makes all exchanges due now, after a pause of the process."""
        self.exchange_at = now
        self.link_at = now
        self.notify_at = now

    def _plan_regional_exchange(
        self,
        now: float,
        membership: Membership,
        duty: WatchDuty,
        *,
        ready: bool,
    ) -> None:
        if now < self.exchange_at:
            return
        period = EXCHANGE_PERIOD_S if ready else UNREADY_PERIOD_S
        self.exchange_at = now + self._jittered(period)
        near = self.random.random() < NEAR_SHARE
        places = (
            (Place.NEAR, Place.REGION) if near else (Place.REGION, Place.NEAR)
        )
        samples = (self._sample(place, 1, membership, now) for place in places)
        self._plan(next(filter(None, samples), []))
        if duty.is_watcher_or_standby:
            watchers = duty.ranking[:WATCHERS_PER_REGION]
            usable = self._usable(watchers, membership, now)
            self._plan(self.random.sample(usable, min(1, len(usable))))

    def _plan(self, host_ids: Iterable[str]) -> None:
        self.pending.update(dict.fromkeys(host_ids))

    def _remote_partners(
        self,
        membership: Membership,
        duty: WatchDuty,
        now: float,
    ) -> list[str]:
        # Each watcher starts at its own rank, so that the watchers of one
        # region exchange with different watchers of another.
        offset = (duty.rank or 0) % WATCHERS_PER_REGION
        rankings = (
            ranking[offset:WATCHERS_PER_REGION]
            + ranking[:offset]
            + ranking[WATCHERS_PER_REGION:]
            for ranking in self.remote
        )
        return [
            host_id
            for host_ids in rankings
            for host_id in self._usable(host_ids, membership, now)[
                :LINK_PARTNERS
            ]
        ]

    def _rotate(self, now: float, membership: Membership) -> None:
        if now < self.rotate_at:
            return
        self.rotate_at = now + self._jittered(ROTATE_PERIOD_S)
        for place, chosen in self.chosen.items():
            if len(chosen) < len(self.candidates[place]):
                unreachable = self._unusable(chosen, membership, now)
                chosen.remove(self.random.choice(unreachable or chosen))
                self._fill(place)

    def _unusable(
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
        unchosen = sorted(set(self.candidates[place]).difference(chosen))
        missing = min(PARTNER_COUNTS[place] - len(chosen), len(unchosen))
        chosen.extend(self.random.sample(unchosen, max(0, missing)))

    def _ids_in(self, place: Place, others: list[Host]) -> list[str]:
        in_region = itertools.filterfalse(self._is_remote, others)
        near = place is Place.NEAR
        return [
            host.host_id
            for host in in_region
            if (host.failure_domain == self.host.failure_domain) is near
        ]

    def _is_remote(self, host: Host) -> bool:
        return host.region != self.host.region

    def _jittered(self, period: float) -> float:
        return period * self.random.uniform(1 - JITTER, 1 + JITTER)
