"""Tests of when a request for an answer that arrives slowly is ended."""

from typing import Any

import attrs
from twisted.internet.task import Clock

from egretlanding.transfer import MAX_TRANSFER_S, SILENCE_S, TransferTimer

FIRST_BYTE_S = 1.0
STEP_S = 0.1


@attrs.define
class FakeHandle:
    """A request whose progress the test sets.

    Attributes:
        received_bytes: Bytes of the answer that have arrived.
        cancelled: Whether the request was cancelled.
    """

    received_bytes: int = 0
    cancelled: bool = False

    def cancel(self) -> None:
        """Records the end."""
        self.cancelled = True


def start_timer() -> tuple[TransferTimer, FakeHandle, Any]:
    """Returns the timer of a request that was just sent."""
    clock: Any = Clock()
    handle = FakeHandle()
    any_handle: Any = handle
    timer = TransferTimer.of_request(clock, any_handle, FIRST_BYTE_S)
    return timer, handle, clock


def advance(clock: Any, seconds: float) -> None:
    """Advances the clock in steps of STEP_S."""
    for _ in range(round(seconds / STEP_S)):
        clock.advance(STEP_S)


def test_a_request_without_an_answer_ends() -> None:
    _, handle, clock = start_timer()
    advance(clock, FIRST_BYTE_S - STEP_S)
    assert not handle.cancelled
    advance(clock, 3 * STEP_S)
    assert handle.cancelled


# Failure: CONFIG and DRAIN on the grown sites. A watch was given up after a
# fixed time, while its answer was still arriving over a narrow link.
def test_an_answer_that_arrives_is_not_cut() -> None:
    timer, handle, clock = start_timer()
    for _ in range(30):
        handle.received_bytes += 40_000
        advance(clock, STEP_S)
    assert not handle.cancelled
    assert timer.transfer_s() > FIRST_BYTE_S


def test_an_answer_that_falls_silent_is_ended() -> None:
    _, handle, clock = start_timer()
    handle.received_bytes = 100
    advance(clock, SILENCE_S - STEP_S)
    assert not handle.cancelled
    advance(clock, 4 * STEP_S)
    assert handle.cancelled


def test_an_answer_that_trickles_is_ended() -> None:
    _, handle, clock = start_timer()
    for _ in range(round((MAX_TRANSFER_S + 1) / STEP_S)):
        handle.received_bytes += 1
        advance(clock, STEP_S)
    assert handle.cancelled


# Failure: timers run before reads, so that a busy daemon judged an answer by
# what it had not read yet.
def test_what_has_arrived_is_read_before_the_answer_is_judged() -> None:
    _, handle, clock = start_timer()

    def read_late() -> None:
        handle.received_bytes = 100

    clock.callLater(FIRST_BYTE_S + STEP_S, read_late)
    clock.advance(FIRST_BYTE_S + STEP_S)
    clock.advance(0)
    assert not handle.cancelled


def test_a_finished_request_is_left_alone() -> None:
    timer, handle, clock = start_timer()
    timer.stop()
    advance(clock, 2 * FIRST_BYTE_S)
    assert not handle.cancelled
