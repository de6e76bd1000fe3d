"""A stand-in for the platform: a store that daemons read and watch.

Daemons use the read port only. Operators and tests publish values and inject
faults through the operator port.
"""

import itertools
import json
import time
from typing import Any

import attrs
import defopt
from klein import Klein
from twisted.internet import reactor as default_reactor
from twisted.internet.defer import Deferred
from twisted.internet.endpoints import serverFromString
from twisted.web import http
from twisted.web.server import Site

READS_PER_S = 2_000
MAX_VALUE_BYTES = 1_000_000


@attrs.frozen
class StoredValue:
    """A value and the revision at which it was written."""

    revision: int
    body: bytes


@attrs.define
class StoreFaults:
    """The faults of the store that are switched on.

    Attributes:
        outage: Whether every read fails.
        stale: Whether reads return the values of the last freeze. If there
            was none, the values are frozen when this is switched on.
        truncate: Whether answers contain only the first half of a value.
        corrupt: Whether answers contain a value with all bytes changed.
    """

    outage: bool = False
    stale: bool = False
    truncate: bool = False
    corrupt: bool = False


Waiters = set[Deferred[None]]
# An era and a revision of that era.
Position = tuple[int, int]


@attrs.define
class Platform:
    """The store's state.

    Attributes:
        current: The values by key.
        frozen: The values that reads return while the store is stale.
        faults: The faults that are switched on.
        revision: The last assigned revision.
        era: How often it was restored from an older copy.
        reads: Reads since the start; a waiting watch counts as one.
        refused: Reads refused because of the rate limit.
        rate_second: The second of the monotonic clock that is being counted.
        reads_in_second: Reads in that second.
        waiters: Waiting watches by key.
    """

    current: dict[str, StoredValue] = attrs.field(factory=dict)
    frozen: dict[str, StoredValue] = attrs.field(factory=dict)
    faults: StoreFaults = attrs.field(factory=StoreFaults)
    revision: int = 0
    era: int = 0
    reads: int = 0
    refused: int = 0
    rate_second: int = 0
    reads_in_second: int = 0
    waiters: dict[str, Waiters] = attrs.field(factory=dict)

    def visible_value(self, key: str) -> StoredValue | None:
        """Returns the value that a read of a key returns."""
        values = self.frozen if self.faults.stale else self.current
        return values.get(key)

    def put(self, key: str, body: bytes) -> int:
        """Stores a value, resumes its watches and returns the revision."""
        self.revision += 1
        self.current[key] = StoredValue(self.revision, body)
        for waiter in tuple(self.waiters.get(key, ())):
            waiter.callback(None)
        return self.revision

    def change_faults(self, changes: dict[str, bool]) -> None:
        """Switches faults on or off."""
        if changes.get('stale') and not self.frozen:
            self.freeze()
        self.faults = attrs.evolve(self.faults, **changes)

    def freeze(self) -> None:
        """Copies the values for reads while the store is stale."""
        self.frozen = dict(self.current)

    def restore(self) -> None:
        """Loses the writes since the last freeze, with their revisions."""
        self.current = dict(self.frozen)
        stored = self.current.values()
        self.revision = max((value.revision for value in stored), default=0)
        self.era += 1
        for waiter in tuple(itertools.chain(*self.waiters.values())):
            waiter.callback(None)

    def is_newer(self, stored: StoredValue | None, position: Position) -> bool:
        """Returns whether a value is newer than a position."""
        return stored is not None and (self.era, stored.revision) > position

    def count_read(self) -> bool:
        """Counts a read and returns whether the rate limit allows it."""
        second = int(time.monotonic())
        if second != self.rate_second:
            self.rate_second = second
            self.reads_in_second = 0
        self.reads += 1
        self.reads_in_second += 1
        return self.reads_in_second <= READS_PER_S

    async def wait(self, reactor: Any, key: str, wait_ms: int) -> None:
        """Waits for a write to a key, at most for the given time."""
        waiter: Deferred[None] = Deferred()
        self.waiters.setdefault(key, set()).add(waiter)
        waiter.addTimeout(wait_ms / 1_000, reactor, lambda *_args: None)
        try:
            await waiter
        finally:
            self.waiters[key].discard(waiter)


def read_app(platform: Platform, reactor: Any) -> Klein:
    """Returns the HTTP application that daemons read from."""
    app = Klein()

    @app.route('/v1/keys/<path:key>', methods=['GET'])
    async def read(request: Any, key: str) -> bytes:
        if platform.faults.outage:
            request.setResponseCode(http.SERVICE_UNAVAILABLE)
            return b'outage'
        if not platform.count_read():
            platform.refused += 1
            request.setResponseCode(429)
            return b'too many reads'
        era, after, wait_ms = (
            int(request.args.get(name, [b'0'])[0])
            for name in (b'era', b'after', b'wait_ms')
        )
        stored = platform.visible_value(key)
        if wait_ms and not platform.is_newer(stored, (era, after)):
            await platform.wait(reactor, key, wait_ms)
            stored = platform.visible_value(key)
        if platform.faults.outage:
            request.setResponseCode(http.SERVICE_UNAVAILABLE)
            return b'outage'
        return read_reply(request, platform, stored, (era, after))

    return app


def read_reply(
    request: Any,
    platform: Platform,
    stored: StoredValue | None,
    position: Position,
) -> bytes:
    """Sets the answer's status and returns its body, with faults applied."""
    if stored is None:
        request.setResponseCode(http.NOT_FOUND)
        return b''
    request.setHeader(b'x-era', str(platform.era).encode())
    request.setHeader(b'x-revision', str(stored.revision).encode())
    if not platform.is_newer(stored, position):
        request.setResponseCode(http.NOT_MODIFIED)
        return b''
    body = stored.body
    if platform.faults.truncate:
        body = body[: len(body) // 2]
    if platform.faults.corrupt:
        body = bytes(octet ^ 0x55 for octet in body)
    return body


def operator_app(platform: Platform, reactor: Any) -> Klein:
    """Returns the HTTP application that operators and tests use."""
    app = Klein()

    @app.route('/v1/keys/<path:key>', methods=['PUT'])
    def put(request: Any, key: str) -> bytes:
        body = request.content.read()
        if len(body) > MAX_VALUE_BYTES:
            request.setResponseCode(http.REQUEST_ENTITY_TOO_LARGE)
            return b'value too large'
        lag_ms = int(request.args.get(b'lag_ms', [b'0'])[0])
        if lag_ms:
            reactor.callLater(lag_ms / 1_000, platform.put, key, body)
            return b'later'
        return str(platform.put(key, body)).encode()

    @app.route('/faults', methods=['POST'])
    def faults(request: Any) -> bytes:
        platform.change_faults(json.load(request.content))
        return b'ok'

    @app.route('/freeze', methods=['POST'])
    def freeze(_request: Any) -> bytes:
        platform.freeze()
        return b'ok'

    @app.route('/restore', methods=['POST'])
    def restore(_request: Any) -> bytes:
        platform.restore()
        return b'ok'

    @app.route('/counters', methods=['GET'])
    def counters(_request: Any) -> bytes:
        return json.dumps(
            {'reads': platform.reads, 'refused': platform.refused},
        ).encode()

    return app


def serve(*, read_port: int, operator_port: int) -> None:
    """Runs the platform stand-in until it receives a signal to stop.

    Args:
        read_port: TCP port for the reads of daemons.
        operator_port: TCP port for operators, who publish values.
    """
    reactor: Any = default_reactor
    platform = Platform()
    for port, app in (
        (read_port, read_app(platform, reactor)),
        (operator_port, operator_app(platform, reactor)),
    ):
        endpoint = f'tcp:{port}:interface=127.0.0.1'
        serverFromString(reactor, endpoint).listen(Site(app.resource()))
    reactor.run()


def main() -> None:
    """Runs the command line."""
    defopt.run(serve)
