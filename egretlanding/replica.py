"""One daemon's share in the distribution of releases and host lists."""

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
from egretlanding.ledger import (
    Adopted,
    FindFaults,
    Ledger,
    Outcome,
    Refused,
)
from egretlanding.membership import Membership
from egretlanding.messages import (
    Comparison,
    HostsUpdate,
    Notice,
    NoticeKind,
    ReleaseUpdate,
    Summary,
)
from egretlanding.partners import Partners
from egretlanding.readiness import FRESH_NEWS_S, Readiness
from egretlanding.release import Release
from egretlanding.replicastate import ReplicaConfig, ReplicaState
from egretlanding.reports import (
    conflict_notice,
    conflict_of,
    refusal_notice,
)
from egretlanding.watchers import WatchDuty


@attrs.define
class Replica(ReplicaState):
    """The policy of one daemon; its tasks feed it and do what it says."""

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
            find_faults: The check of the whole set.
            random: Source of choice and jitter.
            now: The time, seconds of a monotonic clock.
        """
        host = config.host
        seeds = HostList(0, {seed.host_id: seed for seed in config.seeds})
        partners = Partners(host, random)
        partners.choose_from(seeds)
        replica = cls(
            config=config,
            ledger=Ledger(find_faults),
            membership=Membership(host, config.incarnation, random, seeds),
            duty=WatchDuty(host, random, now, is_seed=host in config.seeds),
            reads=ReadBudget(random, now),
            partners=partners,
            readiness=Readiness(now),
        )
        replica.woke(now, 0)
        return replica

    def observe(
        self,
        summary: Summary,
        now: float,
        elapsed: float | None = None,
    ) -> Comparison:
        """Takes in another daemon's summary.

        Args:
            summary: The summary.
            now: The time, seconds.
            elapsed: Time since this daemon sent the request that the
                summary answers, seconds; none for a summary that came in a
                request. Ages are taken from answers only, since nobody can
                tell how long a request was under way.

        Returns:
            What to pull from the sender; nothing on a request from a host
            that isn't on the list, since its address isn't known.
        """
        self.membership.heard_from(summary.host_id, summary.incarnation, now)
        if summary.watching:
            self.duty.hear(summary.host_id, now)
        self._learn(summary.notices, now)
        if elapsed is not None:
            self._learn_ages(summary, now - elapsed)
            self._note_peer(summary)
        listed = summary.host_id in self.membership.hosts.hosts
        if elapsed is None and not listed:
            return Comparison(pull_release=False, pull_hosts=False)
        position = summary.position
        revision = summary.hosts_revision
        return Comparison(
            pull_release=self.ledger.wants(position)
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
        """Decides on a release and puts it in force if it is later.

        Args:
            release: A release whose digest was verified.
            revision: The store's revision of the head that announced it.
            now: The time, seconds.
            source: Id of the host that it came from, or empty for the store.
        """
        conflicts = self.ledger.conflicts
        outcome = self.ledger.offer(release, revision)
        self.claims.release(release.digest)
        if isinstance(outcome, Refused):
            self._report(refusal_notice(outcome), now)
        for conflict in self.ledger.conflicts:
            if conflict not in conflicts:
                self._report(conflict_notice(conflict), now)
        if isinstance(outcome, Adopted):
            across = self.region_of(source) in {'', self.config.host.region}
            self._notify(now, at_once=True, across=across)
            self._settle()
        return outcome

    def offer_hosts(self, hosts: HostList, now: float) -> bool:
        """Takes a host list if it is later than the one held.

        Returns:
            Whether it was taken.
        """
        first = not self.membership.hosts.revision
        if not self.membership.replace(hosts):
            return False
        if first:
            # Otherwise all hosts would keep the few seeds as partners.
            self.partners.chosen.clear()
        self.claims.release(hosts.revision)
        self.duty.rank_among(hosts.live())
        self.partners.choose_from(hosts)
        self._notify(now)
        self._settle()
        return True

    def apply_update(
        self,
        update: ReleaseUpdate,
        now: float,
        source: str = '',
    ) -> Result[Outcome, DeltaError | ReleaseError]:
        """Decides on a release that came from another daemon.

        Nothing changes unless the whole result is verified.

        Args:
            update: The update.
            now: The time, seconds.
            source: Id of the host that it came from.

        Returns:
            The outcome, or why the update can't be used; then the whole
            release should be asked for.
        """
        base = self.ledger.bases.get(update.base_digest)
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
        """Takes a host list that came from another daemon.

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
        """Records that this daemon asks the store now."""
        self.reads.attempt(now, self.duty.is_near_front)
        self.duty.note_attempt(now)
        self.freshness.note_attempted(now)

    def store_confirmed(self, now: float, revision: int) -> None:
        """Records an answer of the store, after its head was offered.

        Args:
            now: When the store was asked, seconds.
            revision: The store's revision of the head.
        """
        self.reads.succeed(now)
        self.stale = revision < self.ledger.position.revision
        if self.stale:
            return
        self.duty.confirmed_at = now
        self.freshness.note_confirmed(now)
        self.readiness.note_store(self.ledger.position)
        self._settle()

    def hosts_confirmed(self, now: float, revision: int) -> None:
        """Records what the store said of the host list.

        Args:
            now: When the store was asked, seconds.
            revision: The store's revision of the list.
        """
        if revision == self.membership.hosts.revision:
            self.freshness.note_hosts(now)

    def next_exchanges(self, now: float) -> tuple[Host, ...]:
        """Takes the exchanges that are due off the schedule."""
        due = self.partners.take_due(
            now,
            self.membership,
            self.duty,
            ready=self.is_ready(now),
        )
        known = self.membership.hosts.hosts
        return tuple(known[host_id] for host_id in due if host_id in known)

    def reached(self, host_id: str, now: float) -> None:
        """Records that an exchange with a host succeeded."""
        self.membership.reached(host_id, now)

    def failed(self, host_id: str, now: float) -> None:
        """Records that an exchange with a host failed."""
        self.membership.failed(host_id, now)
        self.claims.clear()

    def leave(self, now: float) -> None:
        """Announces that this daemon's host is leaving."""
        self.membership.leave(now)
        self._notify(now, at_once=True)

    def woke(self, now: float, gap: float) -> None:
        """Starts over after a pause: not ready until it has compared again.

        Args:
            now: The time, seconds.
            gap: How long the process was paused, seconds.
        """
        self.paused_for = gap
        self.readiness.restart(now)
        self.duty.restart(now)
        self.membership.forget_failures()
        self.claims.clear()
        self.partners.restart(now)
        self._notify(now, at_once=True)

    def _notify(
        self,
        now: float,
        *,
        at_once: bool = False,
        across: bool = True,
    ) -> None:
        self.partners.notify(
            now,
            self.membership,
            self.duty,
            at_once=at_once,
            across=across,
        )

    def _learn_ages(self, summary: Summary, asked_at: float) -> None:
        self.freshness.note_attempted(asked_at, summary.attempted_age)
        if summary.position == self.ledger.position:
            self.freshness.note_confirmed(asked_at, summary.confirmed_age)
        # What is later than the list held is later than an earlier list too.
        if summary.hosts_revision <= self.membership.hosts.revision:
            self.freshness.note_hosts(asked_at, summary.hosts_age)

    def _note_peer(self, summary: Summary) -> None:
        host = self.membership.hosts.hosts.get(summary.host_id)
        if host is None:
            return
        self.readiness.note_peer(host.failure_domain, summary.position)
        if summary.ready and summary.confirmed_age < FRESH_NEWS_S:
            self.readiness.note_store(summary.position)
        self._settle()

    def _settle(self) -> None:
        if self.membership.hosts.revision:
            self.readiness.settle(
                self.ledger.position,
                len(self.partners.domains),
            )

    def _learn(self, notices: tuple[Notice, ...], now: float) -> None:
        # A list, because each of them must be learned.
        learned = [self.membership.learn(notice, now) for notice in notices]
        if any(learned):
            self._record_conflicts(now)
            self._notify(now)

    def _record_conflicts(self, now: float) -> None:
        notices = self.membership.notices.of_kind(NoticeKind.CONFLICT, now)
        found = map(conflict_of, notices)
        self.ledger.add_conflicts(filter(None, found))

    def _report(self, notice: Notice, now: float) -> None:
        if self.membership.notices.add(notice, now):
            self._notify(now)
