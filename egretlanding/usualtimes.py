"""The usual run time of the calls of each route, learned on a log scale.

The mean of the logarithm hardly moves with a long tail: if 3% of the calls take
seven times as long, it rises by 6%, and the arithmetic mean by 18%.
"""

import math

import attrs

# Least weight of a new sample in the moving average.
MIN_SAMPLE_WEIGHT = 0.02
MAX_ROUTES = 1_024
# Shorter times count as this long, seconds.
MIN_TIME_S = 1e-4


@attrs.define
class UsualTime:
    """The usual time of one route.

    Attributes:
        log_s: Moving average of the logarithm of the time in seconds.
        samples: Samples that it is based on.
    """

    log_s: float
    samples: int = 1


@attrs.define
class UsualTimes:
    """Learns the usual run time of each route.

    Attributes:
        routes: The usual times by name of the route.
    """

    routes: dict[str, UsualTime] = attrs.field(factory=dict)

    def usual_s(self, route: str) -> float | None:
        """Returns the usual time of a route, seconds, None if unknown."""
        learned = self.routes.get(route)
        return None if learned is None else math.exp(learned.log_s)

    def observe(self, route: str, seconds: float) -> None:
        """Records a time of a route."""
        log_s = math.log(max(MIN_TIME_S, seconds))
        learned = self.routes.get(route)
        if learned is None:
            if len(self.routes) >= MAX_ROUTES:
                self.routes.pop(next(iter(self.routes)))
            self.routes[route] = UsualTime(log_s)
            return
        learned.samples += 1
        weight = max(MIN_SAMPLE_WEIGHT, 1 / learned.samples)
        learned.log_s += weight * (log_s - learned.log_s)
