"""How long the calls of each route take, and which of them are long work."""

import attrs

from egretlanding.objects import WorkClass

# Weight of a new sample in the moving average once there are many samples.
MIN_SAMPLE_WEIGHT = 0.1
# A short route becomes long work above this multiple of the shortest mean.
LONG_RATIO = 8
# A long route becomes short work again at or below this multiple of the
# shortest mean.
SHORT_RATIO = 4
MAX_ROUTES = 1_024
# Expected service time of a route without samples, seconds.
UNKNOWN_ROUTE_S = 0.01
# Lower bound of every expected service time, seconds.
MIN_EXPECTED_S = 0.000_001


@attrs.define
class RouteTime:
    """The learned service time of one route.

    Attributes:
        mean: Moving average of the service time, seconds.
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
        routes: Learned times of the routes that had calls, by name.
    """

    routes: dict[str, RouteTime] = attrs.field(factory=dict)

    def expected(self, route: str) -> float:
        """Returns the expected service time of a route, seconds."""
        learned = self.routes.get(route)
        return (
            UNKNOWN_ROUTE_S
            if learned is None
            else max(MIN_EXPECTED_S, learned.mean)
        )

    def latest_start(self, route: str, deadline: float) -> float:
        """Returns when a call must start to meet its deadline, seconds.

        Args:
            route: Name of the route.
            deadline: Deadline of the call, seconds.
        """
        return deadline - self.expected(route)

    def classify(self, route: str, declared: WorkClass) -> WorkClass:
        """Returns whether the calls of a route are short or long work.

        A route that declares no class counts as long work until one of its
        calls has finished, so that unknown work can't take every slot.

        Args:
            route: Name of the route.
            declared: The class that the route declares.
        """
        if declared is not WorkClass.LEARNED:
            return declared
        learned = self.routes.get(route)
        if learned is None or learned.is_long:
            return WorkClass.LONG
        return WorkClass.SHORT

    def observe(self, route: str, seconds: float) -> None:
        """Records the service time of a finished call.

        Args:
            route: Name of the route.
            seconds: Time for which the call held its slot, seconds.
        """
        learned = self.routes.get(route)
        if learned is None:
            self._add(route, seconds)
            return
        learned.samples += 1
        weight = max(MIN_SAMPLE_WEIGHT, 1 / learned.samples)
        learned.mean += weight * (seconds - learned.mean)
        ratio = SHORT_RATIO if learned.is_long else LONG_RATIO
        learned.is_long = learned.mean > ratio * self._shortest_mean()

    def _add(self, route: str, seconds: float) -> None:
        if len(self.routes) >= MAX_ROUTES:
            self.routes.pop(next(iter(self.routes)))
        self.routes[route] = RouteTime(seconds)
        self.routes[route].is_long = (
            seconds > LONG_RATIO * self._shortest_mean()
        )

    def _shortest_mean(self) -> float:
        return min(learned.mean for learned in self.routes.values())
