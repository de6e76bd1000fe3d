"""What an ingress daemon knows about the targets of one service."""

import math
from collections.abc import Collection, Iterable

import attrs

from egretlanding.evidence import (
    SLOWNESS_DECAY_S,
    Flight,
    ReportedLoad,
    TargetEvidence,
)
from egretlanding.expectations import (
    STUCK_RATIO,
    Expectations,
    ReportedCapacity,
)
from egretlanding.frames import CapacityReport, Statement, born_tag
from egretlanding.hosts import Host
from egretlanding.objects import Service
from egretlanding.servicetimes import ServiceTimes
from egretlanding.shunning import median_slowness, record_probe, shun_slowest
from egretlanding.subsets import Distance, Locality, subset_order
from egretlanding.units import PERCENT, US_PER_S

# Maximum number of targets in use, in the ingress daemon's region and in all
# other regions together.
MAX_NEAR_TARGETS = 8
MAX_REMOTE_TARGETS = 2
# Targets below this slowness don't cause a check of which targets to shun.
REVIEW_SLOWNESS = 1.5
# Time for which a host that refused a call for lack of capacity gets no calls
# of the route, seconds.
NEAR_FULL_PAUSE_S = 0.08
# The same for hosts of other regions, to which a refused call costs more.
REMOTE_FULL_PAUSE_S = 0.5
# Calls per second that all daemons together offer to a target that takes fewer
# than it could be given: at most this many, or this multiple of what it takes.
MAX_OFFERS_PER_S = 400
OFFERS_PER_CALL = 4
# Relative latency that is recorded for a call that the target lost or rejected.
FAILURE_SLOWNESS = 4


@attrs.define
class TargetTable:
    """The targets of one service and the evidence on them.

    Attributes:
        locality: Location of the ingress daemon.
        service: The service.
        times: Learned latencies of the calls, by route.
        order: The hosts in order of preference, see `subset_order`.
        evidence: Evidence that this daemon gathered, by host id.
        unready_hosts: Ids of the hosts that get no calls because they are
            draining or not ready.
        daemon_count: Number of daemons that may send calls to the targets.
        resumed_at: When the process last resumed after a pause, seconds.
            Calls sent up to this time leave no evidence.
        expectations: What the reports of the targets' daemons imply, None if
            learned limits are off.
    """

    locality: Locality
    service: Service
    times: ServiceTimes = attrs.field(factory=ServiceTimes)
    order: list[Host] = attrs.field(factory=list)
    evidence: dict[str, TargetEvidence] = attrs.field(factory=dict)
    unready_hosts: frozenset[str] = frozenset()
    daemon_count: int = 0
    resumed_at: float = -math.inf
    expectations: Expectations | None = None

    def usable_targets(
        self,
        now: float,
        excluded: Collection[str] = (),
        regions: Collection[str] = (),
    ) -> list[TargetEvidence]:
        """Returns the evidence on the targets in use, a bounded number.

        Unreachable targets are replaced by the next ones in the order. If
        all are unreachable they are tried all the same.

        Args:
            now: Monotonic time, seconds.
            excluded: Ids of hosts to leave out.
            regions: The regions that the targets may be in, empty for all.
        """
        listed = [
            self.evidence[host.host_id]
            for host in self.order
            if host.host_id not in self.unready_hosts
            and host.host_id not in excluded
            and (not regions or host.region in regions)
            and not self.evidence[host.host_id].is_leaving
        ]
        reachable = [
            target for target in listed if not target.is_unreachable(now)
        ]
        return self._bounded(reachable or listed, confined=bool(regions))

    def score(
        self, target: TargetEvidence, now: float, route: str = ''
    ) -> float:
        """Returns the predicted latency of a target relative to the usual one.

        A call that has been in flight for long raises the score before its
        answer arrives, so that a stuck target is avoided early.

        Args:
            target: The evidence on the target.
            now: Monotonic time, seconds.
            route: Name of the route of the call that is to be sent.
        """
        if target.capacity is not None:
            return learned_score(self, target, route, now)
        slowness = target.current_slowness(now)
        in_flight = [
            (now - flight.started) / self.times.expected(flight.route)
            for flight in target.flights.values()
        ]
        load = 1 + target.load(now) / slots_of(self, target)
        share = target.share(self.service.cold_start_ms, now)
        return max(slowness, *in_flight, 0) * load / share

    def update_hosts(self, hosts: Iterable[Host], now: float) -> None:
        """Replaces the hosts by those of a new host list.

        The evidence on hosts that stay is kept.
        """
        self.order = subset_order(self.locality, hosts)
        self.evidence = {
            host.host_id: self._evidence_on(host, now) for host in self.order
        }

    def begin(self, host_id: str, attempt: int, route: str, now: float) -> None:
        """Records that an attempt was sent."""
        target = self.evidence[host_id]
        target.flights[attempt] = Flight(route, now)
        if target.probation is not None:
            target.probation.next_probe = now + target.probation.pause_s

    def record_answer(self, host_id: str, attempt: int, now: float) -> None:
        """Records a complete answer to an attempt."""
        flight = self._end_flight(host_id, attempt)
        if flight is None:
            return
        self.evidence[host_id].clear_refusal(flight.route)
        elapsed = now - flight.started
        self.times.observe(flight.route, elapsed)
        ratio = elapsed / self.times.expected(flight.route)
        self._learn(self.evidence[host_id], ratio, now, elapsed)

    def record_unanswered(self, host_id: str, attempt: int, now: float) -> None:
        """Records the end of an attempt without an answer.

        An example is a cancelled hedge. The time that it took is a lower bound
        of the target's latency, so it counts only if it shows the target to
        be slower than believed.
        """
        flight = self._end_flight(host_id, attempt)
        if flight is None:
            return
        target = self.evidence[host_id]
        elapsed = now - flight.started
        ratio = elapsed / self.times.expected(flight.route)
        if ratio > target.current_slowness(now):
            self._learn(target, ratio, now, elapsed)

    def record_unreachable(self, host_id: str, now: float) -> None:
        """Records a failed attempt to connect to a host."""
        target = self.evidence.get(host_id)
        if target is not None:
            target.record_unreachable(now)

    def record_refusal(self, host_id: str, route: str, now: float) -> None:
        """Records that a host lacked the capacity for a call of a route."""
        target = self.evidence.get(host_id)
        if target is not None:
            is_remote = target.distance is Distance.REMOTE
            pause = REMOTE_FULL_PAUSE_S if is_remote else NEAR_FULL_PAUSE_S
            if target.rate_per_s is not None:
                limited_s = limited_pause_s(
                    target.rate_per_s, self.daemon_count
                )
                pause = max(pause, limited_s)
            target.record_refusal(route, pause, now)

    def record_failure(self, host_id: str, now: float) -> None:
        """Records that a target lost or rejected a call that it received."""
        target = self.evidence.get(host_id)
        if target is not None:
            # What the target reports doesn't say that it fails calls.
            target.capacity = None
            self._learn(target, FAILURE_SLOWNESS, now, SLOWNESS_DECAY_S)

    def record_load(self, host_id: str, calls: int, now: float) -> None:
        """Records a load report of a target.

        Args:
            host_id: Id of the target's host.
            calls: Calls that it runs and queues.
            now: Monotonic time, seconds.
        """
        target = self.evidence.get(host_id)
        if target is not None:
            target.load_report = ReportedLoad(calls, now)

    def reset_after_pause(self, now: float) -> None:
        """Drops outdated evidence after a pause of this process."""
        self.resumed_at = now
        for target in self.evidence.values():
            target.reset(now)

    def _end_flight(self, host_id: str, attempt: int) -> Flight | None:
        target = self.evidence.get(host_id)
        flight = None if target is None else target.flights.pop(attempt, None)
        if flight is None or flight.started <= self.resumed_at:
            return None
        return flight

    def _learn(
        self, target: TargetEvidence, ratio: float, now: float, took_s: float
    ) -> None:
        target.record_latency(ratio, now, took_s)
        if target.slowness < REVIEW_SLOWNESS and target.probation is None:
            return
        peers = self._peers(target, now)
        record_probe(target, ratio, median_slowness(peers, now), now)
        shun_slowest(peers, now)

    def _peers(
        self,
        target: TargetEvidence,
        now: float,
    ) -> list[TargetEvidence]:
        is_remote = target.distance is Distance.REMOTE
        return [
            peer
            for peer in self.usable_targets(now)
            if (peer.distance is Distance.REMOTE) == is_remote
        ]

    def _evidence_on(self, host: Host, now: float) -> TargetEvidence:
        target = self.evidence.get(host.host_id)
        if target is None:
            return TargetEvidence(host, self.locality.distance(host), now)
        target.update_host(host, self.locality.distance(host))
        return target

    def _bounded(
        self, group: list[TargetEvidence], *, confined: bool
    ) -> list[TargetEvidence]:
        near = [
            target for target in group if target.distance is not Distance.REMOTE
        ]
        remote = [
            target for target in group if target.distance is Distance.REMOTE
        ]
        # Calls that must leave the region have no other targets.
        must_leave = confined and not near
        max_remote = MAX_NEAR_TARGETS if must_leave else MAX_REMOTE_TARGETS
        return [*near[:MAX_NEAR_TARGETS], *remote[:max_remote]]


def record_silence(targets: TargetTable, host_id: str, now: float) -> None:
    """Records that the daemon of a host gives its target trial calls only."""
    target = targets.evidence.get(host_id)
    if target is not None:
        target.record_silence(now)


def slots_of(targets: TargetTable, target: TargetEvidence) -> int:
    """Returns how many calls a target runs at a time."""
    return target.host.slots or targets.service.slots


def heard_from(targets: TargetTable, host: Host) -> Statement | None:
    """Returns what the target's process of a host last stated, if any."""
    target = targets.evidence.get(host.host_id)
    return target.heard if target else None


def record_statement(
    targets: TargetTable, host: Host, statement: Statement
) -> None:
    """Records what a target's process states about itself."""
    target = targets.evidence.get(host.host_id)
    if target is None or target.host.instance != host.instance:
        return
    if statement.may_be_of(target.host.born_ms):
        target.record_statement(statement)


def record_capacity(
    targets: TargetTable,
    host: Host,
    route: str,
    report: CapacityReport,
    load: int,
    now: float,
) -> None:
    """Records what a target's daemon has learned about the target.

    Args:
        targets: The targets of the service.
        host: The host, as it was listed when the call was sent.
        route: Name of the call's route.
        report: The report.
        load: Calls that the target runs and queues.
        now: Monotonic time, seconds.
    """
    target = targets.evidence.get(host.host_id)
    if targets.expectations is None or target is None:
        return
    listed = target.host
    if (listed.instance, listed.born_ms) != (host.instance, host.born_ms):
        return
    if report.born != born_tag(listed.born_ms):
        return
    speed = max(1, report.speed_percent) / PERCENT
    limit = max(1, report.limit)
    target.capacity = ReportedCapacity(limit, speed, load, now)
    if report.run_us:
        run_s = report.run_us / US_PER_S
        targets.expectations.observe(route, run_s, target.capacity)


def learned_score(
    targets: TargetTable, target: TargetEvidence, route: str, now: float
) -> float:
    """Returns the predicted latency relative to the usual, by the reports.

    Args:
        targets: The targets of the service.
        target: A target that reported its capacity.
        route: Name of the route of the call that is to be sent.
        now: Monotonic time, seconds.
    """
    expectations, report = targets.expectations, target.capacity
    assert expectations is not None and report is not None
    sent = sum(
        flight.started > report.reported for flight in target.flights.values()
    )
    completion_s = expectations.completion_s(route, report, sent, now)
    slowness = max(
        completion_s / targets.times.expected(route),
        stuck_slowness(targets, target, now),
    )
    return slowness / target.share(targets.service.cold_start_ms, now)


def stuck_slowness(
    targets: TargetTable, target: TargetEvidence, now: float
) -> float:
    """Returns the greatest relative time of a call that is stuck.

    Returns:
        0 if no call has been in flight for `STUCK_RATIO` of its usual time.
    """
    in_flight = (
        (now - flight.started) / targets.times.expected(flight.route)
        for flight in target.flights.values()
    )
    return max((ratio for ratio in in_flight if ratio > STUCK_RATIO), default=0)


def usual_run_us(targets: TargetTable, route: str) -> int:
    """Returns the usual run time of a route, us, or 0 if unknown."""
    if targets.expectations is None:
        return 0
    return int((targets.expectations.usual.usual_s(route) or 0) * US_PER_S)


def limited_pause_s(rate_per_s: float, daemon_count: int) -> float:
    """Returns how long to leave out a target whose limit is used up, seconds.

    The pause grows with the number of daemons, so that they use the whole limit
    together without offering many calls in vain.

    Args:
        rate_per_s: Calls per second that the target takes.
        daemon_count: Number of daemons that may send calls to it.
    """
    offers_per_s = max(MAX_OFFERS_PER_S, OFFERS_PER_CALL * rate_per_s)
    return daemon_count / offers_per_s
