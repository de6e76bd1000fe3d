"""The call path of a daemon: ingress, egress and all that they need."""

import random
from collections.abc import Iterable
from typing import Any

import attrs
from twisted.internet.defer import Deferred, ensureDeferred
from twisted.internet.task import LoopingCall

from egretlanding.callevents import CallEvents
from egretlanding.callparts import (
    build_caller_port,
    build_egress,
    build_peer_context,
    build_service_states,
)
from egretlanding.callreport import dump_calls, explain_call
from egretlanding.config import DaemonConfig
from egretlanding.containment import logs_failure
from egretlanding.dialect import DEFAULT_DIALECT, Dialect
from egretlanding.drains import Drain
from egretlanding.egress import Egress
from egretlanding.httpserver import Handler, HttpExchange, HttpServerFactory
from egretlanding.ingress import Ingress
from egretlanding.keyissuer import KEYS_PATH_PREFIX, KeyIssuer
from egretlanding.messages import Notice, NoticeKind
from egretlanding.pausemonitor import PauseMonitor
from egretlanding.pauses import BEAT_INTERVAL_S
from egretlanding.peerlinks import HEARTBEAT_S, PeerLinks
from egretlanding.peers import PeerFactory
from egretlanding.peerserver import PeerServer
from egretlanding.quarantinenotices import merge_notice, quarantine_notices
from egretlanding.reachability import Reachability
from egretlanding.reads import after_reads
from egretlanding.servicepeers import ServicePeers
from egretlanding.servicestates import ServiceStates
from egretlanding.suspicions import Suspicions
from egretlanding.views import View

# The baseline for measurements: random targets, no hedges, one work class.
BASELINE_BALANCING = 'random'
DRAIN_NOTICE_S = 1.0
CLOSE_TIMEOUT_S = 2.0
# The longest timeout that a call can have, seconds.
GRACE_S = 3_600


def caller_handler(ingress: Ingress, issuer: KeyIssuer) -> Handler:
    """Returns the handler of callers' requests: for keys or for calls."""

    def handle(exchange: HttpExchange) -> None:
        request = exchange.request
        if (
            request.path.startswith(KEYS_PATH_PREFIX)
            and request.method == 'POST'
        ):
            issuer.handle(exchange)
        else:
            ingress.handle(exchange)

    return handle


@attrs.define(eq=False)
class CallService:
    """Sends callers' calls to targets and runs calls at the local target.

    Attributes:
        reactor: The Twisted reactor.
        config: The daemon's settings.
        egress: Runs calls at the local target.
        links: Connections to other daemons.
        service_states: State of the services that are called.
        ingress: Sends calls to targets.
        reachability: Keeps track of which hosts accept calls.
        service_peers: Compares host lists with the hosts of this daemon's
            service.
        suspicions: Sends evidence on crashing requests to other daemons.
        pause_monitor: Detects pauses of the process.
        http: The connections of callers.
        draining: Whether the daemon is about to stop.
        ports: The listening ports.
        loops: The periodic tasks.
        events: Logs shunned targets and quarantined requests.
        drain_notice_s: Time for which the ports and idle connections stay
            open after a drain began, so that other daemons and callers learn
            of it, seconds.
        close_timeout_s: Longest time to wait for callers to read the last
            answers, seconds.
        grace_s: Time after the start of a drain at which the process may be
            killed, seconds.
    """

    reactor: Any
    config: DaemonConfig
    egress: Egress
    links: PeerLinks
    service_states: ServiceStates
    ingress: Ingress
    reachability: Reachability
    service_peers: ServicePeers
    suspicions: Suspicions
    pause_monitor: PauseMonitor
    http: HttpServerFactory
    draining: bool = False
    ports: list[Any] = attrs.field(factory=list)
    loops: list[LoopingCall] = attrs.field(factory=list)
    events: CallEvents = attrs.field(factory=CallEvents)
    drain_notice_s: float = DRAIN_NOTICE_S
    close_timeout_s: float = CLOSE_TIMEOUT_S
    grace_s: float = GRACE_S

    @classmethod
    def from_config(
        cls,
        reactor: Any,
        config: DaemonConfig,
        incarnation: int,
        dialect: Dialect = DEFAULT_DIALECT,
    ) -> 'CallService':
        """Builds the call path without opening a socket.

        Args:
            reactor: The reactor.
            config: The daemon's settings.
            incarnation: Start time of the daemon, ns since the epoch.
            dialect: The names of the headers.
        """
        pause_monitor = PauseMonitor.from_reactor(reactor)
        egress = build_egress(reactor, config, incarnation, dialect)
        server = PeerServer(egress, pause_monitor.read_delay_s)
        context = build_peer_context(config, incarnation, server)
        links = PeerLinks(reactor, context)
        service_states = build_service_states(config)
        ingress = Ingress(
            reactor,
            config.host_id,
            links,
            egress,
            service_states,
            pause_monitor.read_delay_s,
            hedging=config.balancing != BASELINE_BALANCING,
            separate_classes=config.balancing != BASELINE_BALANCING,
            dialect=dialect,
            service=config.service,
        )
        issuer = KeyIssuer(
            reactor, links, service_states, random.SystemRandom()
        )
        service = cls(
            reactor,
            config,
            egress,
            links,
            service_states,
            ingress,
            Reachability(reactor, context, service_states),
            ServicePeers(config.host_id, config.service, links, egress),
            Suspicions(reactor, context, egress.quarantine),
            pause_monitor,
            build_caller_port(
                reactor, caller_handler(ingress, issuer), egress, context
            ),
        )
        service.connect_callbacks()
        return service

    @property
    def in_flight(self) -> int:
        """The number of calls that the ingress or the egress still serves."""
        return len(self.ingress.active_calls) + len(self.egress.table.jobs)

    def notices(self) -> tuple[Notice, ...]:
        """Returns the notices on crashing requests for other daemons."""
        now = self.reactor.seconds()
        return quarantine_notices(self.egress.quarantine, now)

    def explain(self, method: str, path: str) -> dict[str, Any]:
        """Returns which targets a call could be sent to, and why."""
        now = self.reactor.seconds()
        return explain_call(self.service_states, method, path, now)

    def dump(self) -> dict[str, Any]:
        """Returns the state of the call path."""
        return dump_calls(self)

    def connect_callbacks(self) -> None:
        """Connects the callbacks of the components to one another."""
        self.egress.health.on_change = self.announce
        self.links.context.on_readiness = self.reachability.handle_readiness
        self.reachability.on_reachable = self.links.end_backoff
        self.links.on_unreachable = self.reachability.handle_unreachable
        self.links.context.on_hosts_state = self.service_peers.handle_report
        self.links.context.on_suspicion = self.suspicions.handle_suspicion
        self.links.context.on_hello = self.suspicions.hand_over
        self.egress.target.on_crash = self.suspicions.broadcast
        self.egress.target.on_voided = self.suspicions.report_news
        self.egress.target.on_trial = self.suspicions.announce_trial
        self.pause_monitor.on_pause_ended.append(self.reset_after_pause)

    def listen(self) -> None:
        """Opens the ports for callers and other daemons."""
        for port, factory in (
            (self.config.call_port, self.http),
            (self.config.peer_port, PeerFactory(self.links.context)),
        ):
            listening = self.reactor.listenTCP(
                port,
                factory,
                interface=self.config.address,
            )
            self.ports.append(listening)
        self.egress.health.start()
        self.loops = [
            LoopingCall(logs_failure(self.pause_monitor.beat)),
            LoopingCall(logs_failure(self.tick)),
        ]
        for loop, interval_s in zip(
            self.loops, (BEAT_INTERVAL_S, HEARTBEAT_S), strict=True
        ):
            loop.clock = self.reactor
            loop.start(interval_s, now=False)

    def apply(self, view: View) -> None:
        """Puts a configuration in force for new calls.

        Calls in flight continue with the one that they were started with.
        """
        self.service_states.apply(view, self.reactor.seconds())
        self.egress.residency.routes = view.routes.routes
        local_service = view.routes.services.get(self.config.service)
        if local_service:
            self.egress.apply(local_service)
        self.announce()

    def confirm_hosts(self, age_s: float) -> None:
        """Records that the host list was confirmed as the store's newest.

        Args:
            age_s: Time since the confirmation, seconds.
        """
        if self.service_states.view:
            self.service_peers.confirm(self.service_states.view, age_s)

    def apply_notices(self, notices: Iterable[Notice]) -> None:
        """Applies notices of other daemons on hosts and requests."""
        now = self.reactor.seconds()
        for notice in notices:
            if notice.kind is NoticeKind.LEAVING:
                self.reachability.handle_leaving(notice.subject, notice.ttl)
            elif notice.kind is NoticeKind.RETURNED:
                self.service_states.mark_ready(notice.subject)
            else:
                merge_notice(self.egress.quarantine, notice, now)

    def announce(self) -> None:
        """Announces to other daemons whether this one accepts calls."""
        self.egress.cold_check.update_epoch(self.egress.health.epoch)
        takes_calls = (
            self.egress.health.takes_calls and not self.egress.is_evacuated
        )
        ready = takes_calls and not self.draining
        self.reachability.announce(ready)

    def reset_after_pause(self, now: float) -> None:
        """Drops expired work and stale evidence after a pause."""
        self.egress.advance()
        self.service_states.reset_after_pause(now)
        self.links.reset_heartbeats()

    def tick(self) -> None:
        """Runs the periodic tasks, once per heartbeat."""
        after_reads(self.reactor, logs_failure(self.check_connections))
        self.service_peers.send_reports()
        self.egress.tick()
        self.reachability.refresh()
        self.events.update(self.service_states, self.egress.quarantine)

    def check_connections(self) -> None:
        """Closes connections that are unresponsive or idle for too long."""
        self.links.check_heartbeats()
        self.http.check_timeouts()

    def drain(self) -> Deferred[None]:
        """Stops the call path without interrupting any call.

        Returns:
            Fires when no call is in flight and the answers are written, when
            callers haven't read them within the timeout, or just before the
            grace time ends.
        """
        self.draining = True
        self.http.is_draining = True
        self.announce()
        self.egress.admission.drain()
        drain = Drain.of_service(self)
        self.ingress.stops_at = drain.ends_at
        return ensureDeferred(drain.run())

    def close(self) -> None:
        """Stops the periodic tasks and closes all connections."""
        for loop in self.loops:
            if loop.running:
                loop.stop()
        self.http.close()
        self.egress.health.stop()
        self.egress.target.pool.close()
        self.links.close()
