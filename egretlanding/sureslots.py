"""How many calls at a time the target certainly has slots for."""

import math

import attrs

# A loss reduces the number at most to the slots divided by this, rounded up.
# Losses among fewer calls don't come from a lack of slots.
FLOOR_DIVISOR = 3
# Answers after which one more call at a time is tried. The number doubles with
# each further loss up to the maximum, since each try may cost a call.
FIRST_TRY_ANSWERS = 50
# Losses within that many answers that lower the limit; one may be chance.
MIN_WARNINGS = 2
MAX_TRY_ANSWERS = 1_600


@attrs.define
class SureSlots:
    """Limits the calls in flight to the slots that the target surely has.

    After the start of the daemon, calls of the process before it may still hold
    slots. Each answer then shows that there is room for one call more. A lost
    call shows that there may have been no slot for it.

    Attributes:
        limit: Calls that may be in flight, infinite if nothing speaks against
            all slots.
        has_lost: Whether the limit was lowered since the start.
        warnings: Lost calls since the limit last changed, or in the last
            answers.
        answers: Answers since the limit last changed.
        try_answers: Answers after which the limit rises.
    """

    limit: float = math.inf
    has_lost: bool = False
    warnings: int = 0
    answers: int = 0
    try_answers: int = FIRST_TRY_ANSWERS

    @classmethod
    def at_start(cls) -> 'SureSlots':
        """Builds the limit of a daemon that has just started."""
        return cls(1)

    def is_short(self, concurrency: int, slots: int) -> bool:
        """Returns whether a call may have been lost for lack of a slot.

        Args:
            concurrency: Calls in flight when it was sent, itself included.
            slots: The slots of the target.
        """
        return concurrency > floor_of(slots)

    def record_answer(self, slots: int) -> None:
        """Records an answer, and raises the limit in time."""
        self.answers += 1
        if self.answers >= FIRST_TRY_ANSWERS:
            self.warnings = 0
        if math.isinf(self.limit):
            return
        if self.has_lost and self.answers < self.try_answers:
            return
        self.answers = 0
        self.limit += 1
        if self.limit >= slots:
            self.limit = math.inf

    def record_loss(self, concurrency: int, slots: int) -> None:
        """Records a lost call, and lowers the limit below its concurrency."""
        if concurrency > min(self.limit, slots):
            # It was sent before the limit was lowered.
            return
        self.answers = 0
        self.warnings += 1
        if self.warnings < MIN_WARNINGS:
            return
        self.warnings = 0
        if self.has_lost:
            longer = 2 * self.try_answers
            self.try_answers = min(MAX_TRY_ANSWERS, longer)
        self.has_lost = True
        lowered = max(floor_of(slots), concurrency - 1)
        self.limit = min(self.limit, lowered)


def floor_of(slots: int) -> int:
    """Returns to what number of calls losses reduce the limit."""
    return -(-slots // FLOOR_DIVISOR)
