"""Learns the answer times relative to the usual time of the route."""

import itertools
import math

import attrs

from egretlanding.usualtimes import UsualTimes

# Answers after which the counts are halved, so that they follow changes.
MAX_ANSWERS = 4_000
# Answers that are needed before anything is known of the longest.
MIN_ANSWERS = 30
# Classes of ratios to the usual time, on a logarithmic scale: their number for
# a factor of two, those below the usual time, and all.
CLASSES_PER_OCTAVE = 4
FAST_CLASSES = 8
CLASSES = 48
# If too few answers were seen, longer ones are assumed to follow a power law
# with this exponent.
TAIL_EXPONENT = 3


def class_of(ratio: float) -> int:
    """Returns the class of a ratio to the usual time."""
    octaves = math.log2(max(ratio, 2**-FAST_CLASSES))
    number = FAST_CLASSES + math.ceil(CLASSES_PER_OCTAVE * octaves)
    return min(CLASSES - 1, max(0, number))


def largest_of(number: int) -> float:
    """Returns the largest ratio of a class."""
    return float(2 ** ((number - FAST_CLASSES) / CLASSES_PER_OCTAVE))


@attrs.define
class AnswerTimes:
    """Learns how long the answers of one target take.

    Times are counted as ratios to the usual time of their route, so that routes
    with few calls profit from the others.

    Attributes:
        usual: Usual times by route.
        counts: Answers by class of their ratio.
        answers: The sum of `counts`.
    """

    usual: UsualTimes = attrs.field(factory=UsualTimes)
    counts: list[float] = attrs.field(factory=lambda: [0] * CLASSES)
    answers: float = 0

    def observe(self, route: str, seconds: float) -> None:
        """Records how long an answer took."""
        usual_s = self.usual.usual_s(route)
        self.usual.observe(route, seconds)
        if usual_s is None:
            return
        self.counts[class_of(seconds / usual_s)] += 1
        self.answers += 1
        if self.answers >= MAX_ANSWERS:
            self.counts = [count / 2 for count in self.counts]
            self.answers /= 2

    def long_ratio(self, rarity: float) -> float:
        """Returns a ratio to the usual time that few answers exceed.

        Args:
            rarity: The share of the answers that exceed it.

        Returns:
            Infinity if too little is known.
        """
        if self.answers < MIN_ANSWERS:
            return math.inf
        allowed = rarity * self.answers
        exceeding = itertools.accumulate(reversed(self.counts))
        above = sum(1 for count in exceeding if count <= allowed)
        number = CLASSES - 1 - above
        unseen = max(1, 1 / allowed) ** (1 / TAIL_EXPONENT)
        return largest_of(number) * unseen
