"""The metrics of the control tasks."""

import itertools
import math
import time
from collections.abc import Iterable

import attrs

from egretlanding.journal import Counters
from egretlanding.metrics import Metric, Sample
from egretlanding.replica import Replica
from egretlanding.subscriber import Subscriber
from egretlanding.supervisor import Supervisor


def control_metrics(supervisor: Supervisor) -> tuple[Metric, ...]:
    """Returns the metrics of one daemon.

    Args:
        supervisor: The daemon.
    """
    subscriber = supervisor.subscriber
    return (*counter_metrics(subscriber), *gauge_metrics(supervisor))


def counter_metrics(subscriber: Subscriber) -> tuple[Metric, ...]:
    """Returns the metrics that only increase."""
    return (
        Metric(
            'exchange_bytes',
            'By',
            'bytes of the exchange',
            lambda: traffic_samples(subscriber),
        ),
        Metric(
            'control_events',
            '1',
            'what the control tasks did',
            lambda: event_samples(subscriber.journal.counters),
        ),
        Metric(
            'store_reads',
            '1',
            'reads of the store, a waiting watch counted as one',
            lambda: [Sample(subscriber.store.reads)],
        ),
    )


def gauge_metrics(supervisor: Supervisor) -> tuple[Metric, ...]:
    """Returns the metrics that can increase and decrease."""
    replica = supervisor.subscriber.replica
    return (
        Metric(
            'confirmed_age',
            's',
            'time since a watcher confirmed the release in force',
            lambda: age_samples(replica),
            monotonic=False,
        ),
        Metric(
            'release_number',
            '1',
            'number of the release in force',
            lambda: [Sample(replica.releases.position.number)],
            monotonic=False,
        ),
        Metric(
            'ready',
            '1',
            'whether the daemon takes calls',
            lambda: [Sample(int(supervisor.status().ready))],
            monotonic=False,
        ),
    )


def traffic_samples(subscriber: Subscriber) -> Iterable[Sample]:
    """Returns the bytes of the exchange by link class and direction."""
    return itertools.chain.from_iterable(
        (
            Sample(count.sent, {'link': link.value, 'direction': 'sent'}),
            Sample(
                count.received,
                {'link': link.value, 'direction': 'received'},
            ),
        )
        for link, count in subscriber.traffic.counts.items()
    )


def event_samples(counters: Counters) -> Iterable[Sample]:
    """Returns the counts of the control tasks by event."""
    counted_events: dict[str, int] = attrs.asdict(counters)
    return [Sample(n, {'event': name}) for name, n in counted_events.items()]


def age_samples(replica: Replica) -> Iterable[Sample]:
    """Returns the confirmed age; nothing before the first confirmation."""
    seconds = replica.freshness.confirmed_age(time.monotonic())
    return [] if math.isinf(seconds) else [Sample(seconds)]
