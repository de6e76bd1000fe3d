"""What the ports of a process share to limit abusive callers."""

import enum
import resource
from collections import Counter

import attrs

from egretlanding.bytebudget import ByteBudget, budget_bytes
from egretlanding.events import Event, Severity, log_event

# Least time between two log lines about limited callers, seconds.
REPORT_INTERVAL_S = 10.0
# Share of the descriptors that callers may use. The others are for targets,
# daemons, the store and the side ports.
CALLER_SHARE = 0.5
# Share of the descriptors that the readiness port or the metrics port may use,
# and the greatest number that is useful there.
SIDE_SHARE = 0.0625
MAX_SIDE_CONNECTIONS = 256
# Assumed if the descriptors are not bounded.
MAX_DESCRIPTORS = 1_000_000


class Limited(enum.StrEnum):
    """Why a caller was rejected or its connection closed."""

    MEMORY = 'memory'
    CONNECTIONS = 'connections'
    SLOW_HEAD = 'slow-head'
    SLOW_BODY = 'slow-body'
    UNREAD_ANSWER = 'unread-answer'


def descriptor_limit() -> int:
    """Returns the number of descriptors that the process may open."""
    limit = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    return MAX_DESCRIPTORS if limit == resource.RLIM_INFINITY else limit


def max_caller_connections(descriptors: int) -> int:
    """Returns the most connections of callers at the port for calls."""
    return max(1, int(descriptors * CALLER_SHARE))


def max_side_connections(descriptors: int) -> int:
    """Returns the most connections at the readiness or the metrics port."""
    return max(1, min(MAX_SIDE_CONNECTIONS, int(descriptors * SIDE_SHARE)))


@attrs.define(eq=False)
class CallerLimits:
    """The byte budget of a process and the counts of limited callers.

    Attributes:
        budget: The byte budget.
        counts: Connections that were limited, by reason.
        reported: The counts at the last log line.
        reported_at: When that was written, monotonic seconds.
    """

    budget: ByteBudget
    counts: Counter[Limited] = attrs.field(factory=Counter)
    reported: Counter[Limited] = attrs.field(factory=Counter)
    reported_at: float = float('-inf')

    def limit_memory(self, memory_bytes: int) -> None:
        """Sets the budget by the memory that the process may take.

        Args:
            memory_bytes: That memory, 0 if unknown, bytes.
        """
        self.budget.limit_bytes = budget_bytes(memory_bytes)

    def count(self, reason: Limited) -> None:
        """Counts a connection that was limited."""
        self.counts[reason] += 1

    def report(self, now: float) -> None:
        """Logs what was limited since the last line, if the interval is over.

        Args:
            now: Monotonic time, seconds.
        """
        is_due = now - self.reported_at >= REPORT_INTERVAL_S
        if not is_due or self.counts == self.reported:
            return
        new = self.counts - self.reported
        self.reported = self.counts.copy()
        self.reported_at = now
        log_event(
            Event.CALLERS_LIMITED,
            'callers were rejected or closed to protect the process',
            Severity.WARNING,
            limited={reason.value: count for reason, count in new.items()},
            held_bytes=self.budget.total_bytes,
            limit_bytes=self.budget.limit_bytes,
        )
