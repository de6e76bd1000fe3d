"""Guarantees each route that asks a part of the target while it is overloaded.

The target's calls are started and rejected by urgency. A route whose calls are
always less urgent than others would get nothing while more calls arrive than
the target can run. See docs/design/fair-shares.md.
"""

import math
from collections import defaultdict, deque
from collections.abc import Iterable
from itertools import chain
from operator import attrgetter

import attrs

from egretlanding.servicetimes import ServiceTimes
from egretlanding.slots import ClassifiedCall, SlotRequest

# Part of the fair share that is guaranteed. Routes are promised a quarter of
# it; the rest is for calls that take longer than expected and end too late.
GUARANTEED_PART = 0.3
# Window over which service times are summed up, seconds. It is longer than most
# calls, so that a share of the window is worth several calls.
WINDOW_S = 4.0
# Service times of one slice are summed up together.
SLICE_S = 0.5
# The queue counts as over its bound for this long after a call was rejected for
# lack of room, seconds. The rejection itself ends the excess.
OVERLOAD_S = 1.0
MAX_ROUTES = 1_024
ASKED = attrgetter('asked')


@attrs.define
class Slice:
    """What was counted in one slice of the window.

    Attributes:
        began: When it began, seconds.
        started_s: Service time of the started calls by route, seconds.
        asked: The routes that calls arrived for.
    """

    began: float
    started_s: defaultdict[str, float] = attrs.field(
        factory=lambda: defaultdict(float)
    )
    asked: set[str] = attrs.field(factory=set)


@attrs.define
class RouteTotals:
    """Service time of the calls of one route since the daemon started.

    Attributes:
        started_s: That of the calls that were started, seconds.
        rejected_s: Expected one of the calls rejected for lack of room,
            seconds.
        starts: Number of calls that were started.
    """

    started_s: float = 0
    rejected_s: float = 0
    starts: int = 0


@attrs.frozen
class ShareChange:
    """The need for guaranteed shares has begun or ended.

    Attributes:
        needed: Whether it has begun.
        routes: The routes that needed theirs.
        seconds: For how long they did, zero at the beginning.
    """

    needed: bool
    routes: tuple[str, ...]
    seconds: float = 0


@attrs.define
class FairShares:
    """The service time that each route gets from one target.

    Attributes:
        slices: The window, the oldest slice first.
        totals: What was started and rejected, by route.
        charged: Expected service time of the running calls, by id, seconds.
        overloaded_until: Until when the queue counts as over its bound,
            seconds.
        needed_since: When a guaranteed share was first needed, seconds; None
            while none is.
        needed_at: When it was last needed, seconds.
        needing: The routes that needed it since then.
        owed_s: What each route that asks has yet to get of its share, seconds;
            None if it must be computed again.
    """

    slices: deque[Slice] = attrs.field(factory=deque)
    totals: dict[str, RouteTotals] = attrs.field(factory=dict)
    charged: dict[int, float] = attrs.field(factory=dict)
    overloaded_until: float = -math.inf
    needed_since: float | None = None
    needed_at: float = -math.inf
    needing: set[str] = attrs.field(factory=set)
    owed_s: dict[str, float] | None = None

    def ask(self, route: str, now: float) -> None:
        """Records that a call of a route arrived."""
        asked = self._current(now).asked
        if route not in asked:
            asked.add(route)
            self.owed_s = None

    def begin(self, call: SlotRequest, expected_s: float, now: float) -> None:
        """Records that a call was started.

        Args:
            call: The call.
            expected_s: Its expected service time, seconds.
            now: Monotonic time, seconds.
        """
        self.charged[call.call_id] = expected_s
        self._total(call.route).starts += 1
        self._count(call.route, expected_s, now)

    def end(self, call: SlotRequest, elapsed_s: float, now: float) -> None:
        """Records how long a call held its slot, once it is free again."""
        charged_s = self.charged.pop(call.call_id, elapsed_s)
        self._count(call.route, elapsed_s - charged_s, now)

    def reject(self, call: SlotRequest, expected_s: float, now: float) -> None:
        """Records that a call was rejected for lack of room."""
        self.overloaded_until = now + OVERLOAD_S
        self._total(call.route).rejected_s += expected_s

    def covered(
        self,
        waiting: Iterable[ClassifiedCall],
        times: ServiceTimes,
        now: float,
    ) -> frozenset[int]:
        """Returns the ids of the calls that the guaranteed shares pay for.

        Of each route these are its most urgent calls, as many as the part of
        its share that it hasn't got yet is worth.

        Args:
            waiting: The calls that wait for a slot.
            times: The expected service times.
            now: Monotonic time, seconds.
        """
        if now >= self.overloaded_until:
            return frozenset()
        self._current(now)
        if self.owed_s is None:
            self.owed_s = self._owed()
        owed_s = self.owed_s
        by_route: defaultdict[str, list[SlotRequest]] = defaultdict(list)
        for queued in waiting:
            if queued.call.route in owed_s:
                by_route[queued.call.route].append(queued.call)
        if by_route:
            self.needing.update(by_route)
            self.needed_at = now
        return frozenset(
            call.call_id
            for route, calls in by_route.items()
            for call in paid_calls(calls, owed_s[route], times, now)
        )

    def take_change(self, now: float) -> ShareChange | None:
        """Returns whether the need for guaranteed shares began or ended.

        It has ended once there was none for the length of the window. Each
        change is returned once.
        """
        if self.needed_since is None:
            if not self.needing:
                return None
            self.needed_since = self.needed_at
            return ShareChange(needed=True, routes=tuple(sorted(self.needing)))
        if now - self.needed_at < WINDOW_S:
            return None
        routes = tuple(sorted(self.needing))
        seconds = self.needed_at - self.needed_since
        self.needing.clear()
        self.needed_since = None
        return ShareChange(needed=False, routes=routes, seconds=seconds)

    def retain(self, routes: Iterable[str]) -> None:
        """Drops what was counted for routes that no longer exist."""
        kept = frozenset(routes)
        for removed in self.totals.keys() - kept:
            self.totals.pop(removed)
        for held in self.slices:
            held.asked &= kept
            for removed in held.started_s.keys() - kept:
                held.started_s.pop(removed)
        self.owed_s = None
        self.needing &= kept

    def _owed(self) -> dict[str, float]:
        """Returns what each route that asks has yet to get, seconds."""
        asking = frozenset(chain.from_iterable(map(ASKED, self.slices)))
        started_s: defaultdict[str, float] = defaultdict(float)
        for name, seconds in chain.from_iterable(
            held.started_s.items() for held in self.slices
        ):
            started_s[name] += seconds
        total_s = sum(started_s.values())
        guaranteed_s = GUARANTEED_PART * total_s / max(1, len(asking))
        return {
            route: guaranteed_s - started_s[route]
            for route in asking
            if started_s[route] < guaranteed_s
        }

    def _count(self, route: str, seconds: float, now: float) -> None:
        self._current(now).started_s[route] += seconds
        self.owed_s = None
        self._total(route).started_s += seconds

    def _total(self, route: str) -> RouteTotals:
        if len(self.totals) >= MAX_ROUTES and route not in self.totals:
            return RouteTotals()
        return self.totals.setdefault(route, RouteTotals())

    def _current(self, now: float) -> Slice:
        while self.slices and now - self.slices[0].began >= WINDOW_S:
            self.slices.popleft()
            self.owed_s = None
        if not self.slices or now - self.slices[-1].began >= SLICE_S:
            self.slices.append(Slice(now))
        return self.slices[-1]


def paid_calls(
    calls: list[SlotRequest], owed_s: float, times: ServiceTimes, now: float
) -> list[SlotRequest]:
    """Returns the most urgent calls of a route that its share pays for.

    Args:
        calls: The calls of the route that wait for a slot, at least one.
        owed_s: What the route has yet to get, seconds.
        times: The expected service times.
        now: Monotonic time, seconds.
    """
    route = calls[0].route
    expected_s = times.expected(route)
    # Calls of a route that none has ended of may take any time.
    paid = math.ceil(owed_s / expected_s) if route in times.routes else 1
    if len(calls) <= paid:
        return calls
    calls.sort(key=lambda one: one.urgency_key(expected_s, now))
    return calls[:paid]
