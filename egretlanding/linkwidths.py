"""The widest link that daemons further down the tree have reported."""

import attrs

# Time after its last report that a link is counted on, seconds.
REPORT_TTL_S = 2.0
# Least factor by which a link must be wider for its daemon to read instead.
MIN_GAIN = 2


@attrs.frozen(order=True)
class LinkWidth:
    """The link of one host.

    Attributes:
        kbps: Its width, kbit/s; 0 if unknown.
        host_id: The host.
    """

    kbps: int = 0
    host_id: str = ''


@attrs.define
class LinkWidths:
    """The widest links that were reported, one for each daemon that reported.

    Each daemon reports the widest link of itself and those below it, so that
    the readers learn of the widest one of their region.

    Attributes:
        own: The link of this daemon's host.
        reports: The link and the time of each report, by the reporting host.
    """

    own: LinkWidth
    reports: dict[str, tuple[LinkWidth, float]] = attrs.field(factory=dict)

    def record(self, reporter: str, link: LinkWidth, now: float) -> None:
        """Records the report of a daemon, and drops old ones."""
        self.reports[reporter] = (link, now)
        self.reports = {
            host_id: report
            for host_id, report in self.reports.items()
            if now - report[1] <= REPORT_TTL_S
        }

    def widest(self, now: float) -> LinkWidth:
        """Returns the widest link of this daemon and those below it."""
        reported = (
            link
            for link, reported_at in self.reports.values()
            if now - reported_at <= REPORT_TTL_S
        )
        return max((self.own, *reported))

    def better_reader(self, now: float) -> str:
        """Returns the host that should read the store instead of this one.

        Returns:
            Its id, or an empty string if no link is much wider or the width of
            this daemon's own link isn't known.
        """
        widest = self.widest(now)
        is_better = self.own.kbps and widest.kbps >= MIN_GAIN * self.own.kbps
        return widest.host_id if is_better else ''
