"""Lets the reactor read what has arrived before a connection is judged by it.

The reactor runs timers before it reads. After a busy time, a timer would judge
by what was read before that time.
"""

from collections.abc import Callable
from typing import Any


def after_reads(reactor: Any, work: Callable[[], None]) -> None:
    """Runs work once the reactor has read what has arrived by now.

    Args:
        reactor: The reactor.
        work: What to run.
    """
    reactor.callLater(0, work)
