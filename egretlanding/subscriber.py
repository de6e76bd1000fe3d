"""The task that keeps the configuration of one daemon up to date."""

import asyncio
import time
from collections.abc import Callable
from random import Random
from typing import Any

import attrs

from egretlanding.background import Background
from egretlanding.config import DaemonConfig
from egretlanding.events import Event, Severity, log_event
from egretlanding.exchange import ExchangeClient, ExchangeService
from egretlanding.hosts import Host, HostList
from egretlanding.journal import Journal
from egretlanding.modes import MODES, DistributionMode
from egretlanding.peering import Peering
from egretlanding.release import Release
from egretlanding.releasetable import FindFaults
from egretlanding.replica import Replica, ReplicaConfig
from egretlanding.storeclient import StoreClient
from egretlanding.storewatch import StoreWatch
from egretlanding.traffic import Traffic

TICK_INTERVAL_S = 0.2
PAUSE_THRESHOLD_S = 2
LISTEN_RETRY_S = 1


@attrs.define(eq=False)
class Subscriber:
    """Updates a replica from the store and from other daemons.

    Attributes:
        config: The daemon's settings.
        replica: The replica to update.
        store: The client of the store.
        on_change: Called when the release or host list in force may have
            changed.
        random: Source of jitter.
        traffic: Byte counts of the control exchange.
        background: The background tasks that are running.
        ticked_at: Time of the last tick, seconds.
        stopped: Whether `stop` was called.
        mode: The distribution mode: how releases reach the daemon.
        journal: Counts and logs outcomes.
        peering: Exchanges summaries with other daemons.
        service: Answers the requests of other daemons.
        watch: Reads the store.
    """

    config: DaemonConfig
    replica: Replica
    store: StoreClient
    on_change: Callable[[], None]
    random: Random
    traffic: Traffic = attrs.field(factory=Traffic)
    background: Background = attrs.field(factory=Background)
    ticked_at: float = attrs.field(factory=time.monotonic)
    stopped: bool = False
    mode: DistributionMode = attrs.field(init=False)
    journal: Journal = attrs.field(init=False)
    peering: Peering = attrs.field(init=False)
    service: ExchangeService = attrs.field(init=False)
    watch: StoreWatch = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.mode = MODES[self.config.distribution](self.replica)
        self.journal = Journal(self.apply_and_propagate)
        self.peering = Peering(
            replica=self.replica,
            client=ExchangeClient(self.replica.config.host, self.traffic),
            journal=self.journal,
            background=self.background,
            clock=self.checked_time,
            remote_contact_at=self.ticked_at,
        )
        self.service = ExchangeService(self.peering, self.traffic)
        self.watch = StoreWatch(
            replica=self.replica,
            store=self.store,
            clock=self.checked_time,
            random=self.random,
            on_release=self.offer_release,
            on_hosts=self.offer_hosts,
            parts_delay=self.mode.parts_delay(),
        )

    @classmethod
    def from_config(
        cls,
        reactor: Any,
        config: DaemonConfig,
        incarnation: int,
        find_faults: FindFaults,
        on_change: Callable[[], None],
    ) -> 'Subscriber':
        """Builds the task without opening a socket.

        Args:
            reactor: The reactor to read the store with.
            config: The daemon's settings.
            incarnation: Start time of the process, ns since the epoch.
            find_faults: Checks the whole set of objects of a release.
            on_change: Called when the release or host list in force may
                have changed.
        """
        random = Random()
        replica_config = ReplicaConfig(
            host=host_from_config(config),
            incarnation=incarnation,
            seeds=seed_hosts(config),
            store_region=config.store_region,
        )
        return cls(
            config=config,
            replica=Replica.from_config(
                replica_config,
                find_faults,
                random,
                time.monotonic(),
            ),
            store=StoreClient.from_url(
                reactor,
                config.store_url,
                config.address,
            ),
            on_change=on_change,
            random=random,
        )

    async def run(self) -> None:
        """Serves other daemons and does periodic work until it is stopped."""
        await self.listen()
        while not self.stopped:
            self.tick(time.monotonic())
            await asyncio.sleep(TICK_INTERVAL_S)

    async def listen(self) -> None:
        """Opens the exchange port; retries until the port is free."""
        while True:
            try:
                await self.service.start(
                    self.config.address,
                    self.config.exchange_port,
                )
            except OSError as error:
                log_event(
                    Event.EXCHANGE_PORT_TAKEN,
                    'cannot open the exchange port; will try again',
                    Severity.ERROR,
                    error=error,
                )
                await asyncio.sleep(LISTEN_RETRY_S)
            else:
                return

    async def stop(self) -> None:
        """Cancels the background tasks and closes the sockets."""
        self.stopped = True
        self.background.cancel()
        self.peering.client.close()
        await self.service.stop()

    def is_ready(self, now: float) -> bool:
        """Returns whether the daemon may serve calls."""
        return self.mode.is_ready(now)

    def checked_time(self) -> float:
        """Returns the time, seconds, after checking for a pause.

        After a pause of the process the event loop may serve the sockets
        before the next tick, so each handler makes this check first.
        """
        now = time.monotonic()
        pause_s = now - self.ticked_at
        if pause_s > PAUSE_THRESHOLD_S:
            self.ticked_at = now
            self.journal.note_pause(pause_s)
            self.replica.restart(now, pause_s)
            self.on_change()
        return now

    def tick(self, now: float) -> None:
        """Checks for a pause and starts the work that is due."""
        self.checked_time()
        self.ticked_at = now
        self.apply_and_propagate()
        self.journal.note_state(
            self.replica.releases.conflicts,
            self.replica.is_on_duty(now),
        )
        if self.mode.should_watch(now):
            self.background.start('head', self.watch.poll_store)
        retry_due = now >= self.watch.hosts_retry_at
        if retry_due and self.mode.should_read_hosts(now):
            read_body = self.mode.may_read_host_list(
                now - self.peering.remote_contact_at,
            )
            self.background.start(
                'hosts',
                lambda: self.watch.poll_hosts(read_body),
            )

    def apply_and_propagate(self) -> None:
        """Applies the configuration in force and starts due exchanges."""
        self.on_change()
        for host in self.mode.next_exchanges(time.monotonic()):
            self.peering.start_exchange(host)

    def offer_release(self, release: Release, revision: int) -> None:
        """Offers a release from the store to the replica."""
        now = time.monotonic()
        outcome = self.replica.offer_release(release, revision, now)
        self.journal.note_release(outcome, 'store')

    def offer_hosts(self, hosts: HostList) -> None:
        """Offers a host list from the store to the replica."""
        accepted = self.replica.offer_hosts(hosts, time.monotonic())
        self.journal.note_hosts(accepted, hosts.revision)

    def announce_leaving(self) -> None:
        """Notifies other daemons that this one is leaving."""
        self.replica.announce_leaving(time.monotonic())
        self.apply_and_propagate()


def host_from_config(config: DaemonConfig) -> Host:
    """Returns the host that a daemon's settings describe."""
    return Host(
        host_id=config.host_id,
        address=config.address,
        call_port=config.call_port,
        peer_port=config.peer_port,
        exchange_port=config.exchange_port,
        region=config.region,
        failure_domain=config.failure_domain,
        service=config.service,
    )


def seed_hosts(config: DaemonConfig) -> tuple[Host, ...]:
    """Returns the daemons to contact before there is a host list."""
    return tuple(_seed_host(config, seed) for seed in config.seeds)


def _seed_host(config: DaemonConfig, seed: str) -> Host:
    address, _, port = seed.rpartition(':')
    if (address, int(port)) == (config.address, config.exchange_port):
        return host_from_config(config)
    return attrs.evolve(
        host_from_config(config),
        host_id=seed,
        address=address,
        exchange_port=int(port),
    )
