"""Which targets get no calls because they are slower than their peers."""

import statistics
from collections.abc import Collection

from egretlanding.evidence import Probation, TargetEvidence

SHUN_RATIO = 3
RESTORE_RATIO = 1.5
MIN_SAMPLES = 5
MAX_SHUNNED_DIVISOR = 3
PROBES_TO_RESTORE = 3
PROBE_PAUSE_S = 0.5
LONGEST_PROBE_PAUSE_S = 8


def review(group: Collection[TargetEvidence], now: float) -> None:
    """Shuns the slowest targets of a group, at most a third of it.

    Args:
        group: The evidence on all targets of one service that are used.
        now: Monotonic time, seconds.
    """
    places = len(group) // MAX_SHUNNED_DIVISOR - sum(
        evidence.probation is not None for evidence in group
    )
    usual = usual_slowness(group, now)
    slow = [
        evidence
        for evidence in group
        if evidence.probation is None
        and evidence.samples >= MIN_SAMPLES
        and evidence.believed_slowness(now) > SHUN_RATIO * usual
    ]
    slow.sort(key=lambda evidence: -evidence.believed_slowness(now))
    for evidence in slow[: max(0, places)]:
        evidence.probation = Probation(now + PROBE_PAUSE_S, PROBE_PAUSE_S)


def usual_slowness(group: Collection[TargetEvidence], now: float) -> float:
    """Returns the median slowness of a group."""
    return statistics.median(
        [evidence.believed_slowness(now) for evidence in group] or [1],
    )


def record_probe(
    evidence: TargetEvidence,
    ratio: float,
    usual: float,
    now: float,
) -> None:
    """Learns from the answer to a probe.

    Args:
        evidence: The shunned target's evidence.
        ratio: Latency relative to what the route usually takes.
        usual: The median slowness of the group.
        now: Monotonic time, seconds.
    """
    probation = evidence.probation
    if probation is None:
        return
    if ratio > RESTORE_RATIO * max(1, usual):
        probation.passed = 0
        probation.pause_s = min(LONGEST_PROBE_PAUSE_S, probation.pause_s * 2)
    else:
        probation.passed += 1
        probation.pause_s = PROBE_PAUSE_S
    probation.next_probe = now + probation.pause_s
    if probation.passed >= PROBES_TO_RESTORE:
        _restore(evidence, now)


def _restore(evidence: TargetEvidence, now: float) -> None:
    # The target's share ramps up again as after a cold start.
    evidence.probation = None
    evidence.known_since = now
    evidence.slowness = 1
    evidence.samples = 0
