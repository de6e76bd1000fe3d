"""Tests of the connections that a daemon keeps open for the exchange."""

import asyncio

from egretlanding.exchange import MAX_CHANNELS, ExchangeClient
from egretlanding.hosts import Host
from egretlanding.traffic import Traffic


def make_host(number: int) -> Host:
    return Host(f'h{number}', '127.0.0.1', 1, 2, 3 + number, 'r', 'd', 's')


def test_only_idle_connections_are_closed_over_the_limit() -> None:
    async def run() -> None:
        client = ExchangeClient(make_host(0), Traffic())
        busy = client.channel_to(make_host(1))
        async with busy.lock:
            assert client.channel_to(make_host(1)) is busy
            for number in range(2, 3 * MAX_CHANNELS):
                latest = client.channel_to(make_host(number))
            assert len(client.channels) == MAX_CHANNELS
            assert {busy, latest} <= set(client.channels.values())
        client.close()

    asyncio.run(run())
