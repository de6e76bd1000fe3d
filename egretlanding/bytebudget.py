"""Bounds the bytes that a process holds for requests and answers."""

from collections.abc import Callable
from typing import Protocol

import attrs

# Budget of a process whose memory limit is unknown, bytes.
DEFAULT_BUDGET_BYTES = 1_073_741_824
MIN_BUDGET_BYTES = 8_388_608
# Memory of a process without requests, with the records of a large fleet,
# bytes.
IDLE_PROCESS_BYTES = 60_000_000
# Share of the remaining memory that the budget may use. Growing buffers and
# copies on their way to a socket take up to half as much again.
BUDGET_SHARE = 0.6
# Fullness down to which shares are cut once the budget is exceeded, so that a
# crowd doesn't cause a search for each read.
ROOM_SHARE = 0.875


class Holder(Protocol):
    """A connection that holds a share of the budget.

    Attributes:
        held_bytes: Size of its share, set by the budget only.
    """

    held_bytes: int

    def cut_rank(self, now: float) -> int | None:
        """Returns how early its share may be cut, None for not at all.

        Args:
            now: Monotonic time, seconds.
        """

    def cut(self) -> None:
        """Releases what it holds since the budget is exceeded; resizes it."""


def budget_bytes(memory_bytes: int) -> int:
    """Returns the budget of a process.

    Args:
        memory_bytes: Memory that the process may take, 0 if unknown, bytes.
    """
    if not memory_bytes:
        return DEFAULT_BUDGET_BYTES
    usable = (memory_bytes - IDLE_PROCESS_BYTES) * BUDGET_SHARE
    return max(MIN_BUDGET_BYTES, int(usable))


@attrs.define(eq=False)
class ByteBudget:
    """The one budget of a process, with the shares of its connections.

    When the sum of the shares exceeds the budget, shares are cut: those of the
    lowest rank first, and the largest first within a rank. A connection that
    grows is itself among those that can be cut.

    Attributes:
        clock: Returns monotonic time, seconds.
        limit_bytes: Most bytes of all shares together.
        total_bytes: Sum of the shares.
        holders: The connections with a share.
        is_cutting: Whether shares are being cut.
    """

    clock: Callable[[], float]
    limit_bytes: int = DEFAULT_BUDGET_BYTES
    total_bytes: int = 0
    holders: set[Holder] = attrs.field(factory=set)
    is_cutting: bool = False

    def resize(self, holder: Holder, size: int) -> None:
        """Changes a share; a greater one may cause cuts, also of itself."""
        self.total_bytes += size - holder.held_bytes
        grown = size > holder.held_bytes
        holder.held_bytes = size
        if grown and self.total_bytes > self.limit_bytes:
            self.make_room()

    def has_room(self, size: int) -> bool:
        """Returns whether a share of some size fits, after cuts if needed."""
        if self.total_bytes + size > self.limit_bytes:
            self.make_room(size)
        return self.total_bytes + size <= self.limit_bytes

    def remove(self, holder: Holder) -> None:
        """Gives back the share of a connection that has ended."""
        self.total_bytes -= holder.held_bytes
        holder.held_bytes = 0
        self.holders.discard(holder)

    def make_room(self, size: int = 0) -> None:
        """Cuts shares until the rest has room, as far as any can be cut.

        Args:
            size: Room that is needed in addition, bytes.
        """
        if self.is_cutting:
            return
        self.is_cutting = True
        now = self.clock()
        ranked = [
            (rank, holder)
            for holder in self.holders
            if (rank := holder.cut_rank(now)) is not None
        ]
        ranked.sort(key=lambda entry: (entry[0], -entry[1].held_bytes))
        for _, holder in ranked:
            if self.total_bytes + size <= self.limit_bytes * ROOM_SHARE:
                break
            holder.cut()
        self.is_cutting = False
