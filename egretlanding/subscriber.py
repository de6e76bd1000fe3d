"""The task that keeps one daemon's configuration current."""

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
from egretlanding.ledger import FindFaults
from egretlanding.modes import MODES, Mode
from egretlanding.peering import Peering
from egretlanding.release import Release
from egretlanding.replica import Replica, ReplicaConfig
from egretlanding.storeclient import StoreClient
from egretlanding.storewatch import StoreWatch
from egretlanding.traffic import Traffic

TICK_S = 0.2
PAUSE_S = 2
LISTEN_RETRY_S = 1


@attrs.define(eq=False)
class Subscriber:
    """Drives a replica with the store and with other daemons.

    Attributes:
        config: The daemon's settings.
        replica: The policy.
        store: The client of the store.
        on_change: Called when what is in force may have changed.
        random: Source of jitter.
        traffic: Bytes of the exchange.
        background: The work under way.
        ticked_at: Time of the last tick, seconds.
        stopped: Whether the task was told to stop.
        mode: How releases reach the daemon.
        journal: Hears of outcomes.
        peering: Compares with other daemons.
        service: Answers other daemons.
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
    mode: Mode = attrs.field(init=False)
    journal: Journal = attrs.field(init=False)
    peering: Peering = attrs.field(init=False)
    service: ExchangeService = attrs.field(init=False)
    watch: StoreWatch = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.mode = MODES[self.config.distribution](self.replica)
        self.journal = Journal(self.pass_on)
        self.peering = Peering(
            replica=self.replica,
            client=ExchangeClient(self.replica.config.host, self.traffic),
            journal=self.journal,
            background=self.background,
            clock=self.checked_time,
            link_heard_at=self.ticked_at,
        )
        self.service = ExchangeService(self.peering, self.traffic)
        self.watch = StoreWatch(
            replica=self.replica,
            store=self.store,
            clock=self.checked_time,
            random=self.random,
            take_release=self.take_release,
            take_hosts=self.take_hosts,
            fetch_delay=self.mode.fetch_delay(),
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
            find_faults: The check of the whole set.
            on_change: Called when what is in force may have changed.
        """
        random = Random()
        identity = ReplicaConfig(
            host=own_host(config),
            incarnation=incarnation,
            seeds=seed_hosts(config),
            store_region=config.store_region,
        )
        return cls(
            config=config,
            replica=Replica.from_config(
                identity,
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
        """Serves other daemons and ticks until it is stopped."""
        await self.listen()
        while not self.stopped:
            self.tick(time.monotonic())
            await asyncio.sleep(TICK_S)

    async def listen(self) -> None:
        """Opens the port of the exchange, as soon as it is free."""
        while True:
            try:
                await self.service.start(
                    self.config.address,
                    self.config.exchange_port,
                )
            except OSError as error:
                log_event(
                    Event.EXCHANGE_PORT_TAKEN,
                    'the port of the exchange can not be opened',
                    Severity.ERROR,
                    error=error,
                )
                await asyncio.sleep(LISTEN_RETRY_S)
            else:
                return

    async def stop(self) -> None:
        """Ends all work and closes the sockets."""
        self.stopped = True
        self.background.cancel()
        self.peering.client.close()
        await self.service.stop()

    def is_ready(self, now: float) -> bool:
        """Returns whether the daemon may serve calls."""
        return self.mode.is_ready(now)

    def checked_time(self) -> float:
        """Returns the time, seconds, after a check for a pause.

        After a pause the sockets may be served before the next tick, so
        whatever arrives is handled only after this check.
        """
        now = time.monotonic()
        gap = now - self.ticked_at
        if gap > PAUSE_S:
            self.ticked_at = now
            self.journal.note_pause(gap)
            self.replica.woke(now, gap)
            self.on_change()
        return now

    def tick(self, now: float) -> None:
        """Notices a pause and starts the work that is due."""
        self.checked_time()
        self.ticked_at = now
        self.pass_on()
        self.journal.note_state(
            self.replica.ledger.conflicts,
            self.replica.is_on_duty(now),
        )
        if self.mode.should_watch(now):
            self.background.start('head', self.watch.watch_store)
        retry_due = now >= self.watch.hosts_retry_at
        if retry_due and self.mode.should_read_hosts(now):
            whole = self.mode.wants_list(now - self.peering.link_heard_at)
            self.background.start(
                'hosts',
                lambda: self.watch.watch_hosts(whole),
            )

    def pass_on(self) -> None:
        """Applies what is in force and starts the exchanges that are due."""
        self.on_change()
        for host in self.mode.next_exchanges(time.monotonic()):
            self.peering.start_exchange(host)

    def take_release(self, release: Release, revision: int) -> None:
        """Offers a release from the store."""
        now = time.monotonic()
        outcome = self.replica.offer_release(release, revision, now)
        self.journal.note_release(outcome, 'store')

    def take_hosts(self, hosts: HostList) -> None:
        """Offers a host list from the store."""
        taken = self.replica.offer_hosts(hosts, time.monotonic())
        self.journal.note_hosts(taken, hosts.revision)

    def leave(self) -> None:
        """Tells other daemons that this one is leaving."""
        self.replica.leave(time.monotonic())
        self.pass_on()


def own_host(config: DaemonConfig) -> Host:
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
    """Returns the daemons to ask before there is a host list."""
    return tuple(_seed_host(config, seed) for seed in config.seeds)


def _seed_host(config: DaemonConfig, seed: str) -> Host:
    address, _, port = seed.rpartition(':')
    if (address, int(port)) == (config.address, config.exchange_port):
        return own_host(config)
    return attrs.evolve(
        own_host(config),
        host_id=seed,
        address=address,
        exchange_port=int(port),
    )
