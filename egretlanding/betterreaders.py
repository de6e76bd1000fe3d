"""Decides which other daemon reads the store instead of a reader."""

import attrs

from egretlanding.frames import RecordsState
from egretlanding.linkwidths import LinkWidth, LinkWidths
from egretlanding.recordfeed import STALE_S, RecordFeed
from egretlanding.recordtree import RecordTree

MS_PER_S = 1_000
# Largest distance reported to others, seconds; it may be infinite.
MAX_DISTANCE_S = 1_000
# Least difference in connection time by which a reader is nearer, ms.
MIN_DISTANCE_GAIN_MS = 5
# Time after its last report that a better reader is relied on, and after its
# last request that an appointed one reads, seconds.
BETTER_READER_TTL_S = 1.5


@attrs.define(eq=False)
class BetterReaders:
    """Leaves the store to readers that are nearer to it or have wider links.

    Attributes:
        feed: The feed of this daemon.
        widths: The widest links that daemons below this one reported.
        appointee: Host whose daemon this one asks to read the store instead,
            empty for none.
        far_reader_ids: Host ids of the readers of other regions.
    """

    feed: RecordFeed
    widths: LinkWidths = attrs.field(factory=lambda: LinkWidths(LinkWidth()))
    appointee: str = ''
    far_reader_ids: frozenset[str] = frozenset()

    def distance_ms(self) -> int:
        """Returns the time that a connection to the store takes, ms."""
        distance_s = min(self.feed.store.distance_s, MAX_DISTANCE_S)
        return int(distance_s * MS_PER_S)

    def update_appointee(self, now: float) -> None:
        """Chooses the daemon with the widest link to read instead of this one.

        That is worth it for a topic of one large record only, and for a reader
        that doesn't rely on one of another region.
        """
        relies_on_far = not self.appointee and now < self.feed.better_until
        appoints = self.feed.lists_when_late and self.feed.is_reader
        self.appointee = (
            self.widths.better_reader(now)
            if appoints and not relies_on_far
            else ''
        )

    def record_question(
        self, peer: str, frame: RecordsState, tree: RecordTree, now: float
    ) -> None:
        """Records what a daemon that asked has reported, or appoints.

        Only links below this daemon count: a report that went in a circle
        would outlive its host.
        """
        if frame.appoints:
            self.feed.appointed_until = now + BETTER_READER_TTL_S
        if tree.is_below(peer):
            link = LinkWidth(frame.widest_kbps, frame.widest_host)
            self.widths.record(peer, link, now)

    def record_state(self, peer: str, frame: RecordsState, now: float) -> None:
        """Stops reading the store while a better reader does.

        That is one of another region that is nearer to the store, or the one
        that this daemon has appointed, once it reads.
        """
        if self.is_nearer(peer, frame) or self.is_appointed(peer, frame):
            self.feed.better_until = now + BETTER_READER_TTL_S

    def is_nearer(self, peer: str, frame: RecordsState) -> bool:
        """Returns whether a daemon reads for another, nearer region."""
        is_nearer = (
            frame.distance_ms + MIN_DISTANCE_GAIN_MS < self.distance_ms()
        )
        return peer in self.far_reader_ids and is_nearer and is_fresh(frame)

    def is_appointed(self, peer: str, frame: RecordsState) -> bool:
        """Returns whether a daemon was appointed, and reads."""
        reads = frame.reads and is_fresh(frame)
        return reads and bool(peer) and peer == self.appointee


def is_fresh(frame: RecordsState) -> bool:
    """Returns whether the records of another daemon were confirmed lately."""
    return frame.age_ms < STALE_S * MS_PER_S
