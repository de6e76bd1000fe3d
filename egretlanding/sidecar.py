"""Composes a daemon that gets its configuration from a store of records."""

import sys
import time
from functools import partial
from http import HTTPStatus
from typing import Any

import attrs
from twisted.internet.defer import Deferred
from twisted.internet.task import LoopingCall

from egretlanding.calls import CallService
from egretlanding.check import find_inconsistencies
from egretlanding.containment import contained, logs_failure
from egretlanding.durations import milliseconds
from egretlanding.egress import apply_listing
from egretlanding.events import Event, Severity, log_event
from egretlanding.exceptions import PlatformError, SettingsError
from egretlanding.hosts import Host, HostList
from egretlanding.httpmessages import HttpResponse
from egretlanding.httpserver import HttpExchange
from egretlanding.lifecycle import (
    Lifecycle,
    LifecycleState,
    Phase,
    build_machine,
)
from egretlanding.linelog import LineLog
from egretlanding.news import News
from egretlanding.pacedwork import PacedWork
from egretlanding.platformadapter import PlatformAdapter
from egretlanding.publication import Publication
from egretlanding.records import Record
from egretlanding.retries import RetryBudget, WindowBudget
from egretlanding.roster import Roster
from egretlanding.sidecarconfig import SidecarConfig, port_of
from egretlanding.sidecarrecords import (
    apply_record,
    apply_view,
    configuration_age_ms,
    detect_silence,
    expire_evacuations,
    learn_capacity,
    release_age_s,
    remove_target,
    share_fairly,
    sync_evacuation,
    watch_shares,
)
from egretlanding.views import View

MS_PER_S = 1_000
TICK_S = 0.25
# Part of a caller's timeout kept for a refusal to reach the caller, ms. It
# includes the time that the egress daemon has to reply that a call did not run.
REFUSAL_MARGIN_MS = 65
# Time that callers need to connect, send a request and read an answer, ms.
CALLER_LATENCY_MS = 30
# Least number of daemons assumed to share the slack of the retry budget, since
# not all hosts may be known.
MIN_DAEMON_COUNT = 40
# Time between the start of a drain and the closing of the ports and of idle
# connections, seconds. Callers may send requests for 3 s after the start; the
# rest is the time that the last of them takes to arrive.
DRAIN_NOTICE_S = 3.1


@attrs.define(eq=False)
class Sidecar:
    """The daemon: its tasks and their state.

    Attributes:
        reactor: The reactor that runs everything.
        settings: Path of the settings file.
        config: The settings.
        adapter: The platform's store, formats and header names.
        calls: The call path.
        roster: The targets that are assumed to run.
        news: Keeps the records of the store current.
        lifecycle_state: Holds the current phase and the machine's callbacks.
        lifecycle: The state machine of the process, from start to stop.
        application: Puts configurations in force that follow another one.
        view: The configuration in force, None until there is one.
        publication: The configuration in force as it was published.
        applied_roster_revision: Revision of the roster that calls are routed
            by, -1 if the roster must be applied again.
        hosts: The hosts of the roster by which daemons are ranked; its
            revision is -1 before the first.
        local_instance: The process of the target beside this daemon as the
            store lists it, empty if it doesn't.
        ticker: Runs the periodic tasks.
        log: Writes events to standard output.
    """

    reactor: Any
    settings: str
    config: SidecarConfig
    adapter: PlatformAdapter
    calls: CallService
    roster: Roster
    news: News = attrs.field(init=False)
    application: PacedWork = attrs.field(init=False)
    lifecycle_state: LifecycleState = attrs.field(init=False)
    lifecycle: Lifecycle = attrs.field(init=False)
    view: View | None = None
    publication: Publication | None = None
    applied_roster_revision: int = -1
    hosts: HostList = attrs.field(factory=lambda: HostList(-1))
    local_instance: str = ''
    ticker: Any = None
    log: LineLog = attrs.field(init=False)

    @classmethod
    def from_config(
        cls,
        reactor: Any,
        settings: str,
        config: SidecarConfig,
        adapter: PlatformAdapter,
    ) -> 'Sidecar':
        """Builds a daemon without opening a socket."""
        calls: Any = CallService.from_config(
            reactor,
            config,  # type: ignore[arg-type]
            time.time_ns(),
            adapter.dialect,
        )
        calls.drain_notice_s = DRAIN_NOTICE_S
        calls.http.caller_limits.limit_memory(config.memory_bytes)
        adapter.store_answers.join(calls.http.caller_limits.budget)
        calls.ingress.refusal_margin_ms = REFUSAL_MARGIN_MS
        calls.ingress.caller_latency_ms = CALLER_LATENCY_MS
        calls.ingress.started_at = reactor.seconds()
        calls.service_states.new_budget = partial(new_retry_budget, config)
        slots = calls.egress.admission.slots
        slots.max_bytes = config.target_inflight_bytes
        if config.learned_limits == 'on':
            learn_capacity(calls)
        if config.fair_shares == 'on':
            share_fairly(calls)
        if config.silent_targets == 'on':
            detect_silence(calls)
        sidecar = cls(
            reactor,
            settings,
            config,
            adapter,
            calls,
            Roster(config.peer_port),
        )
        sidecar.log = LineLog(
            sys.stdout.fileno(),
            reactor.seconds,
            time.time,
            config.host_id,
        )
        sidecar.news = News.from_store(
            reactor,
            config.host_id,
            calls.links,
            adapter.store,
            tuple(map(seed_host, config.seeds)),
            config.link_kbps,
        )
        sidecar.news.on_change(sidecar.apply_records)
        sidecar.application = PacedWork(reactor, 'application of a record')
        calls.links.context.on_records = sidecar.news.handle_frame
        calls.ingress.release_age_s = partial(release_age_s, sidecar)
        sidecar.lifecycle_state = LifecycleState(
            sidecar.begin_drain, reactor.stop
        )
        sidecar.lifecycle = build_machine(sidecar.lifecycle_state)
        return sidecar

    @property
    def is_ready(self) -> bool:
        """Whether callers should send calls to this daemon."""
        return self.lifecycle_state.phase is Phase.READY

    @property
    def release_number(self) -> int:
        """Number of the configuration in force, zero if there is none."""
        return self.publication.number if self.publication else 0

    def dump(self) -> dict[str, Any]:
        """Returns the whole state, bounded in size and without secrets."""
        return {
            'settings': attrs.asdict(self.config),
            'phase': self.lifecycle_state.phase.value,
            'release': self.release_number,
            'evacuations': {
                domain: round(self.reactor.seconds() - held.since, 1)
                for domain, held in self.roster.evacuations.by_domain.items()
            },
            'records': self.news.dump(self.reactor.seconds()),
            'targets': [
                attrs.asdict(target) for target in self.roster.targets.values()
            ],
            'calls': self.calls.dump(),
        }

    def start(self) -> None:
        """Opens the ports and starts the tasks."""
        self.calls.listen()
        self.reactor.listenTCP(
            port_of(self.config.readiness),
            self.calls.http.build_side_port(self.answer_readiness),
            interface=self.config.address,
        )
        self.lifecycle.opened()
        self.news.start()
        self.ticker = LoopingCall(logs_failure(self.tick))
        self.ticker.clock = self.reactor
        self.ticker.start(TICK_S, now=False)

    def answer_readiness(self, exchange: HttpExchange) -> None:
        """Answers a readiness check."""
        if exchange.request.path != self.adapter.readiness_path:
            status = HTTPStatus.NOT_FOUND
        elif self.is_ready:
            status = HTTPStatus.OK
        else:
            status = HTTPStatus.SERVICE_UNAVAILABLE
        exchange.respond(HttpResponse(status, [], b''))

    def tick(self) -> None:
        """Runs the periodic tasks, every TICK_S seconds."""
        self.log.summarize()
        self.news.tick()
        expire_evacuations(self)
        watch_shares(self)
        expired = self.roster.expire(self.reactor.seconds())
        for instance in expired:
            log_event(
                Event.TARGET_GONE,
                'no new entry of the target after an outage of the store',
                instance=instance,
            )
        self.refresh()

    def apply_records(self, records: list[Record]) -> None:
        """Applies records that changed in the store."""
        for record in records:
            with contained(f'application of the record {record.key}'):
                apply_record(self, record)
        self.refresh()

    def apply_publication(self, record: Record, era: int) -> None:
        """Puts a configuration in force if it is later and consistent.

        The store has accepted it, so it need not keep to the product's rules
        on names, forms and bounds.

        Args:
            record: The record that holds it.
            era: The era of the store in which it was read.

        Raises:
            PlatformError: It can't be decoded or contradicts itself.
        """
        if record.deleted:
            return
        candidate = attrs.evolve(
            self.adapter.decoder.decode_publication(record), era=era
        )
        if self.publication and not candidate.follows(self.publication):
            log_event(
                Event.RELEASE_REFUSED,
                'the configuration is not later than the one in force',
                Severity.WARNING,
                number=candidate.number,
                in_force=self.publication.number,
            )
            return
        checked_objects = self.publication.objects if self.publication else ()
        faults = find_inconsistencies(candidate.objects, checked_objects)
        if faults:
            raise PlatformError(
                f'configuration {candidate.number} has a fault ({faults[0]})',
                'publish a configuration without the fault',
            )
        self.view = View.from_release(candidate.to_release(), HostList())
        self.publication = candidate
        if self.roster.services != candidate.services:
            self.roster.services = candidate.services
            self.hosts = HostList(-1)
        self.applied_roster_revision = -1
        self.calls.http.limits = candidate.limits
        log_event(
            Event.RELEASE_APPLIED,
            'configuration in force',
            number=candidate.number,
            era=candidate.era,
            revision=candidate.revision,
            age_ms=configuration_age_ms(self),
            superseded=self.application.superseded,
        )

    def apply_target_entry(self, record: Record) -> None:
        """Updates the roster from the entry of a target.

        Raises:
            PlatformError: The entry can't be decoded.
        """
        instance = self.adapter.decoder.target_of_entry(record)
        if record.deleted:
            remove_target(self, instance, record.revision)
            return
        try:
            entry = self.adapter.decoder.decode_entry(record)
        except PlatformError:
            # An entry that can't be decoded names no usable target.
            self.roster.remove(
                instance,
                self.reactor.seconds(),
                self.news.entries.table.era,
            )
            raise
        if self.roster.is_outdated(entry, self.news.entries.table.era):
            log_event(
                Event.ENTRY_OUTDATED,
                'the restored store lists an entry that was replaced before',
                instance=instance,
                sequence=entry.sequence,
                era=self.news.entries.table.era,
            )
            return
        self.roster.update(entry, record.revision, self.news.entries.table.era)
        local = (self.config.target_address, self.config.target_port)
        if (entry.address, entry.port) == local:
            self.calls.egress.cold_check.hear_entry(entry.cold_ms / MS_PER_S)
        log_event(
            Event.TARGET_LISTED,
            'the entry of a target was written',
            instance=instance,
            address=entry.address,
            service=entry.service,
            draining=entry.draining,
            revision=record.revision,
        )

    def refresh(self) -> None:
        """Routes calls by the current configuration and roster."""
        if self.lifecycle_state.phase in {Phase.DRAINING, Phase.STOPPED}:
            return
        if not self.news.entries.table.complete_revision:
            return
        if self.hosts.revision != self.roster.revision:
            self.hosts = self.roster.host_list()
            self.news.update_hosts(
                self.hosts.hosts.values(), self.config.region
            )
        if self.view is None:
            return
        if self.applied_roster_revision != self.roster.revision:
            self.applied_roster_revision = self.roster.revision
            self.view = self.view.with_hosts(self.hosts)
            apply_view(self, self.view)
            self.calls.service_states.update_daemon_count(
                max(len(self.hosts.hosts), MIN_DAEMON_COUNT)
            )
            self.sync_local_target()
            sync_evacuation(self)
        was_ready = self.is_ready
        self.lifecycle.synced()
        if self.is_ready and not was_ready:
            # Other daemons learn without delay that this one takes calls.
            self.news.tick()

    def sync_local_target(self) -> None:
        """Applies the store's entry of the target beside this daemon."""
        config = self.config
        entry = self.roster.entry_at(config.target_address, config.target_port)
        egress = self.calls.egress
        if entry is None:
            retire_local_target(self)
            return
        self.local_instance = entry.instance
        egress.admission.slots.limit.fix(entry.slots)
        apply_listing(
            egress, entry.instance, entry.born_ms, draining=entry.draining
        )

    def reload(self) -> None:
        """Reads the settings again and applies those that can change."""
        try:
            config = self.config.from_file(self.settings)
        except SettingsError as error:
            log_event(Event.SETTINGS_REFUSED, str(error), Severity.ERROR)
            return
        self.news.update_seeds(tuple(map(seed_host, config.seeds)))
        changed = sorted(
            field.name
            for field in attrs.fields(SidecarConfig)
            if getattr(config, field.name) != getattr(self.config, field.name)
        )
        self.config = config
        log_event(
            Event.SETTINGS_RELOADED,
            'the settings file was read again',
            changed=changed,
        )

    def stop(self) -> None:
        """Requests a graceful stop."""
        self.lifecycle.stop_requested()

    def begin_drain(self) -> None:
        """Drains the call path; calls in flight end normally."""
        # Callers may use all of the grace time to read their answers.
        self.calls.grace_s = self.config.grace_s
        self.calls.close_timeout_s = self.config.grace_s
        drained: Deferred[None] = self.calls.drain()
        drained.addCallback(lambda _nothing: self.finish_stop())

    def finish_stop(self) -> None:
        """Ends the process; called once nothing is in flight."""
        self.lifecycle.drained()
        self.log.flush()


def retire_local_target(sidecar: Sidecar) -> None:
    """Gives the target no new calls once its entry is gone.

    Other daemons may not know yet, and only this one passes calls on. A target
    that was never listed may still be on its way into the store.
    """
    if not sidecar.local_instance:
        return
    log_event(
        Event.TARGET_LEAVING,
        'the entry of the target beside this daemon is gone',
        instance=sidecar.local_instance,
        heard_from='store',
    )
    sidecar.local_instance = ''
    sidecar.calls.egress.statements.record_removal()
    health = sidecar.calls.egress.health
    health.update(up=health.up, draining=True)


def new_retry_budget(config: SidecarConfig, now: float) -> WindowBudget:
    """Returns the retry budget of one service.

    Args:
        config: The settings.
        now: Monotonic time, seconds.
    """
    fresh = RetryBudget.with_initial_tokens(now)
    window_s = milliseconds(config.retry_window) / MS_PER_S
    budget = WindowBudget(fresh.tokens, window_s, config.retry_slack)
    budget.update_daemon_count(MIN_DAEMON_COUNT)
    return budget


def seed_host(text: str) -> Host:
    """Returns a host with only the address and port of its daemon."""
    address, _, port = text.rpartition(':')
    return Host(
        host_id=address,
        address=address,
        call_port=0,
        peer_port=int(port),
        exchange_port=0,
        region='',
        failure_domain='',
        service='',
    )
