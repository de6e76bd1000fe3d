"""Determines from the reports of daemons if they hold the same release."""

from collections.abc import Iterator, Mapping

import attrs
from result import Err, Ok, Result

from egretlanding.exceptions import AdminError
from egretlanding.release import Position, shorten
from egretlanding.status import RefusedRelease, StatusReport

NO_RELEASE = Position()


@attrs.frozen
class Agreement:
    """The releases that several daemons hold, compared.

    Attributes:
        newest: The position of the newest release that any daemon holds.
        reports: The reports by daemon.
        unreachable: Daemons that gave no usable answer, with the reason.
    """

    newest: Position
    reports: Mapping[str, StatusReport]
    unreachable: Mapping[str, str]

    @classmethod
    def from_reports(
        cls,
        reports: Mapping[str, StatusReport],
        unreachable: Mapping[str, str],
    ) -> 'Agreement':
        """Compares reports that were requested at about the same time."""
        positions = map(position_of, reports.values())
        return cls(max(positions, default=NO_RELEASE), reports, unreachable)

    @classmethod
    def from_outcomes(
        cls,
        outcomes: Mapping[str, Result[bytes, AdminError]],
    ) -> 'Agreement':
        """Compares the answers of daemons, some of which may be malformed."""
        decoded = {
            daemon: outcome.and_then(_decode)
            for daemon, outcome in outcomes.items()
        }
        return cls.from_reports(
            {
                daemon: report.ok_value
                for daemon, report in decoded.items()
                if isinstance(report, Ok)
            },
            {
                daemon: str(report.err_value)
                for daemon, report in decoded.items()
                if isinstance(report, Err)
            },
        )

    def behind(self) -> list[str]:
        """Returns the hosts without the newest release, with what they hold."""
        return [
            f'{report.host_id} with {describe(position_of(report))}'
            for report in self.reports.values()
            if position_of(report) != self.newest
        ]

    def not_ready(self) -> list[str]:
        """Returns the hosts whose daemons don't accept calls."""
        return [
            report.host_id
            for report in self.reports.values()
            if not report.ready or report.draining
        ]

    def is_complete(self) -> bool:
        """Returns whether all daemons answered and hold the same release."""
        has_release = self.newest.number > 0
        return has_release and not self.behind() and not self.unreachable

    def summary(self) -> str:
        """Returns one line that says which daemons hold the newest release."""
        return '; '.join(self._clauses())

    def _clauses(self) -> Iterator[str]:
        total = len(self.reports) + len(self.unreachable)
        if self.newest.number:
            holding = len(self.reports) - len(self.behind())
            newest = describe(self.newest)
            yield f'{holding} of {total} daemons hold {newest}'
        else:
            yield f'none of {total} daemons holds a release'
        for label, names in (
            ('behind', self.behind()),
            ('not ready', self.not_ready()),
            ('no answer', list(self.unreachable)),
        ):
            if names:
                yield f'{label}: {", ".join(names)}'


def position_of(report: StatusReport) -> Position:
    """Returns the position of the release that a daemon reports."""
    return Position(report.number, report.revision, report.digest)


def describe(position: Position) -> str:
    """Returns a release's number and short digest."""
    if not position.number:
        return 'no release'
    return f'release {position.number} ({shorten(position.digest)})'


def report_lines(daemon: str, report: StatusReport) -> list[str]:
    """Renders one report as lines of text.

    Args:
        daemon: The admin port of the daemon as host:port.
        report: The report of the daemon.
    """
    location = f'{report.region}/{report.failure_domain}'
    return [
        f'{report.host_id} at {daemon} in {location}, {report.service}',
        f'    ready: {_readiness_text(report)}, number: {report.number}, '
        f'revision: {report.revision}, confirmed: {_confirmed_text(report)}',
        f'    digest: {report.digest or "none"}',
        *(
            f'    refused: {_refusal_text(refused)}'
            for refused in report.refused
        ),
        *(
            f'    conflict: release {conflict.number}: {conflict.loser} lost '
            f'to {conflict.winner or "a later release"}: {conflict.reason}'
            for conflict in report.conflicts
        ),
    ]


def _refusal_text(refused: RefusedRelease) -> str:
    # A head that can't be decoded has no number.
    number = f' {refused.number}' if refused.number else ''
    return f'release{number} ({shorten(refused.digest)}): {refused.reason}'


def _decode(encoded: bytes) -> Result[StatusReport, AdminError]:
    try:
        return Ok(StatusReport.from_bytes(encoded))
    except AdminError as error:
        return Err(error)


def _readiness_text(report: StatusReport) -> str:
    if report.draining:
        return 'no (draining)'
    return 'yes' if report.ready else 'no (starting)'


def _confirmed_text(report: StatusReport) -> str:
    if report.confirmed_age_s is None:
        return 'never'
    return f'{report.confirmed_age_s:.1f} s ago'
