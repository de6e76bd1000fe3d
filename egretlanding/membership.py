"""Who is in the mesh: the platform's list, with own evidence over it."""

import enum
from random import Random

import attrs

from egretlanding.delta import hosts_update
from egretlanding.hosts import Host, HostList, HostState
from egretlanding.messages import HostsUpdate, Notice, NoticeKind
from egretlanding.notices import NoticeTable

LEAVING_TTL_S = 300
RETURNED_TTL_S = 300
# More than a request is under way, so that copies can't prolong each other.
HOP_COST_S = 2
BACKOFF_FIRST_S = 0.5
BACKOFF_CAP_S = 6
MAX_DOUBLINGS = 8
MAX_CONTACTS = 256
MAX_BASES = 16


class HostStatus(enum.StrEnum):
    """What this daemon holds of a host."""

    REACHABLE = 'reachable'
    UNREACHABLE = 'unreachable'
    LEAVING = 'leaving'
    UNKNOWN = 'unknown'


@attrs.frozen
class Contact:
    """The outcome of recent exchanges with one host.

    Attributes:
        failures: Failed exchanges since the last successful one.
        retry_at: Earliest time of the next exchange, seconds.
        reached_at: Time of the last successful exchange, seconds.
        incarnation: Greatest incarnation heard from the host itself.
    """

    failures: int = 0
    retry_at: float = 0
    reached_at: float = 0
    incarnation: int = 0


@attrs.define
class Membership:
    """The host list as the seed, and evidence that is newer than the list.

    Attributes:
        host: This daemon's own host.
        incarnation: This process's start time, ns since the epoch.
        random: Source of jitter.
        hosts: The latest host list held.
        notices: Facts that daemons pass on.
        contacts: Outcomes of exchanges by host id.
        bases: Recent host lists by revision, for deltas.
    """

    host: Host
    incarnation: int
    random: Random
    hosts: HostList = attrs.field(factory=HostList)
    notices: NoticeTable = attrs.field(factory=NoticeTable)
    contacts: dict[str, Contact] = attrs.field(factory=dict)
    bases: dict[int, HostList] = attrs.field(factory=dict)

    def status(self, host_id: str, now: float) -> HostStatus:
        """Returns what is held of a host."""
        host = self.hosts.hosts.get(host_id)
        if host is None:
            return HostStatus.UNKNOWN
        if host.state is HostState.LEAVING or self.is_leaving(host_id, now):
            return HostStatus.LEAVING
        contact = self.contacts.get(host_id)
        if contact and contact.failures:
            return HostStatus.UNREACHABLE
        return HostStatus.REACHABLE

    def is_leaving(self, host_id: str, now: float) -> bool:
        """Returns whether a notice says that a host is leaving."""
        return self.notices.find(NoticeKind.LEAVING, host_id, now) is not None

    def staying(self, now: float) -> tuple[Host, ...]:
        """Returns the hosts that may be given new work, ordered by id."""
        return tuple(
            host
            for host in self.hosts.live()
            if not self.is_leaving(host.host_id, now)
        )

    def may_contact(self, host_id: str, now: float) -> bool:
        """Returns whether a host isn't held back after failures."""
        contact = self.contacts.get(host_id)
        return contact is None or contact.retry_at <= now

    def update_for(self, base_revision: int) -> HostsUpdate:
        """Returns the host list as changes against a base, or whole."""
        return hosts_update(self.bases.get(base_revision), self.hosts)

    def replace(self, hosts: HostList) -> bool:
        """Takes a host list if it is later than the one held.

        Returns:
            Whether it was taken.
        """
        if hosts.revision <= self.hosts.revision:
            return False
        self.hosts = hosts
        self.bases[hosts.revision] = hosts
        if len(self.bases) > MAX_BASES:
            del self.bases[next(iter(self.bases))]
        self.contacts = {
            host_id: contact
            for host_id, contact in self.contacts.items()
            if host_id in hosts.hosts
        }
        return True

    def leave(self, now: float) -> None:
        """Announces that this daemon's host is leaving."""
        self._announce(NoticeKind.LEAVING, LEAVING_TTL_S, now)

    def learn(self, notice: Notice, now: float) -> bool:
        """Takes a notice in that came from another daemon.

        Each hop shortens its life by `HOP_COST_S`. A notice of leaving from
        an older incarnation than was heard from the host itself is ignored;
        one about this host from an earlier process is answered by a notice
        of return.

        Returns:
            Whether it said anything new.
        """
        notice = attrs.evolve(notice, ttl=notice.ttl - HOP_COST_S)
        if notice.kind is not NoticeKind.LEAVING:
            return self.notices.add(notice, now)
        if notice.subject == self.host.host_id:
            return self._contradict(notice, now)
        known = self.contacts.get(notice.subject, Contact())
        if notice.incarnation < known.incarnation:
            return False
        return self.notices.add(notice, now)

    def heard_from(self, host_id: str, incarnation: int, now: float) -> None:
        """Records the incarnation that a host itself reported."""
        known = self.contacts.get(host_id, Contact())
        if incarnation <= known.incarnation:
            return
        self._record(
            host_id,
            attrs.evolve(known, incarnation=incarnation, retry_at=now),
        )
        notice = self.notices.find(NoticeKind.LEAVING, host_id, now)
        if notice and notice.incarnation < incarnation:
            self.notices.drop(NoticeKind.LEAVING, host_id)

    def reached(self, host_id: str, now: float) -> None:
        """Records that an exchange with a host succeeded."""
        known = self.contacts.get(host_id, Contact())
        self._record(
            host_id,
            attrs.evolve(known, failures=0, retry_at=now, reached_at=now),
        )

    def failed(self, host_id: str, now: float) -> None:
        """Records that an exchange with a host failed."""
        known = self.contacts.get(host_id, Contact())
        ceiling = min(
            BACKOFF_CAP_S,
            BACKOFF_FIRST_S * 2 ** min(known.failures, MAX_DOUBLINGS),
        )
        delay = self.random.uniform(ceiling / 2, ceiling)
        self._record(
            host_id,
            attrs.evolve(
                known,
                failures=known.failures + 1,
                retry_at=now + delay,
            ),
        )

    def forget_failures(self) -> None:
        """Drops the evidence that hosts are unreachable."""
        self.contacts = {
            host_id: attrs.evolve(contact, failures=0, retry_at=0)
            for host_id, contact in self.contacts.items()
        }

    def _contradict(self, notice: Notice, now: float) -> bool:
        if notice.incarnation >= self.incarnation:
            return False
        known = self.notices.find(
            NoticeKind.RETURNED,
            self.host.host_id,
            now,
        )
        if known is not None:
            return False
        return self._announce(NoticeKind.RETURNED, RETURNED_TTL_S, now)

    def _announce(self, kind: NoticeKind, ttl: float, now: float) -> bool:
        notice = Notice(kind, self.host.host_id, self.incarnation, ttl)
        return self.notices.add(notice, now)

    def _record(self, host_id: str, contact: Contact) -> None:
        # Assigning anew moves the host to the end, so the first entry is
        # the one that was used least recently.
        self.contacts.pop(host_id, None)
        self.contacts[host_id] = contact
        if len(self.contacts) > MAX_CONTACTS:
            del self.contacts[next(iter(self.contacts))]
