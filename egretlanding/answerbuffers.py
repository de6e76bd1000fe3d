"""Bounds the memory that answers take while they arrive."""

from typing import Protocol

import attrs

from egretlanding.bytebudget import ByteBudget
from egretlanding.events import Event, Severity, log_event
from egretlanding.frames import MAX_FRAME_BYTES

MAX_BODY_BYTES = MAX_FRAME_BYTES // 2
# Bodies of the greatest length that may arrive at the same time.
MAX_FULL_BODIES = 8
# Rank in the budget: the requests of callers are cut first, which did not run.
CUT_RANK = 8


class ArrivingAnswer(Protocol):
    """A connection on which an answer arrives.

    Attributes:
        body: The part of its body that has arrived.
    """

    body: bytearray

    def cut(self) -> None:
        """Gives up the answer and frees its memory."""


@attrs.define(eq=False)
class AnswerBuffers:
    """The bodies of the answers that are arriving.

    A target may send bytes without end on many connections at once. The bound
    on one answer would then allow as many times its size. All of them together
    are one share of the budget of the process.

    Attributes:
        max_body_bytes: Most bytes of the body of one answer.
        sizes: Bytes of the body that has arrived so far, by connection.
        total_bytes: Sum of the sizes.
        budget: The budget of the process, None for no other bound.
        held_bytes: The share of the budget.
    """

    max_body_bytes: int = MAX_BODY_BYTES
    sizes: dict[ArrivingAnswer, int] = attrs.field(factory=dict)
    total_bytes: int = 0
    budget: ByteBudget | None = None
    held_bytes: int = 0

    def join(self, budget: ByteBudget) -> None:
        """Counts the answers in the budget of the process."""
        self.budget = budget
        budget.holders.add(self)

    def cut_rank(self, _now: float) -> int | None:
        """Returns how early answers are cut when the budget is exceeded."""
        return CUT_RANK if self.sizes else None

    def cut(self) -> None:
        """Cuts the longest answer, since the budget is exceeded."""
        self.cut_longest()

    @property
    def max_total_bytes(self) -> int:
        """Most bytes of the bodies of all answers together."""
        return self.max_body_bytes * MAX_FULL_BODIES

    def update(self, answer: ArrivingAnswer) -> None:
        """Counts the body of an answer, and cuts the longest if too many."""
        size = len(answer.body)
        self.total_bytes += size - self.sizes.get(answer, 0)
        self.sizes[answer] = size
        if self.total_bytes > self.max_total_bytes:
            self.cut_longest()
        self.resize_share()

    def resize_share(self) -> None:
        """Updates the share of the budget."""
        if self.budget:
            self.budget.resize(self, self.total_bytes)

    def remove(self, answer: ArrivingAnswer) -> None:
        """Stops counting an answer that has ended."""
        size = self.sizes.pop(answer, 0)
        if size:
            self.total_bytes -= size
            self.resize_share()

    def cut_longest(self) -> None:
        """Cuts the answer with the longest body; it counts as lost."""
        longest = max(self.sizes, key=self.sizes.__getitem__)
        log_event(
            Event.ANSWER_CUT,
            'the answers that arrive take too much memory together',
            Severity.WARNING,
            cut_bytes=self.sizes[longest],
            answers=len(self.sizes),
            limit_bytes=self.max_total_bytes,
        )
        self.remove(longest)
        longest.cut()
