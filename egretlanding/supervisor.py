"""Joins the tasks of one daemon and leads it through its life."""

import asyncio
import time
from collections.abc import Callable
from typing import Any

import attrs

from egretlanding.background import Background
from egretlanding.calls import CallService
from egretlanding.config import DaemonConfig
from egretlanding.hosts import Host, HostList, HostState
from egretlanding.ledger import FindFaults
from egretlanding.life import Life, LifeCore, Phase, build_machine
from egretlanding.messages import NoticeKind
from egretlanding.release import Position
from egretlanding.statedump import (
    describe_counters,
    describe_replica,
    status_report,
)
from egretlanding.status import StatusReport
from egretlanding.subscriber import Subscriber
from egretlanding.views import View

# Time in which other daemons hear of a leaving one before its sockets close.
LEAVE_S = 1.5

# What a view was built from: the release, the host list, who is leaving.
ViewKey = tuple[Position, int, frozenset[str]]
NoticeKey = tuple[NoticeKind, str, int, tuple[str, ...]]

# Facts that matter to the call path.
RELAYED = (
    NoticeKind.LEAVING,
    NoticeKind.RETURNED,
    NoticeKind.SUSPECT,
    NoticeKind.QUARANTINED,
    NoticeKind.CLEARED,
)


@attrs.define(eq=False)
class Supervisor:
    """Composes the tasks of one process.

    Attributes:
        config: The daemon's settings.
        calls: The call path.
        on_end: Called once the daemon has stopped.
        subscriber: The task that keeps the configuration current.
        core: Where the daemon is in its life.
        life: The machine that leads it there.
        applied: What the view in force was built from, if there is one.
        relayed: The facts that the call path was told.
        background: The tasks that run.
    """

    config: DaemonConfig
    calls: CallService
    on_end: Callable[[], None]
    subscriber: Subscriber = attrs.field(init=False)
    core: LifeCore = attrs.field(init=False)
    life: Life = attrs.field(init=False)
    applied: ViewKey | None = None
    relayed: frozenset[NoticeKey] = frozenset()
    background: Background = attrs.field(factory=Background)

    @classmethod
    def from_config(
        cls,
        reactor: Any,
        config: DaemonConfig,
        find_faults: FindFaults,
        on_end: Callable[[], None],
    ) -> 'Supervisor':
        """Builds a daemon without opening a socket.

        Args:
            reactor: The reactor that runs everything.
            config: The daemon's settings.
            find_faults: The check of the whole set.
            on_end: Called once the daemon has stopped.
        """
        incarnation = time.time_ns()
        calls = CallService.from_config(reactor, config, incarnation)
        supervisor = cls(config, calls, on_end)
        supervisor.core = LifeCore(supervisor.begin_drain, on_end)
        supervisor.life = build_machine(supervisor.core)
        supervisor.subscriber = Subscriber.from_config(
            reactor,
            config,
            incarnation,
            find_faults,
            supervisor.apply,
        )
        # After a pause, calls may arrive before anything else runs.
        calls.lateness.on_wake.append(supervisor.check_pause)
        return supervisor

    def status(self) -> StatusReport:
        """Returns what is in force."""
        return status_report(
            self.config,
            self.subscriber.replica,
            self.core.phase,
            self.subscriber.checked_time(),
        )

    def dump(self) -> dict[str, Any]:
        """Returns the whole state; it holds no secrets and is bounded."""
        now = self.subscriber.checked_time()
        subscriber = self.subscriber
        return {
            'settings': attrs.asdict(self.config),
            'phase': self.core.phase.value,
            'replica': describe_replica(subscriber.replica, now),
            'counters': describe_counters(subscriber.journal.counters),
            'applied': [
                attrs.asdict(entry) for entry in subscriber.journal.applied
            ],
            'store_reads': subscriber.store.reads,
            'traffic': {
                link.value: attrs.asdict(count)
                for link, count in subscriber.traffic.counts.items()
            },
            'channels': len(subscriber.peering.client.channels),
            'calls': self.calls.dump(),
        }

    def start(self) -> None:
        """Starts the tasks."""
        self.background.start('subscriber', self.subscriber.run)
        self.life.opened()

    def check_pause(self, _now: float) -> None:
        """Notices a pause before the calls that waited through it."""
        self.subscriber.checked_time()

    def apply(self) -> None:
        """Serves calls with what is in force, or refuses them until then."""
        if self.core.phase in {Phase.DRAINING, Phase.STOPPED}:
            return
        now = time.monotonic()
        if self.subscriber.is_ready(now):
            self.refresh_view()
            self.life.synced()
            self.calls.confirm_hosts(
                self.subscriber.replica.freshness.hosts_age(now),
            )
            self.relay_notices(now)
        else:
            self.applied = None
            self.calls.routes.suspend()
            self.life.lost_sync()

    def relay_notices(self, now: float) -> None:
        """Carries short-lived facts between the call path and the exchange.

        Each fact is handed on once; a change of its evidence makes it a new
        one.
        """
        membership = self.subscriber.replica.membership
        for own in self.calls.notices():
            membership.learn(own, now)
        held = {
            (
                notice.kind,
                notice.subject,
                notice.incarnation,
                notice.evidence,
            ): notice
            for kind in RELAYED
            for notice in membership.notices.of_kind(kind, now)
        }
        self.calls.take_notices(
            notice for key, notice in held.items() if key not in self.relayed
        )
        self.relayed = frozenset(held)

    def refresh_view(self) -> None:
        """Swaps the view if what it was built from has changed."""
        replica = self.subscriber.replica
        release = replica.ledger.release
        hosts = replica.membership.hosts
        # The list itself marks those that the platform knows to be leaving.
        notices = replica.membership.notices.of_kind(
            NoticeKind.LEAVING,
            time.monotonic(),
        )
        leaving = frozenset(notice.subject for notice in notices)
        key = (replica.ledger.position, hosts.revision, leaving)
        if release is not None and key != self.applied:
            self.applied = key
            marked = mark_leaving(hosts, leaving)
            self.calls.apply(View.from_release(release, marked))

    def stop(self) -> None:
        """Starts a graceful stop."""
        self.life.stop_requested()

    def begin_drain(self) -> None:
        """Tells other daemons and waits for the calls in flight."""
        self.background.start('drain', self.drain)

    async def drain(self) -> None:
        """Ends the call path, then the exchange."""
        self.subscriber.leave()
        drained: Any = self.calls.drain()
        loop = asyncio.get_running_loop()
        await asyncio.gather(
            drained.asFuture(loop),
            asyncio.sleep(LEAVE_S),
        )
        await self.subscriber.stop()
        self.life.drained()


def mark_leaving(hosts: HostList, leaving: frozenset[str]) -> HostList:
    """Returns a host list in which leaving hosts are marked as such."""
    marked = {
        host_id: leaving_host(host) if host_id in leaving else host
        for host_id, host in hosts.hosts.items()
    }
    return HostList(hosts.revision, marked)


def leaving_host(host: Host) -> Host:
    """Returns a host that is marked as leaving."""
    return attrs.evolve(host, state=HostState.LEAVING)
