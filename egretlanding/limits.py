"""The adaptive limit of the calls that run at a target at a time."""

import math

import attrs

# Factor on the limit when the target refuses to run a call.
SHED_FACTOR = 0.7
# Factor on the limit when an answer is slow.
SLOW_FACTOR = 0.9
# An answer is slow above this multiple of the expected service time.
SLOW_RATIO = 3
# Slow answers don't reduce the limit below this share of the slots.
SLOW_FLOOR_SHARE = 0.5
# The limit is reduced at most once in this time, seconds.
DECREASE_PAUSE_S = 0.1


@attrs.define
class ConcurrencyLimit:
    """Limits the calls that run at a target at a time.

    The limit grows by about one for each `current` answers. It shrinks when
    the target sheds a call, or answers slowly while the limit is reached.

    Attributes:
        slots: Upper bound of the limit, from the release or the target.
        level: The limit before rounding down.
        decreased_at: When it last shrank, seconds.
        adapts: Whether it may shrink; it doesn't once the target has stated
            its number of slots, which is then certain.
        learned: Calls that it was learned to take well, zero if unknown.
        sure: Calls that it certainly has slots for, infinite if all.
    """

    slots: int
    level: float
    decreased_at: float = float('-inf')
    adapts: bool = True
    learned: int = 0
    sure: float = math.inf

    @classmethod
    def of(cls, slots: int) -> 'ConcurrencyLimit':
        """Builds the limit of a target that has a number of slots."""
        return cls(slots, slots)

    @property
    def current(self) -> int:
        """Calls that may run at a time, at least one."""
        return max(1, int(min(self.level, self.sure)))

    def fix(self, slots: int) -> None:
        """Sets the limit to the number of slots that the target states."""
        self.slots = slots
        self.level = min(slots, self.learned or slots)
        self.adapts = False

    def learn(self, limit: int) -> None:
        """Sets the limit to what was learned about the target's process."""
        self.learned = limit
        if not self.adapts:
            self.level = min(self.slots, limit)

    def record(
        self,
        elapsed_s: float,
        expected_s: float,
        running: int,
        now: float,
    ) -> None:
        """Adapts the limit to an answer.

        Args:
            elapsed_s: Service time of the call, seconds.
            expected_s: Expected service time of the call, seconds.
            running: Calls that ran when it ended, itself included.
            now: Monotonic time, seconds.
        """
        if self.learned and not self.adapts:
            return
        floor = min(self.level, self.slots * SLOW_FLOOR_SHARE)
        if elapsed_s > SLOW_RATIO * expected_s and running >= self.current:
            self._decrease(SLOW_FACTOR, floor, now)
            return
        self.level = min(self.slots, self.level + 1 / self.level)

    def record_shed(self, now: float) -> None:
        """Reduces the limit because the target refused to run a call."""
        self._decrease(SHED_FACTOR, 1, now)

    def _decrease(self, factor: float, floor: float, now: float) -> None:
        # Answers shortly after one another come from the same overload, which
        # must reduce the limit only once.
        if not self.adapts or now - self.decreased_at < DECREASE_PAUSE_S:
            return
        self.level = max(floor, self.level * factor)
        self.decreased_at = now
