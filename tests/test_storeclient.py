"""Tests of reading the store: each unusable answer is a PlatformError."""

from typing import Any
from urllib.parse import parse_qs

import pytest
from hypothesis import given
from hypothesis import strategies as st
from twisted.internet.defer import Deferred, ensureDeferred, succeed
from twisted.internet.task import Clock
from twisted.python.failure import Failure
from twisted.web.client import ResponseDone
from twisted.web.http_headers import Headers

from egretlanding.exceptions import PlatformError
from egretlanding.release import MAX_VALUE_BYTES
from egretlanding.storeclient import READ_TIMEOUT_S, StoreClient


class Response:
    """An HTTP response; without a body it never completes."""

    code = 200
    length = 1

    def __init__(
        self, revision: str, body: bytes | None, era: str = '0'
    ) -> None:
        """Stores the headers and the body."""
        self.headers = Headers({'x-revision': [revision], 'x-era': [era]})
        self.body = body

    def deliverBody(self, protocol: Any) -> None:
        """Delivers the body, if there is one."""
        if self.body is not None:
            protocol.dataReceived(self.body)
            protocol.connectionLost(Failure(ResponseDone()))


class Agent:
    """An HTTP agent that always gives the same response, or none."""

    def __init__(self, response: Response | None) -> None:
        """Stores the response."""
        self.response = response
        self.url = ''

    def request(self, _method: bytes, url: bytes, *_rest: Any) -> Deferred[Any]:
        """Returns the response, or a deferred that never fires."""
        self.url = url.decode()
        return succeed(self.response) if self.response else Deferred()


def read(response: Response | None) -> Deferred[Any]:
    """Starts to read a key and advances the clock by the read timeout."""
    clock = Clock()
    client = StoreClient(clock, 'http://store', Agent(response))
    reading = ensureDeferred(client.read('release/head'))
    clock.advance(READ_TIMEOUT_S)
    return reading


def failure_of(reading: Deferred[Any]) -> Any:
    failures: list[Any] = []
    reading.addErrback(failures.append)
    assert failures, 'the read has not failed'
    return failures[0].value


def test_a_complete_answer_is_returned() -> None:
    values: list[Any] = []
    read(Response('7', b'x')).addCallback(values.append)
    assert (values[0].revision, values[0].body) == (7, b'x')


@pytest.mark.parametrize('revision', ['', 'seven', '-1', str(2**63), '9' * 99])
def test_a_malformed_revision_is_a_platform_error(revision: str) -> None:
    error = failure_of(read(Response(revision, b'x')))
    assert isinstance(error, PlatformError), repr(error)


# Failure: what a store wrote after it was restored from an older copy counted
# as earlier than what it had lost, since its revisions began anew.
@given(
    st.tuples(st.integers(0, 9), st.integers(1, 99)),
    st.tuples(st.integers(0, 9), st.integers(1, 99)),
)
def test_values_are_ordered_by_era_before_revision(
    first: tuple[int, int], second: tuple[int, int]
) -> None:
    values: list[Any] = []
    for era, revision in (first, second):
        response = Response(str(revision), b'x', str(era))
        read(response).addCallback(values.append)
    revisions = [value.revision for value in values]
    assert (revisions[0] < revisions[1]) == (first < second)
    for (era, revision), value in zip((first, second), values, strict=True):
        asked = parse_qs(url_of_read(after=value.revision))
        assert (asked['era'], asked['after']) == ([str(era)], [str(revision)])


def url_of_read(after: int) -> str:
    """Returns the query with which a client asks for a later value."""
    agent = Agent(None)
    client = StoreClient(Clock(), 'http://store', agent)
    reading = ensureDeferred(client.read('release/head', after))
    reading.addErrback(lambda _failure: None)
    reading.cancel()
    return agent.url.partition('?')[2]


@pytest.mark.parametrize('era', ['', 'one', '-1', str(2**23)])
def test_a_malformed_era_is_a_platform_error(era: str) -> None:
    error = failure_of(read(Response('7', b'x', era)))
    assert isinstance(error, PlatformError), repr(error)


@pytest.mark.parametrize('response', [None, Response('7', None)])
def test_a_read_timeout_is_a_platform_error(response: Response | None) -> None:
    error = failure_of(read(response))
    assert isinstance(error, PlatformError), repr(error)


def test_a_cancelled_read_is_a_platform_error() -> None:
    client = StoreClient(Clock(), 'http://store', Agent(None))
    reading = ensureDeferred(client.read('release/head'))
    reading.cancel()
    assert isinstance(failure_of(reading), PlatformError)


class EndlessResponse(Response):
    """An HTTP response whose body never ends."""

    def __init__(self, piece: bytes) -> None:
        """Stores a piece of the body."""
        super().__init__('7', None)
        self.piece = piece
        self.taken_bytes = 0
        self.protocol: Any = None
        self.aborted = False

    def deliverBody(self, protocol: Any) -> None:
        """Delivers pieces up to twice the size limit."""
        self.protocol = protocol
        protocol.makeConnection(self)
        while not self.aborted and self.taken_bytes < 2 * MAX_VALUE_BYTES:
            protocol.dataReceived(self.piece)
            self.taken_bytes += len(self.piece)

    def abortConnection(self) -> None:
        """Closes the connection."""
        self.aborted = True

    loseConnection = abortConnection


# A value without end was collected in memory, also after the read had failed.
def test_a_value_without_end_is_cut_at_its_limit() -> None:
    response = EndlessResponse(b'x' * 65_536)
    error = failure_of(read(response))
    assert isinstance(error, PlatformError), repr(error)
    assert response.aborted
    assert response.taken_bytes <= MAX_VALUE_BYTES + 2 * 65_536


# A value that dripped on after its read had failed kept its connection open.
def test_a_value_without_end_is_cut_after_its_timeout() -> None:
    response = EndlessResponse(b'')
    response.taken_bytes = 2 * MAX_VALUE_BYTES
    error = failure_of(read(response))
    assert isinstance(error, PlatformError), repr(error)
    assert not response.aborted
    response.protocol.dataReceived(b'x')
    assert response.aborted
