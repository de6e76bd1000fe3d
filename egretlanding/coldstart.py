"""The limit of calls to a target that is cold after its start."""

import math
from collections import deque

import attrs

# Span in which calls are counted, seconds. It is longer than the second that
# the bound is stated for, because calls reach the target with varying delays.
WINDOW_S = 1.05
# Calls that may begin in the first window after a limit comes into force: this
# share of the usual ones, and some more. The process of the daemon before may
# have let all of them through just before it ended. The users' rule allows one
# and a half times the limit and 8 calls; what is left is for checks.
FIRST_WINDOW_SHARE = 0.5
FIRST_WINDOW_CALLS = 2
# Rounding error of a wait, seconds.
ROUNDING_S = 1e-6
# The limit before the configuration is known, calls a second. Calls are counted
# until then, since the target may be cold when the limit comes into force.
UNKNOWN_RATE_PER_S = math.inf


@attrs.define
class ColdStart:
    """Limits the calls that begin in any second while the target is cold.

    A cold target crashes at a higher rate. The target may be cold whenever
    nothing is known, so it counts as cold until it states otherwise.

    Attributes:
        calls_per_s: Calls a second that a cold target takes, zero if the
            service needs no limit, `UNKNOWN_RATE_PER_S` if it isn't known yet.
        duration_s: How long a target stays cold after its start, seconds.
        cold_until: Until when the target counts as cold, seconds.
        first_until: When the first window after the limit came into force
            ends, seconds.
        begun: When the calls of the last second began, seconds, oldest first.
            It outlasts the process of the target: what tells that another one
            has started comes late, when that one may have had calls already.
    """

    calls_per_s: float = UNKNOWN_RATE_PER_S
    duration_s: float = 0
    cold_until: float = -math.inf
    first_until: float = -math.inf
    begun: deque[float] = attrs.field(factory=deque)

    @property
    def is_limited(self) -> bool:
        """Whether cold targets of the service are known to need a limit."""
        return 0 < self.calls_per_s < UNKNOWN_RATE_PER_S

    @property
    def limit(self) -> int:
        """Calls that may begin within `WINDOW_S` while the target is cold."""
        return max(1, int(self.calls_per_s))

    def limit_at(self, now: float) -> int:
        """Returns the calls that may begin within a window at this time."""
        if now >= self.first_until:
            return self.limit
        first = int(self.calls_per_s * FIRST_WINDOW_SHARE) + FIRST_WINDOW_CALLS
        return min(self.limit, first)

    def begin_limit(self, now: float) -> None:
        """Begins to limit the calls, of which another process had some."""
        self.first_until = now + WINDOW_S
        self.assume(now)

    def is_cold(self, now: float) -> bool:
        """Returns whether the target counts as cold."""
        return self.is_limited and now < self.cold_until

    def assume(self, now: float) -> None:
        """Counts the target as cold for as long as after a start."""
        self.cold_until = max(self.cold_until, now + self.duration_s)

    def extend(self, remaining_s: float, now: float) -> None:
        """Applies a statement that may be older than what is known."""
        self.cold_until = max(self.cold_until, now + remaining_s)

    def learn(self, remaining_s: float, now: float) -> None:
        """Applies what the target has just stated."""
        self.cold_until = now + remaining_s

    def allows(self, now: float) -> bool:
        """Returns whether a call may begin now."""
        return not self.wait_s(1, now)

    def wait_s(self, calls: int, now: float) -> float:
        """Returns after what time the last of some calls may begin, seconds."""
        if not self.is_cold(now):
            return 0
        self._expire(now)
        # Calls that have not begun yet fill the windows after this one.
        limit = self.limit_at(now)
        windows = (calls - 1) // limit
        position = len(self.begun) + calls - 1 - limit * (windows + 1)
        leading = position >= 0
        begins = self.begun[position] + WINDOW_S if leading else now
        limited_until = begins + WINDOW_S * windows
        wait_s = min(limited_until, self.cold_until) - now
        return wait_s if wait_s > ROUNDING_S else 0

    def take(self, now: float) -> None:
        """Counts a call that begins now."""
        if self.calls_per_s:
            self._expire(now)
            self.begun.append(now)

    def _expire(self, now: float) -> None:
        while self.begun and self.begun[0] <= now - WINDOW_S:
            self.begun.popleft()
