"""Distributes the store's records from daemon to daemon.

A few daemons of each region, the readers, watch the store. The others get the
records from them along a tree.
"""

import zlib
from collections.abc import Iterable
from typing import Any

import attrs
import msgspec

from egretlanding.events import Event, Severity, log_event
from egretlanding.exceptions import ReleaseError
from egretlanding.frames import RecordsRequest, RecordsState, RecordsUpdate
from egretlanding.hosts import Host
from egretlanding.peerlinks import Lane, PeerLinks
from egretlanding.peers import PeerConnection, RecordsFrame
from egretlanding.recordfeed import RecordFeed
from egretlanding.records import Record
from egretlanding.release import inflate
from egretlanding.rendezvous import rank_candidates

MS_PER_S = 1_000
# Daemons of a region that watch the store on behalf of the others.
READERS_PER_REGION = 2
# Most daemons that fetch records from one daemon.
MAX_DOWNSTREAM = 4
# Time that a daemon waits for later records from its upstream before it
# requests them from any other daemon that has them, seconds.
UPSTREAM_WAIT_S = 0.4
# Most bytes that the records of one frame may decompress to.
MAX_UNPACKED_BYTES = 4_000_000
# Time after which an unanswered request is sent again, to any daemon.
REQUEST_TIMEOUT_S = 0.5
# Largest age or distance reported to others, seconds; both may be infinite.
MAX_REPORTED_S = 1_000
# Least difference in connection time by which a reader is nearer, ms.
MIN_DISTANCE_GAIN_MS = 5
# Time after its last report that a nearer reader is relied on, seconds.
NEARER_READER_TTL_S = 1.5
# Shortest time between announcements of a reader, which batches changes.
ANNOUNCE_INTERVAL_S = 0.35


@attrs.define(eq=False)
class RecordRelay:
    """Announces records to other daemons and requests later ones from them.

    Attributes:
        reactor: The reactor that gives the time.
        host_id: This daemon's host, one of those that are ranked.
        links: Connections to other daemons.
        seeds: Daemons to exchange states with while this one has no records.
        feed: Holds the records.
        readers: The other readers of this daemon's region, and one of each
            other region if this daemon is a reader.
        far_reader_ids: Host ids of the readers of other regions.
        upstream: The daemon from which this one fetches records, None for a
            reader.
        has_downstream: Whether other daemons fetch records from this one.
        behind_since: When this daemon first learned that it lacks records,
            seconds; infinite while it lacks none.
        reply_cache: Replies for one position, by the request.
        cached_position: That position: the era, and the last change in it.
        announced_at: When a reader last announced changes, or the time for
            which an announcement is scheduled, seconds.
        requested_at: When records were last requested, seconds; minus infinity
            once a reply arrived.
    """

    reactor: Any
    host_id: str
    links: PeerLinks
    seeds: tuple[Host, ...]
    feed: RecordFeed
    readers: tuple[Host, ...] = ()
    far_reader_ids: frozenset[str] = frozenset()
    upstream: Host | None = None
    has_downstream: bool = False
    behind_since: float = float('inf')
    reply_cache: dict[RecordsRequest, RecordsUpdate] = attrs.field(factory=dict)
    cached_position: tuple[int | None, int | None] = (None, None)
    announced_at: float = float('-inf')
    requested_at: float = float('-inf')

    def state_frame(self, *, asks: bool = False) -> RecordsState:
        """Returns the frame that reports the state of this daemon's records.

        Args:
            asks: Whether the receiver is to send its own state back.
        """
        age_s = min(self.feed.age(self.reactor.seconds()), MAX_REPORTED_S)
        table = self.feed.table
        return RecordsState(
            table.complete_revision,
            int(age_s * MS_PER_S),
            asks,
            self.distance_ms(),
            table.era,
            self.feed.topic,
            table.content_revision,
        )

    def distance_ms(self) -> int:
        """Returns the time that a connection to the store takes, ms."""
        return int(min(self.feed.store.distance_s, MAX_REPORTED_S) * MS_PER_S)

    def update_hosts(self, hosts: Iterable[Host], region: str) -> None:
        """Determines the readers and this daemon's upstream.

        Args:
            hosts: The hosts of all regions.
            region: This daemon's region.
        """
        all_hosts = tuple(hosts)
        regions = {host.region for host in all_hosts} - {region}
        order = first_ranked(region, all_hosts, len(all_hosts))
        region_readers = order[:READERS_PER_REGION]
        self.upstream = upstream_of(self.host_id, order)
        self.feed.is_reader = self.upstream is None
        first_downstream_rank = (
            rank_of(self.host_id, order) * MAX_DOWNSTREAM + READERS_PER_REGION
        )
        self.has_downstream = first_downstream_rank < len(order)
        far_readers = [
            first_ranked(other, all_hosts, 1)[0]
            for other in sorted(regions)
            if self.feed.is_reader
        ]
        self.far_reader_ids = frozenset(host.host_id for host in far_readers)
        self.readers = tuple(
            host
            for host in (*region_readers, *far_readers)
            if host.host_id != self.host_id
        )

    def announce(self, _changed: list[Record]) -> None:
        """Announces later records to connected daemons.

        Readers batch changes that follow shortly on one another. Other daemons
        announce each change at once, unless no daemon fetches records from
        them.
        """
        if self.upstream:
            if self.has_downstream:
                self.broadcast()
            return
        now = self.reactor.seconds()
        due = self.announced_at + ANNOUNCE_INTERVAL_S
        if now >= due:
            self.announced_at = now
            self.links.context.broadcast(self.state_frame())
        elif now >= self.announced_at:
            self.announced_at = due
            self.reactor.callLater(due - now, self.broadcast)

    def broadcast(self) -> None:
        """Reports the state of the records to all connected daemons."""
        self.links.context.broadcast(self.state_frame())

    def tick(self) -> None:
        """Exchanges states with the readers; called periodically.

        A daemon without records uses the seeds instead. The connection to the
        upstream is kept open.
        """
        now = self.reactor.seconds()
        has_none = not self.feed.table.complete_revision
        for host in self.seeds if has_none else self.readers:
            lane = self.links.connect(host, Lane.SHORT)
            lane.last_used = now
            if lane.connection:
                lane.connection.send(self.state_frame(asks=True))
        if self.upstream:
            self.links.connect(self.upstream, Lane.SHORT).last_used = now

    def handle_frame(
        self, connection: PeerConnection, frame: RecordsFrame
    ) -> None:
        """Handles a frame from another daemon."""
        match frame:
            case RecordsState():
                self.handle_state(connection, frame)
            case RecordsRequest():
                connection.send(self.reply_to(frame))
            case RecordsUpdate():
                self.handle_records(frame)

    def handle_state(
        self, connection: PeerConnection, frame: RecordsState
    ) -> None:
        """Compares states, and requests records that only the other has."""
        if frame.asks:
            connection.send(self.state_frame())
        self.yield_to_nearer_reader(connection, frame)
        table = self.feed.table
        if self.is_later(frame):
            if self.may_request_from(connection):
                self.request_records(connection)
        elif frame.era == table.era:
            # The store has counted changes of other topics since then.
            table.confirm(frame.revision)
            self.feed.confirm(frame.age_ms / MS_PER_S)

    def is_later(self, frame: RecordsState) -> bool:
        """Returns whether another daemon holds changes that this one lacks.

        A daemon of an earlier version doesn't name the era. It may hold
        records that the store has lost, so nothing is taken from it.
        """
        if frame.era is None:
            return False
        newest = frame.revision if frame.newest is None else frame.newest
        return self.feed.table.is_before(frame.era, newest)

    def may_request_from(self, connection: PeerConnection) -> bool:
        """Returns whether to request records from a daemon that has later ones.

        Each daemon first waits for its upstream, so that no daemon has to send
        to all others. If the upstream is a reader, any reader of the region
        may stand in for it.
        """
        peer = connection.peer.host_id if connection.peer else ''
        has_none = not self.feed.table.complete_revision
        if has_none or not self.upstream or peer == self.upstream.host_id:
            return True
        readers = {host.host_id for host in self.readers}
        if self.upstream.host_id in readers and peer in readers:
            return True
        now = float(self.reactor.seconds())
        self.behind_since = min(self.behind_since, now)
        return now - self.behind_since >= UPSTREAM_WAIT_S

    def yield_to_nearer_reader(
        self,
        connection: PeerConnection,
        frame: RecordsState,
    ) -> None:
        """Stops reading the store while a far reader is nearer to it."""
        if (
            connection.peer is None
            or connection.peer.host_id not in self.far_reader_ids
        ):
            return
        local_distance_ms = self.distance_ms()
        if frame.distance_ms + MIN_DISTANCE_GAIN_MS < local_distance_ms:
            now = self.reactor.seconds()
            self.feed.better_until = now + NEARER_READER_TTL_S

    def request_records(self, connection: PeerConnection) -> None:
        """Requests later records, unless a recent request is outstanding."""
        now = self.reactor.seconds()
        if now - self.requested_at > REQUEST_TIMEOUT_S:
            self.requested_at = now
            table = self.feed.table
            connection.send(
                RecordsRequest(
                    table.content_revision, table.era, self.feed.topic
                )
            )

    def reply_to(self, frame: RecordsRequest) -> RecordsUpdate:
        """Returns the records that another daemon lacks, cached if possible."""
        state = self.state_frame()
        position = (state.era, state.newest)
        if position != self.cached_position:
            self.reply_cache.clear()
            self.cached_position = position
        reply = self.reply_cache.get(frame)
        if reply is None:
            reply = self.pack_records(frame, state)
            self.reply_cache[frame] = reply
        return msgspec.structs.replace(
            reply, revision=state.revision, age_ms=state.age_ms
        )

    def pack_records(
        self, frame: RecordsRequest, state: RecordsState
    ) -> RecordsUpdate:
        """Packs the records that another daemon lacks.

        All records are sent if deletions after its revision may have been
        dropped here, or if that daemon has no records, those of another era or
        those of an era that it does not name.
        """
        send_all = (
            not self.feed.table.has_deletions_since(frame.after)
            or not frame.after
            or frame.era != state.era
        )
        records = self.feed.table.since(0 if send_all else frame.after)
        if send_all:
            records = [record for record in records if not record.deleted]
        packed = zlib.compress(msgspec.msgpack.encode(records))
        return RecordsUpdate(
            state.revision,
            state.age_ms,
            packed,
            send_all,
            state.era,
            self.feed.topic,
        )

    def handle_records(self, frame: RecordsUpdate) -> None:
        """Applies the records that another daemon sent."""
        self.requested_at = float('-inf')
        if frame.era is None or not self.feed.table.is_before(
            frame.era, frame.revision
        ):
            return
        try:
            unpacked = inflate(frame.packed, MAX_UNPACKED_BYTES)
            records = msgspec.msgpack.decode(unpacked, type=list[Record])
        except (ReleaseError, msgspec.MsgspecError) as error:
            log_event(
                Event.RECORDS_REFUSED,
                'cannot decode the records that another daemon sent',
                Severity.WARNING,
                error=repr(error),
            )
            return
        self.behind_since = float('inf')
        age_s = frame.age_ms / MS_PER_S
        self.feed.apply_records(
            records,
            frame.revision,
            age_s,
            whole=frame.whole,
            era=frame.era or 0,
        )


def rank_of(host_id: str, order: tuple[Host, ...]) -> int:
    """Returns the index of a host, or the list's length if it isn't listed."""
    ranks = (rank for rank, host in enumerate(order) if host.host_id == host_id)
    return next(ranks, len(order))


def upstream_of(host_id: str, order: tuple[Host, ...]) -> Host | None:
    """Returns the daemon from which a daemon fetches records.

    The readers are the roots of trees in which each daemon has at most
    MAX_DOWNSTREAM children.

    Args:
        host_id: The host of the daemon that fetches.
        order: The hosts of its region, the readers first.

    Returns:
        The host of the upstream daemon, or None for a reader.
    """
    rank = rank_of(host_id, order)
    if not order or rank < READERS_PER_REGION:
        return None
    return order[
        min(rank - READERS_PER_REGION, len(order) - 1) // MAX_DOWNSTREAM
    ]


def first_ranked(
    region: str,
    hosts: Iterable[Host],
    count: int,
) -> tuple[Host, ...]:
    """Returns the hosts of a region by rank; the first ones are its readers.

    Args:
        region: The region.
        hosts: The hosts of all regions.
        count: The most hosts to return.
    """
    by_address = {host.address: host for host in hosts if host.region == region}
    order = rank_candidates(region, by_address)[:count]
    return tuple(by_address[address] for address in order)
