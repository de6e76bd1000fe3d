"""Detects calls that the target beside the daemon leaves without an answer."""

import math
import time
from collections.abc import Callable
from typing import Any

import attrs

from egretlanding.capacity import Ending, Process, may_be_same
from egretlanding.events import Event, Severity, log_event
from egretlanding.jobs import MS_PER_S, Job
from egretlanding.limits import ConcurrencyLimit
from egretlanding.lostcalls import LostCalls, SentCall
from egretlanding.outcomes import Reason, Refusal
from egretlanding.silence import Silence
from egretlanding.sureslots import SureSlots
from egretlanding.targetpool import TargetOutcome

# Time between two checks while calls are in flight, seconds.
CHECK_INTERVAL_S = 0.05
# A check that is later than this shows that the daemon was paused, seconds.
MAX_LATENESS_S = 0.1

SILENT_REFUSAL = Refusal.not_run(
    Reason.TARGET_SILENT, 'the target leaves calls unanswered'
)


@attrs.define(eq=False)
class SilentCalls:
    """Finds lost calls at one target and gives a silent target fewer calls.

    The evidence belongs to one process of the target.

    Attributes:
        reactor: The reactor, for the time and the timer.
        limit: Limits the calls that run at the target.
        started_ms: When the daemon started, ms since the epoch.
        process: The target's process: its instance, start time in ms since the
            epoch, and the number of times that it came up; None before the
            first call.
        calls: The calls in flight.
        sure: The number of calls that the target has slots for.
        silence: The evidence that the target is silent.
        jobs: The calls in flight, to end those that are lost.
        lost: Number of calls that counted as lost.
        late_answers: Number of those that were answered all the same.
        due: When the next check is due, seconds.
        timer: The delayed call of the next check.
        on_silent: Called when the target has become silent.
        on_overdue: Called with the number of a lost call that is still in
            flight at its deadline.
    """

    reactor: Any
    limit: ConcurrencyLimit
    started_ms: float = attrs.field(factory=lambda: MS_PER_S * time.time())
    process: Process | None = None
    calls: LostCalls = attrs.field(factory=LostCalls)
    sure: SureSlots = attrs.field(factory=SureSlots.at_start)
    silence: Silence = attrs.field(factory=Silence)
    jobs: dict[int, Job] = attrs.field(factory=dict)
    lost: int = 0
    late_answers: int = 0
    due: float = math.inf
    timer: Any = None
    on_silent: Callable[[], None] = lambda: None
    on_overdue: Callable[[int], None] = lambda _call_id: None

    def __attrs_post_init__(self) -> None:
        """Applies the limit of a daemon that has just started."""
        self.limit.sure = self.sure.limit

    @property
    def sure_slots(self) -> int:
        """Calls at a time that the target surely has slots for."""
        return int(min(self.sure.limit, self.limit.slots))

    def meet(self, process: Process) -> None:
        """Drops all evidence if the target's process is another one."""
        last = self.process
        self.process = process
        if may_be_same(process, last):
            return
        if last is None or (not last[0] and last[2] == process[2]):
            # Only now the store has listed the process.
            self.meet_first(process[1])
            return
        if self.silence.is_silent:
            self.log_end('another process of the target')
        self.silence = Silence()
        self.sure = SureSlots()
        self.limit.sure = self.sure.limit
        # Calls of the previous process say nothing about this one.
        self.calls = LostCalls()

    def meet_first(self, born_ms: int) -> None:
        """Allows all slots of a target that started after the daemon.

        No calls of an earlier process of the daemon can run there.
        """
        if born_ms > self.started_ms and not self.sure.has_lost:
            self.sure = SureSlots()
            self.limit.sure = self.sure.limit

    def refusal_of(self, job: Job) -> Refusal | None:
        """Refuses a call that a silent target isn't offered."""
        now = self.reactor.seconds()
        if self.silence.allows(now, may_retry=job.call.may_retry):
            return None
        return SILENT_REFUSAL

    def begin(self, job: Job) -> None:
        """Records that a call was sent to the target."""
        self.calls.begin(
            job.job_id,
            job.call.route,
            job.deadline,
            job.started,
            may_retry=job.call.may_retry and job.key is None,
        )
        self.jobs[job.job_id] = job
        self.silence.begin(job.job_id)
        if self.timer is None:
            self.schedule()

    def end(self, call_id: int, outcome: TargetOutcome, ending: Ending) -> bool:
        """Records the end of a call.

        Args:
            call_id: Number of the call.
            outcome: How it ended.
            ending: What that says of the target.

        Returns:
            Whether it counts as lost and got no answer.
        """
        now = self.reactor.seconds()
        self.jobs.pop(call_id, None)
        answered = outcome.response is not None
        call = self.calls.end(call_id, now, ran=ending is Ending.ANSWERED)
        if call and not call.is_lost and not answered and outcome.may_run:
            self.judge_cancelled(call_id, call)
        is_lost = call is not None and call.is_lost
        if is_lost and answered:
            self.late_answers += 1
        elif call and answered and ending is not Ending.REFUSED:
            self.record_answer(call_id)
        self.silence.end_trial(call_id)
        return is_lost and not answered

    def forget(self, call_id: int) -> None:
        """Drops a call whose handling failed here."""
        self.jobs.pop(call_id, None)
        self.calls.sent.pop(call_id, None)
        self.silence.end_trial(call_id)

    def judge_cancelled(self, call_id: int, call: SentCall) -> None:
        """Counts a call as lost if it was cancelled after a long time."""
        if self.calls.is_long(call, self.reactor.seconds()):
            call.is_lost = True
            self.record_loss(call_id, call)

    def record_answer(self, call_id: int) -> None:
        """Records an answer that came in time."""
        self.sure.record_answer(self.limit.slots)
        self.limit.sure = self.sure.limit
        if self.silence.record_answer(call_id, self.reactor.seconds()):
            self.log_end('trial calls were answered')

    def record_loss(self, call_id: int, call: SentCall) -> None:
        """Records that a call counts as lost."""
        self.lost += 1
        slots = self.limit.slots
        if self.sure.is_short(call.concurrency, slots):
            self.sure.record_loss(call.concurrency, slots)
            self.limit.sure = self.sure.limit
            return
        if self.silence.record_loss(call_id, self.reactor.seconds()):
            log_event(
                Event.TARGET_SILENT,
                'the target leaves calls unanswered and gets trial calls only',
                Severity.WARNING,
                instance=self.process[0] if self.process else '',
                lost_share=round(self.silence.share, 2),
                in_flight=len(self.jobs),
            )
            self.on_silent()

    def schedule(self) -> None:
        """Schedules the next check."""
        self.due = self.reactor.seconds() + CHECK_INTERVAL_S
        self.timer = self.reactor.callLater(CHECK_INTERVAL_S, self.check)

    def check(self) -> None:
        """Judges the calls in flight, after what has arrived was read."""
        lateness_s = self.reactor.seconds() - self.due
        if lateness_s > MAX_LATENESS_S:
            self.calls.resume(lateness_s)
        self.timer = None
        if self.jobs:
            self.schedule()
            self.reactor.callLater(0, self.judge)

    def judge(self) -> None:
        """Counts calls as lost, and ends those that can be retried."""
        now = self.reactor.seconds()
        handles = {
            call_id: job.request_handle for call_id, job in self.jobs.items()
        }
        answering = {
            call_id
            for call_id, handle in handles.items()
            if handle.client is None or handle.is_answering
        }
        lost = self.calls.newly_lost(now, self.silence.share, answering)
        for call_id, call in lost:
            handle = handles[call_id]
            handle.client.usable = False
            self.record_loss(call_id, call)
            if self.calls.is_retry_useful(call, now):
                handle.cut()
        for overdue_id in self.calls.newly_overdue(now):
            self.on_overdue(overdue_id)

    def log_end(self, cause: str) -> None:
        """Logs that the target is no longer silent."""
        log_event(
            Event.TARGET_HEARD,
            'the target gets its share of calls again',
            instance=self.process[0] if self.process else '',
            cause=cause,
        )

    def dump(self) -> dict[str, Any]:
        """Returns the state for operators."""
        now = self.reactor.seconds()
        since = self.silence.since
        return {
            'silent_for_s': None if since is None else round(now - since, 1),
            'lost_share': round(self.silence.share, 2),
            'trials_passed': self.silence.passed,
            'sure_slots': self.sure_slots,
            'lost_calls': self.lost,
            'late_answers': self.late_answers,
        }
