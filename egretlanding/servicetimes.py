"""How long the calls of each route take, and which of them are long work."""

import attrs

from egretlanding.objects import WorkClass

SMOOTHING = 0.1
LONG_RATIO = 8
SHORT_RATIO = 4
MAX_ROUTES = 1_024
PRIOR_S = 0.01
LEAST_S = 0.000_001


@attrs.define
class RouteTime:
    """The learned service time of one route.

    Attributes:
        mean: Moving average, seconds.
        is_long: Whether the route counts as long work.
        samples: Calls observed.
    """

    mean: float
    is_long: bool = False
    samples: int = 1


@attrs.define
class ServiceTimes:
    """Learns service times by route.

    Attributes:
        routes: The routes seen, by name.
    """

    routes: dict[str, RouteTime] = attrs.field(factory=dict)

    def expected(self, route: str) -> float:
        """Returns the expected service time of a route, seconds."""
        known = self.routes.get(route)
        return PRIOR_S if known is None else max(LEAST_S, known.mean)

    def latest_start(self, route: str, deadline: float) -> float:
        """Returns when a call must start to meet its deadline, seconds."""
        return deadline - self.expected(route)

    def classify(self, route: str, declared: WorkClass) -> WorkClass:
        """Returns whether a route's calls are short or long work.

        A route that declares no class counts as long until its first call
        has been seen, so that unknown work can't take every slot.
        """
        if declared is not WorkClass.LEARNED:
            return declared
        known = self.routes.get(route)
        if known is None or known.is_long:
            return WorkClass.LONG
        return WorkClass.SHORT

    def observe(self, route: str, seconds: float) -> None:
        """Learns from one finished call.

        Args:
            route: Name of the route.
            seconds: Time for which the call held its slot, seconds.
        """
        known = self.routes.get(route)
        if known is None:
            self._add(route, seconds)
            return
        known.samples += 1
        gain = max(SMOOTHING, 1 / known.samples)
        known.mean += gain * (seconds - known.mean)
        ratio = SHORT_RATIO if known.is_long else LONG_RATIO
        known.is_long = known.mean > ratio * self._shortest()

    def _add(self, route: str, seconds: float) -> None:
        if len(self.routes) >= MAX_ROUTES:
            self.routes.pop(next(iter(self.routes)))
        self.routes[route] = RouteTime(seconds)
        self.routes[route].is_long = seconds > LONG_RATIO * self._shortest()

    def _shortest(self) -> float:
        return min(known.mean for known in self.routes.values())
