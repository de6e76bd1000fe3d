"""The throughput of a target at each number of concurrent calls.

By Little's law, a target that runs n calls at a time completes n calls in the
time that one takes. Additional concurrent calls are useful as long as the calls
that are completed in time increase with them.
"""

import itertools
import math
from collections.abc import Iterable, Iterator

import attrs

# Samples of a level are forgotten with this time constant, seconds.
LEVEL_DECAY_S = 30
# The same for the times of levels above the limit. It is shorter, so that these
# levels are tried again soon after a recovery.
ABOVE_DECAY_S = 6
# Samples that one level counts as at most, so that new ones still move it.
MAX_WEIGHT = 50
# Weight, in samples, of the assumption that one more call slows nothing down.
PRIOR_SAMPLES = 8
# A concurrent call must add this share of what one call alone completes.
MIN_GAIN = 0.2
# The limit changes only if the throughput changes by more than this share.
# Lowering it needs more, because a target that is slow for another reason has
# more concurrent calls too.
RAISE_MARGIN = 0.05
CUT_MARGIN = 0.25
# Failures of a level count beyond this many standard deviations above those of
# the lower levels.
FAILURE_DEVIATIONS = 2


@attrs.define
class Level:
    """What was observed at one number of concurrent calls.

    Attributes:
        weight: Answered calls, forgotten with time.
        log_time: Mean logarithm of the relative time of the answered calls.
        attempts: Calls that were answered, refused or lost.
        failed: Calls that were refused or lost.
    """

    weight: float = 0
    log_time: float = 0
    attempts: float = 0
    failed: float = 0

    def observe(self, log_time: float) -> None:
        """Records the time of an answered call."""
        self.weight = min(MAX_WEIGHT, self.weight + 1)
        self.attempts += 1
        self.log_time += (log_time - self.log_time) / self.weight

    def observe_failure(self) -> None:
        """Records a call that was refused or lost."""
        self.attempts += 1
        self.failed += 1

    def decay(self, elapsed_s: float, decay_s: float) -> None:
        """Forgets part of what was observed.

        Args:
            elapsed_s: Time since the last part was forgotten, seconds.
            decay_s: Time constant for the times of calls, seconds.
        """
        self.weight *= math.exp(-elapsed_s / decay_s)
        failure_factor = math.exp(-elapsed_s / LEVEL_DECAY_S)
        self.attempts *= failure_factor
        self.failed *= failure_factor


def best_limit(levels: list[Level], current: int) -> int:
    """Returns the number of concurrent calls that a target takes well.

    Args:
        levels: What was observed at 1, 2, 3 and so on concurrent calls.
        current: The limit until now.
    """
    net = net_throughput(levels)
    best = max(range(len(net)), key=net.__getitem__)
    kept = min(current, len(net)) - 1
    margin = CUT_MARGIN if best < kept else RAISE_MARGIN
    if net[best] <= net[kept] + margin * abs(net[kept]):
        return kept + 1
    return best + 1


def net_throughput(levels: list[Level]) -> list[float]:
    """Returns what is completed at each level, less a cost of each call."""
    shares = zip(slowdowns(levels), success_shares(levels), strict=True)
    completed = [
        number * math.exp(-log_time) * share
        for number, (log_time, share) in enumerate(shares, start=1)
    ]
    cost = MIN_GAIN * completed[0]
    return [done - cost * at for at, done in enumerate(completed, start=1)]


def slowdowns(levels: list[Level]) -> Iterator[float]:
    """Yields the logarithm of the relative time of a call at each level.

    It never falls with the number of calls. Where little was observed, it is
    assumed to stay as at the level below.
    """
    monotone = monotone_means(
        (level.log_time, level.weight) for level in levels
    )
    # A few calls at the lowest level alone would hide a slowdown above it.
    estimate = next(iter(monotone), 0)
    for level, log_time in zip(levels, monotone, strict=True):
        trust = level.weight / (level.weight + PRIOR_SAMPLES)
        estimate += trust * max(0, log_time - estimate)
        yield estimate


def monotone_means(samples: Iterable[tuple[float, float]]) -> list[float]:
    """Returns the rising sequence that is closest to weighted means.

    Neighbours in the wrong order are replaced by their common mean.

    Args:
        samples: Mean and weight of each element.
    """
    blocks: list[tuple[float, float, int]] = []
    for mean, weight in samples:
        blocks.append((mean, weight, 1))
        while len(blocks) > 1 and is_disordered(blocks[-2], blocks[-1]):
            upper, lower = blocks.pop(), blocks.pop()
            blocks.append(merge_blocks(lower, upper))
    return list(
        itertools.chain.from_iterable([block[0]] * block[2] for block in blocks)
    )


def is_disordered(
    lower: tuple[float, float, int], upper: tuple[float, float, int]
) -> bool:
    """Returns whether two neighbouring blocks must be merged."""
    return lower[0] > upper[0] or not lower[1] or not upper[1]


def merge_blocks(
    lower: tuple[float, float, int], upper: tuple[float, float, int]
) -> tuple[float, float, int]:
    """Returns the common mean, weight and size of two blocks."""
    weight = lower[1] + upper[1]
    total = lower[0] * lower[1] + upper[0] * upper[1]
    return (total / weight if weight else 0, weight, lower[2] + upper[2])


def success_shares(levels: list[Level]) -> Iterator[float]:
    """Yields the share of calls that don't fail because of the level.

    A target may fail a share of all calls for another reason. Only failures
    beyond the share at the lower levels show that it is full.
    """
    attempts: float = 1
    failed: float = 0
    share: float = 1
    for level in levels:
        usual = failed / attempts
        spread = math.sqrt(
            max(usual * (1 - usual), 1 / attempts)
            / (level.attempts + PRIOR_SAMPLES)
        )
        observed = level.failed / (level.attempts + PRIOR_SAMPLES)
        excess = observed - usual - FAILURE_DEVIATIONS * spread
        share = min(share, 1 - max(0, excess))
        yield share
        if excess <= 0:
            attempts += level.attempts
            failed += level.failed
