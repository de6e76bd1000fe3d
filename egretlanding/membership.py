"""Hosts of the mesh: the published list and later evidence about them."""

import enum
from random import Random

import attrs

from egretlanding.delta import hosts_update
from egretlanding.hosts import Host, HostList, HostState
from egretlanding.messages import HostsUpdate, Notice, NoticeKind
from egretlanding.notices import NoticeTable

LEAVING_TTL_S = 300
RETURNED_TTL_S = 300
# Longer than a request is in transit, so that passing a notice on from
# daemon to daemon can't prolong its life.
HOP_TTL_COST_S = 2
BACKOFF_FIRST_S = 0.5
BACKOFF_CAP_S = 6
MAX_DOUBLINGS = 8
MAX_CONTACTS = 256
MAX_BASES = 16


class HostStatus(enum.StrEnum):
    """State of a host as this daemon sees it."""

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
        incarnation: Greatest incarnation in a summary of the host itself.
    """

    failures: int = 0
    retry_at: float = 0
    reached_at: float = 0
    incarnation: int = 0


@attrs.define
class Membership:
    """The host list, and evidence that is newer than the list.

    Attributes:
        host: The host that this daemon runs on.
        incarnation: This process's start time, ns since the epoch.
        random: Source of jitter.
        hosts: The latest host list held.
        notices: Notices that daemons pass on to each other.
        contacts: Outcomes of exchanges by host id.
        bases: Recent host lists by revision, as bases of deltas.
    """

    host: Host
    incarnation: int
    random: Random
    hosts: HostList = attrs.field(factory=HostList)
    notices: NoticeTable = attrs.field(factory=NoticeTable)
    contacts: dict[str, Contact] = attrs.field(factory=dict)
    bases: dict[int, HostList] = attrs.field(factory=dict)

    def status(self, host_id: str, now: float) -> HostStatus:
        """Returns the state of a host as this daemon sees it."""
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

    def hosts_not_leaving(self, now: float) -> tuple[Host, ...]:
        """Returns the hosts that may be given new work, ordered by id."""
        return tuple(
            host
            for host in self.hosts.live()
            if not self.is_leaving(host.host_id, now)
        )

    def may_contact(self, host_id: str, now: float) -> bool:
        """Returns whether the backoff after failed exchanges is over."""
        contact = self.contacts.get(host_id)
        return contact is None or contact.retry_at <= now

    def update_for(self, base_revision: int) -> HostsUpdate:
        """Returns the host list as changes against a base.

        If the base isn't held, the update has the whole list.
        """
        return hosts_update(self.bases.get(base_revision), self.hosts)

    def replace(self, hosts: HostList) -> bool:
        """Replaces the host list if the other one is later.

        Returns:
            Whether the list was replaced.
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

    def announce_leaving(self, now: float) -> None:
        """Announces that this daemon's host is leaving."""
        self._announce(NoticeKind.LEAVING, LEAVING_TTL_S, now)

    def add_notice(self, notice: Notice, now: float) -> bool:
        """Adds a notice from another daemon.

        Each hop shortens the notice's lifetime by `HOP_TTL_COST_S`. A notice
        that a host is leaving is ignored if the host itself has reported a
        later incarnation since. If the notice says that this host is leaving
        and is about an earlier process, this daemon announces that the host
        has returned.

        Returns:
            Whether the notices held changed.
        """
        notice = attrs.evolve(notice, ttl=notice.ttl - HOP_TTL_COST_S)
        if notice.kind is not NoticeKind.LEAVING:
            return self.notices.add(notice, now)
        if notice.subject == self.host.host_id:
            return self._refute_leaving(notice, now)
        contact = self.contacts.get(notice.subject, Contact())
        if notice.incarnation < contact.incarnation:
            return False
        return self.notices.add(notice, now)

    def note_incarnation(
        self, host_id: str, incarnation: int, now: float
    ) -> None:
        """Records the incarnation that a host reported of itself.

        A greater one ends the backoff and drops notices that an earlier
        process of the host is leaving.
        """
        contact = self.contacts.get(host_id, Contact())
        if incarnation <= contact.incarnation:
            return
        self._record(
            host_id,
            attrs.evolve(contact, incarnation=incarnation, retry_at=now),
        )
        notice = self.notices.find(NoticeKind.LEAVING, host_id, now)
        if notice and notice.incarnation < incarnation:
            self.notices.drop(NoticeKind.LEAVING, host_id)

    def exchange_succeeded(self, host_id: str, now: float) -> None:
        """Records that an exchange with a host succeeded."""
        contact = self.contacts.get(host_id, Contact())
        self._record(
            host_id,
            attrs.evolve(contact, failures=0, retry_at=now, reached_at=now),
        )

    def exchange_failed(self, host_id: str, now: float) -> None:
        """Records that an exchange with a host failed."""
        contact = self.contacts.get(host_id, Contact())
        ceiling = min(
            BACKOFF_CAP_S,
            BACKOFF_FIRST_S * 2 ** min(contact.failures, MAX_DOUBLINGS),
        )
        delay = self.random.uniform(ceiling / 2, ceiling)
        self._record(
            host_id,
            attrs.evolve(
                contact,
                failures=contact.failures + 1,
                retry_at=now + delay,
            ),
        )

    def forget_failures(self) -> None:
        """Drops the evidence that hosts are unreachable."""
        self.contacts = {
            host_id: attrs.evolve(contact, failures=0, retry_at=0)
            for host_id, contact in self.contacts.items()
        }

    def _refute_leaving(self, notice: Notice, now: float) -> bool:
        if notice.incarnation >= self.incarnation:
            return False
        returned = self.notices.find(
            NoticeKind.RETURNED,
            self.host.host_id,
            now,
        )
        if returned is not None:
            return False
        return self._announce(NoticeKind.RETURNED, RETURNED_TTL_S, now)

    def _announce(self, kind: NoticeKind, ttl: float, now: float) -> bool:
        notice = Notice(kind, self.host.host_id, self.incarnation, ttl)
        return self.notices.add(notice, now)

    def _record(self, host_id: str, contact: Contact) -> None:
        # Removing and adding the host moves it to the end, so the first host
        # is always the one whose contact was updated least recently.
        self.contacts.pop(host_id, None)
        self.contacts[host_id] = contact
        if len(self.contacts) > MAX_CONTACTS:
            del self.contacts[next(iter(self.contacts))]
