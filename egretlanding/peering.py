"""Compares with other daemons, and pulls what is newer there."""

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
    """Both sides of the exchange of one daemon.

    Attributes:
        replica: The policy.
        client: Asks other daemons.
        journal: Hears of outcomes.
        background: The work under way.
        clock: Returns the time, seconds, and notices pauses.
        link_heard_at: Time of the last exchange with another region.
    """

    replica: Replica
    client: ExchangeClient
    journal: Journal
    background: Background
    clock: Callable[[], float]
    link_heard_at: float

    def link_of(self, host_id: str) -> LinkClass:
        """Returns how far a host is."""
        known = self.replica.membership.hosts.hosts.get(host_id)
        return LinkClass.between(self.replica.config.host, known)

    def release_for(self, base_digest: str) -> ReleaseUpdate | None:
        """Returns the release in force as changes against a base."""
        return self.replica.ledger.update_for(base_digest)

    def hosts_for(self, base_revision: int) -> HostsUpdate:
        """Returns the host list as changes against a base."""
        return self.replica.membership.update_for(base_revision)

    def compare(self, summary: Summary) -> Summary:
        """Takes in a summary and returns this daemon's."""
        now = self.clock()
        self.journal.counters.exchanges_answered += 1
        self.note_link(summary.host_id, now)
        news = self.replica.observe(summary, now)
        host = self.replica.membership.hosts.hosts.get(summary.host_id)
        if host and news.pull_hosts:
            self.background.start(
                f'hosts of {host.host_id}',
                lambda: self.pull_hosts(host),
            )
        if host and news.pull_release:
            self.background.start(
                f'release of {host.host_id}',
                lambda: self.pull_release(host),
            )
        return self.replica.summary(now)

    def start_exchange(self, host: Host) -> None:
        """Starts an exchange unless there is one with that host."""
        self.background.start(host.host_id, lambda: self.exchange(host))

    async def exchange(self, host: Host) -> None:
        """Compares with another daemon and pulls what is newer there."""
        asked_at = self.clock()
        summary = self.replica.summary(asked_at)
        answer = await self.client.compare(host, summary)
        now = self.clock()
        if isinstance(answer, Err):
            self.note_failed(host, answer.err_value)
            return
        if asked_at < self.replica.readiness.started_at:
            # The process was paused since, and so the answer may be old.
            return
        self.journal.counters.exchanges += 1
        self.replica.reached(host.host_id, now)
        self.note_link(host.host_id, now)
        news = self.replica.observe(
            answer.ok_value,
            now,
            elapsed=now - asked_at,
        )
        if news.pull_hosts:
            await self.pull_hosts(host)
        if news.pull_release:
            await self.pull_release(host)
        self.journal.on_news()

    async def pull_release(self, host: Host) -> None:
        """Pulls a release as a delta, or whole if that can't be used."""
        for base in (self.replica.ledger.digest, ''):
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
        """Pulls a host list as a delta, or whole if that can't be used."""
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

    def note_link(self, host_id: str, now: float) -> None:
        """Records that another region was heard, if the host is there."""
        if self.link_of(host_id) is LinkClass.REMOTE:
            self.link_heard_at = now

    def note_failed(self, host: Host, error: RemediedError) -> None:
        """Records an exchange that failed, and reports the first one."""
        self.journal.counters.exchange_failures += 1
        contact = self.replica.membership.contacts.get(host.host_id)
        if contact is None or not contact.failures:
            log_event(Event.PEER_UNREACHABLE, str(error), Severity.WARNING)
        self.replica.failed(host.host_id, self.clock())
