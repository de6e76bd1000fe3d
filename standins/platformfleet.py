"""Daemon processes that use a stand-in for the platform's store, for tests.

The store and the targets run as HTTP servers in the process of the test.
"""

import base64
import contextlib
import itertools
import json
import os
import resource
import subprocess
import sys
import threading
import time
from collections.abc import Callable, Iterator
from http.client import HTTPConnection
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs, urlsplit

import attrs

from standins.fleet import free_port

ROOT = Path(__file__).parent.parent
START_TIMEOUT_S = 30
# Longest time that the end of a server takes, seconds.
SHUTDOWN_POLL_S = 0.1
# Bytes that a link of limited bandwidth carries at a time.
SLICE_BYTES = 4_096
# Most items of one page of the store's list, and most bytes of their values.
PAGE_ITEMS = 500
PAGE_BYTES = 1_000_000
# The failure domains that hosts may be in, with their regions.
ZONES = {'z1': 'north', 'z2': 'north', 'z3': 'south'}
HEALTH_PATH = '/h'
ORDERS_ROUTE = {
    'host': 'one.example',
    'prefix': '/a/',
    'route-kind': 'safe',
    'timeout': '2s',
    'target-latency': '500ms',
    'priority': 1,
    'service': 'orders',
    'max-attempts': 2,
}


class UnloggedHandler(BaseHTTPRequestHandler):
    """Handles HTTP requests without writing an access log."""

    protocol_version = 'HTTP/1.1'
    server: Any

    def log_message(self, *_args: object) -> None:
        """Writes nothing."""

    def reply(self, status: int, body: bytes, **headers: str) -> None:
        """Sends a response; header names use underscores for hyphens."""
        self.send_response(status)
        for name, text in headers.items():
            self.send_header(name.replace('_', '-'), text)
        self.send_header('Content-Length', str(len(body)))
        self.end_headers()
        self.write_body(body)

    def write_body(self, body: bytes) -> None:
        """Writes the body of an answer as fast as the bandwidth allows."""
        bandwidth = self.server.bandwidth
        if bandwidth is None:
            self.wfile.write(body)
            return
        for start in range(0, len(body), SLICE_BYTES):
            part = body[start : start + SLICE_BYTES]
            bandwidth.carry(len(part))
            self.wfile.write(part)


class StatefulServer(ThreadingHTTPServer):
    """An HTTP server whose handlers share a state object.

    Attributes:
        state: The object whose data the handlers read and change.
        bandwidth: The bandwidth for bodies of answers, None if unlimited.
    """

    daemon_threads = True
    # Connections that wait to be accepted. If there are more, the kernel drops
    # handshakes, and a connection that seems open carries nothing for seconds.
    request_queue_size = 1_024
    state: Any = None
    bandwidth: 'Bandwidth | None' = None

    def handle_error(self, request: Any, client_address: Any) -> None:
        """Ignores clients that disconnected before their response."""
        if not isinstance(sys.exception(), OSError):
            super().handle_error(request, client_address)


def serve(
    address: tuple[str, int],
    handler: type[UnloggedHandler],
    state: object,
) -> StatefulServer:
    """Starts an HTTP server in a thread of its own.

    Args:
        address: Where it listens.
        handler: The class that handles requests.
        state: The object that the handlers read and change.
    """
    server = StatefulServer(address, handler)
    server.state = state
    threading.Thread(
        target=server.serve_forever, args=(SHUTDOWN_POLL_S,), daemon=True
    ).start()
    return server


class UnavailableStoreHandler(UnloggedHandler):
    """Refuses all requests, like a store that is unavailable."""

    def do_GET(self) -> None:
        """Answers with status 503."""
        self.reply(503, b'{}')


class StoreHandler(UnloggedHandler):
    """Handles the list and watch requests of the store."""

    def do_GET(self) -> None:
        """Answers a list or watch request."""
        store = self.server.state
        store.reads += 1
        parts = urlsplit(self.path)
        query = {
            name: texts[0] for name, texts in parse_qs(parts.query).items()
        }
        prefix = query.get('prefix', '')
        if parts.path == '/-/kv-range':
            store.lists += 1
            content = store.items(prefix, query.get('after', ''))
        else:
            content = store.watch(
                int(query['after']), int(query['wait-ms']), prefix
            )
        if store.refuses:
            self.reply(503, b'{}')
            return
        status = 410 if content is None else 200
        encoded = json.dumps(content).encode()
        self.reply(status, encoded, Store_Era=str(store.era))


class TargetHandler(UnloggedHandler):
    """Runs the requests that the target of a member receives."""

    def do_GET(self) -> None:
        """Runs a request unless it is meant for another instance."""
        member = self.server.state
        if self.path == HEALTH_PATH:
            self.reply(200, b'', **member.health_headers())
            return
        request_id = self.headers.get('Request-Id', '')
        self.rfile.read(int(self.headers.get('Content-Length') or 0))
        expected_instance = self.headers.get('Expect-Instance')
        if expected_instance and expected_instance != member.instance:
            self.reply(
                421, b'', Request_Id=request_id, Instance=member.instance
            )
            return
        status, body = member.handle_request(self.path, dict(self.headers))
        time.sleep(member.delay_s)
        if status == 503:
            refused = {'Request_Id': request_id, 'Not_Run': '1'}
            self.reply(503, b'', **refused, **member.statements)
            return
        self.reply(
            status,
            body,
            Request_Id=request_id,
            Server_Stamp='stamp',
            **member.statements,
        )

    do_POST = do_GET


@attrs.define(eq=False)
class Bandwidth:
    """The bandwidth of a link, shared by all connections that use it.

    Attributes:
        bytes_per_s: Bytes that the link carries in a second.
        free_at: When the link has carried all bytes so far, monotonic seconds.
        lock: Guards `free_at`.
    """

    bytes_per_s: float
    free_at: float = 0
    lock: threading.Lock = attrs.field(factory=threading.Lock)

    def carry(self, size: int) -> None:
        """Blocks for as long as the link needs for some bytes."""
        with self.lock:
            began_at = max(self.free_at, time.monotonic())
            self.free_at = began_at + size / self.bytes_per_s
            arrives_at = self.free_at
        time.sleep(max(0, arrives_at - time.monotonic()))


@attrs.define(eq=False)
class Store:
    """The platform's store, whose revision is the number of writes.

    Attributes:
        events: All writes, oldest first.
        era: How often it was restored from an older copy, from 1.
        reads: Number of list and watch requests.
        refuses: Whether it answers all requests with status 503.
        lists: Number of list requests.
        events_added: Condition that is notified after each write.
        server: The server that answers reads and watches.
        unavailable_server: A server that refuses every request with status 503.
        links: Further servers that answer with limited bandwidth.
    """

    events: list[dict] = attrs.field(factory=list)
    era: int = 1
    reads: int = 0
    refuses: bool = False
    lists: int = 0
    events_added: threading.Condition = attrs.field(factory=threading.Condition)
    server: StatefulServer = attrs.field(init=False)
    unavailable_server: StatefulServer = attrs.field(init=False)
    links: list[StatefulServer] = attrs.field(factory=list)

    def __attrs_post_init__(self) -> None:
        self.server = serve(('127.0.0.1', 0), StoreHandler, self)
        self.unavailable_server = serve(
            ('127.0.0.1', 0), UnavailableStoreHandler, self
        )

    def close(self) -> None:
        """Stops all servers."""
        for server in (self.server, self.unavailable_server, *self.links):
            server.shutdown()
            server.server_close()

    def open_link(self, bytes_per_s: float) -> int:
        """Opens a port whose answers share a limited bandwidth; returns it."""
        link = serve(('127.0.0.1', 0), StoreHandler, self)
        link.bandwidth = Bandwidth(bytes_per_s)
        self.links.append(link)
        return link.server_port

    def write(self, key: str, content: object) -> None:
        """Writes the content of a key as JSON; None deletes the key."""
        encoded = None if content is None else json.dumps(content).encode()
        self.write_bytes(key, encoded)

    def write_bytes(self, key: str, encoded: bytes | None) -> None:
        """Writes the bytes of a key; None deletes the key."""
        with self.events_added:
            event = {'key': key, 'revision': len(self.events) + 1}
            if encoded is None:
                event['tombstone'] = True
            else:
                event['value'] = base64.b64encode(encoded).decode()
            self.events.append(event)
            self.events_added.notify_all()

    def restore(self, revision: int) -> None:
        """Loses all writes after a revision, and gives it out again."""
        with self.events_added:
            del self.events[revision:]
            self.era += 1
            self.events_added.notify_all()

    def events_since(self, revision: int, prefix: str) -> list[dict]:
        """Returns the writes after a revision to keys with a prefix."""
        return [
            event
            for event in self.events[revision:]
            if event['key'].startswith(prefix)
        ]

    def items(self, prefix: str = '', after: str = '') -> dict:
        """Returns a page of the newest write of each key that isn't deleted.

        Args:
            prefix: What the keys begin with.
            after: The key that the page follows, empty for the first page.
        """
        with self.events_added:
            newest = {
                event['key']: event for event in self.events_since(0, prefix)
            }
            items = [
                newest[key]
                for key in sorted(newest)
                if key > after and not newest[key].get('tombstone')
            ]
            sizes = itertools.accumulate(len(item['value']) for item in items)
            fitting = sum(size <= PAGE_BYTES for size in sizes)
            page = items[: max(1, min(fitting, PAGE_ITEMS))]
            return {
                'items': page,
                'truncated': len(page) < len(items),
                'current-rev': len(self.events),
            }

    def watch(self, after: int, wait_ms: int, prefix: str = '') -> dict | None:
        """Returns the writes after a revision; waits if there are none.

        Args:
            after: The revision.
            wait_ms: Longest wait, ms.
            prefix: What the keys begin with.

        Returns:
            The writes, or None if the store doesn't have that revision.
        """
        with self.events_added:
            era = self.era
            self.events_added.wait_for(
                lambda: (
                    after > len(self.events)
                    or bool(self.events_since(after, prefix))
                    or self.era != era
                ),
                wait_ms / 1_000,
            )
            if after > len(self.events):
                return None
            return {
                'events': self.events_since(after, prefix),
                'current-rev': len(self.events),
            }


@attrs.define(eq=False)
class Member:
    """A host: a target and the daemon beside it.

    Attributes:
        address: Its loopback address.
        service: The service that its target runs.
        ports: The ports of the daemon and the target by name.
        requests_received: The headers of the requests that the target received.
        arrivals: When the target received each request, monotonic seconds.
        statements: Headers that the target adds to its answers; names use
            underscores for hyphens.
        delay_s: Time that the target takes for a request, seconds.
        status: The status that the target answers with.
        process: The daemon's process, None before it starts.
        advertised_address: The address at which others reach the host; it
            differs from its own if a proxy is in between.
        cold_start_ms: Time over which the daemon raises the share of a new
            target, ms.
        zone: Its failure domain, one of `ZONES`.
        settings: Further settings of the daemon, by name.
        cold_until: Until when the target says that it is cold, monotonic
            seconds.
        descriptors: Most descriptors that the daemon may open, 0 for as many
            as the test.
        target: The target's server.
    """

    address: str
    service: str
    ports: dict[str, int]
    requests_received: list[dict] = attrs.field(factory=list)
    arrivals: list[float] = attrs.field(factory=list)
    statements: dict[str, str] = attrs.field(factory=dict)
    delay_s: float = 0
    status: int = 200
    process: subprocess.Popen | None = None
    advertised_address: str = ''
    cold_start_ms: int = 3_000
    zone: str = 'z1'
    settings: dict[str, Any] = attrs.field(factory=dict)
    cold_until: float = 0
    descriptors: int = 0
    target: StatefulServer = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.advertised_address = self.advertised_address or self.address
        address = (self.address, self.ports['target'])
        self.target = serve(address, TargetHandler, self)

    def close(self) -> None:
        """Kills the daemon and stops the target."""
        if self.process and self.process.poll() is None:
            self.process.kill()
            self.process.wait()
        self.target.shutdown()
        self.target.server_close()

    @property
    def instance(self) -> str:
        """The instance name of the target's process."""
        return f'i-{self.address}'

    def handle_request(
        self, _path: str, headers: dict[str, str]
    ) -> tuple[int, bytes]:
        """Records a request and returns the status and body of its answer."""
        self.requests_received.append(headers)
        self.arrivals.append(time.monotonic())
        return self.status, self.address.encode()

    @property
    def cold_ms(self) -> int:
        """How much longer the target says that it is cold, ms."""
        return max(0, int(1_000 * (self.cold_until - time.monotonic())))

    def health_headers(self) -> dict[str, str]:
        """Returns the headers of the answer to a health check."""
        return {'Instance': self.instance, 'Cold_Ms': str(self.cold_ms)}

    def store_record(self, state: str = 'ready') -> dict:
        """Returns the record of the target in the store."""
        return {
            'address': f'{self.advertised_address}:{self.ports["target"]}',
            'info': {'service': self.service, 'zone': self.zone, 'slots': 2},
            'status': {
                'state': state,
                'sequence': 1,
                'cold-remaining': f'{self.cold_ms}ms',
            },
        }

    def start(
        self,
        store_port: int,
        seeds: list[str],
        folder: Path,
    ) -> None:
        """Starts the daemon.

        Args:
            store_port: Port of the store.
            seeds: Addresses of the daemons that it connects to first.
            folder: Folder for its settings file and its log.
        """
        port_numbers = self.ports
        settings = {
            'host_id': self.advertised_address,
            'address': self.address,
            'callers': f'{self.address}:{port_numbers["callers"]}',
            'peers': f'{self.address}:{port_numbers["peers"]}',
            'readiness': f'{self.address}:{port_numbers["readiness"]}',
            'metrics_port': port_numbers['metrics'],
            'target': f'{self.advertised_address}:{port_numbers["target"]}',
            'region': ZONES[self.zone],
            'failure_domain': self.zone,
            'regions': ['z1=north'],
            'service': self.service,
            'store': f'127.0.0.1:{store_port}',
            'seeds': seeds,
            'retry_ratio': '0.2',
            'retry_slack': 60,
            'cold_start_ms': self.cold_start_ms,
            **self.settings,
        }
        path = folder / f'{self.address}.yaml'
        path.write_text(json.dumps(settings))
        log = (folder / f'{self.address}.log').open('ab')
        self.process = subprocess.Popen(
            [sys.executable, '-m', 'egretlanding.platform'],
            cwd=ROOT,
            env={**os.environ, 'EGRETLANDING_CONFIG': str(path)},
            stdout=log,
            stderr=log,
        )
        if self.descriptors:
            bounds = (self.descriptors, self.descriptors)
            resource.prlimit(self.process.pid, resource.RLIMIT_NOFILE, bounds)

    def send_request(
        self,
        path: str,
        port_name: str = 'callers',
        method: str = 'GET',
        **headers: str,
    ) -> tuple[int, bytes, dict[str, str]]:
        """Sends one request to the daemon on a new connection.

        Args:
            path: The path of the request.
            port_name: The name of the daemon's port.
            method: The HTTP method.
            headers: The headers; names use underscores for hyphens.

        Returns:
            The status, body and headers of the answer.
        """
        connection = HTTPConnection(
            self.address,
            self.ports[port_name],
            timeout=8,
        )
        http_headers = {
            name.replace('_', '-'): text for name, text in headers.items()
        }
        try:
            connection.request(method, path, headers=http_headers)
            response = connection.getresponse()
            return response.status, response.read(), dict(response.headers)
        finally:
            connection.close()

    def is_ready(self) -> bool:
        """Returns whether the daemon reports that it is ready."""
        try:
            return self.send_request('/-/readiness', 'readiness')[0] == 200
        except OSError:
            return False


@attrs.define(eq=False)
class PlatformFleet:
    """A store and the hosts that use it.

    Attributes:
        store: The store.
        members: The hosts.
        folder: Folder for settings files and logs.
        idle_timeout: Longest time between two requests of a connection.
        limits: Limits of the configuration that differ from the usual ones.
        link_bytes_per_s: Bytes of the store's answers that each daemon can
            receive in a second, None if unlimited.
        service_spec: What the specs of all services have besides the usual.
    """

    store: Store
    members: list[Member]
    folder: Path
    idle_timeout: str = '2s'
    limits: dict[str, Any] = attrs.field(factory=dict)
    link_bytes_per_s: float | None = None
    service_spec: dict = attrs.field(factory=dict)

    def configure(self, version: int, **routes: dict) -> None:
        """Publishes a configuration.

        Args:
            version: Its version.
            routes: The specs of its routes by name.
        """
        self.store.write(
            'op/config',
            {
                'version': version,
                'routes': {f'r-{name}': spec for name, spec in routes.items()},
                'services': {
                    service: {
                        'health-path': HEALTH_PATH,
                        'max-connections': 100,
                        **self.service_spec,
                    }
                    for service in sorted({m.service for m in self.members})
                },
                'limits': {
                    'max-header-bytes': 4_096,
                    'max-body-bytes': 65_536,
                    'header-timeout': '1s',
                    'idle-timeout': self.idle_timeout,
                    **self.limits,
                },
            },
        )

    def seeds(self) -> list[str]:
        """Returns the peer addresses of the first two daemons."""
        return [
            f'{member.advertised_address}:{member.ports["peers"]}'
            for member in self.members[:2]
        ]

    def start_process(self, member: Member) -> None:
        """Starts a daemon, with a link to the store of its own if limited."""
        port = (
            self.store.server.server_port
            if self.link_bytes_per_s is None
            else self.store.open_link(self.link_bytes_per_s)
        )
        member.start(port, self.seeds(), self.folder)

    def start(self, member: Member) -> None:
        """Starts a daemon and waits until it is ready."""
        self.start_process(member)
        wait_until(member.is_ready, START_TIMEOUT_S)


def wait_until(condition: Callable[[], bool], timeout_s: float) -> None:
    """Waits until a condition holds.

    Raises:
        TimeoutError: It did not hold in time.
    """
    deadline = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > deadline:
            raise TimeoutError('the condition did not hold in time')
        time.sleep(0.05)


def free_ports(names: tuple[str, ...]) -> dict[str, int]:
    """Returns a different free port for each name."""
    return {name: free_port() for name in names}


@contextlib.contextmanager
def platform_fleet(
    folder: Path,
    services: list[str],
    link_bytes_per_s: float | None = None,
    prepare: Callable[[PlatformFleet], None] | None = None,
) -> Iterator[PlatformFleet]:
    """Runs a store and one host for each service, and stops them at the end.

    Args:
        folder: Folder for settings files and logs.
        services: The service of each host.
        link_bytes_per_s: Bytes of the store's answers that each daemon can
            receive in a second, None if unlimited.
        prepare: Called before the daemons start.
    """
    names = ('callers', 'peers', 'readiness', 'metrics', 'target')
    ports = free_ports(names)
    members = [
        Member(f'127.0.0.{number}', service, ports)
        for number, service in enumerate(services, 11)
    ]
    fleet = PlatformFleet(
        Store(), members, folder, link_bytes_per_s=link_bytes_per_s
    )
    for member in members:
        fleet.store.write(f'servers/{member.instance}', member.store_record())
    fleet.configure(1, orders=ORDERS_ROUTE)
    if prepare:
        prepare(fleet)
    try:
        for member in members:
            fleet.start_process(member)
        for member in members:
            wait_until(member.is_ready, START_TIMEOUT_S)
        yield fleet
    finally:
        for member in members:
            member.close()
        fleet.store.close()
