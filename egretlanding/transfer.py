"""Ends a request that has become silent, but not one whose answer arrives."""

from typing import Any

import attrs

from egretlanding.reads import after_reads
from egretlanding.targetpool import RequestHandle

# Time between two looks at what has arrived, seconds.
CHECK_INTERVAL_S = 0.1
# Longest time without a byte once the answer has begun, seconds.
SILENCE_S = 0.8
# Longest time of a whole transfer. It bounds an answer that trickles.
MAX_TRANSFER_S = 5.0


@attrs.define(eq=False)
class TransferTimer:
    """Watches the answer to one request arrive.

    Attributes:
        reactor: The reactor that gives the time.
        handle: The request.
        first_byte_s: Longest time until the answer begins, seconds.
        started_at: When the request was sent, seconds.
        began_at: When the answer was first seen to arrive, None before,
            seconds.
        progress_at: When bytes last arrived, seconds.
        received: Bytes of the answer that had arrived then.
        timer: The next look, None once the request ended.
    """

    reactor: Any
    handle: RequestHandle
    first_byte_s: float
    started_at: float
    began_at: float | None = None
    progress_at: float = 0
    received: int = 0
    timer: Any = None

    @classmethod
    def of_request(
        cls, reactor: Any, handle: RequestHandle, first_byte_s: float
    ) -> 'TransferTimer':
        """Returns a running timer for a request that was just sent."""
        now = reactor.seconds()
        timer = cls(reactor, handle, first_byte_s, now, progress_at=now)
        timer.look_later()
        return timer

    def transfer_s(self) -> float:
        """Returns for how long the answer has been arriving, seconds."""
        if self.began_at is None:
            return 0
        return float(self.reactor.seconds() - self.began_at)

    def stop(self) -> None:
        """Ends the watch; called when the request has ended."""
        if self.timer and self.timer.active():
            self.timer.cancel()
        self.timer = None

    def look_later(self) -> None:
        """Schedules the next look."""
        self.timer = self.reactor.callLater(CHECK_INTERVAL_S, self.look)

    def look(self) -> None:
        """Looks for progress, and judges the request only after a read."""
        self.record_progress()
        if self.is_overdue():
            after_reads(self.reactor, self.judge)
        else:
            self.look_later()

    def judge(self) -> None:
        """Cancels the request unless bytes had waited to be read."""
        if self.timer is None:
            return
        self.record_progress()
        if self.is_overdue():
            self.handle.cancel()
        else:
            self.look_later()

    def record_progress(self) -> None:
        """Records whether bytes have arrived since the last look."""
        received = self.handle.received_bytes
        if received == self.received:
            return
        self.received = received
        self.progress_at = self.reactor.seconds()
        if self.began_at is None:
            self.began_at = self.progress_at

    def is_overdue(self) -> bool:
        """Returns whether the request is silent, or takes too long."""
        now = self.reactor.seconds()
        if self.began_at is None:
            return bool(now - self.started_at >= self.first_byte_s)
        is_silent = now - self.progress_at >= SILENCE_S
        return bool(is_silent or now - self.began_at >= MAX_TRANSFER_S)
