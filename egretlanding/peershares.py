"""What the connections to other daemons hold of the byte budget."""

from typing import Any

import attrs

from egretlanding.bytebudget import ByteBudget
from egretlanding.tcpwrites import unsent_bytes

# Bodies of calls above this size are counted, bytes. The number of shorter
# ones is bounded by slots and queue.
LONG_BODY_BYTES = 16_384


@attrs.define(eq=False)
class PeerShare:
    """The share of one connection; it is not cut to free memory.

    Attributes:
        budget: The byte budget of the process.
        held_bytes: Size of the share.
        transport: The transport, None before the connection is open.
        arriving_bytes: Size of the part of a frame that has arrived.
        long_calls: Sizes of the bodies of running long calls from the other
            daemon, by call id, bytes.
    """

    budget: ByteBudget
    held_bytes: int = 0
    transport: Any = None
    arriving_bytes: int = 0
    long_calls: dict[int, int] = attrs.field(factory=dict)

    def open(self, transport: Any) -> None:
        """Begins to count an open connection."""
        self.transport = transport
        self.budget.holders.add(self)

    def close(self) -> None:
        """Gives back the share, since the connection has ended."""
        self.long_calls.clear()
        self.arriving_bytes = 0
        self.budget.remove(self)

    def account(self) -> None:
        """Updates the share."""
        size = self.arriving_bytes + sum(self.long_calls.values())
        self.budget.resize(self, size + unsent_bytes(self.transport))

    def update_arriving(self, size: int) -> None:
        """Records how much of a frame has arrived after a read."""
        if size or self.held_bytes:
            self.arriving_bytes = size
            self.account()

    def admit(self, call_id: int, size: int) -> bool:
        """Counts the body of a call, and returns whether it fits."""
        if size <= LONG_BODY_BYTES:
            return True
        if not self.budget.has_room(size):
            return False
        self.long_calls[call_id] = size
        self.account()
        return True

    def release(self, call_id: int) -> None:
        """Stops counting a call that has ended."""
        if self.long_calls.pop(call_id, 0):
            self.account()

    def cut_rank(self, _now: float) -> int | None:
        """Returns None, since calls of other daemons are not cut."""

    def cut(self) -> None:
        """Does nothing."""
