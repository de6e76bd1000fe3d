"""The number of calls that a target is given at a time."""

import attrs

SHED_FACTOR = 0.7
SLOW_FACTOR = 0.9
SLOW_RATIO = 3
SLOW_FLOOR = 0.5
DECREASE_PAUSE_S = 0.1


@attrs.define
class ConcurrencyLimit:
    """Grows by one per round of answers, shrinks on shed or slow ones.

    Attributes:
        slots: The most calls, from the release.
        level: The limit before rounding.
        decreased: When it last shrank, seconds.
        adapts: Whether it shrinks; the slots that a target itself names are
            known for certain.
    """

    slots: int
    level: float
    decreased: float = float('-inf')
    adapts: bool = True

    @classmethod
    def of(cls, slots: int) -> 'ConcurrencyLimit':
        """Builds the limit of a target with a number of slots."""
        return cls(slots, slots)

    @property
    def current(self) -> int:
        """Calls that may run now, at least one."""
        return max(1, int(self.level))

    def fix(self, slots: int) -> None:
        """Takes over the number of slots that the target itself names."""
        self.slots = slots
        self.level = slots
        self.adapts = False

    def record(
        self,
        elapsed: float,
        usual: float,
        running: int,
        now: float,
    ) -> None:
        """Learns from an answer.

        Args:
            elapsed: Time that the call took, seconds.
            usual: Time that such calls take, seconds.
            running: Calls that ran when it ended.
            now: Monotonic time, seconds.
        """
        floor = min(self.level, self.slots * SLOW_FLOOR)
        if elapsed > SLOW_RATIO * usual and running >= self.current:
            self._decrease(SLOW_FACTOR, floor, now)
            return
        self.level = min(self.slots, self.level + 1 / self.level)

    def record_shed(self, now: float) -> None:
        """Learns that the target refused to run a call."""
        self._decrease(SHED_FACTOR, 1, now)

    def _decrease(self, factor: float, floor: float, now: float) -> None:
        # Answers of one round tell of one overload, which counts once.
        if not self.adapts or now - self.decreased < DECREASE_PAUSE_S:
            return
        self.level = max(floor, self.level * factor)
        self.decreased = now
