"""The news of the store: a feed and a relay for each topic of its records."""

import math
import random
from collections.abc import Callable, Iterable
from typing import Any

import attrs

from egretlanding.events import Event, Severity, log_event
from egretlanding.hosts import Host
from egretlanding.linkwidths import LinkWidth, LinkWidths
from egretlanding.peerlinks import PeerLinks
from egretlanding.peers import PeerConnection, RecordsFrame
from egretlanding.recordfeed import OnChange, RecordFeed, RecordStore
from egretlanding.recordrelay import RecordRelay
from egretlanding.records import Topic


@attrs.frozen
class TopicNews:
    """The news of one topic.

    Attributes:
        feed: Keeps the topic's records current.
        relay: Distributes them between daemons.
    """

    feed: RecordFeed
    relay: RecordRelay


@attrs.define(eq=False)
class News:
    """The news of all topics.

    Attributes:
        topics: The news by topic.
        unknown_topics: Topics of frames that were passed over, from daemons of
            another version.
    """

    topics: dict[str, TopicNews]
    unknown_topics: set[str] = attrs.field(factory=set)

    @classmethod
    def from_store(
        cls,
        reactor: Any,
        host_id: str,
        links: PeerLinks,
        store: RecordStore,
        seed_hosts: tuple[Host, ...],
        link_kbps: int = 0,
    ) -> 'News':
        """Builds the news of a store without opening a connection.

        Args:
            reactor: The reactor that gives the time.
            host_id: This daemon's host.
            links: Connections to other daemons.
            store: The store.
            seed_hosts: Daemons to ask while this one has no records.
            link_kbps: Width of the host's link, kbit/s; 0 if unknown.
        """

        def build(topic: Topic) -> TopicNews:
            is_large = topic is Topic.CONFIGURATION
            feed = RecordFeed(
                reactor,
                store.for_topic(topic),
                random.Random(f'{host_id} {topic}'),
                topic,
                lists_when_late=is_large,
                is_reader=not is_large,
                waits_until=math.inf if is_large else 0,
            )
            relay = RecordRelay(reactor, host_id, links, seed_hosts, feed)
            relay.better.widths = LinkWidths(LinkWidth(link_kbps, host_id))
            return TopicNews(feed, relay)

        return cls({topic: build(topic) for topic in Topic})

    @property
    def configuration(self) -> RecordFeed:
        """The feed of the configuration."""
        return self.topics[Topic.CONFIGURATION].feed

    @property
    def entries(self) -> RecordFeed:
        """The feed of the targets' entries."""
        return self.topics[Topic.ENTRIES].feed

    @property
    def feeds(self) -> tuple[RecordFeed, ...]:
        """The feeds of all topics."""
        return tuple(news.feed for news in self.topics.values())

    def on_change(self, apply: OnChange) -> None:
        """Calls back for changed records of any topic.

        Changes are announced before this daemon spends time on applying them.
        """
        for news in self.topics.values():
            news.feed.on_confirm = [news.relay.announce]
            news.feed.on_change = [news.relay.announce, apply]

    def start(self) -> None:
        """Starts to read the store."""
        self.for_each(lambda news: news.feed.start())

    def tick(self) -> None:
        """Exchanges states with other daemons; called periodically."""
        self.for_each(lambda news: news.relay.tick())

    def update_hosts(self, hosts: Iterable[Host], region: str) -> None:
        """Determines who reads the store and who fetches from whom."""
        all_hosts = tuple(hosts)
        self.for_each(lambda news: news.relay.update_hosts(all_hosts, region))

    def update_seeds(self, seed_hosts: tuple[Host, ...]) -> None:
        """Sets the daemons to ask while this one has no records."""
        for news in self.topics.values():
            news.relay.seeds = seed_hosts

    def for_each(self, act: Callable[[TopicNews], None]) -> None:
        """Does something for each topic."""
        for news in self.topics.values():
            act(news)

    def handle_frame(
        self, connection: PeerConnection, frame: RecordsFrame
    ) -> None:
        """Passes a frame of another daemon to the relay of its topic."""
        news = self.topics.get(frame.topic)
        if news:
            news.relay.handle_frame(connection, frame)
        elif frame.topic not in self.unknown_topics:
            self.unknown_topics.add(frame.topic)
            log_event(
                Event.RECORDS_REFUSED,
                'another daemon names a topic that this version does not know',
                Severity.WARNING,
                topic=frame.topic,
            )

    def dump(self, now: float) -> dict[str, Any]:
        """Returns the state of each topic."""
        return {
            feed.topic: {
                'era': feed.table.era,
                'revision': feed.table.complete_revision,
                'newest': feed.table.newest_revision,
                'count': len(feed.table.records),
                'age_s': feed.age(now),
                'is_reader': feed.is_reader,
                'store_reachable': feed.reachable,
            }
            for feed in self.feeds
        }
