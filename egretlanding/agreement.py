"""Whether daemons hold the same release, judged from their reports."""

from collections.abc import Iterator, Mapping

import attrs
from result import Err, Ok, Result

from egretlanding.exceptions import AdminError
from egretlanding.release import Position, shorten
from egretlanding.status import RefusedRelease, StatusReport

NOTHING = Position()


@attrs.frozen
class Agreement:
    """What several daemons hold between them.

    Attributes:
        newest: The position of the newest release that any daemon holds.
        reports: The reports by daemon.
        silent: Daemons that gave no usable answer, with the reason.
    """

    newest: Position
    reports: Mapping[str, StatusReport]
    silent: Mapping[str, str]

    @classmethod
    def from_reports(
        cls,
        reports: Mapping[str, StatusReport],
        silent: Mapping[str, str],
    ) -> 'Agreement':
        """Judges reports that were asked for at about the same time."""
        held = map(position_of, reports.values())
        return cls(max(held, default=NOTHING), reports, silent)

    @classmethod
    def from_outcomes(
        cls,
        outcomes: Mapping[str, Result[bytes, AdminError]],
    ) -> 'Agreement':
        """Judges the answers of daemons, some of which may be malformed."""
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
        """Returns the hosts that don't hold the newest release."""
        return [
            f'{report.host_id} with {describe(position_of(report))}'
            for report in self.reports.values()
            if position_of(report) != self.newest
        ]

    def unready(self) -> list[str]:
        """Returns the hosts that don't take calls."""
        return [
            report.host_id
            for report in self.reports.values()
            if not report.ready or report.draining
        ]

    def is_whole(self) -> bool:
        """Tells whether all answered and hold the same release."""
        held = self.newest.number > 0
        return held and not self.behind() and not self.silent

    def summary(self) -> str:
        """Returns one line that says who holds what."""
        return '; '.join(self._clauses())

    def _clauses(self) -> Iterator[str]:
        asked = len(self.reports) + len(self.silent)
        if self.newest.number:
            holding = len(self.reports) - len(self.behind())
            newest = describe(self.newest)
            yield f'{holding} of {asked} daemons hold {newest}'
        else:
            yield f'none of {asked} daemons holds a release'
        for label, names in (
            ('behind', self.behind()),
            ('not ready', self.unready()),
            ('no answer', list(self.silent)),
        ):
            if names:
                yield f'{label}: {", ".join(names)}'


def position_of(report: StatusReport) -> Position:
    """Returns the place of a daemon's release in the order of releases."""
    return Position(report.number, report.revision, report.digest)


def describe(position: Position) -> str:
    """Returns a release's number and short digest."""
    if not position.number:
        return 'no release'
    return f'release {position.number} ({shorten(position.digest)})'


def report_lines(daemon: str, report: StatusReport) -> list[str]:
    """Returns the lines that show one report to people.

    Args:
        daemon: The admin port that was asked.
        report: What it answered.
    """
    place = f'{report.region}/{report.failure_domain}'
    return [
        f'{report.host_id} at {daemon} in {place}, {report.service}',
        f'    ready: {_readiness(report)}, number: {report.number}, '
        f'revision: {report.revision}, confirmed: {_freshness(report)}',
        f'    digest: {report.digest or "none"}',
        *(f'    refused: {_refusal(refused)}' for refused in report.refused),
        *(
            f'    conflict: release {conflict.number}: {conflict.loser} lost '
            f'to {conflict.winner or "a later release"}: {conflict.reason}'
            for conflict in report.conflicts
        ),
    ]


def _refusal(refused: RefusedRelease) -> str:
    # A head that can't be decoded has no number.
    number = f' {refused.number}' if refused.number else ''
    return f'release{number} ({shorten(refused.digest)}): {refused.reason}'


def _decode(encoded: bytes) -> Result[StatusReport, AdminError]:
    try:
        return Ok(StatusReport.from_bytes(encoded))
    except AdminError as error:
        return Err(error)


def _readiness(report: StatusReport) -> str:
    if report.draining:
        return 'no (draining)'
    return 'yes' if report.ready else 'no (starting)'


def _freshness(report: StatusReport) -> str:
    if report.confirmed_age_s is None:
        return 'never'
    return f'{report.confirmed_age_s:.1f} s ago'
