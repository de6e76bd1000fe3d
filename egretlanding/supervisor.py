"""Composes the tasks of one daemon and controls its lifecycle."""

import asyncio
import time
from collections.abc import Callable
from typing import Any

import attrs

from egretlanding.background import Background
from egretlanding.calls import CallService
from egretlanding.config import DaemonConfig
from egretlanding.hosts import Host, HostList, HostState
from egretlanding.lifecycle import (
    Lifecycle,
    LifecycleState,
    Phase,
    build_machine,
)
from egretlanding.messages import NoticeKind
from egretlanding.release import Position
from egretlanding.releasetable import FindFaults
from egretlanding.statedump import (
    describe_counters,
    describe_replica,
    status_report,
)
from egretlanding.status import StatusReport
from egretlanding.subscriber import Subscriber
from egretlanding.views import View

# Time for the leaving notice to reach other daemons before sockets close.
LEAVING_NOTICE_S = 1.5

# What a view was built from: the position of the release, the revision of the
# host list, and the ids of leaving hosts.
ViewKey = tuple[Position, int, frozenset[str]]
NoticeKey = tuple[NoticeKind, str, int, tuple[str, ...]]

# Kinds of notices that the call path uses.
RELAYED_KINDS = (
    NoticeKind.LEAVING,
    NoticeKind.RETURNED,
    NoticeKind.SUSPECT,
    NoticeKind.QUARANTINED,
    NoticeKind.CLEARED,
)


@attrs.define(eq=False)
class Supervisor:
    """Composes the tasks of one daemon.

    Attributes:
        config: The daemon's settings.
        calls: The call path.
        on_end: Called once the daemon has stopped.
        subscriber: The task that keeps the configuration up to date.
        lifecycle_state: The state of the daemon's lifecycle.
        lifecycle: The state machine of the daemon's lifecycle.
        view_key: What the view in force was built from, if there is one.
        relayed: Keys of the current notices, all of which the call path was
            given.
        background: The background tasks that are running.
    """

    config: DaemonConfig
    calls: CallService
    on_end: Callable[[], None]
    subscriber: Subscriber = attrs.field(init=False)
    lifecycle_state: LifecycleState = attrs.field(init=False)
    lifecycle: Lifecycle = attrs.field(init=False)
    view_key: ViewKey | None = None
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
            find_faults: Checks the whole set of objects of a release.
            on_end: Called once the daemon has stopped.
        """
        incarnation = time.time_ns()
        calls = CallService.from_config(reactor, config, incarnation)
        supervisor = cls(config, calls, on_end)
        supervisor.lifecycle_state = LifecycleState(
            supervisor.begin_drain, on_end
        )
        supervisor.lifecycle = build_machine(supervisor.lifecycle_state)
        supervisor.subscriber = Subscriber.from_config(
            reactor,
            config,
            incarnation,
            find_faults,
            supervisor.apply,
        )
        # After a pause, calls may be handled before the subscriber's next tick.
        calls.pause_monitor.on_pause_ended.append(supervisor.check_pause)
        return supervisor

    def status(self) -> StatusReport:
        """Returns the status report: what is in force, and its age."""
        return status_report(
            self.config,
            self.subscriber.replica,
            self.lifecycle_state.phase,
            self.subscriber.checked_time(),
        )

    def dump(self) -> dict[str, Any]:
        """Returns the whole state, of bounded size and without secrets."""
        now = self.subscriber.checked_time()
        subscriber = self.subscriber
        return {
            'settings': attrs.asdict(self.config),
            'phase': self.lifecycle_state.phase.value,
            'replica': describe_replica(subscriber.replica, now),
            'counters': describe_counters(subscriber.journal.counters),
            'applied': [
                attrs.asdict(release) for release in subscriber.journal.applied
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
        self.lifecycle.opened()

    def check_pause(self, _now: float) -> None:
        """Checks for a pause before handling calls that arrived during it."""
        self.subscriber.checked_time()

    def apply(self) -> None:
        """Applies the configuration in force to the call path.

        If the daemon is not ready, calls are refused until it is.
        """
        if self.lifecycle_state.phase in {Phase.DRAINING, Phase.STOPPED}:
            return
        now = time.monotonic()
        if self.subscriber.is_ready(now):
            self.refresh_view()
            self.lifecycle.synced()
            self.calls.confirm_hosts(
                self.subscriber.replica.freshness.hosts_age(now),
            )
            self.relay_notices(now)
        else:
            self.view_key = None
            self.calls.service_states.refuse_calls()
            self.lifecycle.lost_sync()

    def relay_notices(self, now: float) -> None:
        """Relays notices between the call path and other daemons.

        Each notice is relayed to the call path once; one with changed
        evidence counts as a new notice.
        """
        membership = self.subscriber.replica.membership
        for local_notice in self.calls.notices():
            membership.add_notice(local_notice, now)
        current = {
            (
                notice.kind,
                notice.subject,
                notice.incarnation,
                notice.evidence,
            ): notice
            for kind in RELAYED_KINDS
            for notice in membership.notices.of_kind(kind, now)
        }
        self.calls.apply_notices(
            notice for key, notice in current.items() if key not in self.relayed
        )
        self.relayed = frozenset(current)

    def refresh_view(self) -> None:
        """Replaces the view if what it was built from has changed."""
        replica = self.subscriber.replica
        release = replica.releases.release
        hosts = replica.membership.hosts
        # Only notices are read here: the host list already marks the hosts that
        # the platform reports as leaving.
        notices = replica.membership.notices.of_kind(
            NoticeKind.LEAVING,
            time.monotonic(),
        )
        leaving = frozenset(notice.subject for notice in notices)
        key = (replica.releases.position, hosts.revision, leaving)
        if release is not None and key != self.view_key:
            self.view_key = key
            marked = mark_leaving(hosts, leaving)
            self.calls.apply(View.from_release(release, marked))

    def stop(self) -> None:
        """Begins a graceful stop."""
        self.lifecycle.stop_requested()

    def begin_drain(self) -> None:
        """Starts the task that drains calls and stops the daemon."""
        self.background.start('drain', self.drain)

    async def drain(self) -> None:
        """Notifies other daemons, drains calls, then stops the exchange."""
        self.subscriber.announce_leaving()
        drained: Any = self.calls.drain()
        loop = asyncio.get_running_loop()
        await asyncio.gather(
            drained.asFuture(loop),
            asyncio.sleep(LEAVING_NOTICE_S),
        )
        await self.subscriber.stop()
        self.lifecycle.drained()


def mark_leaving(hosts: HostList, leaving: frozenset[str]) -> HostList:
    """Returns a host list in which leaving hosts are marked as such."""
    marked = {
        host_id: mark_host_leaving(host) if host_id in leaving else host
        for host_id, host in hosts.hosts.items()
    }
    return HostList(hosts.revision, marked)


def mark_host_leaving(host: Host) -> Host:
    """Returns a copy of a host in state leaving."""
    return attrs.evolve(host, state=HostState.LEAVING)
