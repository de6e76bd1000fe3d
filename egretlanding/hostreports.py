"""Reports of the other hosts of a service on the host lists that they hold.

The reports of one host that count never return to an older list: a process
replaces its list only by a later one. A restarted process may begin with an
older list, but its reports count as established only once the store has
confirmed its list for some time after the start, see `ownership.py`.
"""

from collections.abc import Iterable

import attrs


@attrs.frozen
class HostReport:
    """A report of one host on the host list that it holds.

    Attributes:
        revision: Revision of the host list that it held.
        established: Whether the store confirmed the service's hosts in that
            list for at least `KeyBounds.max_list_age_s`.
        held_at: Latest monotonic time at which it is known to have held the
            list, seconds.
    """

    revision: int
    established: bool
    held_at: float


@attrs.define
class HostReports:
    """The last report of each host, and the latest list that it reported.

    Attributes:
        last_reports: The last report by host id.
        highest_revisions: The greatest revision reported by host id.
    """

    last_reports: dict[str, HostReport] = attrs.field(factory=dict)
    highest_revisions: dict[str, int] = attrs.field(factory=dict)

    def all_held_until(self, others: Iterable[str], revision: int) -> float:
        """Returns up to when all other hosts are known to have held a list.

        Args:
            others: Ids of the other hosts of the service.
            revision: Revision of the list.

        Returns:
            Monotonic time, seconds; minus infinity unless the last report of
            each of them names this list as established, infinity if there are
            no other hosts.
        """
        reports = [self.last_reports.get(host_id) for host_id in others]
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
        """Returns whether all others have reported a list or a later one."""
        return all(
            self.highest_revisions.get(host_id, -1) >= revision
            for host_id in others
        )

    def record(self, host_id: str, report: HostReport) -> None:
        """Records a report; reports of one host may arrive in any order."""
        last_report = self.last_reports.get(host_id)
        if last_report is None or last_report.held_at <= report.held_at:
            self.last_reports[host_id] = report
        highest = self.highest_revisions.get(host_id, -1)
        self.highest_revisions[host_id] = max(highest, report.revision)

    def retain_only(self, host_ids: Iterable[str]) -> None:
        """Drops the reports of all hosts but these."""
        retained = set(host_ids)
        for host_id in set(self.highest_revisions) - retained:
            self.highest_revisions.pop(host_id)
            self.last_reports.pop(host_id)
