"""How long a caller whose call was refused should pause before it retries."""

import random

import attrs

# Pause after the first refusal, seconds. It is short, so that the answer to the
# retry may still be in time.
FIRST_PAUSE_S = 0.2
# Pause after later refusals, as a share of the time that the caller has left.
# It is longer, so that the last retries come after a short peak load has ended.
LATER_PAUSE_SHARE = 0.3
# A caller that has used up less than this of the longest time seen for its
# route is taken to make its first attempt, seconds.
FIRST_ATTEMPT_MARGIN_S = 0.1
# Time that most daemons take from opening their ports until they have the
# configuration, seconds.
START_S = 0.8
MAX_ROUTES = 1_024


def spread_pause_s(
    timely_s: float, allowed_s: float, rng: random.Random
) -> float:
    """Returns a pause that spreads callers over the time they can wait.

    Callers that an overloaded service refuses would otherwise come back in one
    wave.

    Args:
        timely_s: Time after which a retry is answered too late to be worth
            most, seconds.
        allowed_s: Time that the caller allows for the call, seconds.
        rng: Source of the random pause.
    """
    longest_s = min(timely_s, allowed_s * LATER_PAUSE_SHARE)
    return rng.uniform(FIRST_PAUSE_S, max(FIRST_PAUSE_S, longest_s))


def starting_pause_s(
    running_s: float, allowed_s: float, rng: random.Random
) -> float:
    """Returns how long to stay away from a daemon that starts, seconds.

    Args:
        running_s: Time since the daemon opened its ports, seconds.
        allowed_s: Time that the caller allows for the call, seconds.
        rng: Source of the random pause.
    """
    longest_s = max(FIRST_PAUSE_S, allowed_s * LATER_PAUSE_SHARE)
    left_s = max(FIRST_PAUSE_S, START_S - running_s)
    return rng.uniform(min(left_s, longest_s), longest_s)


@attrs.define
class RetryAfterEstimator:
    """Computes pauses from the time that callers allow, learned by route.

    A caller that retries allows less time than at first. The longest time
    allowed for a route therefore shows how much time a caller has used up.

    Attributes:
        longest_allowed_s: Longest time that a caller allowed, by route,
            seconds.
    """

    longest_allowed_s: dict[str, float] = attrs.field(factory=dict)

    def observe(self, route: str, allowed_s: float) -> None:
        """Records the time that a caller allows.

        Args:
            route: Name of the route.
            allowed_s: Time that the caller allows for the call, seconds.
        """
        if len(self.longest_allowed_s) > MAX_ROUTES:
            self.longest_allowed_s.clear()
        longest = self.longest_allowed_s.get(route, 0)
        self.longest_allowed_s[route] = max(longest, allowed_s)

    def pause_s(self, route: str, allowed_s: float) -> float:
        """Returns how long a refused caller should pause, seconds.

        Args:
            route: Name of the route.
            allowed_s: Time that the caller allows for the call, seconds.
        """
        spent_s = self.longest_allowed_s.get(route, allowed_s) - allowed_s
        if spent_s < FIRST_ATTEMPT_MARGIN_S:
            return FIRST_PAUSE_S
        return max(FIRST_PAUSE_S, allowed_s * LATER_PAUSE_SHARE)
