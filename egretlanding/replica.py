"""How one daemon takes part in distributing releases and host lists."""

from random import Random

import attrs
from result import Err, Ok, Result

from egretlanding.budget import ReadBudget
from egretlanding.delta import (
    apply_hosts_update,
    apply_release_update,
)
from egretlanding.exceptions import DeltaError, ReleaseError
from egretlanding.hosts import Host, HostList
from egretlanding.membership import Membership
from egretlanding.messages import (
    HostsUpdate,
    Notice,
    NoticeKind,
    PullDecision,
    ReleaseUpdate,
    Summary,
)
from egretlanding.partners import Partners
from egretlanding.readiness import FRESH_CONFIRMATION_S, Readiness
from egretlanding.release import Release
from egretlanding.releasetable import (
    Applied,
    FindFaults,
    Outcome,
    Refused,
    ReleaseTable,
)
from egretlanding.replicastate import ReplicaConfig, ReplicaState
from egretlanding.reports import (
    conflict_from_notice,
    conflict_notice,
    refusal_notice,
)
from egretlanding.watchers import WatchDuty


@attrs.define
class Replica(ReplicaState):
    """The distribution policy of one daemon, without input and output.

    The daemon's tasks pass it what they receive and carry out its decisions.
    """

    @classmethod
    def from_config(
        cls,
        config: ReplicaConfig,
        find_faults: FindFaults,
        random: Random,
        now: float,
    ) -> 'Replica':
        """Builds the replica of a process that has just started.

        Args:
            config: What the daemon knows from its settings.
            find_faults: The check of a release's whole set of objects.
            random: Source of random choices and jitter.
            now: The time, seconds of a monotonic clock.
        """
        host = config.host
        seeds = HostList(0, {seed.host_id: seed for seed in config.seeds})
        partners = Partners(host, random)
        partners.update_hosts(seeds)
        replica = cls(
            config=config,
            releases=ReleaseTable(find_faults),
            membership=Membership(host, config.incarnation, random, seeds),
            watch_duty=WatchDuty(
                host, random, now, is_seed=host in config.seeds
            ),
            read_budget=ReadBudget(random, now),
            partners=partners,
            readiness=Readiness(now),
        )
        replica.restart(now, 0)
        return replica

    def receive_summary(
        self,
        summary: Summary,
        now: float,
        elapsed: float | None = None,
    ) -> PullDecision:
        """Processes the summary of another daemon.

        Args:
            summary: The summary.
            now: The time, seconds.
            elapsed: Time since this daemon sent the request to which the
                summary is the reply, seconds; None for a summary that came
                in a request. Ages are taken from replies only, because the
                receiver can't know how long a request was in transit.

        Returns:
            What to pull from the sender. Nothing is pulled if the summary
            came in a request from a host that isn't on the host list, since
            the address of that host isn't known.
        """
        self.membership.note_incarnation(
            summary.host_id, summary.incarnation, now
        )
        if summary.watching:
            self.watch_duty.note_watcher(summary.host_id, now)
        self._add_notices(summary.notices, now)
        if elapsed is not None:
            self._update_ages(summary, now - elapsed)
            self._note_peer(summary)
        sender_is_listed = summary.host_id in self.membership.hosts.hosts
        if elapsed is None and not sender_is_listed:
            return PullDecision(pull_release=False, pull_hosts=False)
        position = summary.position
        revision = summary.hosts_revision
        return PullDecision(
            pull_release=self.releases.should_pull(position)
            and self.claims.take(position.digest, now),
            pull_hosts=revision > self.membership.hosts.revision
            and self.claims.take(revision, now),
        )

    def offer_release(
        self,
        release: Release,
        revision: int,
        now: float,
        source: str = '',
    ) -> Outcome:
        """Checks a release and puts it in force if it is later.

        Args:
            release: A release whose digest was verified.
            revision: The store's revision of the head that announced it.
            now: The time, seconds.
            source: Id of the host that sent it, or empty for the store.
        """
        known_conflicts = self.releases.conflicts
        outcome = self.releases.offer(release, revision)
        self.claims.release(release.digest)
        if isinstance(outcome, Refused):
            self._add_report(refusal_notice(outcome), now)
        for conflict in self.releases.conflicts:
            if conflict not in known_conflicts:
                self._add_report(conflict_notice(conflict), now)
        if isinstance(outcome, Applied):
            cross_region = self.region_of(source) in {
                '',
                self.config.host.region,
            }
            self._notify(now, at_once=True, cross_region=cross_region)
            self._update_readiness()
        return outcome

    def offer_hosts(self, hosts: HostList, now: float) -> bool:
        """Replaces the host list held by a later one.

        Returns:
            Whether the offered list was later.
        """
        is_first_list = not self.membership.hosts.revision
        if not self.membership.replace(hosts):
            return False
        if is_first_list:
            # Up to now the partners are seeds. Drop them, otherwise all
            # hosts would keep these few as partners.
            self.partners.chosen.clear()
        self.claims.release(hosts.revision)
        self.watch_duty.update_ranking(hosts.live())
        self.partners.update_hosts(hosts)
        self._notify(now)
        self._update_readiness()
        return True

    def apply_update(
        self,
        update: ReleaseUpdate,
        now: float,
        source: str = '',
    ) -> Result[Outcome, DeltaError | ReleaseError]:
        """Offers the release that an update from another daemon leads to.

        Nothing changes unless the digest of the whole result is verified.

        Args:
            update: The update.
            now: The time, seconds.
            source: Id of the host that sent it.

        Returns:
            The outcome, or why the update can't be used. In that case the
            caller should request the whole release.
        """
        base = self.releases.delta_bases.get(update.base_digest)
        try:
            release = apply_release_update(base, update)
        except (DeltaError, ReleaseError) as error:
            return Err(error)
        outcome = self.offer_release(release, update.revision, now, source)
        return Ok(outcome)

    def apply_hosts(
        self,
        update: HostsUpdate,
        now: float,
    ) -> Result[bool, DeltaError | ReleaseError]:
        """Applies an update of the host list from another daemon.

        Returns:
            Whether the list was later than the one held, or why the update
            can't be used.
        """
        try:
            hosts = apply_hosts_update(self.membership.hosts, update)
        except (DeltaError, ReleaseError) as error:
            return Err(error)
        return Ok(self.offer_hosts(hosts, now))

    def store_attempted(self, now: float) -> None:
        """Records that this daemon sends a request to the store now."""
        self.read_budget.attempt(now, self.watch_duty.is_watcher_or_standby)
        self.watch_duty.note_attempt(now)
        self.freshness.note_attempted(now)

    def store_confirmed(self, now: float, revision: int) -> None:
        """Records an answer of the store, after the release was offered.

        An answer with an older head than the one in force marks the store as
        stale and confirms nothing.

        Args:
            now: When the request was sent to the store, seconds.
            revision: The store's revision of the head.
        """
        self.read_budget.succeed(now)
        self.stale = revision < self.releases.position.revision
        if self.stale:
            return
        self.watch_duty.confirmed_at = now
        self.freshness.note_confirmed(now)
        self.readiness.note_store(self.releases.position)
        self._update_readiness()

    def hosts_confirmed(self, now: float, revision: int) -> None:
        """Records the host list's revision from an answer of the store.

        Args:
            now: When the request was sent to the store, seconds.
            revision: The store's revision of the list.
        """
        if revision == self.membership.hosts.revision:
            self.freshness.note_hosts(now)

    def next_exchanges(self, now: float) -> tuple[Host, ...]:
        """Returns the hosts to exchange summaries with now.

        They are removed from the schedule.
        """
        due = self.partners.take_due(
            now,
            self.membership,
            self.watch_duty,
            ready=self.is_ready(now),
        )
        listed_hosts = self.membership.hosts.hosts
        return tuple(
            listed_hosts[host_id] for host_id in due if host_id in listed_hosts
        )

    def exchange_succeeded(self, host_id: str, now: float) -> None:
        """Records that an exchange with a host succeeded."""
        self.membership.exchange_succeeded(host_id, now)

    def exchange_failed(self, host_id: str, now: float) -> None:
        """Records that an exchange with a host failed."""
        self.membership.exchange_failed(host_id, now)
        self.claims.clear()

    def announce_leaving(self, now: float) -> None:
        """Announces that this daemon's host is leaving."""
        self.membership.announce_leaving(now)
        self._notify(now, at_once=True)

    def restart(self, now: float, pause_s: float) -> None:
        """Starts over after a pause of the process.

        The daemon isn't ready until it has exchanged summaries again.

        Args:
            now: The time, seconds.
            pause_s: How long the process was paused, seconds.
        """
        self.paused_for = pause_s
        self.readiness.restart(now)
        self.watch_duty.restart(now)
        self.membership.forget_failures()
        self.claims.clear()
        self.partners.restart(now)
        self._notify(now, at_once=True)

    def _notify(
        self,
        now: float,
        *,
        at_once: bool = False,
        cross_region: bool = True,
    ) -> None:
        self.partners.notify(
            now,
            self.membership,
            self.watch_duty,
            at_once=at_once,
            cross_region=cross_region,
        )

    def _update_ages(self, summary: Summary, requested_at: float) -> None:
        self.freshness.note_attempted(requested_at, summary.attempted_age)
        if summary.position == self.releases.position:
            self.freshness.note_confirmed(requested_at, summary.confirmed_age)
        # Any list later than the sender's was published within the age that
        # the sender reports. A list later than the one held here is also later
        # than the sender's, so the age holds for this daemon as well.
        if summary.hosts_revision <= self.membership.hosts.revision:
            self.freshness.note_hosts(requested_at, summary.hosts_age)

    def _note_peer(self, summary: Summary) -> None:
        host = self.membership.hosts.hosts.get(summary.host_id)
        if host is None:
            return
        self.readiness.note_peer(host.failure_domain, summary.position)
        if summary.ready and summary.confirmed_age < FRESH_CONFIRMATION_S:
            self.readiness.note_store(summary.position)
        self._update_readiness()

    def _update_readiness(self) -> None:
        if self.membership.hosts.revision:
            self.readiness.update(
                self.releases.position,
                len(self.partners.domains),
            )

    def _add_notices(self, notices: tuple[Notice, ...], now: float) -> None:
        # A list, so that `any` doesn't stop before all notices are added.
        changes = [
            self.membership.add_notice(notice, now) for notice in notices
        ]
        if any(changes):
            self._record_conflicts(now)
            self._notify(now)

    def _record_conflicts(self, now: float) -> None:
        notices = self.membership.notices.of_kind(NoticeKind.CONFLICT, now)
        conflicts = map(conflict_from_notice, notices)
        self.releases.add_conflicts(filter(None, conflicts))

    def _add_report(self, notice: Notice, now: float) -> None:
        if self.membership.notices.add(notice, now):
            self._notify(now)
