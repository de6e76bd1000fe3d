"""Which host owns a caller's own key, and since when.

Callers' own keys are owned by rendezvous over the hosts of the service in
the platform's list. Two daemons that hold different lists may each believe
that they own a key. These rules keep it from running twice:

1. A daemon takes a key only while its list was confirmed within
   `view_lag_s`. The store confirms it; while the store is out, for at most
   `outage_s`, so do reports of the same established list from all other
   hosts of the service. One that holds another list, or can't be heard,
   ends that.
2. A list is established on a daemon once the store has confirmed the
   service's hosts for `view_lag_s` after the daemon adopted them. A list
   that came and went faster, or was adopted after a restart during an
   outage, is never kept alive by reports.
3. A daemon refuses keys that were made before it became the owner plus
   `hold_off_s`, by which time rule 1 has stopped the owner before it: a
   host that adopts a later list ends the reports of the older one.
4. A daemon that may not have been in earlier lists, since it started, was
   listed or was not confirmed for a while, can't end them by itself. It is
   an owner only from when all other hosts of its list have reported that
   list or a later one, or after `outage_s`.
5. A daemon whose list was not confirmed within `view_lag_s` at any time may
   have missed lists, and counts as a new owner from then on.

This holds as long as the wall clocks of two daemons differ by at most
`clock_s`, one process at a time uses a host id, the store's answers to its
watchers aren't themselves stale, and two lists that different parts of a
split fleet hold have a host in common: if all hosts of a service are replaced
by others during one split, the old ones and the new ones may both own a key.
An issued key needs none of these.
"""

import attrs

from egretlanding.hostreports import HostReport, HostReports
from egretlanding.hosts import Host
from egretlanding.keys import CallerKey, IssuedKey, Key
from egretlanding.outcomes import Reason, Refusal
from egretlanding.rendezvous import weight

CLOCK_S = 2
VIEW_LAG_S = 30
RETENTION_S = 600
OUTAGE_S = 21_600
MAX_VIEWS = 64


@attrs.frozen
class Moment:
    """One instant on both clocks.

    Attributes:
        now: Monotonic clock, seconds.
        wall: Wall clock, seconds since the epoch.
    """

    now: float
    wall: float


@attrs.frozen
class KeyBounds:
    """The bounds within which keys run at most once.

    Attributes:
        clock_s: Largest difference of two wall clocks, seconds.
        view_lag_s: Largest age of a confirmed host list, seconds.
        retention_s: Time for which keys are remembered, seconds.
        outage_s: Longest outage of the store during which daemons confirm
            one another's lists, seconds.
    """

    clock_s: float = CLOCK_S
    view_lag_s: float = VIEW_LAG_S
    retention_s: float = RETENTION_S
    outage_s: float = OUTAGE_S

    @property
    def hold_off_s(self) -> float:
        """Time after which a new owner takes new keys, seconds."""
        return 2 * (self.view_lag_s + self.clock_s)


@attrs.frozen
class View:
    """The hosts of the service from one moment on.

    Attributes:
        since: Wall clock when the daemon adopted the list, seconds.
        hosts: Ids of the hosts.
        adopted: Monotonic time of the same moment, seconds.
    """

    since: float
    hosts: tuple[str, ...]
    adopted: float


@attrs.frozen
class Membership:
    """The time from which a daemon is known to be in each list it held.

    Attributes:
        revision: Revision of the first of these lists.
        since: Wall clock when it was adopted, seconds.
        settled: Wall clock when no list without the daemon could be
            confirmed by reports any more, None before that, seconds.
    """

    revision: int
    since: float
    settled: float | None = None


@attrs.define
class Ownership:
    """The keys that one daemon owns, by the lists that it has held.

    Attributes:
        host_id: The daemon's own host.
        bounds: The bounds on clocks and lists.
        views: The lists held, oldest first.
        confirmed: Monotonic time of the last confirmation, seconds.
        store_at: Monotonic time of the store's last confirmation, seconds.
        revision: Revision of the list that is held.
        member: Since when the daemon is in the lists, None while it isn't.
        reports: What the other hosts say of their lists.
    """

    host_id: str
    bounds: KeyBounds = attrs.field(factory=KeyBounds)
    views: list[View] = attrs.field(factory=list)
    confirmed: float = float('-inf')
    store_at: float = float('-inf')
    revision: int = 0
    member: Membership | None = None
    reports: HostReports = attrs.field(factory=HostReports)

    def check(self, key: CallerKey, moment: Moment) -> Refusal | None:
        """Says why this daemon must not run a key that it doesn't know.

        Args:
            key: The key.
            moment: The current time.

        Returns:
            The refusal, or None if the daemon owns the key for long enough.
        """
        began = self.owned_since(key)
        if began is None:
            return Refusal.unknown(
                Reason.KEY_NOT_OWNED,
                f'host {self.host_id} does not own the key',
            )
        if moment.now - self.confirmed > self.bounds.view_lag_s:
            return Refusal.unknown(
                Reason.KEY_VIEW_STALE,
                'the host list has not been confirmed of late',
            )
        if key.created < self.settled(began) + self.bounds.hold_off_s:
            return Refusal.unknown(
                Reason.KEY_UNSETTLED,
                f'the key is older than the ownership of {self.host_id}',
            )
        return None

    def owned_since(self, key: CallerKey) -> float | None:
        """Returns when the daemon became the owner, wall clock seconds.

        Returns:
            The time, or None if the daemon doesn't own the key.
        """
        began = None
        for view in reversed(self.views):
            if owner_id(key, view.hosts) != self.host_id:
                break
            began = view.since
        return began

    def settled(self, began: float) -> float:
        """Returns when ownership began with no other owner left, seconds."""
        if self.member is None or self.member.settled is None:
            return float('inf')
        return max(began, self.member.settled)

    @property
    def established(self) -> bool:
        """Tells whether the store confirmed the hosts for long enough."""
        lag_s = self.bounds.view_lag_s
        return bool(self.views) and (
            self.store_at >= self.views[-1].adopted + lag_s
        )

    def others(self) -> tuple[str, ...]:
        """Returns the ids of the other hosts in the list that is held."""
        hosts = self.views[-1].hosts if self.views else ()
        return tuple(host for host in hosts if host != self.host_id)

    def confirm(
        self,
        hosts: tuple[str, ...],
        age_s: float,
        moment: Moment,
        revision: int = 0,
    ) -> None:
        """Records the hosts of the service and how old the news are.

        Args:
            hosts: Ids of the service's hosts in the list that is held.
            age_s: Time since the store had no later list, seconds.
            moment: The current time.
            revision: Revision of the list.
        """
        # Lists may have come and gone while this one was not confirmed.
        if moment.now - self.confirmed > self.bounds.view_lag_s:
            self.views.clear()
            self.member = None
        self.revision = revision
        if not self.views or self.views[-1].hosts != hosts:
            self.views.append(View(moment.wall, hosts, moment.now))
        del self.views[:-MAX_VIEWS]
        self.store_at = max(self.store_at, moment.now - age_s)
        self.confirmed = max(
            self.confirmed,
            self.store_at,
            self.reported_at(moment.now),
        )
        self.settle(moment.wall)

    def take_report(
        self,
        host_id: str,
        revision: int,
        established: bool,
        wall: float,
        moment: Moment,
    ) -> None:
        """Takes what another host says of its list.

        Args:
            host_id: The other host.
            revision: Revision of the list that it held.
            established: Whether the list was established there.
            wall: The other host's wall clock at that time, seconds.
            moment: The current time.
        """
        age_s = max(0, moment.wall - wall) + self.bounds.clock_s
        report = HostReport(revision, established, moment.now - age_s)
        self.reports.take(host_id, report)

    def reported_at(self, now: float) -> float:
        """Returns until when reports confirm the list, monotonic seconds."""
        if not self.established:
            return float('-inf')
        return min(
            self.reports.held_at(self.others(), self.revision),
            self.store_at + self.bounds.outage_s,
            now,
        )

    def settle(self, wall: float) -> None:
        """Records since when no list without this daemon is confirmed.

        Args:
            wall: Wall clock, seconds since the epoch.
        """
        others = self.others()
        self.reports.keep(others)
        if self.host_id not in self.views[-1].hosts:
            self.member = None
            return
        member = self.member or Membership(self.revision, wall)
        if member.settled is None and (
            self.reports.all_reached(others, member.revision)
            or wall > member.since + self.bounds.outage_s
        ):
            member = attrs.evolve(member, settled=wall)
        self.member = member


def owner_id(key: Key, hosts: tuple[str, ...]) -> str | None:
    """Returns the id of the host that owns a key, or None without hosts."""
    if isinstance(key, IssuedKey):
        return key.host_id if key.host_id in hosts else None
    return max(
        hosts, key=lambda host: (weight(key.text, host), host), default=None
    )


def locate_owner(
    key: Key,
    service: str,
    hosts: tuple[Host, ...],
) -> Host | Refusal:
    """Finds the host to which an ingress sends a call with a key.

    Args:
        key: The key.
        service: The service that the call's route names.
        hosts: The service's hosts in the platform's list, leaving ones too.

    Returns:
        The owner, or a refusal with an unknown outcome.
    """
    if isinstance(key, IssuedKey) and key.service != service:
        return Refusal.unknown(
            Reason.KEY_REUSED,
            f'the key was issued for service {key.service}, not {service}',
        )
    by_id = {host.host_id: host for host in hosts}
    owner = owner_id(key, tuple(by_id))
    if owner is None:
        return Refusal.unknown(
            Reason.KEY_OWNER_GONE,
            'the host that owns the key is not in the host list',
        )
    return by_id[owner]
