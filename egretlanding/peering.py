"""Exchanges summaries with other daemons and pulls newer configuration."""

from collections.abc import Callable

import attrs
from result import Err, Ok

from egretlanding.background import Background
from egretlanding.events import Event, Severity, log_event
from egretlanding.exceptions import RemediedError
from egretlanding.exchange import ExchangeClient
from egretlanding.hosts import Host
from egretlanding.journal import Journal
from egretlanding.messages import HostsUpdate, ReleaseUpdate, Summary
from egretlanding.replica import Replica
from egretlanding.traffic import LinkClass


@attrs.define(eq=False)
class Peering:
    """Client and server side of the control exchange of one daemon.

    Attributes:
        replica: The replica, which decides what to pull.
        client: Sends requests to other daemons.
        journal: Counts and logs outcomes.
        background: The background tasks that are running.
        clock: Returns the time, seconds, after checking for a pause.
        remote_contact_at: Time of the last exchange with a daemon of another
            region, seconds.
    """

    replica: Replica
    client: ExchangeClient
    journal: Journal
    background: Background
    clock: Callable[[], float]
    remote_contact_at: float

    def link_class_to(self, host_id: str) -> LinkClass:
        """Returns the class of the link to a host."""
        listed_host = self.replica.membership.hosts.hosts.get(host_id)
        return LinkClass.between(self.replica.config.host, listed_host)

    def release_for(self, base_digest: str) -> ReleaseUpdate | None:
        """Returns the release in force as a delta against a base."""
        return self.replica.releases.update_for(base_digest)

    def hosts_for(self, base_revision: int) -> HostsUpdate:
        """Returns the host list as a delta against a base."""
        return self.replica.membership.update_for(base_revision)

    def compare(self, summary: Summary) -> Summary:
        """Processes a received summary and returns this daemon's."""
        now = self.clock()
        self.journal.counters.exchanges_answered += 1
        self.note_remote_contact(summary.host_id, now)
        decision = self.replica.receive_summary(summary, now)
        host = self.replica.membership.hosts.hosts.get(summary.host_id)
        if host and decision.pull_hosts:
            self.background.start(
                f'hosts of {host.host_id}',
                lambda: self.pull_hosts(host),
            )
        if host and decision.pull_release:
            self.background.start(
                f'release of {host.host_id}',
                lambda: self.pull_release(host),
            )
        return self.replica.summary(now)

    def start_exchange(self, host: Host) -> None:
        """Starts an exchange unless one with that host is running."""
        self.background.start(host.host_id, lambda: self.exchange(host))

    async def exchange(self, host: Host) -> None:
        """Exchanges summaries and pulls what is newer at the other daemon."""
        requested_at = self.clock()
        summary = self.replica.summary(requested_at)
        reply = await self.client.compare(host, summary)
        now = self.clock()
        if isinstance(reply, Err):
            self.note_failed(host, reply.err_value)
            return
        if requested_at < self.replica.readiness.started_at:
            # The process was paused in the meantime; the reply may be outdated.
            return
        self.journal.counters.exchanges += 1
        self.replica.exchange_succeeded(host.host_id, now)
        self.note_remote_contact(host.host_id, now)
        decision = self.replica.receive_summary(
            reply.ok_value,
            now,
            elapsed=now - requested_at,
        )
        if decision.pull_hosts:
            await self.pull_hosts(host)
        if decision.pull_release:
            await self.pull_release(host)
        self.journal.on_update()

    async def pull_release(self, host: Host) -> None:
        """Pulls the release as a delta, or in full if the delta fails."""
        for base in (self.replica.releases.digest, ''):
            update = await self.client.pull_release(host, base)
            if isinstance(update, Err):
                self.note_failed(host, update.err_value)
                return
            self.journal.counters.pulls += 1
            outcome = self.replica.apply_update(
                update.ok_value,
                self.clock(),
                host.host_id,
            )
            if isinstance(outcome, Ok):
                self.journal.note_release(outcome.ok_value, host.host_id)
                return
            error = outcome.err_value
        self.note_failed(host, error)

    async def pull_hosts(self, host: Host) -> None:
        """Pulls the host list as a delta, or in full if the delta fails."""
        for base in (self.replica.membership.hosts.revision, 0):
            update = await self.client.pull_hosts(host, base)
            if isinstance(update, Err):
                self.note_failed(host, update.err_value)
                return
            self.journal.counters.pulls += 1
            outcome = self.replica.apply_hosts(update.ok_value, self.clock())
            if isinstance(outcome, Ok):
                revision = update.ok_value.revision
                self.journal.note_hosts(outcome.ok_value, revision)
                return
            error = outcome.err_value
        self.note_failed(host, error)

    def note_remote_contact(self, host_id: str, now: float) -> None:
        """Records the time of an exchange if the host is in another region."""
        if self.link_class_to(host_id) is LinkClass.REMOTE:
            self.remote_contact_at = now

    def note_failed(self, host: Host, error: RemediedError) -> None:
        """Records a failed exchange; logs the first of consecutive ones."""
        self.journal.counters.exchange_failures += 1
        contact = self.replica.membership.contacts.get(host.host_id)
        if contact is None or not contact.failures:
            log_event(Event.PEER_UNREACHABLE, str(error), Severity.WARNING)
        self.replica.exchange_failed(host.host_id, self.clock())
