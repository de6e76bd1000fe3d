"""Limits targets that are much slower than their peers to probe calls."""

import statistics
from collections.abc import Collection

from egretlanding.evidence import Probation, TargetEvidence

# A target is shunned above this multiple of the median slowness of its group.
SHUN_RATIO = 3
# A probe passes up to this multiple of the median slowness.
RESTORE_RATIO = 1.5
# Answers that are needed before a target can be shunned.
MIN_SAMPLES = 5
# The size of a group divided by this, rounded down, may be shunned: a third.
MAX_SHUNNED_DIVISOR = 3
# Passed probes in a row after which a target is restored.
PROBES_TO_RESTORE = 3
PROBE_PAUSE_S = 0.5
LONGEST_PROBE_PAUSE_S = 8


def shun_slowest(group: Collection[TargetEvidence], now: float) -> None:
    """Shuns the slowest targets of a group.

    At most a third of the group is shunned at a time.

    Args:
        group: The evidence on the targets of one service that are in use.
        now: Monotonic time, seconds.
    """
    may_shun = len(group) // MAX_SHUNNED_DIVISOR - sum(
        evidence.probation is not None for evidence in group
    )
    median = median_slowness(group, now)
    candidates = [
        evidence
        for evidence in group
        if evidence.probation is None
        and evidence.samples >= MIN_SAMPLES
        and evidence.current_slowness(now) > SHUN_RATIO * median
    ]
    candidates.sort(key=lambda evidence: -evidence.current_slowness(now))
    for evidence in candidates[: max(0, may_shun)]:
        evidence.probation = Probation(now + PROBE_PAUSE_S, PROBE_PAUSE_S)


def median_slowness(group: Collection[TargetEvidence], now: float) -> float:
    """Returns the median slowness of a group, 1 if it is empty."""
    return statistics.median(
        [evidence.current_slowness(now) for evidence in group] or [1],
    )


def record_probe(
    evidence: TargetEvidence,
    ratio: float,
    median: float,
    now: float,
) -> None:
    """Records the answer to a probe.

    Restores the target after enough passed probes. After a slow one the pause
    until the next probe doubles. Does nothing if the target isn't shunned.

    Args:
        evidence: The shunned target's evidence.
        ratio: Latency of the answer relative to the usual one of its route.
        median: The median slowness of the group.
        now: Monotonic time, seconds.
    """
    probation = evidence.probation
    if probation is None:
        return
    if ratio > RESTORE_RATIO * max(1, median):
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
    evidence.ramp_started = now
    evidence.slowness = 1
    evidence.samples = 0
