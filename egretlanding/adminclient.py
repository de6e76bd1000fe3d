"""Sends requests to the admin ports of daemons."""

import re
from collections.abc import Iterable, Mapping
from typing import Any
from urllib.parse import urlencode

import attrs
import msgspec
import treq
from result import Err, Ok, Result
from twisted.internet.defer import (
    CancelledError,
    DeferredSemaphore,
    ensureDeferred,
    gatherResults,
)
from twisted.internet.defer import TimeoutError as DeferredTimeoutError
from twisted.internet.error import ConnectError, ConnectionClosed
from twisted.web import http
from twisted.web.client import Agent, ResponseFailed

from egretlanding.exceptions import AdminError
from egretlanding.texts import printable, quote

TIMEOUT_S = 5
MAX_ANSWER_BYTES = 16_777_216
MAX_CONCURRENT_REQUESTS = 32
ADDRESS_PATTERN = r'[A-Za-z0-9._-]+:[1-9][0-9]{0,4}'
WRONG_PORT_REMEDY = 'give the address of the admin port of an egretlandingd'
CONNECTION_FAILURES = (
    CancelledError,
    ConnectError,
    ConnectionClosed,
    DeferredTimeoutError,
    OSError,
    ResponseFailed,
)

FetchOutcome = Result[bytes, AdminError]


@attrs.frozen
class AdminRequest:
    """A request to the admin port of a daemon.

    Attributes:
        path: Path on the admin port.
        query: The parameters of the query string.
    """

    path: str
    query: Mapping[str, str] = attrs.field(factory=dict)

    def url(self, daemon: str) -> str:
        """Returns the URL of the request at a daemon, given as host:port."""
        suffix = f'?{urlencode(self.query)}' if self.query else ''
        return f'http://{daemon}{self.path}{suffix}'


@attrs.define
class ResponseBody:
    """The part of a response body that has arrived.

    Attributes:
        chunks: The chunks that have arrived.
        size: Their size in bytes.
    """

    chunks: list[bytes] = attrs.field(factory=list)
    size: int = 0

    def add(self, chunk: bytes) -> None:
        """Adds a chunk that arrived.

        Raises:
            AdminError: The body is too large.
        """
        self.size += len(chunk)
        if self.size > MAX_ANSWER_BYTES:
            raise AdminError(
                f'the answer exceeds {MAX_ANSWER_BYTES} bytes',
                WRONG_PORT_REMEDY,
            )
        self.chunks.append(chunk)


@attrs.frozen
class AdminClient:
    """Sends the same request to several daemons.

    Attributes:
        reactor: The Twisted reactor for connections.
    """

    reactor: Any

    async def fetch_all(
        self,
        daemons: Iterable[str],
        request: AdminRequest,
    ) -> dict[str, FetchOutcome]:
        """Sends a request to daemons, to a bounded number at a time.

        Args:
            daemons: The admin ports as host:port; duplicates are dropped.
            request: The request.

        Returns:
            For each daemon the response body, or why there is none.
        """
        semaphore = DeferredSemaphore(MAX_CONCURRENT_REQUESTS)
        addresses = list(dict.fromkeys(daemons))
        outcomes = await gatherResults(
            [
                semaphore.run(self._fetch_with_timeout, address, request)
                for address in addresses
            ],
        )
        return dict(zip(addresses, outcomes, strict=True))

    def _fetch_with_timeout(self, daemon: str, request: AdminRequest) -> Any:
        fetching = ensureDeferred(self._fetch(daemon, request))
        return fetching.addTimeout(TIMEOUT_S, self.reactor).addErrback(
            lambda failure: Err(_error_from_failure(failure)),
        )

    async def _fetch(self, daemon: str, request: AdminRequest) -> FetchOutcome:
        agent: Any = Agent(self.reactor, connectTimeout=TIMEOUT_S)
        response = await treq.get(request.url(daemon), agent=agent)
        body = ResponseBody()
        await treq.collect(response, body.add)
        if response.code != http.OK:
            return Err(_error_from_status(response.code))
        return Ok(b''.join(body.chunks))


def check_address(daemon: str) -> str:
    """Returns the address of an admin port after checking its form.

    Raises:
        AdminError: The address isn't of the form host:port.
    """
    if re.fullmatch(ADDRESS_PATTERN, daemon):
        return daemon
    raise AdminError(
        f'{quote(daemon)} is not an address',
        'give host:port, such as 10.0.0.7:7103',
    )


def decode_json(encoded: bytes) -> Result[Any, AdminError]:
    """Decodes an answer, or returns an error that says why it isn't JSON."""
    try:
        return Ok(msgspec.json.decode(encoded))
    except (ValueError, RecursionError) as error:
        return Err(
            AdminError(
                f'the answer is not JSON ({error})',
                WRONG_PORT_REMEDY,
            ),
        )


def _error_from_failure(failure: Any) -> AdminError:
    if failure.check(AdminError):
        return failure.value
    failure.trap(*CONNECTION_FAILURES)
    reason = printable(str(failure.value) or type(failure.value).__name__)
    return AdminError(
        f'no answer ({reason})',
        'check that egretlandingd runs there and that this is its admin port',
    )


def _error_from_status(code: int) -> AdminError:
    return AdminError(
        f'answered with HTTP status {code}',
        WRONG_PORT_REMEDY,
    )
