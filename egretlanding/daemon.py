"""The process beside each target host."""

import signal
import sys
import time
from typing import Any

import attrs
import defopt
import msgspec
from absl import logging
from klein import Klein
from twisted.internet import reactor as default_reactor
from twisted.internet.defer import Deferred, ensureDeferred
from twisted.internet.endpoints import TCP4ServerEndpoint
from twisted.internet.task import LoopingCall, deferLater
from twisted.web.server import Site

from egretlanding.calls import CallService
from egretlanding.config import DaemonConfig
from egretlanding.events import Event, Severity, log_event
from egretlanding.exceptions import EgretlandingError, SettingsError
from egretlanding.hosts import HostList
from egretlanding.release import (
    HEAD_KEY,
    HOSTS_KEY,
    PART_PREFIX,
    Head,
    Release,
)
from egretlanding.storeclient import StoreClient, StoreValue
from egretlanding.views import View

WATCH_MS = 20_000
RETRY_S = 0.5


@attrs.define(eq=False)
class Daemon:
    """Composes the tasks of one process.

    Attributes:
        reactor: The reactor that runs everything.
        config: The settings.
        incarnation: Start time of the process, ns since the epoch.
        store: The client of the platform's store.
        calls: The call path.
        release: The release in force.
        revision: The store's revision of its head.
        hosts: The host list in force.
    """

    reactor: Any
    config: DaemonConfig
    incarnation: int
    store: StoreClient
    calls: CallService
    release: Release | None = None
    revision: int = 0
    hosts: HostList = attrs.field(factory=HostList)

    @classmethod
    def from_config(cls, reactor: Any, config: DaemonConfig) -> 'Daemon':
        """Builds a daemon without opening a socket."""
        incarnation = time.time_ns()
        calls = CallService.from_config(reactor, config, incarnation)
        store = StoreClient.from_url(reactor, config.store_url)
        return cls(reactor, config, incarnation, store, calls)

    async def start(self) -> None:
        """Opens the sockets and starts the watches."""
        self.calls.listen()
        endpoint = TCP4ServerEndpoint(
            self.reactor,
            self.config.admin_port,
            interface=self.config.address,
        )
        await endpoint.listen(Site(admin_app(self).resource()))
        confirming = LoopingCall(self.calls.confirm_hosts, 0)
        confirming.start(1)
        log_event(Event.DAEMON_STARTED, 'started', host=self.config.host_id)
        ensureDeferred(self.watch(HEAD_KEY, self.take_head))
        ensureDeferred(self.watch(HOSTS_KEY, self.take_hosts))

    async def watch(self, key: str, take: Any) -> None:
        """Follows a key of the store for as long as the process runs."""
        after = 0
        while True:
            try:
                after = await self.watch_once(key, after, take)
            except EgretlandingError as error:
                log_event(
                    Event.STORE_UNREACHABLE,
                    str(error),
                    Severity.WARNING,
                )
                await deferLater(self.reactor, RETRY_S)

    async def watch_once(self, key: str, after: int, take: Any) -> int:
        """Waits for one change of a key and returns its revision."""
        found = await self.store.read(key, after, WATCH_MS)
        if found is None:
            return after
        await take(found)
        return found.revision

    async def take_head(self, found: StoreValue) -> None:
        """Fetches and applies the release that a head announces."""
        head = Head.from_bytes(found.body)
        parts = {
            reference.digest: await self.read_part(reference.digest)
            for reference in head.parts
        }
        release = Release.from_parts(head, parts)
        self.revision = found.revision
        self.release = release
        self.apply()
        log_event(
            Event.RELEASE_APPLIED,
            'release applied',
            number=release.number,
        )

    async def read_part(self, digest: str) -> bytes:
        """Reads a part of a release."""
        found = await self.store.read(f'{PART_PREFIX}{digest}')
        return found.body if found else b''

    async def take_hosts(self, found: StoreValue) -> None:
        """Applies a host list."""
        self.hosts = msgspec.json.decode(found.body, type=HostList)
        self.apply()

    def apply(self) -> None:
        """Swaps the configuration that new calls are served with."""
        if self.release:
            self.calls.apply(View.from_release(self.release, self.hosts))

    def status(self) -> dict[str, Any]:
        """Returns what is in force."""
        release = self.release
        return {
            'host_id': self.config.host_id,
            'ready': bool(release and self.hosts.hosts),
            'number': release.number if release else 0,
            'digest': release.digest if release else '',
            'revision': self.revision,
        }

    def stop(self) -> None:
        """Stops the process."""
        self.reactor.callFromThread(self.drain)

    def drain(self) -> None:
        """Ends the process once no call is in flight."""
        log_event(Event.DAEMON_DRAINING, 'draining', host=self.config.host_id)
        self.calls.drain().addBoth(self.end)

    def end(self, _drained: Any) -> None:
        """Ends the process."""
        log_event(Event.DAEMON_STOPPED, 'stopped', host=self.config.host_id)
        self.reactor.stop()


def admin_app(daemon: Daemon) -> Klein:
    """Returns the application of the admin port."""
    app = Klein()

    @app.route('/status')
    def status(_request: Any) -> bytes:
        return msgspec.json.encode(daemon.status())

    @app.route('/dump')
    def dump(_request: Any) -> bytes:
        return msgspec.json.encode(daemon.calls.dump())

    return app


def serve(settings: str) -> None:
    """Runs the daemon beside a target until it is told to stop.

    Args:
        settings: Path of the YAML settings file.
    """
    reactor: Any = default_reactor
    config = DaemonConfig.from_file(settings)
    daemon = Daemon.from_config(reactor, config)
    signal.signal(signal.SIGTERM, lambda *_args: daemon.stop())
    signal.signal(signal.SIGINT, lambda *_args: daemon.stop())
    started: Deferred[None] = ensureDeferred(daemon.start())
    started.addErrback(lambda failure: logging.error(failure.getTraceback()))
    reactor.run(installSignalHandlers=False)


def main() -> None:
    """Runs the command line of the daemon."""
    logging.set_verbosity(logging.INFO)
    try:
        defopt.run(serve)
    except SettingsError as error:
        log_event(Event.SETTINGS_REFUSED, str(error), Severity.ERROR)
        sys.exit(2)
