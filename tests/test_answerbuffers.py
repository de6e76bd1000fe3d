"""Tests of the bound on all answers that arrive at the same time."""

import sys

import attrs
from hypothesis import given
from hypothesis import strategies as st

from egretlanding.answerbuffers import MAX_FULL_BODIES, AnswerBuffers
from egretlanding.httpclient import HttpClient
from egretlanding.httpmessages import HttpResponse
from tests.wires import attach

MAX_BODY_BYTES = 100
CONNECTIONS = 2 * MAX_FULL_BODIES
HEAD = b'HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n'


@attrs.define(eq=False)
class Arrival:
    """An answer that arrives in pieces.

    Attributes:
        client: The connection.
        size: Size of its body, bytes.
        sent: Bytes of the body that were sent.
        reported: What the connection has reported.
    """

    client: HttpClient
    size: int
    sent: int = 0
    reported: list[HttpResponse | None] = attrs.field(factory=list)

    @classmethod
    def begin(cls, buffers: AnswerBuffers, size: int) -> 'Arrival':
        """Sends the head of an answer."""
        client = HttpClient(lambda _client: None, buffers)
        attach(client)
        arrival = cls(client, size)
        client.send(b'', arrival.reported.append)
        client.dataReceived(HEAD % size)
        return arrival

    def send(self, size: int) -> None:
        """Sends a piece of the body, unless the answer has ended."""
        if not self.reported:
            piece = min(size, self.size - self.sent)
            self.sent += piece
            self.client.dataReceived(b'x' * piece)


# Failure: of many long answers at once each was bounded, and not their sum. One
# that is cut must never look complete.
@given(
    st.lists(
        st.integers(1, MAX_BODY_BYTES),
        min_size=CONNECTIONS,
        max_size=CONNECTIONS,
    ),
    st.lists(
        st.tuples(
            st.integers(0, CONNECTIONS - 1), st.integers(1, MAX_BODY_BYTES)
        ),
        max_size=150,
    ),
)
def test_all_answers_together_keep_to_their_bound(
    sizes: list[int], pieces: list[tuple[int, int]]
) -> None:
    buffers = AnswerBuffers(MAX_BODY_BYTES)
    arrivals = [Arrival.begin(buffers, size) for size in sizes]
    for number, size in pieces:
        arrivals[number].send(size)
        held = sum(
            len(arrival.client.body)
            for arrival in arrivals
            if not arrival.reported
        )
        assert held == buffers.total_bytes
        assert held <= buffers.max_total_bytes
    for arrival in arrivals:
        arrival.send(MAX_BODY_BYTES)
        whole = HttpResponse(200, [], b'x' * arrival.size)
        assert arrival.reported in ([whole], [None])
    assert not buffers.total_bytes
    assert not buffers.sizes


def test_only_the_longest_answer_is_cut() -> None:
    buffers = AnswerBuffers(MAX_BODY_BYTES)
    arrivals = [
        Arrival.begin(buffers, MAX_BODY_BYTES)
        for _ in range(MAX_FULL_BODIES + 2)
    ]
    for arrival in arrivals[1:-1]:
        arrival.send(MAX_BODY_BYTES - 1)
    arrivals[0].send(MAX_FULL_BODIES)
    assert not any(arrival.reported for arrival in arrivals)
    arrivals[-1].send(1)
    cut = [
        number for number, arrival in enumerate(arrivals) if arrival.reported
    ]
    assert len(cut) == 1
    assert cut[0] not in {0, len(arrivals) - 1}


# Failure: each idle connection held the last body, so that long answers on many
# connections, one after the other, took memory for good.
def test_an_idle_connection_holds_no_body() -> None:
    arrival = Arrival.begin(AnswerBuffers(), 1_000_000)
    arrival.send(1_000_000)
    assert arrival.reported == [HttpResponse(200, [], bytes(b'x' * 1_000_000))]
    assert arrival.client.usable
    assert sys.getsizeof(arrival.client.body) < 1_000
