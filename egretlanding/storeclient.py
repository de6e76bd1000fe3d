"""Reads keys of the platform's store, and waits for newer values."""

from typing import Any

import attrs
import treq
from twisted.internet import defer
from twisted.internet.error import ConnectError, ConnectionClosed
from twisted.web import http
from twisted.web.client import Agent, HTTPConnectionPool, ResponseFailed

from egretlanding.exceptions import PlatformError
from egretlanding.release import MAX_VALUE_BYTES

CONNECT_TIMEOUT_S = 2
READ_TIMEOUT_S = 3
REVISION_HEADER = 'x-revision'
# How often the store was restored from an older copy; absent if it doesn't
# count that.
ERA_HEADER = 'x-era'
# Revisions are 63-bit integers in the messages between daemons: the lower bits
# hold the store's revision, the others its era.
REVISION_BITS = 40
ERA_BITS = 23
REVISIONS_PER_ERA = 2**REVISION_BITS
MAX_ERA = 2**ERA_BITS - 1
MAX_REVISION = 2 ** (ERA_BITS + REVISION_BITS) - 1
MS_PER_S = 1_000

READ_FAILURES = (
    defer.CancelledError,
    defer.TimeoutError,
    ConnectError,
    ConnectionClosed,
    ResponseFailed,
    TimeoutError,
    ValueError,
)


@attrs.frozen
class StoreValue:
    """The store's answer to the read of a key.

    Attributes:
        revision: The store's revision at which the key was last written,
            zero if it was never written. A store that was restored from an
            older copy gives out revisions again, so the era of the store is
            added, times `REVISIONS_PER_ERA`.
        body: The value, or None if it isn't newer than the requested revision.
    """

    revision: int
    body: bytes | None = None


@attrs.define
class ValueBody:
    """The part of a value that has arrived.

    Attributes:
        chunks: The chunks that have arrived.
        size: Their size in bytes.
        is_wanted: Whether a read still waits for the value.
    """

    chunks: list[bytes] = attrs.field(factory=list)
    size: int = 0
    is_wanted: bool = True

    def add(self, chunk: bytes) -> None:
        """Adds a chunk; an error closes the connection.

        Raises:
            PlatformError: The value is too large, or no longer wanted.
        """
        self.size += len(chunk)
        if self.size > MAX_VALUE_BYTES or not self.is_wanted:
            raise PlatformError(
                f'the store sent {self.size} bytes, not all in time',
                'wait; the last accepted release stays in force',
            )
        self.chunks.append(chunk)


@attrs.define
class StoreClient:
    """Reads keys of the platform's store over HTTP.

    Attributes:
        reactor: The reactor to connect with.
        base_url: URL of the store, without a trailing slash.
        agent: The HTTP agent, which keeps connections open.
        reads: Reads sent so far; a read that waits for a newer value counts
            as one.
    """

    reactor: Any
    base_url: str
    agent: Any
    reads: int = 0

    @classmethod
    def from_url(
        cls,
        reactor: Any,
        base_url: str,
        source: str = '',
    ) -> 'StoreClient':
        """Creates a client.

        Args:
            reactor: The reactor to connect with.
            base_url: URL of the store.
            source: The address to connect from, or empty for any.
        """
        agent = Agent(
            reactor,
            connectTimeout=CONNECT_TIMEOUT_S,
            bindAddress=(source, 0) if source else None,
            pool=HTTPConnectionPool(reactor),
        )
        return cls(reactor, base_url.rstrip('/'), agent)

    async def read(
        self,
        key: str,
        after: int = 0,
        wait_ms: int = 0,
    ) -> StoreValue:
        """Reads a key, waiting up to `wait_ms` for a value after a revision.

        Args:
            key: The key.
            after: Revision that the value must exceed.
            wait_ms: Longest wait for a newer value, ms.

        Raises:
            PlatformError: The store gave no usable answer.
        """
        self.reads += 1
        era, revision = divmod(after, REVISIONS_PER_ERA)
        query = f'after={revision}&era={era}&wait_ms={wait_ms}'
        url = f'{self.base_url}/v1/keys/{key}?{query}'
        try:
            return await self._get(url, READ_TIMEOUT_S + wait_ms / MS_PER_S)
        except READ_FAILURES as error:
            raise _read_error(key, error) from error

    async def _get(self, url: str, timeout_s: float) -> StoreValue:
        response = await treq.get(
            url,
            agent=self.agent,
            reactor=self.reactor,
            timeout=timeout_s,
            unbuffered=True,
        )
        body = await self._collect(response)
        if response.code == http.NOT_FOUND:
            return StoreValue(0)
        revision = _revision_of(response)
        if response.code == http.NOT_MODIFIED:
            return StoreValue(revision)
        if response.code != http.OK:
            raise PlatformError(
                f'the store answered {response.code} with {len(body)} bytes',
                'wait; the last accepted release stays in force',
            )
        return StoreValue(revision, body)

    async def _collect(self, response: Any) -> bytes:
        body = ValueBody()
        collecting = treq.collect(response, body.add)
        try:
            await collecting.addTimeout(READ_TIMEOUT_S, self.reactor)
        finally:
            body.is_wanted = False
        return b''.join(body.chunks)


def _revision_of(response: Any) -> int:
    era = _number_in(response, ERA_HEADER, MAX_ERA)
    revision = _number_in(response, REVISION_HEADER, REVISIONS_PER_ERA - 1)
    return era * REVISIONS_PER_ERA + revision


def _number_in(response: Any, header: str, highest: int) -> int:
    text = response.headers.getRawHeaders(header, ['0'])[0]
    number = int(text)
    if not 0 <= number <= highest:
        raise ValueError(f'{header} {number} is out of range')
    return number


def _read_error(key: str, error: Exception) -> PlatformError:
    return PlatformError(
        f'reading {key} from the store failed ({error!r})',
        'check store_url; the last accepted release stays in force',
    )
