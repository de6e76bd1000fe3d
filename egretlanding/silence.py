"""Whether the target is silent, and its way back through trial calls."""

import math

import attrs

# Weight of a call in the share of calls that were lost.
LOSS_WEIGHT = 0.1
# The target is silent from this share on: three lost calls in a row, or a third
# of ten.
SILENT_SHARE = 0.25
# The share after the target has returned. Fewer losses then make it silent.
RETURN_SHARE = 0.1
FIRST_TRIAL_PAUSE_S = 0.25
MAX_TRIAL_PAUSE_S = 8
# Trial calls in a row that must be answered. The number doubles when the target
# is silent again soon, since one that loses some calls passes short series.
FIRST_TRIALS = 5
MAX_TRIALS = 40
RELAPSE_S = 60


@attrs.define
class Silence:
    """The evidence that the target answers no calls.

    Attributes:
        share: Moving average of the share of calls that were lost.
        since: When the target became silent, seconds, None while it isn't.
        ended: When it last returned, seconds.
        trial: Number of the trial call in flight, None if there is none.
        passed: Trial calls in a row that were answered.
        trials: Trial calls in a row that are needed.
        pause_s: Pause after a lost trial call, seconds.
        next_trial: When the next trial call may be sent, seconds.
    """

    share: float = 0
    since: float | None = None
    ended: float = -math.inf
    trial: int | None = None
    passed: int = 0
    trials: int = FIRST_TRIALS
    pause_s: float = FIRST_TRIAL_PAUSE_S
    next_trial: float = 0

    @property
    def is_silent(self) -> bool:
        """Whether the target gets trial calls only."""
        return self.since is not None

    def allows(self, now: float, *, may_retry: bool) -> bool:
        """Returns whether a call may be sent.

        Calls that can't be repeated elsewhere are trial calls only if there
        are no others.

        Args:
            now: Monotonic time, seconds.
            may_retry: Whether the call would be sent elsewhere if it is lost.
        """
        if not self.is_silent:
            return True
        wait_s = 0 if may_retry else self.pause_s
        return self.trial is None and now >= self.next_trial + wait_s

    def begin(self, call_id: int) -> None:
        """Records that a call was sent."""
        if self.is_silent:
            self.trial = call_id

    def record_answer(self, call_id: int, now: float) -> bool:
        """Records an answer.

        Returns:
            Whether the silence ends with it.
        """
        self.share -= LOSS_WEIGHT * self.share
        if call_id != self.trial:
            return False
        self.trial = None
        self.passed += 1
        self.next_trial = now
        self.pause_s = FIRST_TRIAL_PAUSE_S
        if self.passed < self.trials:
            return False
        self.since = None
        self.ended = now
        self.share = RETURN_SHARE
        return True

    def record_loss(self, call_id: int, now: float) -> bool:
        """Records a lost call.

        Returns:
            Whether the target is silent from now on.
        """
        self.share += LOSS_WEIGHT * (1 - self.share)
        if self.is_silent:
            if call_id == self.trial:
                self.passed = 0
                self.pause_s = min(MAX_TRIAL_PAUSE_S, 2 * self.pause_s)
                self.next_trial = now + self.pause_s
            return False
        if self.share < SILENT_SHARE:
            return False
        has_relapsed = now < self.ended + RELAPSE_S
        longer = min(MAX_TRIALS, 2 * self.trials)
        self.trials = longer if has_relapsed else FIRST_TRIALS
        self.since = now
        self.passed = 0
        self.pause_s = FIRST_TRIAL_PAUSE_S
        self.next_trial = now + self.pause_s
        return True

    def end_trial(self, call_id: int) -> None:
        """Records that a call is no longer in flight."""
        if call_id == self.trial:
            self.trial = None
