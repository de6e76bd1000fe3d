"""Reads and watches the platform's store."""

from typing import Any

import attrs
import treq
from twisted.internet.error import ConnectError
from twisted.web import http
from twisted.web.client import Agent, HTTPConnectionPool, ResponseFailed

from egretlanding.exceptions import PlatformError
from egretlanding.release import MAX_VALUE_BYTES

CONNECT_TIMEOUT_S = 2
READ_TIMEOUT_S = 3
REVISION_HEADER = 'x-revision'
MS_PER_S = 1_000


@attrs.frozen
class StoreValue:
    """A value of the store.

    Attributes:
        revision: The store's revision at which the key was last written.
        body: The value.
    """

    revision: int
    body: bytes


@attrs.define
class StoreClient:
    """Reads keys of the platform's store over HTTP.

    Attributes:
        base_url: URL of the store, without a trailing slash.
        agent: The HTTP agent, which keeps connections open.
        reads: Reads sent so far, a waiting watch counted as one.
    """

    base_url: str
    agent: Any
    reads: int = 0

    @classmethod
    def from_url(cls, reactor: Any, base_url: str) -> 'StoreClient':
        """Builds a client.

        Args:
            reactor: The reactor to connect with.
            base_url: URL of the store.
        """
        pool = HTTPConnectionPool(reactor)
        agent = Agent(reactor, connectTimeout=CONNECT_TIMEOUT_S, pool=pool)
        return cls(base_url=base_url.rstrip('/'), agent=agent)

    async def read(
        self,
        key: str,
        after: int = 0,
        wait_ms: int = 0,
    ) -> StoreValue | None:
        """Reads a key once it is newer than a revision.

        Args:
            key: The key.
            after: Revision that the value must exceed.
            wait_ms: Longest wait for a newer value, ms.

        Returns:
            The value, or None if there is none newer than `after`.

        Raises:
            PlatformError: The store gave no usable answer.
        """
        self.reads += 1
        url = f'{self.base_url}/v1/keys/{key}?after={after}&wait_ms={wait_ms}'
        try:
            return await self._get(url, READ_TIMEOUT_S + wait_ms / MS_PER_S)
        except (ConnectError, ResponseFailed, TimeoutError) as error:
            raise _unreachable(key, error) from error

    async def _get(self, url: str, timeout_s: float) -> StoreValue | None:
        response = await treq.get(url, agent=self.agent, timeout=timeout_s)
        body = await treq.content(response)
        if response.code in {http.NOT_FOUND, http.NOT_MODIFIED}:
            return None
        if response.code != http.OK or len(body) > MAX_VALUE_BYTES:
            raise PlatformError(
                f'the store answered {response.code} with {len(body)} bytes',
                'wait; the last accepted release stays in force',
            )
        revision = response.headers.getRawHeaders(REVISION_HEADER, ['0'])[0]
        return StoreValue(revision=int(revision), body=body)


def _unreachable(key: str, error: Exception) -> PlatformError:
    return PlatformError(
        f'reading {key} from the store failed ({error!r})',
        'check store_url; the last accepted release stays in force',
    )
