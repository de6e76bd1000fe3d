"""Tests that checks of a target end, whatever it sends."""

from twisted.internet.task import Clock

from egretlanding.targethealth import (
    CHECK_TIMEOUT_S,
    PROBE_TIMEOUT_S,
    TargetHealth,
)
from tests.wires import WirePool

UNFINISHED = b'HTTP/1.1 200 OK\r\n\r\nx'
REPORT = b'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}'


def connect() -> tuple[TargetHealth, WirePool, Clock]:
    """Returns the health of a target, its connections and their clock."""
    clock = Clock()
    pool = WirePool(clock, '127.0.0.1', 1, limit=4)
    return TargetHealth(clock, pool), pool, clock


def drip(pool: WirePool, clock: Clock, seconds: float) -> None:
    """Sends a byte on the first connection ten times a second."""
    client = pool.clients[0]
    for _ in range(int(seconds * 10)):
        clock.advance(0.1)
        if client.on_response:
            client.dataReceived(b'x')


# A check whose answer never ended kept the target down after it had recovered.
def test_a_check_without_end_is_given_up() -> None:
    health, pool, clock = connect()
    health.start()
    pool.clients[0].dataReceived(UNFINISHED)
    drip(pool, clock, CHECK_TIMEOUT_S + 0.3)
    assert not pool.clients[0].transport.connected
    assert len(pool.clients) == 2
    pool.clients[1].dataReceived(REPORT)
    assert health.up
    health.stop()


# The connection of a probe whose answer never ended stayed open.
def test_a_probe_without_end_is_closed_at_its_timeout() -> None:
    health, pool, clock = connect()
    reported: list[bool] = []
    health.probe(reported.append)
    pool.clients[0].dataReceived(UNFINISHED)
    drip(pool, clock, PROBE_TIMEOUT_S + 0.1)
    assert reported == [True]
    assert not pool.clients[0].transport.connected
    assert not pool.open_count
