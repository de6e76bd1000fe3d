"""What an ingress daemon knows about one target from its own calls."""

import math

import attrs
import msgspec

from egretlanding.expectations import ReportedCapacity
from egretlanding.frames import NO_STATEMENT, Statement
from egretlanding.hosts import Host
from egretlanding.subsets import Distance

# Weight of an answer that is slower than the target's current slowness.
RISE_GAIN = 0.3
# Time constant with which faster answers reduce the slowness, seconds.
FALL_TIME_S = 2
# Time constant with which the slowness returns to neutral without answers, as a
# multiple of the time that the last call took: only calls show that a target is
# not slow, and those to a slow one should spend little of their callers' time.
SLOWNESS_DECAY_CALLS = 30
# The longest time constant, which also applies after a failure, seconds.
SLOWNESS_DECAY_S = 10
# The shortest one, seconds.
MIN_SLOWNESS_DECAY_S = 0.1
# Time constant with which a load report loses its weight, seconds.
LOAD_REPORT_DECAY_S = 2
# Share of calls that a target gets at the beginning of its cold start.
MIN_COLD_SHARE = 0.1
# Time for which a target counts as unreachable after the first failed
# connection, seconds. It doubles with each further one up to the maximum.
FIRST_BACKOFF_S = 0.5
MAX_BACKOFF_S = 8
# Time for which a target is left out whose daemon refused a call since the
# target is silent, seconds. Later calls are offered as trial calls.
SILENT_PAUSE_S = 0.5
MS_PER_S = 1_000
MAX_FULL_ROUTES = 256
# Growth of the pause after each further refusal for lack of capacity, and the
# longest pause that results, seconds.
FULL_PAUSE_GROWTH = 2
MAX_FULL_PAUSE_S = 0.64


@attrs.frozen
class Flight:
    """An attempt in flight.

    Attributes:
        route: Name of its route.
        started: When it was sent, seconds.
    """

    route: str
    started: float


@attrs.frozen
class ReportedLoad:
    """The last load report of a target, which counts less as it ages.

    Attributes:
        calls: Calls that it runs and queues.
        reported: When the report arrived, seconds.
    """

    calls: int = 0
    reported: float = -math.inf

    def current(self, now: float) -> float:
        """Returns the number of calls, discounted by the report's age."""
        return self.calls * math.exp(
            (self.reported - now) / LOAD_REPORT_DECAY_S
        )


@attrs.frozen
class FullRoute:
    """A route whose calls a target refused for lack of capacity.

    Attributes:
        until: Until when the target is expected to refuse them, seconds.
        pause_s: Time for which the target was left out last, seconds.
    """

    until: float
    pause_s: float

    @classmethod
    def after(
        cls, last: 'FullRoute | None', pause_s: float, now: float
    ) -> 'FullRoute':
        """Returns the state after a refusal.

        The pause doubles with each refusal that follows a pause closely.
        Otherwise all daemons together would offer an overloaded target more
        calls than the daemon beside it has processor time to refuse.

        Args:
            last: The state before, None if there was no refusal.
            pause_s: The pause after a first refusal, seconds.
            now: Monotonic time, seconds.
        """
        if last is None or now >= last.until + last.pause_s:
            return cls(now + pause_s, pause_s)
        if now < last.until:
            # The call was sent before the last refusal arrived.
            return last
        longest_s = max(pause_s, MAX_FULL_PAUSE_S)
        next_pause_s = min(longest_s, FULL_PAUSE_GROWTH * last.pause_s)
        return cls(now + next_pause_s, next_pause_s)


@attrs.define
class Probation:
    """The state of a shunned target, which gets only probe calls.

    Attributes:
        next_probe: When the next probe is due, seconds.
        pause_s: Pause between probes, seconds.
        passed: Probes in a row that were fast enough.
    """

    next_probe: float
    pause_s: float
    passed: int = 0


@attrs.define
class TargetEvidence:
    """The evidence on one target, from this daemon's own calls.

    Attributes:
        host: The target's host.
        distance: Its distance from the ingress daemon.
        ramp_started: When its share of calls began to ramp up, seconds: when
            it was first listed, or restored after it was shunned.
        slowness: Its latency relative to the usual one of the same routes
            over all targets; 1 is neutral. It rises fast and falls slowly.
        updated: When `slowness` last changed, seconds.
        decay_s: Time constant with which it returns to neutral, seconds.
        samples: Answers that `slowness` is based on.
        flights: Attempts in flight, by number of the attempt.
        load_report: Its last load report.
        failed_connects: Failed attempts to connect, in a row.
        unreachable_until: Until when it counts as unreachable, seconds.
        probation: Set while the target is shunned for being slow.
        heard: What the target's process last stated, None if nothing was
            heard from it.
        full_routes: The routes whose calls it refused last for lack of
            capacity, by name.
        capacity: What the target's daemon last reported about its process,
            None if nothing is known or the reports aren't used.
    """

    host: Host
    distance: Distance
    ramp_started: float
    slowness: float = 1
    updated: float = -math.inf
    decay_s: float = SLOWNESS_DECAY_S
    samples: int = 0
    flights: dict[int, Flight] = attrs.field(factory=dict)
    load_report: ReportedLoad = ReportedLoad()
    failed_connects: int = 0
    unreachable_until: float = -math.inf
    probation: Probation | None = None
    heard: Statement | None = None
    full_routes: dict[str, FullRoute] = attrs.field(factory=dict)
    capacity: ReportedCapacity | None = None

    def current_slowness(self, now: float) -> float:
        """Returns the slowness, which decays to neutral without answers."""
        decay = math.exp(min(0, self.updated - now) / self.decay_s)
        return 1 + (self.slowness - 1) * decay

    def load(self, now: float) -> float:
        """Returns the calls that the target runs and queues, estimated."""
        return max(len(self.flights), self.load_report.current(now))

    def share(self, cold_start_ms: int, now: float) -> float:
        """Returns the target's share of calls, which ramps up to 1.

        Args:
            cold_start_ms: Time after which the share is 1, ms.
            now: Monotonic time, seconds.
        """
        if cold_start_ms == 0:
            return 1
        warm_share = (now - self.ramp_started) * MS_PER_S / cold_start_ms
        return min(1, max(MIN_COLD_SHARE, warm_share))

    def is_unreachable(self, now: float) -> bool:
        """Returns whether the target counts as unreachable."""
        return now < self.unreachable_until

    @property
    def is_leaving(self) -> bool:
        """Whether the target's process said that it will stop."""
        return self.heard is not None and self.heard.leaving

    @property
    def rate_per_s(self) -> float | None:
        """Calls per second that the target takes, None without a limit."""
        return self.heard.rate_per_s if self.heard else None

    def update_host(self, host: Host, distance: Distance) -> None:
        """Applies a new entry of the host on the host list.

        A start that was unknown and is named now is that of the same process.
        """
        before = (self.host.instance, self.host.born_ms)
        may_be_same = before in {
            (host.instance, host.born_ms),
            (host.instance, 0),
        }
        self.host = host
        self.distance = distance
        if before != (host.instance, host.born_ms):
            self.capacity = None
        heard = self.heard or NO_STATEMENT
        if not (may_be_same and heard.may_be_of(host.born_ms)):
            self.heard = None

    def record_statement(self, statement: Statement) -> None:
        """Records what the target states; one that leaves never stays.

        While the list names no start, statements may be of processes that
        followed one another under one name; the last one counts.
        """
        heard = self.heard or statement
        if heard.may_be_of(statement.born_ms):
            self.heard = msgspec.structs.replace(
                statement,
                leaving=statement.leaving or heard.leaving,
                born_ms=statement.born_ms or heard.born_ms,
            )
        elif statement.born_ms > heard.born_ms:
            self.heard = statement

    def is_full(self, route: str, now: float) -> bool:
        """Returns whether the target is expected to refuse calls of a route."""
        full = self.full_routes.get(route)
        return full is not None and now < full.until

    def record_refusal(self, route: str, pause_s: float, now: float) -> None:
        """Records that the target has no capacity for calls of a route.

        It may have refused the call only because other calls are more urgent,
        so a refusal implies nothing about other routes.

        Args:
            route: Name of the route.
            pause_s: Time for which to leave it out after a first refusal,
                seconds.
            now: Monotonic time, seconds.
        """
        if len(self.full_routes) > MAX_FULL_ROUTES:
            self.full_routes.clear()
        last = self.full_routes.get(route)
        self.full_routes[route] = FullRoute.after(last, pause_s, now)

    def clear_refusal(self, route: str) -> None:
        """Records that the target has room for calls of a route again."""
        self.full_routes.pop(route, None)

    def record_latency(
        self, ratio: float, now: float, took_s: float = SLOWNESS_DECAY_S
    ) -> None:
        """Records the latency of an answer.

        Args:
            ratio: Its latency relative to the usual one of its route.
            now: Monotonic time, seconds.
            took_s: The latency, seconds.
        """
        current = self.current_slowness(now)
        # Slow answers count at once. Recovery depends on the time that passes,
        # not on the number of answers.
        elapsed = max(0, now - self.updated)
        gain = (
            RISE_GAIN
            if ratio > current
            else 1 - math.exp(-elapsed / FALL_TIME_S)
        )
        self.slowness = current + gain * (ratio - current)
        self.updated = now
        decay_s = max(MIN_SLOWNESS_DECAY_S, SLOWNESS_DECAY_CALLS * took_s)
        self.decay_s = min(SLOWNESS_DECAY_S, decay_s)
        self.samples += 1
        self.failed_connects = 0

    def record_unreachable(self, now: float) -> None:
        """Records a failed attempt to connect."""
        self.failed_connects += 1
        backoff = FIRST_BACKOFF_S * 2 ** (self.failed_connects - 1)
        self.unreachable_until = now + min(MAX_BACKOFF_S, backoff)

    def record_silence(self, now: float) -> None:
        """Records that its daemon gives it trial calls only."""
        silent_until = now + SILENT_PAUSE_S
        self.unreachable_until = max(self.unreachable_until, silent_until)

    def record_reachable(self) -> None:
        """Records that the host's daemon is up."""
        self.failed_connects = 0
        self.unreachable_until = -math.inf

    def reset(self, now: float) -> None:
        """Drops evidence that a pause of this process has made outdated.

        Attempts in flight count as sent now.
        """
        self.slowness = 1
        self.updated = now
        self.samples = 0
        self.load_report = ReportedLoad()
        self.capacity = None
        self.unreachable_until = now
        self.probation = None
        self.flights = {
            attempt: Flight(flight.route, now)
            for attempt, flight in self.flights.items()
        }
