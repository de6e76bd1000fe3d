"""The metrics of a daemon that reads a store of records."""

import functools
import resource
from collections.abc import Callable, Iterable

from egretlanding.capacity import CapacityEstimator
from egretlanding.coldstart import ColdStart
from egretlanding.egress import Egress
from egretlanding.frames import Statement
from egretlanding.histograms import Histogram
from egretlanding.metrics import Metric, Sample
from egretlanding.nestedroutes import NestedRoutes
from egretlanding.sharereports import share_samples
from egretlanding.sidecar import Sidecar
from egretlanding.silentcalls import SilentCalls

BYTES_PER_KBYTE = 1_024

Observe = Callable[[], Iterable[Sample]]


def sidecar_metrics(sidecar: Sidecar) -> tuple[Metric, ...]:
    """Returns the metrics of one daemon.

    Args:
        sidecar: The daemon.
    """
    return (
        *counter_metrics(sidecar),
        *gauge_metrics(sidecar),
        *histogram_metrics(sidecar),
    )


def counter_metrics(sidecar: Sidecar) -> tuple[Metric, ...]:
    """Returns the counters, whose values only grow."""
    ingress, egress = sidecar.calls.ingress, sidecar.calls.egress
    feeds, log = sidecar.news.feeds, sidecar.log
    http, states = sidecar.calls.http, sidecar.calls.service_states
    counters: tuple[tuple[str, str, Observe], ...] = (
        (
            'calls',
            'calls of callers by whether they ran and why not',
            lambda: [
                Sample(count, {'ran': ran, 'reason': reason})
                for (ran, reason), count in ingress.outcomes.items()
            ],
        ),
        (
            'retries',
            'attempts that followed a failed one',
            lambda: [Sample(ingress.retries)],
        ),
        (
            'hedges',
            'second attempts beside late first ones',
            lambda: [Sample(ingress.hedges)],
        ),
        (
            'throttled_offers',
            'offers not made because targets refused most calls of the route',
            lambda: [
                Sample(state.offers.throttled, {'service': service})
                for service, state in states.services.items()
            ],
        ),
        (
            'abandoned_runs',
            'calls ended at the target because nobody waited for them',
            lambda: [Sample(egress.abandoned)],
        ),
        (
            'sent_to_target',
            'calls sent to the target beside the daemon',
            lambda: [Sample(egress.sent)],
        ),
        (
            'lost_calls',
            'calls that the target left without an answer for too long',
            lambda: silent_samples(egress, lambda held: held.lost),
        ),
        (
            'late_answers',
            'answers to calls that had counted as lost',
            lambda: silent_samples(egress, lambda held: held.late_answers),
        ),
        (
            'trial_runs',
            'refused requests that the target ran to see if they crash it',
            lambda: [Sample(sidecar.calls.suspicions.trials)],
        ),
        (
            'target_connections_opened',
            'connections opened to the target',
            lambda: [Sample(egress.target.pool.connections_opened)],
        ),
        (
            'store_calls',
            'calls to the store, a waiting watch counted as one',
            lambda: [
                Sample(count, {'topic': feed.topic, 'outcome': outcome})
                for feed in feeds
                for outcome, count in (
                    ('answered', feed.answered),
                    ('failed', feed.failed),
                )
            ],
        ),
        (
            'lost_answers',
            'connections of callers that ended before an answer was sent',
            lambda: [
                Sample(count, {'closed_by': closed_by})
                for closed_by, count in http.lost_answers.items()
            ],
        ),
        (
            'limited_callers',
            'callers that were rejected or closed to protect the process',
            lambda: [
                Sample(count, {'reason': reason.value})
                for reason, count in http.caller_limits.counts.items()
            ],
        ),
        (
            'log_lines',
            'lines of the log',
            lambda: [Sample(log.written)],
        ),
        (
            'log_lines_left_out',
            'lines left out to bound the volume of the log',
            lambda: [Sample(log.dropped)],
        ),
        (
            'started_service_seconds',
            'service time of the calls that the target ran, by route',
            lambda: share_samples(egress, lambda held: held.started_s),
        ),
        (
            'rejected_service_seconds',
            'service time of the calls that it had no room for, by route',
            lambda: share_samples(egress, lambda held: held.rejected_s),
        ),
        (
            'held_back_calls',
            'calls rejected since their nested calls lack room, by route',
            lambda: held_back_samples(states.nested),
        ),
    )
    return tuple(
        Metric(name, '1', description, observe)
        for name, description, observe in counters
    )


def gauge_metrics(sidecar: Sidecar) -> tuple[Metric, ...]:
    """Returns the gauges, whose values rise and fall."""
    calls, feeds = sidecar.calls, sidecar.news.feeds
    now = sidecar.reactor.seconds
    gauges: tuple[tuple[str, str, str, Observe], ...] = (
        (
            'release',
            '1',
            'number of the configuration in force',
            lambda: [Sample(sidecar.release_number)],
        ),
        (
            'records_revision',
            '1',
            "the store's revision up to which all records are held",
            lambda: [
                Sample(feed.table.complete_revision, {'topic': feed.topic})
                for feed in feeds
            ],
        ),
        (
            'records_era',
            '1',
            'how often the store had been restored from an older copy',
            lambda: [
                Sample(feed.table.era, {'topic': feed.topic}) for feed in feeds
            ],
        ),
        (
            'records_age',
            's',
            'time since the records were what the store holds',
            lambda: [
                Sample(round(feed.age(now()), 3), {'topic': feed.topic})
                for feed in feeds
            ],
        ),
        (
            'targets',
            '1',
            'targets that are believed to run',
            lambda: [Sample(len(sidecar.roster.targets))],
        ),
        (
            'evacuated_domains',
            '1',
            'failure domains whose targets get no calls',
            lambda: [
                Sample(1, {'failure_domain': domain})
                for domain in sidecar.roster.evacuations.domains
            ],
        ),
        (
            'shunned_targets',
            '1',
            'targets that get probes only',
            lambda: [Sample(len(calls.events.shunned.last_entries))],
        ),
        (
            'quarantined_requests',
            '1',
            'requests that are refused because they crashed targets',
            lambda: [Sample(len(calls.events.quarantined.last_entries))],
        ),
        (
            'peers',
            '1',
            'open connections to other daemons',
            lambda: [Sample(len(calls.links.context.connections))],
        ),
        (
            'at_target',
            '1',
            'calls that wait or run at the target',
            lambda: [Sample(len(calls.egress.table.jobs))],
        ),
        (
            'target_limit',
            '1/s',
            'calls a second that the target takes, while it names a limit',
            lambda: limit_samples(calls.egress.statements.current),
        ),
        (
            'target_cold',
            's',
            'for how long the target counts as cold, while it does',
            lambda: cold_samples(calls.egress.admission.cold, now()),
        ),
        (
            'held_bytes',
            'By',
            'bytes held for requests and answers',
            lambda: [Sample(calls.http.caller_limits.budget.total_bytes)],
        ),
        (
            'caller_connections',
            '1',
            'open connections at the port for calls',
            lambda: [Sample(len(calls.http.connections))],
        ),
        (
            'learned_limit',
            '1',
            'calls that the target takes well at a time, while it is learned',
            lambda: learned_samples(calls.egress, lambda held: held.limit),
        ),
        (
            'learned_speed',
            '1',
            'speed of the target, 1 is usual, while it is learned',
            lambda: learned_samples(
                calls.egress, lambda held: round(held.speed(now()), 2)
            ),
        ),
        (
            'free_capacity',
            '1',
            'calls that the target could start now, while its limit is learned',
            lambda: learned_samples(calls.egress, lambda held: held.free),
        ),
        (
            'target_silent',
            '1',
            'whether the target gets trial calls only, as it leaves others '
            'without an answer',
            lambda: silent_samples(
                calls.egress, lambda held: int(held.silence.is_silent)
            ),
        ),
        (
            'sure_slots',
            '1',
            'calls at a time that the target surely has slots for',
            lambda: silent_samples(calls.egress, lambda held: held.sure_slots),
        ),
        (
            'peak_memory',
            'By',
            'greatest resident memory of the process',
            lambda: [Sample(peak_memory())],
        ),
    )
    return tuple(
        Metric(name, unit, description, observe, monotonic=False)
        for name, unit, description, observe in gauges
    )


def histogram_metrics(sidecar: Sidecar) -> tuple[Metric, ...]:
    """Returns the histograms of durations."""
    ingress, egress = sidecar.calls.ingress, sidecar.calls.egress
    durations = (
        ('call_seconds', 'from a request to its answer', ingress.call_times),
        ('queue_seconds', 'in front of the target', egress.queue_times),
        ('run_seconds', 'at the target', egress.run_times),
    )
    return tuple(
        Metric(
            f'{name}_bucket',
            's',
            f'calls by time {description}',
            functools.partial(bucket_samples, times),
        )
        for name, description, times in durations
    )


def bucket_samples(times: Histogram) -> list[Sample]:
    """Returns for each bound the number of durations up to it."""
    return [Sample(count, {'le': bound}) for bound, count in times.cumulative()]


def limit_samples(statement: Statement) -> list[Sample]:
    """Returns the limit that a target states, nothing if there is none."""
    rate_per_s = statement.rate_per_s
    return [] if rate_per_s is None else [Sample(rate_per_s)]


def cold_samples(cold: ColdStart, now: float) -> list[Sample]:
    """Returns for how long a target is cold, nothing if it isn't."""
    return [Sample(cold.cold_until - now)] if cold.is_cold(now) else []


def learned_samples(
    egress: Egress, observe: Callable[[CapacityEstimator], float]
) -> list[Sample]:
    """Returns a value that was learned, nothing if learned limits are off."""
    learned = egress.admission.learned
    return [] if learned is None else [Sample(observe(learned))]


def held_back_samples(nested: NestedRoutes | None) -> list[Sample]:
    """Returns the calls held back by route, nothing if shares are off."""
    if nested is None:
        return []
    return [
        Sample(count, {'route': route})
        for route, count in nested.held_back.items()
    ]


def silent_samples(
    egress: Egress, observe: Callable[[SilentCalls], float]
) -> list[Sample]:
    """Returns what was observed of silence, nothing if that is off."""
    return [] if egress.silent is None else [Sample(observe(egress.silent))]


def peak_memory() -> int:
    """Returns the peak resident memory of the process, bytes."""
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return usage.ru_maxrss * BYTES_PER_KBYTE
