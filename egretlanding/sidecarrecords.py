"""Applies the records of the store to a daemon."""

import math
from functools import partial
from typing import TYPE_CHECKING

from egretlanding.capacity import CapacityEstimator
from egretlanding.egress import Egress, evacuate, refuse_queued
from egretlanding.events import Event, Severity, log_event
from egretlanding.exceptions import PlatformError
from egretlanding.expectations import Expectations
from egretlanding.fairshares import FairShares
from egretlanding.nestedcalls import sample_target
from egretlanding.nestedroutes import NestedRoutes
from egretlanding.records import Record
from egretlanding.sharereports import log_shares, retain_routes
from egretlanding.silentcalls import SILENT_REFUSAL, SilentCalls
from egretlanding.slotrelease import free_slot
from egretlanding.views import View

if TYPE_CHECKING:
    from egretlanding.calls import CallService
    from egretlanding.sidecar import Sidecar

MS_PER_S = 1_000
# Largest age in the log, seconds; it is infinite before the first confirmation.
MAX_LOGGED_AGE_S = 1_000


def learn_capacity(calls: 'CallService') -> None:
    """Turns learned limits on: for the local target and the choice."""
    egress = calls.egress
    egress.admission.learned = CapacityEstimator.of(
        egress.admission.slots.limit.slots, egress.reactor.seconds()
    )
    calls.service_states.new_expectations = Expectations


def share_fairly(calls: 'CallService') -> None:
    """Turns guaranteed shares of routes on, and learning of nested ones."""
    calls.egress.admission.shares = FairShares()
    calls.service_states.nested = NestedRoutes()


def apply_view(sidecar: 'Sidecar', view: View) -> None:
    """Routes calls by a configuration, and forgets routes that it lacks."""
    sidecar.calls.apply(view)
    retain_routes(sidecar.calls.egress, view.routes.routes)
    nested = sidecar.calls.service_states.nested
    if nested:
        nested.retain(view.routes.routes.keys())


def watch_shares(sidecar: 'Sidecar') -> None:
    """Logs whether shares are needed, and learns which routes are nested."""
    calls = sidecar.calls
    log_shares(calls.egress)
    sample_target(calls.service_states.nested, calls.egress)


def detect_silence(calls: 'CallService') -> None:
    """Turns the detection of silent targets on: here and for retries."""
    watch_silence(calls.egress)
    calls.ingress.retries_lost = True


def watch_silence(egress: Egress) -> None:
    """Turns the detection of lost calls on for the local target."""
    silent = SilentCalls(egress.reactor, egress.admission.slots.limit)
    silent.on_silent = partial(refuse_queued, egress, SILENT_REFUSAL)
    silent.on_overdue = partial(free_slot, egress)
    egress.silent = silent


def apply_record(sidecar: 'Sidecar', record: Record) -> None:
    """Applies one record, or logs why it is refused."""
    decoder = sidecar.adapter.decoder
    try:
        if decoder.is_publication(record):
            submit_publication(sidecar, record)
        elif decoder.target_of_entry(record):
            sidecar.apply_target_entry(record)
        elif domain := decoder.domain_of_evacuation(record):
            apply_evacuation(sidecar, domain, record)
    except PlatformError as error:
        log_refused(record, error)


def submit_publication(sidecar: 'Sidecar', record: Record) -> None:
    """Puts a configuration in force soon, the first one at once."""
    era = sidecar.news.configuration.table.era
    if sidecar.publication is None:
        sidecar.apply_publication(record, era)
    else:
        sidecar.application.submit(
            partial(apply_later_publication, sidecar, record, era)
        )


def apply_later_publication(
    sidecar: 'Sidecar', record: Record, era: int
) -> None:
    """Applies a configuration that follows another one, or logs its fault."""
    try:
        sidecar.apply_publication(record, era)
    except PlatformError as error:
        log_refused(record, error)
    sidecar.refresh()


def log_refused(record: Record, error: PlatformError) -> None:
    """Logs why a record is refused."""
    log_event(
        Event.ENTRY_REFUSED,
        str(error),
        Severity.WARNING,
        revision=record.revision,
    )


def remove_target(sidecar: 'Sidecar', instance: str, revision: int) -> None:
    """Updates the roster when the entry of a target was deleted."""
    now = sidecar.reactor.seconds()
    entries = sidecar.news.entries
    sidecar.roster.remove(
        instance, now, entries.table.era, entries.outages.ended_at
    )
    log_event(
        Event.TARGET_GONE,
        'the entry of a target was deleted',
        instance=instance,
        revision=revision,
        held=instance in sidecar.roster.targets,
        outage_ended_ago_ms=logged_ms(now - entries.outages.ended_at),
    )


def apply_evacuation(sidecar: 'Sidecar', domain: str, record: Record) -> None:
    """Evacuates a failure domain, or ends its evacuation."""
    now = sidecar.reactor.seconds()
    evacuations = sidecar.roster.evacuations
    evacuations.update_era(sidecar.news.configuration.table.era, now)
    if record.deleted:
        if evacuations.end(domain, now):
            log_evacuation_end(domain, record.revision)
    elif evacuations.begin(domain, record.revision, now):
        log_event(
            Event.EVACUATION_BEGUN,
            'a failure domain is evacuated',
            failure_domain=domain,
            revision=record.revision,
            age_ms=configuration_age_ms(sidecar),
        )
    sidecar.roster.apply_evacuations()


def expire_evacuations(sidecar: 'Sidecar') -> None:
    """Ends evacuations that a restored store doesn't list."""
    now = sidecar.reactor.seconds()
    evacuations = sidecar.roster.evacuations
    table = sidecar.news.configuration.table
    # Only changed records are applied, and a restored store may list all.
    if table.complete_revision:
        evacuations.update_era(table.era, now)
    for domain in evacuations.expire(now):
        log_evacuation_end(domain, 0)
    sidecar.roster.apply_evacuations()


def sync_evacuation(sidecar: 'Sidecar') -> None:
    """Gives the local target no calls while its domain is evacuated."""
    egress = sidecar.calls.egress
    domains = sidecar.roster.evacuated_domains
    evacuated = sidecar.config.failure_domain in domains
    if evacuated == egress.is_evacuated:
        return
    if evacuated:
        evacuate(egress)
    else:
        egress.is_evacuated = False
        # The target may have become cold while it got no calls.
        egress.cold_check.begin()
    sidecar.calls.announce()


def log_evacuation_end(domain: str, revision: int) -> None:
    """Logs that a failure domain is no longer evacuated."""
    log_event(
        Event.EVACUATION_ENDED,
        'a failure domain is no longer evacuated',
        failure_domain=domain,
        revision=revision,
    )


def configuration_age_ms(sidecar: 'Sidecar') -> int:
    """Returns the age of the configuration that is held, ms."""
    return logged_ms(sidecar.news.configuration.age(sidecar.reactor.seconds()))


def logged_ms(seconds: float) -> int:
    """Returns a time that may be infinite in whole milliseconds."""
    return int(min(seconds, MAX_LOGGED_AGE_S) * MS_PER_S)


def release_age_s(sidecar: 'Sidecar') -> float:
    """Returns the time since the configuration was known to be the newest.

    It is infinite while a later one is held that is not in force yet, seconds.
    """
    if sidecar.application.pending:
        return math.inf
    return sidecar.news.configuration.age(sidecar.reactor.seconds())
