"""Decides which calls in flight at the target count as lost."""

import math
from collections.abc import Collection, Iterator

import attrs

from egretlanding.answertimes import AnswerTimes

# Share of the answers that take longer than what counts as lost, while no call
# was lost lately, and the most that is accepted once many were.
RARITY = 0.001
MAX_RARITY = 0.02
# The accepted share as a part of the share of calls that were lost lately: most
# calls that take as long are then lost.
RARITY_PER_LOSS = 0.1
# Least ratio to the usual time of a call that counts as long, while no call was
# lost lately and otherwise. A target may become some multiple slower within one
# call, and rare kinds of calls may not have been seen yet.
MIN_LONG_RATIO = 8
MIN_SUSPECT_RATIO = 4
# One of this many calls that count as lost while no other was lost lately isn't
# given up. If it was only longer than all before, its answer shows it.
WATCHED_OF = 4
# A call counts as lost after this multiple of the time within which almost all
# are answered. Answers in between show that calls take longer now.
LOST_RATIO = 1.25
# The same if hardly any call that was sent later has been answered: the target
# may then only be busy, and answer all of them a little later.
STALLED_RATIO = 2.5
# Later calls that must have been answered before one counts as overtaken.
MIN_OVERTAKING = 2
# Time that a retry takes beside the run at the other target, seconds.
RETRY_TRANSIT_S = 0.03
# Multiple of the usual time of the route that is kept for a retry.
RETRY_RATIO = 1.5


@attrs.define
class SentCall:
    """A call that was sent to the target and hasn't ended.

    Attributes:
        route: Name of its route.
        started: When it was sent, or when the daemon last resumed, seconds.
        deadline: When its answer becomes useless, seconds.
        may_retry: Whether its sender would send it elsewhere if it is lost.
        concurrency: Calls in flight when it was sent, itself included.
        overtaken: Calls that were sent later and have been answered.
        is_lost: Whether it counts as lost.
        is_watched: Whether it isn't given up though it counts as lost.
        resumed: Whether the daemon was paused since it was sent.
        is_overdue: Whether it is lost and its deadline has passed.
    """

    route: str
    started: float
    deadline: float
    may_retry: bool
    concurrency: int
    overtaken: int = 0
    is_lost: bool = False
    is_watched: bool = False
    resumed: bool = False
    is_overdue: bool = False

    def lost_at(
        self, long_s: float, retry_s: float, *, is_suspect: bool
    ) -> float:
        """Returns when it counts as lost without an answer, seconds.

        Args:
            long_s: Time within which almost all calls of the route are
                answered, seconds.
            retry_s: Time that a retry of it would need, seconds.
            is_suspect: Whether the target has lost calls lately.
        """
        if self.overtaken < MIN_OVERTAKING and not is_suspect:
            return self.started + STALLED_RATIO * long_s
        certain_at = self.started + LOST_RATIO * long_s
        if not self.may_retry:
            return certain_at
        last_retry_at = self.deadline - retry_s
        return min(certain_at, max(self.started + long_s, last_retry_at))


@attrs.define
class LostCalls:
    """The calls in flight at the target, and which of them are lost.

    Attributes:
        times: How long the answers of the target take.
        unsuspected: Calls that counted as lost while no other was lost lately.
        sent: The calls by number, in the order in which they were sent.
    """

    times: AnswerTimes = attrs.field(factory=AnswerTimes)
    unsuspected: int = 0
    sent: dict[int, SentCall] = attrs.field(factory=dict)

    def begin(
        self,
        call_id: int,
        route: str,
        deadline: float,
        now: float,
        *,
        may_retry: bool = False,
    ) -> None:
        """Records that a call was sent."""
        concurrency = len(self.sent) + 1
        self.sent[call_id] = SentCall(
            route, now, deadline, may_retry, concurrency
        )

    def end(self, call_id: int, now: float, *, ran: bool) -> SentCall | None:
        """Records the end of a call, and returns it.

        Args:
            call_id: Number of the call.
            now: Monotonic time, seconds.
            ran: Whether the target ran and answered it.
        """
        call = self.sent.get(call_id)
        if call is None:
            return None
        if ran:
            self._record_overtaking(call_id)
            if not call.resumed:
                self.times.observe(call.route, now - call.started)
        self.sent.pop(call_id)
        return call

    def newly_lost(
        self, now: float, lost_share: float, answering: Collection[int] = ()
    ) -> Iterator[tuple[int, SentCall]]:
        """Yields the calls that count as lost from now on, with their ids.

        Args:
            now: Monotonic time, seconds.
            lost_share: Share of the calls that the target lost lately.
            answering: Ids of the calls whose answer has begun.
        """
        rarity = max(RARITY, min(MAX_RARITY, RARITY_PER_LOSS * lost_share))
        is_suspect = rarity > RARITY
        least = MIN_SUSPECT_RATIO if is_suspect else MIN_LONG_RATIO
        long_ratio = max(least, self.times.long_ratio(rarity))
        waiting = {
            call_id: call
            for call_id, call in self.sent.items()
            if not call.is_lost and call_id not in answering
        }
        for call_id, call in waiting.items():
            usual_s = self.times.usual.usual_s(call.route)
            if usual_s is None or math.isinf(long_ratio):
                continue
            lost_at = call.lost_at(
                long_ratio * usual_s,
                self.retry_s(call.route),
                is_suspect=is_suspect,
            )
            if now >= lost_at:
                call.is_lost = True
                call.is_watched = not is_suspect and self._is_watch_due()
                yield call_id, call

    def newly_overdue(self, now: float) -> Iterator[int]:
        """Yields the ids of the lost calls whose deadlines have passed."""
        for call_id, call in tuple(self.sent.items()):
            if call.is_lost and not call.is_overdue and now >= call.deadline:
                call.is_overdue = True
                yield call_id

    def is_long(self, call: SentCall, now: float) -> bool:
        """Returns whether a call was without answer for unusually long.

        If too little is known, that is when its deadline has passed.
        """
        usual_s = self.times.usual.usual_s(call.route)
        long_ratio = max(MIN_LONG_RATIO, self.times.long_ratio(RARITY))
        if usual_s is None or math.isinf(long_ratio):
            return now >= call.deadline
        return now - call.started >= long_ratio * usual_s

    def is_retry_useful(self, call: SentCall, now: float) -> bool:
        """Returns whether a retry of a lost call can be answered in time."""
        retry_s = self.retry_s(call.route) / RETRY_RATIO
        if call.is_watched or not call.may_retry:
            return False
        return now + retry_s < call.deadline

    def retry_s(self, route: str) -> float:
        """Returns the time that a retry of a call needs, seconds."""
        usual_s = self.times.usual.usual_s(route) or 0
        return RETRY_TRANSIT_S + RETRY_RATIO * usual_s

    def resume(self, paused_s: float) -> None:
        """Leaves out the time for which the daemon didn't run.

        Args:
            paused_s: Length of the pause that ended now, seconds.
        """
        for call in self.sent.values():
            call.started += paused_s
            call.resumed = True

    def _is_watch_due(self) -> bool:
        self.unsuspected += 1
        return self.unsuspected % WATCHED_OF == 1

    def _record_overtaking(self, call_id: int) -> None:
        for earlier_id, earlier in self.sent.items():
            if earlier_id == call_id:
                return
            earlier.overtaken += 1
