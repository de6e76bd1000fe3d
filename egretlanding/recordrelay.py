"""Distributes the store's records from daemon to daemon.

A few daemons of each region, the readers, watch the store. The others get the
records from them along a tree. Each daemon asks the one upstream of it, which
then tells it of changes and confirmations for a while without being asked.
"""

import math
from collections.abc import Iterable
from typing import Any

import attrs
import msgspec

from egretlanding.betterreaders import BetterReaders
from egretlanding.events import Event, Severity, log_event
from egretlanding.exceptions import ReleaseError
from egretlanding.frames import RecordsRequest, RecordsState, RecordsUpdate
from egretlanding.hosts import Host
from egretlanding.lanes import Lane
from egretlanding.peerlinks import PeerLinks
from egretlanding.peers import PeerConnection, RecordsFrame
from egretlanding.recordfeed import (
    STALE_S,
    RecordFeed,
)
from egretlanding.recordreplies import RecordReplies, base_of, unpack
from egretlanding.records import Record
from egretlanding.recordtree import RecordTree, first_ranked

MS_PER_S = 1_000
# Time that a daemon waits for later records from its upstream before it
# requests them from any other daemon that has them, seconds.
UPSTREAM_WAIT_S = 0.4
# Time after which an unanswered request is sent again, to any daemon.
REQUEST_TIMEOUT_S = 0.5
# Longest time for the reply to a request while bytes arrive from its daemon.
MAX_REPLY_S = 1.0
# Largest age reported to others, seconds; it may be infinite.
MAX_REPORTED_S = 1_000
# Shortest time between two announcements, which batches changes.
ANNOUNCE_INTERVAL_S = 0.05
# Time after a question for which the daemon that asked is told of changes.
LISTENING_S = 1.5
# Time between two questions to the upstream, seconds.
ASK_INTERVAL_S = 0.5
# Time between two questions while the daemon waits for its first records.
# Otherwise a daemon that starts together with its upstream would wait for the
# next regular question.
FIRST_ASK_INTERVAL_S = 0.05
# Time that each group of stand-ins has to read the store before the next one
# reads it too, seconds. For a large topic it allows for the whole transfer.
TURN_S = 0.5
LARGE_TURN_S = 3.0
# Time for which a large topic is at first expected from other daemons, seconds.
FIRST_WAIT_S = 1.0
# Age of the records after which readers and standbys are asked too, seconds.
LATE_S = 0.8


@attrs.frozen
class Question:
    """The last question of another daemon.

    Attributes:
        stamp: The clock of that daemon when it asked, ms.
        arrived_at: When the question arrived, seconds.
    """

    stamp: int
    arrived_at: float

    def answered_by(self, frame: RecordsState, now: float) -> RecordsState:
        """Returns a frame with the time that has passed since the question."""
        return msgspec.structs.replace(
            frame, echo=self.stamp, held_ms=in_ms(now - self.arrived_at)
        )


@attrs.define(eq=False)
class RecordRelay:
    """Announces records to other daemons and requests later ones from them.

    Attributes:
        reactor: The reactor that gives the time.
        host_id: This daemon's host, one of those that are ranked.
        links: Connections to other daemons.
        seeds: Daemons to exchange states with while this one has no records.
        feed: Holds the records.
        tree: The place of this daemon in the tree of its region.
        readers: The other readers of this daemon's region, and one of each
            other region if this daemon is a reader.
        listeners: The connections on which to tell changes, with the last
            question of each.
        behind_since: When this daemon first learned that it lacks records,
            seconds.
        behind_position: The era and last change of its records at that time.
        better: Decides which other daemon reads the store instead.
        replies: Packs the records that other daemons lack.
        announced: What was announced last: the position, and when it was
            confirmed.
        announced_at: When that was, or the time for which an announcement is
            scheduled, seconds.
        asked_at: When the upstream was last asked, seconds.
        requested_at: When records were last requested, seconds; minus infinity
            once a reply arrived.
        requested_from: The connection on which they were requested.
        bytes_at_request: Bytes that had arrived on it when that was last
            checked.
    """

    reactor: Any
    host_id: str
    links: PeerLinks
    seeds: tuple[Host, ...]
    feed: RecordFeed
    tree: RecordTree = attrs.field(factory=RecordTree)
    readers: tuple[Host, ...] = ()
    listeners: dict[PeerConnection, Question] = attrs.field(factory=dict)
    behind_since: float = float('inf')
    behind_position: tuple[int, int] = (-1, -1)
    better: BetterReaders = attrs.field(init=False)
    replies: RecordReplies = attrs.field(factory=RecordReplies)
    announced: tuple[int, int, float] | None = None
    announced_at: float = float('-inf')
    asked_at: float = float('-inf')
    requested_at: float = float('-inf')
    requested_from: PeerConnection | None = None
    bytes_at_request: int = 0

    def __attrs_post_init__(self) -> None:
        self.better = BetterReaders(self.feed)

    def state_frame(
        self, *, asks: bool = False, appoints: bool = False
    ) -> RecordsState:
        """Returns the frame that reports the state of this daemon's records.

        Args:
            asks: Whether the receiver is to send its own state back, and to
                tell of changes for some time.
            appoints: Whether the receiver is to read the store.
        """
        now = self.reactor.seconds()
        table = self.feed.table
        widest = self.better.widths.widest(now)
        return RecordsState(
            table.complete_revision,
            int(min(self.feed.age(now), MAX_REPORTED_S) * MS_PER_S),
            asks,
            self.better.distance_ms(),
            table.era,
            self.feed.topic,
            table.content_revision,
            widest.kbps,
            widest.host_id,
            appoints,
            self.feed.reads_for_others(now) and self.feed.reachable,
            in_ms(now) if asks else 0,
            failure_age_ms=self.feed.outages.failure_age_ms(now),
        )

    def update_hosts(self, hosts: Iterable[Host], region: str) -> None:
        """Determines the readers and this daemon's upstream.

        Args:
            hosts: The hosts of all regions.
            region: This daemon's region.
        """
        all_hosts = tuple(hosts)
        regions = {host.region for host in all_hosts} - {region}
        self.tree = RecordTree.of_host(self.host_id, region, all_hosts)
        # A large topic is left alone until it is known who reads it.
        is_known = bool(self.tree.order) or not self.feed.lists_when_late
        self.feed.is_reader = is_known and self.tree.upstream is None
        if all_hosts and self.feed.waits_until == math.inf:
            self.feed.waits_until = self.reactor.seconds() + FIRST_WAIT_S
            ask_for_first(self)
        turn_s = LARGE_TURN_S if self.feed.lists_when_late else TURN_S
        self.feed.stale_after_s = STALE_S + turn_s * self.tree.earlier_groups()
        far_readers = [
            first_ranked(other, all_hosts, 1)[0]
            for other in sorted(regions)
            if self.feed.is_reader
        ]
        self.better.far_reader_ids = frozenset(
            host.host_id for host in far_readers
        )
        self.readers = self.others(*self.tree.readers, *far_readers)

    def others(self, *hosts: Host) -> tuple[Host, ...]:
        """Returns the hosts other than this daemon's own."""
        return tuple(host for host in hosts if host.host_id != self.host_id)

    def announce(self, changed: Iterable[Record] = ()) -> None:
        """Tells listening daemons of changes and confirmations.

        Those that follow shortly on one another are told together.
        """
        if self.listeners:
            self.replies.keep(changed, self.feed.table.era)
        now = self.reactor.seconds()
        due = self.announced_at + ANNOUNCE_INTERVAL_S
        if now >= due:
            self.announced_at = now
            self.broadcast()
        elif now >= self.announced_at:
            self.announced_at = due
            self.reactor.callLater(due - now, self.broadcast)

    def broadcast(self) -> None:
        """Reports the state of the records to the daemons that asked."""
        table = self.feed.table
        state = (table.era, table.content_revision, self.feed.confirmed_at)
        if state == self.announced:
            return
        self.announced = state
        now = self.reactor.seconds()
        self.listeners = {
            connection: question
            for connection, question in self.listeners.items()
            if now - question.arrived_at < LISTENING_S and connection.is_open()
        }
        frame = self.state_frame()
        for connection, question in self.listeners.items():
            connection.send(question.answered_by(frame, now))

    def tick(self) -> None:
        """Asks other daemons for their states; called periodically.

        A daemon without records asks the seeds. Readers ask one another, the
        others ask their upstream, and also the readers and their standbys once
        their records are late.
        """
        now = self.reactor.seconds()
        asks_now = now >= self.asked_at + ASK_INTERVAL_S
        if asks_now:
            self.asked_at = now
        if asks_now and self.tree.upstream:
            self.ask(self.tree.upstream)
        before = self.better.appointee
        self.better.update_appointee(now)
        if self.better.appointee != before:
            log_event(
                Event.READER_APPOINTED,
                'another daemon is asked to read the store instead',
                topic=self.feed.topic,
                appointed=self.better.appointee,
                before=before,
            )
        for host in self.tree.order:
            if host.host_id == self.better.appointee:
                self.ask(host, appoints=True)
        others = self.hosts_to_ask(now) if asks_now else ()
        for host in others:
            self.ask(host)

    def hosts_to_ask(self, now: float) -> tuple[Host, ...]:
        """Returns whom to ask besides the upstream."""
        if not self.feed.table.complete_revision:
            return self.seeds
        if self.feed.age(now) <= LATE_S:
            return self.readers if self.feed.is_reader else ()
        upstream = self.tree.upstream
        candidates = (*self.readers, *self.others(*self.tree.standbys))
        return tuple(host for host in candidates if host != upstream)

    def ask(self, host: Host, *, appoints: bool = False) -> None:
        """Asks a daemon for its state, or opens a connection to it."""
        lane = self.links.connect(host, Lane.SHORT)
        lane.last_used = self.reactor.seconds()
        if lane.connection:
            frame = self.state_frame(asks=True, appoints=appoints)
            lane.connection.send(frame)

    def handle_frame(
        self, connection: PeerConnection, frame: RecordsFrame
    ) -> None:
        """Handles a frame from another daemon."""
        match frame:
            case RecordsState():
                self.handle_state(connection, frame)
            case RecordsRequest():
                send_records(self, connection, frame)
            case RecordsUpdate():
                self.handle_records(connection, frame)

    def handle_state(
        self, connection: PeerConnection, frame: RecordsState
    ) -> None:
        """Compares states, and requests records that only the other has."""
        now = self.reactor.seconds()
        peer = connection.peer.host_id if connection.peer else ''
        if not self.tree.is_below(peer):
            self.feed.heard_at = now
        if frame.asks:
            question = Question(frame.stamp, now)
            self.listeners[connection] = question
            self.better.record_question(peer, frame, self.tree, now)
            connection.send(question.answered_by(self.state_frame(), now))
        self.better.record_state(peer, frame, now)
        self.feed.outages.hear_failure(frame.failure_age_ms, now)
        table = self.feed.table
        if self.is_later(frame):
            if self.may_request_from(connection):
                self.request_records(connection)
        elif frame.era == table.era:
            # The store has counted changes of other topics since then.
            table.confirm(frame.revision)
            if frame.echo:
                held_s = frame.held_ms / MS_PER_S
                self.feed.confirm(oldest_s(frame, now) - held_s)

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
        upstream = self.tree.upstream
        if has_none or not upstream or peer == upstream.host_id:
            return True
        readers = {host.host_id for host in self.readers}
        if upstream.host_id in readers and peer in readers:
            return True
        now = float(self.reactor.seconds())
        position = (self.feed.table.era, self.feed.table.content_revision)
        if position != self.behind_position:
            self.behind_position = position
            self.behind_since = now
        return now - self.behind_since >= UPSTREAM_WAIT_S

    def request_records(self, connection: PeerConnection) -> None:
        """Requests later records, unless a recent request is outstanding."""
        if self.is_waiting():
            return
        self.requested_at = self.reactor.seconds()
        self.requested_from = connection
        self.bytes_at_request = connection.bytes_received
        table = self.feed.table
        connection.send(
            RecordsRequest(
                table.content_revision,
                table.era,
                self.feed.topic,
                base_of(table),
                in_ms(self.requested_at),
            )
        )

    def is_waiting(self) -> bool:
        """Returns whether a reply to the last request may still come.

        A reply that is arriving must not be requested again elsewhere, since
        it would only arrive later.
        """
        waited_s = self.reactor.seconds() - self.requested_at
        if waited_s <= REQUEST_TIMEOUT_S:
            return True
        connection = self.requested_from
        if connection is None or waited_s > MAX_REPLY_S:
            return False
        return connection.bytes_received > self.bytes_at_request

    def handle_records(
        self, connection: PeerConnection, frame: RecordsUpdate
    ) -> None:
        """Applies the records that another daemon sent."""
        self.requested_at = float('-inf')
        if frame.era is None or not self.feed.table.is_before(
            frame.era, frame.revision
        ):
            return
        try:
            records = unpack(frame, self.feed.table)
        except (ReleaseError, msgspec.MsgspecError) as error:
            log_event(
                Event.RECORDS_REFUSED,
                'cannot decode the records that another daemon sent',
                Severity.WARNING,
                error=repr(error),
            )
            return
        now = self.reactor.seconds()
        self.feed.outages.hear_failure(frame.failure_age_ms, now)
        age_s = oldest_s(frame, now)
        log_event(
            Event.RECORDS_TAKEN,
            'records were taken over from another daemon',
            topic=self.feed.topic,
            source=connection.peer.host_id if connection.peer else '',
            held=self.feed.table.complete_revision,
            revision=frame.revision,
            records=len(records),
            whole=frame.whole,
            base=frame.base,
            size=len(frame.packed),
            age_ms=in_ms(age_s),
        )
        self.feed.apply_records(
            records,
            frame.revision,
            age_s,
            whole=frame.whole,
            era=frame.era or 0,
        )


def ask_for_first(relay: RecordRelay) -> None:
    """Asks the upstream often until there are records, or for FIRST_WAIT_S."""
    waits = relay.reactor.seconds() < relay.feed.waits_until
    upstream = relay.tree.upstream
    if relay.feed.table.complete_revision or not waits:
        return
    if upstream:
        relay.ask(upstream)
    relay.reactor.callLater(FIRST_ASK_INTERVAL_S, ask_for_first, relay)


def send_records(
    relay: RecordRelay, connection: PeerConnection, frame: RecordsRequest
) -> None:
    """Sends the records that another daemon lacks."""
    state = relay.state_frame()
    reply = relay.replies.reply_to(frame, relay.feed.table, state)
    age_ms = relay.feed.outages.failure_age_ms(relay.reactor.seconds())
    connection.send(msgspec.structs.replace(reply, failure_age_ms=age_ms))


def in_ms(seconds: float) -> int:
    """Returns a time in whole milliseconds."""
    return int(seconds * MS_PER_S)


def oldest_s(frame: RecordsState | RecordsUpdate, now: float) -> float:
    """Returns the greatest age that the records of a frame can have, seconds.

    The whole time since this daemon's question is added, because it isn't known
    how much of it the frame spent on its way. For a frame that nobody asked for
    the age has no bound.
    """
    if not frame.echo:
        return MAX_REPORTED_S
    return now + (frame.age_ms - frame.echo) / MS_PER_S
