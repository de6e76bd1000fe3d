"""The choice of a target for each attempt of an ingress daemon.

It relies only on the evidence that this daemon has gathered itself.
"""

import heapq
import math
import random

import attrs

from egretlanding.evidence import TargetEvidence
from egretlanding.hosts import Host
from egretlanding.objects import Region, Service
from egretlanding.outcomes import Reason, Refusal
from egretlanding.residency import must_leave
from egretlanding.subsets import Distance, Locality
from egretlanding.targets import TargetTable
from egretlanding.tokens import TokenBucket

# A target of the ingress daemon's failure domain is preferred to one of another
# domain if its score is at most this multiple of the other's.
NEAR_PREFERENCE = 1.5
# Of two sampled targets, the first is chosen if its score is at most this
# multiple of the second one's.
TIE_RATIO = 1.1
# Time for which unused bytes of the link budget are saved up, seconds.
LINK_BURST_S = 30
MIN_LINK_BURST_BYTES = 16_384
# Most debt of the link budget from calls that must leave the region, in seconds
# of the budget. After a peak of them, others wait for as long.
MAX_LINK_DEBT_S = 5
BYTES_PER_KBYTE = 1_000


@attrs.frozen
class AttemptSpec:
    """What an attempt requires of its target.

    Attributes:
        attempt: Number of the attempt in this ingress daemon.
        route: Name of the route.
        deadline: When the answer becomes useless, seconds.
        size: Size of the request, bytes.
        idempotent: Whether the call may run more than once.
        excluded: Ids of the hosts to leave out, which were tried before.
        regions: The regions that the target may be in, empty for all.
        skips_near: Whether to leave out the targets of this region.
        soft_deadline: When the answer begins to lose value, seconds; infinite
            if it doesn't or if learned limits are off.
    """

    attempt: int
    route: str
    deadline: float
    size: int = 0
    idempotent: bool = False
    excluded: frozenset[str] = frozenset()
    regions: frozenset[str] = frozenset()
    skips_near: bool = False
    soft_deadline: float = math.inf


@attrs.frozen
class Choice:
    """The target chosen for an attempt.

    Attributes:
        host: The target's host.
        distance: Its distance from the ingress daemon.
        is_probe: Whether the call probes a shunned target.
    """

    host: Host
    distance: Distance
    is_probe: bool = False


@attrs.frozen
class ScoredTarget:
    """A target with its score, the predicted relative latency.

    Attributes:
        evidence: The evidence on the target.
        score: Its predicted latency relative to the usual one, at the time of
            the choice.
    """

    evidence: TargetEvidence
    score: float


def link_bucket(region: Region, hosts: int, now: float) -> TokenBucket:
    """Builds one daemon's share of its region's byte budget for the link.

    Args:
        region: Region of the ingress daemon.
        hosts: Number of hosts in the region, which share the budget.
        now: Monotonic time, seconds.
    """
    rate = region.link_kbytes_per_s * BYTES_PER_KBYTE / max(1, hosts)
    burst = max(MIN_LINK_BURST_BYTES, rate * LINK_BURST_S) if rate else 0
    return TokenBucket.full(rate, burst, now)


@attrs.define
class Balancer:
    """Chooses targets of one service for one ingress daemon.

    Attributes:
        targets: The targets and the evidence on them.
        link: Budget of request bytes sent to other regions, shared with the
            other services.
    """

    targets: TargetTable
    link: TokenBucket

    @classmethod
    def for_service(
        cls,
        locality: Locality,
        service: Service,
        link: TokenBucket,
    ) -> 'Balancer':
        """Builds a balancer without targets."""
        return cls(TargetTable(locality, service), link)

    def choose(
        self,
        spec: AttemptSpec,
        now: float,
        rng: random.Random,
    ) -> Choice | Refusal:
        """Chooses the target of an attempt.

        A probe that is due comes first. Next comes a target of the same
        region if it is expected to meet the deadline, then one of another
        region within the budget of the link, then one of the same region
        even if it is late.

        Args:
            spec: The attempt.
            now: Monotonic time, seconds.
            rng: Source of the random choices.

        Returns:
            The target, or the reason why there is none.
        """
        group = self._usable(spec, now)
        probe = self._due_probe(group, spec, now)
        if probe is not None:
            return _choice(probe, is_probe=True)
        usable = _without_shunned(group)
        near = self._choose_near(usable, spec, now, rng)
        if near is not None and self._meets_deadline(near, spec, now):
            return _choice(near)
        remote = self._best_of_two(Distance.REMOTE, usable, spec, now, rng)
        if remote is not None and self._may_cross(spec, now):
            return _choice(remote)
        if near is not None:
            return _choice(near)
        if remote is not None:
            return Refusal.not_run(
                Reason.LINK_BUDGET,
                'the byte budget of the link is spent',
            )
        return no_target(spec)

    def choose_near_first(
        self,
        spec: AttemptSpec,
        now: float,
        rng: random.Random,
    ) -> Choice | Refusal:
        """Chooses the target of an attempt if use of the link is expensive.

        Other regions are used only if no target of the same region is
        expected to have capacity for the call.

        Args:
            spec: The attempt.
            now: Monotonic time, seconds.
            rng: Source of the random choices.

        Returns:
            The target, or the reason why there is none.
        """
        group = self._usable(spec, now)
        if not group:
            return no_target(spec)
        probe = self._due_probe(group, spec, now)
        if probe is not None:
            return _choice(probe, is_probe=True)
        with_room = [
            target for target in group if not target.is_full(spec.route, now)
        ]
        usable = _without_shunned(with_room)
        near = self._choose_near(usable, spec, now, rng)
        if near is not None:
            return _choice(near)
        remote = self._best_of_two(Distance.REMOTE, usable, spec, now, rng)
        if remote is None:
            detail = 'all targets recently refused calls of the route'
            return Refusal.not_run(Reason.QUEUE_FULL, detail)
        if not self._may_cross(spec, now):
            return Refusal.not_run(
                Reason.LINK_BUDGET,
                'the byte budget of the link is spent',
            )
        return _choice(remote)

    def begin(self, choice: Choice, spec: AttemptSpec, now: float) -> None:
        """Records that an attempt was sent.

        Args:
            choice: The chosen target.
            spec: The attempt.
            now: Monotonic time, seconds.
        """
        host_id = choice.host.host_id
        self.targets.begin(host_id, spec.attempt, spec.route, now)
        if choice.distance is Distance.REMOTE:
            self.link.charge(spec.size, now)
            max_debt = MAX_LINK_DEBT_S * self.link.rate
            self.link.level = max(self.link.level, -max_debt)

    def _usable(self, spec: AttemptSpec, now: float) -> list[TargetEvidence]:
        group = self.targets.usable_targets(now, spec.excluded, spec.regions)
        if not spec.skips_near:
            return group
        return [one for one in group if one.distance is Distance.REMOTE]

    def _may_cross(self, spec: AttemptSpec, now: float) -> bool:
        # Calls that have no choice go first. They are charged all the same, so
        # that others wait until the link has recovered.
        if must_leave(spec.regions, self.targets.locality.region):
            return True
        return self.link.available(now) >= spec.size

    def _due_probe(
        self,
        group: list[TargetEvidence],
        spec: AttemptSpec,
        now: float,
    ) -> ScoredTarget | None:
        due = (
            self._scored(target, spec, now)
            for target in group
            if target.probation is not None
            and target.probation.next_probe <= now
            and not target.flights
        )
        in_time = (
            scored for scored in due if self._meets_deadline(scored, spec, now)
        )
        return next(in_time, None)

    def _scored(
        self, target: TargetEvidence, spec: AttemptSpec, now: float
    ) -> ScoredTarget:
        return ScoredTarget(target, self.targets.score(target, now, spec.route))

    def _meets_deadline(
        self,
        scored: ScoredTarget,
        spec: AttemptSpec,
        now: float,
    ) -> bool:
        expected = self.targets.times.expected(spec.route)
        return now + scored.score * expected <= spec.deadline

    def _choose_near(
        self,
        group: list[TargetEvidence],
        spec: AttemptSpec,
        now: float,
        rng: random.Random,
    ) -> ScoredTarget | None:
        same_domain = self._best_of_two(
            Distance.FAILURE_DOMAIN,
            group,
            spec,
            now,
            rng,
        )
        other_domain = self._best_of_two(Distance.REGION, group, spec, now, rng)
        if same_domain is None or other_domain is None:
            return same_domain or other_domain
        preference = NEAR_PREFERENCE
        if self._is_late(same_domain, spec, now):
            preference = 1
        return (
            same_domain
            if same_domain.score <= preference * other_domain.score
            else other_domain
        )

    def _is_late(
        self, scored: ScoredTarget, spec: AttemptSpec, now: float
    ) -> bool:
        expected = self.targets.times.expected(spec.route)
        return now + scored.score * expected > spec.soft_deadline

    def _best_of_two(
        self,
        distance: Distance,
        group: list[TargetEvidence],
        spec: AttemptSpec,
        now: float,
        rng: random.Random,
    ) -> ScoredTarget | None:
        # Weighted sampling of two targets without replacement: those with the
        # greatest u^(1/share), where u is random in [0, 1).
        cold_start_ms = self.targets.service.cold_start_ms
        sampled = heapq.nlargest(
            2,
            (target for target in group if target.distance is distance),
            key=lambda target: (
                rng.random() ** (1 / target.share(cold_start_ms, now))
            ),
        )
        scored = [self._scored(target, spec, now) for target in sampled]
        if len(scored) < 2:
            return next(iter(scored), None)
        first, second = scored
        return second if first.score > TIE_RATIO * second.score else first


def no_target(spec: AttemptSpec) -> Refusal:
    """Returns the refusal of a call that no target can run now."""
    if not spec.regions:
        return Refusal.not_run(Reason.NO_TARGET, 'no target can be reached')
    return Refusal.not_run(
        Reason.NO_TARGET_IN_REGION,
        'no target can be reached in the regions that the route allows',
    )


def _without_shunned(group: list[TargetEvidence]) -> list[TargetEvidence]:
    # If all targets are shunned they are used all the same.
    return [target for target in group if target.probation is None] or group


def _choice(scored: ScoredTarget, *, is_probe: bool = False) -> Choice:
    return Choice(scored.evidence.host, scored.evidence.distance, is_probe)
