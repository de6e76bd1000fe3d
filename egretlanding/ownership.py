"""Which host owns a caller's own key, and since when.

Callers' own keys are assigned to owners by rendezvous hashing over the hosts
of the service in the platform's host list. Two daemons that hold different
lists may each believe that they own a key. These rules keep the call with the
key from running twice:

1. A daemon accepts a key only if its list was confirmed within the last
   `max_list_age_s`. Normally the store confirms it. While the store is
   unreachable, and for at most `max_outage_s`, reports of the same established
   list from all other hosts of the service confirm it too. A host that holds
   another list or is unreachable ends these confirmations.
2. A list is established on a daemon once the store has confirmed the
   service's hosts for `max_list_age_s` after the daemon adopted them. Reports
   therefore never prolong the use of a list that was replaced sooner, or that
   was adopted after a restart during an outage.
3. A daemon refuses keys that were made earlier than `hold_off_s` after it
   became the owner. By then rule 1 has stopped the previous owner: a host
   that adopts a later list no longer reports the older one.
4. A daemon may have been missing from earlier lists if it has started, was
   added to the list, or had no confirmed list for a while. Its own reports
   can't stop the daemons that hold such a list. It becomes an owner only when
   all other hosts of its list have reported that list or a later one, or
   after `max_outage_s`.
5. A daemon whose list was at any time not confirmed within `max_list_age_s`
   may have missed lists, and counts as a new owner from then on.

These rules hold if the wall clocks of any two daemons differ by at most
`max_clock_skew_s`, only one process at a time uses a host id, the store's
answers to its watchers aren't themselves stale, and any two lists held by
different parts of a partitioned fleet have a host in common. If all hosts of a
service are replaced during one partition, an old and a new host may both own
a key. Issued keys need none of these conditions.
"""

import attrs

from egretlanding.hostreports import HostReport, HostReports
from egretlanding.hosts import Host
from egretlanding.keys import CallerKey, IssuedKey, Key
from egretlanding.outcomes import Reason, Refusal
from egretlanding.rendezvous import weight

MAX_CLOCK_SKEW_S = 2
MAX_LIST_AGE_S = 30
RETENTION_S = 600
MAX_OUTAGE_S = 21_600
MAX_HELD_LISTS = 64


@attrs.frozen
class ClockReading:
    """One point in time on the monotonic clock and the wall clock.

    Attributes:
        now: Monotonic time, seconds.
        wall: Wall clock, seconds since the epoch.
    """

    now: float
    wall: float


@attrs.frozen
class KeyBounds:
    """The limits under which the call of each key runs at most once.

    Attributes:
        max_clock_skew_s: Largest difference between the wall clocks of two
            daemons, seconds.
        max_list_age_s: Largest age of the last confirmation of a host list
            that is used, seconds.
        retention_s: Time for which keys are remembered, seconds.
        max_outage_s: Longest outage of the store during which daemons confirm
            one another's lists, seconds.
    """

    max_clock_skew_s: float = MAX_CLOCK_SKEW_S
    max_list_age_s: float = MAX_LIST_AGE_S
    retention_s: float = RETENTION_S
    max_outage_s: float = MAX_OUTAGE_S

    @property
    def hold_off_s(self) -> float:
        """Time before a new owner accepts newly made keys, seconds."""
        return 2 * (self.max_list_age_s + self.max_clock_skew_s)


@attrs.frozen
class HeldList:
    """The hosts of the daemon's service in a host list that it has held.

    Attributes:
        adopted_wall: Wall clock time when the daemon adopted the list, seconds
            since the epoch.
        hosts: Ids of the hosts of the service.
        adopted_at: The same time on the monotonic clock, seconds.
    """

    adopted_wall: float
    hosts: tuple[str, ...]
    adopted_at: float


@attrs.frozen
class ListMembership:
    """Since when a daemon has been in every list that it held.

    Attributes:
        revision: Revision of the first of these lists.
        since: Wall clock time when that list was adopted, seconds since the
            epoch.
        settled_at: Wall clock time from which reports could no longer confirm
            any list without the daemon, seconds since the epoch; None
            before that.
    """

    revision: int
    since: float
    settled_at: float | None = None


@attrs.define
class KeyOwnership:
    """Decides which keys one daemon owns from the lists that it has held.

    Attributes:
        host_id: The daemon's own host.
        bounds: The limits on clocks and lists.
        held_lists: The lists held, oldest first.
        confirmed_at: Monotonic time up to which the current list is confirmed
            by the store or by reports, seconds.
        store_confirmed_at: Monotonic time up to which the store confirmed the
            current list, seconds.
        revision: Revision of the current list.
        membership: Since when the daemon is in the lists, None if it is not
            in the current one.
        reports: What the other hosts report of their lists.
    """

    host_id: str
    bounds: KeyBounds = attrs.field(factory=KeyBounds)
    held_lists: list[HeldList] = attrs.field(factory=list)
    confirmed_at: float = float('-inf')
    store_confirmed_at: float = float('-inf')
    revision: int = 0
    membership: ListMembership | None = None
    reports: HostReports = attrs.field(factory=HostReports)

    def check(self, key: CallerKey, moment: ClockReading) -> Refusal | None:
        """Returns a refusal if this daemon must not run a call with a new key.

        Args:
            key: The key, which the daemon has not seen before.
            moment: The current time.

        Returns:
            The refusal, or None if the daemon has owned the key for long
            enough.
        """
        owner_since = self.owned_since(key)
        if owner_since is None:
            return Refusal.unknown(
                Reason.KEY_NOT_OWNED,
                f'host {self.host_id} does not own the key',
            )
        if moment.now - self.confirmed_at > self.bounds.max_list_age_s:
            return Refusal.unknown(
                Reason.KEY_VIEW_STALE,
                'the host list was not confirmed recently',
            )
        if (
            key.created
            < self.sole_owner_since(owner_since) + self.bounds.hold_off_s
        ):
            return Refusal.unknown(
                Reason.KEY_UNSETTLED,
                f'the key is too old for its new owner {self.host_id}',
            )
        return None

    def owned_since(self, key: CallerKey) -> float | None:
        """Returns when the daemon became the owner of a key.

        Returns:
            Wall clock time, seconds since the epoch, or None if the daemon
            doesn't own the key.
        """
        since = None
        for held in reversed(self.held_lists):
            if owner_id(key, held.hosts) != self.host_id:
                break
            since = held.adopted_wall
        return since

    def sole_owner_since(self, owned_since: float) -> float:
        """Returns since when no other host can own the daemon's keys.

        Args:
            owned_since: Wall clock time when the daemon became the owner,
                seconds since the epoch.

        Returns:
            Wall clock time, seconds since the epoch; infinity if another
            host may still own them.
        """
        if self.membership is None or self.membership.settled_at is None:
            return float('inf')
        return max(owned_since, self.membership.settled_at)

    @property
    def established(self) -> bool:
        """Whether the store confirmed the current hosts for long enough."""
        required_s = self.bounds.max_list_age_s
        return bool(self.held_lists) and (
            self.store_confirmed_at
            >= self.held_lists[-1].adopted_at + required_s
        )

    def others(self) -> tuple[str, ...]:
        """Returns the ids of the other hosts of the service in the list."""
        hosts = self.held_lists[-1].hosts if self.held_lists else ()
        return tuple(host for host in hosts if host != self.host_id)

    def confirm(
        self,
        hosts: tuple[str, ...],
        age_s: float,
        moment: ClockReading,
        revision: int = 0,
    ) -> None:
        """Records the current list and how old its confirmation is.

        Args:
            hosts: Ids of the service's hosts in the current list.
            age_s: Time since the store confirmed that it had no later list,
                seconds.
            moment: The current time.
            revision: Revision of the list.
        """
        # The daemon may have missed lists while this one was not confirmed.
        if moment.now - self.confirmed_at > self.bounds.max_list_age_s:
            self.held_lists.clear()
            self.membership = None
        self.revision = revision
        if not self.held_lists or self.held_lists[-1].hosts != hosts:
            self.held_lists.append(HeldList(moment.wall, hosts, moment.now))
        del self.held_lists[:-MAX_HELD_LISTS]
        self.store_confirmed_at = max(
            self.store_confirmed_at, moment.now - age_s
        )
        self.confirmed_at = max(
            self.confirmed_at,
            self.store_confirmed_at,
            self.confirmed_by_reports_until(moment.now),
        )
        self.update_membership(moment.wall)

    def record_report(
        self,
        host_id: str,
        revision: int,
        established: bool,
        wall: float,
        moment: ClockReading,
    ) -> None:
        """Records which list another host reports that it holds.

        Args:
            host_id: Id of the other host.
            revision: Revision of the list that it held.
            established: Whether the list was established there.
            wall: The other host's wall clock time when it reported, seconds
                since the epoch.
            moment: The current time.
        """
        age_s = max(0, moment.wall - wall) + self.bounds.max_clock_skew_s
        report = HostReport(revision, established, moment.now - age_s)
        self.reports.record(host_id, report)

    def confirmed_by_reports_until(self, now: float) -> float:
        """Returns up to when the reports of other hosts confirm the list.

        Args:
            now: Monotonic time, seconds.

        Returns:
            Monotonic time, seconds; minus infinity if they do not confirm it.
        """
        if not self.established:
            return float('-inf')
        return min(
            self.reports.all_held_until(self.others(), self.revision),
            self.store_confirmed_at + self.bounds.max_outage_s,
            now,
        )

    def update_membership(self, wall: float) -> None:
        """Updates since when the daemon has been in every list that it held.

        Args:
            wall: Wall clock time, seconds since the epoch.
        """
        others = self.others()
        self.reports.retain_only(others)
        if self.host_id not in self.held_lists[-1].hosts:
            self.membership = None
            return
        membership = self.membership or ListMembership(self.revision, wall)
        if membership.settled_at is None and (
            self.reports.all_reached(others, membership.revision)
            or wall > membership.since + self.bounds.max_outage_s
        ):
            membership = attrs.evolve(membership, settled_at=wall)
        self.membership = membership


def owner_id(key: Key, hosts: tuple[str, ...]) -> str | None:
    """Returns the id of the host that owns a key, or None if there is none."""
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
    """Finds the host to which an ingress daemon sends a call with a key.

    Args:
        key: The key.
        service: The service that the call's route names.
        hosts: The service's hosts in the platform's list, including those that
            are about to be removed.

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
