"""Learns which routes the target's runs call, and how often these are rejected.

Calls don't say which run made them. A route whose calls arrive while another
one runs at the local target more often than chance explains is taken to be
called by these runs. See docs/design/fair-shares.md.
"""

import itertools
import math
from collections import defaultdict
from collections.abc import Collection, Iterable, Mapping

import attrs

# Time constant with which earlier observations of a link lose their weight,
# seconds.
LINK_MEMORY_S = 120.0
# Time constant with which earlier rejections lose their weight, seconds.
REJECTION_MEMORY_S = 2.0
# Arrivals of a route that are needed to learn what calls it.
MIN_ARRIVALS = 20
# Share of a route's arrivals that another route's runs must explain.
MIN_EXPLAINED = 0.5
# The same for a link that is already known, so that it doesn't come and go.
MIN_STILL_EXPLAINED = 0.25
# Standard errors by which arrivals must differ from chance.
MIN_DEVIATIONS = 4
# Nothing is learned about a route that runs for more than this share of the
# time, since every arrival then coincides with it.
MAX_BUSY = 0.9
# Least variance that is assumed, for routes that nearly never run.
MIN_VARIANCE = 0.01
# Time between two looks at what was observed, seconds.
LEARNING_PERIOD_S = 5.0
# Routes that are watched at most, so that looking at each pair takes little.
MAX_ROUTES = 64
# Routes with fewer observations than this are dropped.
MIN_WEIGHT = 0.01

Weights = defaultdict[str, float]


def zero_weights() -> Weights:
    """Returns weights that are zero."""
    return defaultdict(float)


@attrs.define
class Rejections:
    """The calls of a nested route that ended lately.

    Attributes:
        ended: Their number.
        rejected: Those of them that no target had room for.
        updated: When the numbers were last reduced, seconds.
    """

    ended: float = 0
    rejected: float = 0
    updated: float = 0

    def fade(self, now: float) -> None:
        """Reduces the weight of what was counted before."""
        kept = math.exp(min(0, self.updated - now) / REJECTION_MEMORY_S)
        self.ended *= kept
        self.rejected *= kept
        self.updated = now

    def share_at(self, now: float) -> float:
        """Returns the share of rejected calls; a single one shows little."""
        self.fade(now)
        return self.rejected / (self.ended + 1)


@attrs.define
class NestedRoutes:
    """What one ingress daemon knows of the calls that its target makes.

    Attributes:
        arrived: Calls that arrived, by route.
        during: Those that arrived while a route ran, by route and that route.
        samples: Samples of what runs.
        busy: Samples in which a route ran.
        runs: Runs of each route.
        starts: Runs of each route up to the last sample, not reduced.
        links: How many calls of a nested route a run makes, at most 1, by
            outer and nested route.
        rejections: How the calls of nested routes ended.
        held_back: Calls of outer routes that were rejected, by route.
        learned_at: When the observations were last looked at, seconds.
    """

    arrived: Weights = attrs.field(factory=zero_weights)
    during: defaultdict[str, Weights] = attrs.field(
        factory=lambda: defaultdict(zero_weights)
    )
    samples: float = 0
    busy: Weights = attrs.field(factory=zero_weights)
    runs: Weights = attrs.field(factory=zero_weights)
    starts: dict[str, int] = attrs.field(factory=dict)
    links: dict[str, dict[str, float]] = attrs.field(factory=dict)
    rejections: dict[str, Rejections] = attrs.field(factory=dict)
    held_back: defaultdict[str, int] = attrs.field(
        factory=lambda: defaultdict(int)
    )
    learned_at: float = 0

    def observe(self, route: str, running: Iterable[str]) -> None:
        """Records that a call arrived.

        Args:
            route: Its route.
            running: The routes that run at the local target.
        """
        if route not in self.arrived and len(self.arrived) >= MAX_ROUTES:
            return
        self.arrived[route] += 1
        during = self.during[route]
        for outer in set(running):
            during[outer] += 1

    def sample(
        self, running: Iterable[str], starts: Mapping[str, int], now: float
    ) -> None:
        """Records what runs at a moment that no call chose, and learns.

        Args:
            running: The routes that run at the local target.
            starts: Runs of each route since the daemon started.
            now: Monotonic time, seconds.
        """
        self.samples += 1
        for outer in set(running):
            self.busy[outer] += 1
        if now - self.learned_at >= LEARNING_PERIOD_S:
            self._count_runs(starts)
            self._learn()
            self._fade(now)

    def record_end(self, route: str, *, rejected: bool, now: float) -> None:
        """Records how a call of a route ended, if runs make such calls."""
        rejections = self.rejections.get(route)
        if rejections:
            rejections.fade(now)
            rejections.ended += 1
            rejections.rejected += rejected

    def rejected_share(self, outer: str, now: float) -> float:
        """Returns the share of a route's runs whose nested call is rejected."""
        nested = self.links.get(outer)
        if not nested:
            return 0
        return max(
            per_run * self.rejections[route].share_at(now)
            for route, per_run in nested.items()
        )

    def retain(self, routes: Collection[str]) -> None:
        """Drops what was learned about routes that no longer exist."""
        tables = (
            self.arrived,
            self.during,
            self.busy,
            self.runs,
            self.links,
            self.held_back,
        )
        for table in tables:
            for removed in table.keys() - routes:
                table.pop(removed)
        for weights in (*self.during.values(), *self.links.values()):
            for removed in weights.keys() - routes:
                weights.pop(removed)
        self._watch_nested()

    def _count_runs(self, starts: Mapping[str, int]) -> None:
        for route, count in itertools.islice(starts.items(), MAX_ROUTES):
            self.runs[route] += max(0, count - self.starts.get(route, 0))
        self.starts = dict(starts)

    def _fade(self, now: float) -> None:
        kept = math.exp(min(0, self.learned_at - now) / LINK_MEMORY_S)
        self.learned_at = now
        self.samples *= kept
        for weights in (
            self.arrived,
            self.busy,
            self.runs,
            *self.during.values(),
        ):
            faded = {route: kept * weights[route] for route in weights}
            weights.clear()
            weights.update(
                (route, weight)
                for route, weight in faded.items()
                if weight >= MIN_WEIGHT
            )
        for dropped in self.during.keys() - self.arrived.keys():
            self.during.pop(dropped)

    def _learn(self) -> None:
        known = [
            route
            for route, arrivals in self.arrived.items()
            if arrivals >= MIN_ARRIVALS
        ]
        for route, outer in itertools.product(known, self.runs):
            if route != outer:
                self._learn_link(route, outer, self.runs[outer])
        self._watch_nested()

    def _learn_link(self, route: str, outer: str, runs: float) -> None:
        busy = self.busy[outer] / self.samples
        if busy > MAX_BUSY or not runs:
            return
        arrivals = self.arrived[route]
        excess = self.during[route][outer] / arrivals - busy
        variance = max(MIN_VARIANCE, busy * (1 - busy))
        error = math.sqrt(variance * (1 / arrivals + 1 / self.samples))
        explained = excess / (1 - busy)
        nested = self.links.setdefault(outer, {})
        is_clear = excess >= MIN_DEVIATIONS * error
        if route in nested:
            is_linked = explained >= MIN_STILL_EXPLAINED
        else:
            is_linked = is_clear and explained >= MIN_EXPLAINED
        if is_linked:
            nested[route] = min(1, explained * arrivals / runs)
        else:
            nested.pop(route, None)

    def _watch_nested(self) -> None:
        nested = set().union(*self.links.values())
        self.rejections = {
            route: self.rejections.get(route) or Rejections()
            for route in nested
        }
