"""What is known of an answer that is arriving, and whether it is valid."""

from collections.abc import Callable

import attrs

from egretlanding.frames import Headers
from egretlanding.httpheaders import ENCODING, LENGTH, header_values

# The range of statuses that HTTP defines.
FIRST_STATUS = 100
LAST_STATUS = 599

OnInterim = Callable[[], None]


@attrs.define
class AnswerState:
    """The state of the answer to one request.

    Attributes:
        on_interim: Called at the first interim answer.
        awaits_last: Whether an interim answer has ended, and nothing has
            arrived since.
        is_malformed: Whether what arrived can't be an answer.
        ends_with_connection: Whether the answer ends where the connection is
            closed.
        closed_here: Whether this daemon closed the connection.
    """

    on_interim: OnInterim | None = None
    awaits_last: bool = False
    is_malformed: bool = False
    ends_with_connection: bool = False
    closed_here: bool = False

    def end_interim(self) -> None:
        """Records the end of an interim answer, and reports the first one."""
        self.awaits_last = True
        on_interim = self.on_interim
        self.on_interim = None
        if on_interim:
            on_interim()


def check_status(status: int) -> None:
    """Checks that HTTP defines a meaning for a status.

    The parser accepts any three digits. What an answer with another status
    means, and whether it has a body, is not defined.

    Raises:
        ValueError: It is not from 100 to 599.
    """
    if not FIRST_STATUS <= status <= LAST_STATUS:
        raise ValueError(f'status {status} is not valid')


def check_interim(headers: Headers) -> None:
    """Checks that another answer can follow an interim one.

    An interim answer has no body, so it may not be framed. A target that
    frames it, or closes the connection after it, sends it as its last answer.

    Raises:
        ValueError: No other answer follows.
    """
    closes = any(
        option.strip().lower() == 'close'
        for value in header_values(headers, 'connection')
        for option in value.split(',')
    )
    framed = header_values(headers, LENGTH) or header_values(headers, ENCODING)
    if closes or framed:
        raise ValueError('an interim answer is sent as the last one')
