"""What the other hosts of a service say of the host list that they hold.

A host's reports never go back to an older list. Within one process that is
because lists are only replaced by later ones. A process that has restarted
may begin with an older list; its reports count as settled only once the
store has confirmed its list for a while after the start, see `ownership.py`.
"""

from collections.abc import Iterable

import attrs


@attrs.frozen
class HostReport:
    """What one host said of its list.

    Attributes:
        revision: Revision of the host list that it held.
        established: Whether the store confirmed the service's hosts in that
            list for longer than the lag of lists.
        held_at: Monotonic time at which it held the list, seconds.
    """

    revision: int
    established: bool
    held_at: float


@attrs.define
class HostReports:
    """The last report of each host, and the latest list that it named.

    Attributes:
        latest: The last report by host.
        reached: The greatest revision reported by host.
    """

    latest: dict[str, HostReport] = attrs.field(factory=dict)
    reached: dict[str, int] = attrs.field(factory=dict)

    def held_at(self, others: Iterable[str], revision: int) -> float:
        """Returns until when all others are known to have held one list.

        Args:
            others: Ids of the other hosts of the service.
            revision: Revision of the list.

        Returns:
            Monotonic time, seconds; minus infinity if one of them did not
            report just this list as established.
        """
        reports = [self.latest.get(host_id) for host_id in others]
        return min(
            (
                report.held_at
                if report and report.established and report.revision == revision
                else float('-inf')
                for report in reports
            ),
            default=float('inf'),
        )

    def all_reached(self, others: Iterable[str], revision: int) -> bool:
        """Tells whether all others hold a list or a later one."""
        return all(
            self.reached.get(host_id, -1) >= revision for host_id in others
        )

    def take(self, host_id: str, report: HostReport) -> None:
        """Takes a report; the reports of one host arrive in any order."""
        known = self.latest.get(host_id)
        if known is None or known.held_at <= report.held_at:
            self.latest[host_id] = report
        reached = self.reached.get(host_id, -1)
        self.reached[host_id] = max(reached, report.revision)

    def keep(self, host_ids: Iterable[str]) -> None:
        """Forgets the reports of all other hosts."""
        wanted = set(host_ids)
        for host_id in set(self.reached) - wanted:
            self.reached.pop(host_id)
            self.latest.pop(host_id)
