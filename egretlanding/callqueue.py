"""A queue of calls of one class, ordered by urgency."""

import collections
import heapq
import math

import attrs

from egretlanding.servicetimes import ServiceTimes
from egretlanding.slots import ClassifiedCall

HeapEntry = tuple[float, int]
NO_CALLS: frozenset[int] = frozenset()


@attrs.define
class CallQueue:
    """Calls of one class that wait for a slot.

    Removing a call leaves its entries in the heaps. They are skipped when they
    reach the top, and dropped when the queue becomes empty.

    Attributes:
        waiting: The queued calls by id.
        routes: Number of queued calls by route.
        time_sensitive: Queued calls that have a `soft_deadline`, by id.
        by_latest_start: Heap of the latest starts of the calls.
        by_urgency: Heap of the deadlines of the calls that have no
            `soft_deadline`, each delayed according to the priority rank.
        by_long_wait: Heap of the values of `Slots.long_busy_time` up to which
            the calls may be queued.
    """

    waiting: dict[int, ClassifiedCall] = attrs.field(factory=dict)
    routes: collections.Counter[str] = attrs.field(factory=collections.Counter)
    time_sensitive: dict[int, ClassifiedCall] = attrs.field(factory=dict)
    by_latest_start: list[HeapEntry] = attrs.field(factory=list)
    by_urgency: list[HeapEntry] = attrs.field(factory=list)
    by_long_wait: list[HeapEntry] = attrs.field(factory=list)

    def __len__(self) -> int:
        return len(self.waiting)

    def first_to_expire(self) -> ClassifiedCall | None:
        """Returns the call whose latest start comes first."""
        return self._head(self.by_latest_start)

    def most_urgent(
        self,
        times: ServiceTimes,
        now: float,
        preferred: frozenset[int] = NO_CALLS,
    ) -> ClassifiedCall | None:
        """Returns the call that should start next.

        Args:
            times: The expected service times.
            now: Monotonic time, seconds.
            preferred: Ids of queued calls that start before all others.
        """
        if not self.time_sensitive and not preferred:
            return self._head(self.by_urgency)
        candidates = self.waiting
        if preferred:
            candidates = {one: self.waiting[one] for one in preferred}
        return min(
            candidates.values(),
            key=lambda queued: queued.call.urgency_key(
                times.expected(queued.call.route),
                now,
            ),
            default=None,
        )

    def least_urgent(
        self,
        times: ServiceTimes,
        now: float,
        spared: frozenset[int] = NO_CALLS,
    ) -> ClassifiedCall | None:
        """Returns the call to refuse first if the queue is too long.

        Only calls that have a `soft_deadline` are considered. Calls that may
        run in any region go before those that are confined to some, since
        targets of other regions may have room for them.

        Args:
            times: The expected service times.
            now: Monotonic time, seconds.
            spared: Ids of calls that are refused only if there are no others.
        """
        candidates = self.time_sensitive
        if spared and not candidates.keys() <= spared:
            candidates = {
                call_id: queued
                for call_id, queued in candidates.items()
                if call_id not in spared
            }
        return max(
            candidates.values(),
            key=lambda queued: (
                not queued.call.is_confined,
                queued.call.urgency_key(
                    times.expected(queued.call.route),
                    now,
                ),
            ),
            default=None,
        )

    def shortest_long_wait(self) -> ClassifiedCall | None:
        """Returns the call whose wait behind long work ends first."""
        return self._head(self.by_long_wait)

    def expected_work(self, times: ServiceTimes) -> float:
        """Returns the total expected service time of the calls, seconds."""
        return sum(
            count * times.expected(route)
            for route, count in self.routes.items()
        )

    def add(self, queued: ClassifiedCall, start_by: float) -> None:
        """Adds a call to the queue.

        Args:
            queued: The call.
            start_by: When it must start at the latest, seconds.
        """
        call = queued.call
        self.waiting[call.call_id] = queued
        self.routes[call.route] += 1
        if math.isfinite(call.soft_deadline):
            self.time_sensitive[call.call_id] = queued
        else:
            _, due = call.urgency_key(0, 0)
            heapq.heappush(self.by_urgency, (due, call.call_id))
        heapq.heappush(self.by_latest_start, (start_by, call.call_id))
        heapq.heappush(self.by_long_wait, (queued.max_long_busy, call.call_id))

    def remove(self, call_id: int) -> ClassifiedCall | None:
        """Removes a call from the queue.

        Returns:
            The call, or None if it was not queued.
        """
        queued = self.waiting.pop(call_id, None)
        if queued is None:
            return None
        self.time_sensitive.pop(call_id, None)
        self.routes[queued.call.route] -= 1
        self.routes += collections.Counter()
        if not self.waiting:
            self.by_latest_start.clear()
            self.by_urgency.clear()
            self.by_long_wait.clear()
        return queued

    def _head(self, heap: list[HeapEntry]) -> ClassifiedCall | None:
        while heap and heap[0][1] not in self.waiting:
            heapq.heappop(heap)
        return self.waiting[heap[0][1]] if heap else None
