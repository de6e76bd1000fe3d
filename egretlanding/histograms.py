"""Histograms of durations for the metrics of a process."""

import bisect
import itertools

import attrs

# Inclusive upper bounds of the buckets, seconds. One more bucket counts the
# longer durations.
BOUNDS = (
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5,
)  # fmt: skip


@attrs.define
class Histogram:
    """Counts durations in buckets.

    Attributes:
        counts: Number of durations by bucket, one more than there are bounds.
        total: Sum of all durations, seconds.
    """

    counts: list[int] = attrs.field(factory=lambda: [0] * (len(BOUNDS) + 1))
    total: float = 0

    def observe(self, seconds: float) -> None:
        """Counts one duration."""
        self.counts[bisect.bisect_left(BOUNDS, seconds)] += 1
        self.total += seconds

    def cumulative(self) -> list[tuple[str, int]]:
        """Returns each bound with the number of durations up to it.

        The bounds are labels as text; the last one is `+Inf`.
        """
        labels = (*map(str, BOUNDS), '+Inf')
        return list(
            zip(labels, itertools.accumulate(self.counts), strict=True),
        )
