"""Asks daemons over their admin ports."""

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
from twisted.internet.defer import TimeoutError as DeadlineError
from twisted.internet.error import ConnectError, ConnectionClosed
from twisted.web import http
from twisted.web.client import Agent, ResponseFailed

from egretlanding.exceptions import AdminError
from egretlanding.texts import quote, show

TIMEOUT_S = 5
MAX_ANSWER_BYTES = 16_777_216
MAX_CONCURRENT = 32
DAEMON_PATTERN = r'[A-Za-z0-9._-]+:[1-9][0-9]{0,4}'
WRONG_PORT_REMEDY = 'give the address of the admin port of an egretlandingd'
FAILURES = (
    CancelledError,
    ConnectError,
    ConnectionClosed,
    DeadlineError,
    OSError,
    ResponseFailed,
)

Outcome = Result[bytes, AdminError]


@attrs.frozen
class Question:
    """What to ask of a daemon.

    Attributes:
        path: Path on the admin port.
        options: The query's options.
    """

    path: str
    options: Mapping[str, str] = attrs.field(factory=dict)

    def url(self, daemon: str) -> str:
        """Returns the URL at one daemon, given as host:port."""
        query = f'?{urlencode(self.options)}' if self.options else ''
        return f'http://{daemon}{self.path}{query}'


@attrs.define
class Answer:
    """The body of an answer as it arrives.

    Attributes:
        chunks: What has arrived.
        size: Bytes that have arrived.
    """

    chunks: list[bytes] = attrs.field(factory=list)
    size: int = 0

    def add(self, chunk: bytes) -> None:
        """Takes a chunk in.

        Raises:
            AdminError: The answer is too large.
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
    """Asks several daemons the same question.

    Attributes:
        reactor: The reactor to connect with.
    """

    reactor: Any

    async def ask(
        self,
        daemons: Iterable[str],
        question: Question,
    ) -> dict[str, Outcome]:
        """Asks daemons, a bounded number at a time.

        Args:
            daemons: The admin ports as host:port.
            question: What to ask.

        Returns:
            The answer of each daemon, or why there is none.
        """
        semaphore = DeferredSemaphore(MAX_CONCURRENT)
        names = list(dict.fromkeys(daemons))
        outcomes = await gatherResults(
            [semaphore.run(self._start, name, question) for name in names],
        )
        return dict(zip(names, outcomes, strict=True))

    def _start(self, daemon: str, question: Question) -> Any:
        started = ensureDeferred(self._fetch(daemon, question))
        return started.addTimeout(TIMEOUT_S, self.reactor).addErrback(
            lambda failure: Err(_unreachable(failure)),
        )

    async def _fetch(self, daemon: str, question: Question) -> Outcome:
        agent: Any = Agent(self.reactor, connectTimeout=TIMEOUT_S)
        response = await treq.get(question.url(daemon), agent=agent)
        answer = Answer()
        await treq.collect(response, answer.add)
        if response.code != http.OK:
            return Err(_refused(response.code))
        return Ok(b''.join(answer.chunks))


def check_daemon(daemon: str) -> str:
    """Returns the address of an admin port if it is well-formed.

    Raises:
        AdminError: It isn't of the form host:port.
    """
    if re.fullmatch(DAEMON_PATTERN, daemon):
        return daemon
    raise AdminError(
        f'{quote(daemon)} is not an address',
        'give host:port, such as 10.0.0.7:7103',
    )


def decode_json(encoded: bytes) -> Result[Any, AdminError]:
    """Decodes an answer, or says why it isn't JSON."""
    try:
        return Ok(msgspec.json.decode(encoded))
    except (ValueError, RecursionError) as error:
        return Err(
            AdminError(
                f'the answer is not JSON ({error})',
                WRONG_PORT_REMEDY,
            ),
        )


def _unreachable(failure: Any) -> AdminError:
    if failure.check(AdminError):
        return failure.value
    failure.trap(*FAILURES)
    reason = show(str(failure.value) or type(failure.value).__name__)
    return AdminError(
        f'no answer ({reason})',
        'check that egretlandingd runs there and that this is its admin port',
    )


def _refused(code: int) -> AdminError:
    return AdminError(
        f'answered {code}',
        WRONG_PORT_REMEDY,
    )
