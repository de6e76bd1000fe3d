"""An open-loop load: calls are sent at planned times, whatever the answers.

Latency is measured from the planned time of a call, so that delays of the load
generator itself aren't hidden.
"""

import asyncio
import random
import time
from collections.abc import Callable, Iterable, Sequence

import attrs

PERCENTILES = (0.5, 0.99, 0.999)
MS_PER_S = 1_000
LAST_CHUNK = b'\r\n0\r\n\r\n'
# Calls in this first part of each run open connections and are not counted.
WARM_UP_S = 1


@attrs.frozen
class Call:
    """One call of the load.

    Attributes:
        due_at: Planned time to send it, seconds from the start of the run.
        port: Port of the daemon or target that it is sent to.
        request: The encoded request.
        kind: Label by which outcomes are grouped.
    """

    due_at: float
    port: int
    request: bytes
    kind: str


@attrs.frozen
class Outcome:
    """The outcome of one call.

    Attributes:
        call: The call.
        latency: Time from when the call was due to its answer, seconds.
        status: HTTP status, or 0 if the connection failed.
    """

    call: Call
    latency: float
    status: int


@attrs.define
class ConnectionPool:
    """Persistent connections to one port.

    Attributes:
        port: The port, on this machine.
        idle_connections: Open connections that no request uses.
    """

    port: int
    idle_connections: list[
        tuple[asyncio.StreamReader, asyncio.StreamWriter]
    ] = attrs.field(
        factory=list,
    )

    async def send(self, request: bytes) -> int:
        """Sends a request and returns the status of its answer."""
        if self.idle_connections:
            reader, writer = self.idle_connections.pop()
        else:
            reader, writer = await asyncio.open_connection(
                '127.0.0.1',
                self.port,
            )
        writer.write(request)
        head = await reader.readuntil(b'\r\n\r\n')
        status = int(head[9:12])
        await read_body(reader, head.lower())
        if b'connection: close' in head.lower():
            writer.close()
        else:
            self.idle_connections.append((reader, writer))
        return status

    def close(self) -> None:
        """Closes the idle connections."""
        for _, writer in self.idle_connections:
            writer.close()


async def read_body(reader: asyncio.StreamReader, head: bytes) -> None:
    """Reads the body of an answer.

    Args:
        reader: The connection.
        head: The status line and header fields in lower case.
    """
    _, has_length, rest = head.partition(b'content-length:')
    if has_length:
        await reader.readexactly(int(rest.partition(b'\r\n')[0]))
    else:
        await reader.readuntil(LAST_CHUNK)


def encode_request(
    method: str,
    path: str,
    body: bytes = b'',
    **headers: object,
) -> bytes:
    """Encodes a request; header names have underscores for hyphens."""
    lines = [f'{method} {path} HTTP/1.1', 'host: lab']
    lines.extend(
        f'{name.replace("_", "-")}: {value}' for name, value in headers.items()
    )
    lines.append(f'content-length: {len(body)}')
    head = '\r\n'.join(lines).encode()
    return b'%s\r\n\r\n%s' % (head, body)


def schedule_calls(
    rate: Callable[[float], float],
    duration_s: float,
    make_call: Callable[[float, random.Random], Call],
    seed: int,
) -> list[Call]:
    """Returns calls at random times.

    Args:
        rate: Calls per second by time since the start, seconds.
        duration_s: Length of the run, seconds.
        make_call: Returns the call that is due at a time.
        seed: Seed of the random times and calls.
    """
    rng = random.Random(seed)
    calls = []
    now: float = 0
    while now < duration_s:
        now += rng.expovariate(rate(now))
        calls.append(make_call(now, rng))
    return calls


async def send_all(calls: Iterable[Call]) -> list[Outcome]:
    """Sends each call when it is due."""
    pools: dict[int, ConnectionPool] = {}
    outcomes: list[Outcome] = []
    started_at = time.perf_counter()

    async def send(call: Call) -> None:
        pool = pools.setdefault(call.port, ConnectionPool(call.port))
        try:
            status = await pool.send(call.request)
        except (OSError, asyncio.IncompleteReadError):
            status = 0
        latency = time.perf_counter() - started_at - call.due_at
        outcomes.append(Outcome(call, latency, status))

    tasks = set()
    for call in calls:
        delay = call.due_at - (time.perf_counter() - started_at)
        if delay > 0:
            await asyncio.sleep(delay)
        tasks.add(asyncio.ensure_future(send(call)))
    await asyncio.gather(*tasks)
    for pool in pools.values():
        pool.close()
    return [outcome for outcome in outcomes if outcome.call.due_at > WARM_UP_S]


def run_load(calls: Iterable[Call]) -> list[Outcome]:
    """Sends all calls and returns their outcomes."""
    return asyncio.run(send_all(calls))


def percentile(values: Sequence[float], share: float) -> float:
    """Returns the value that a share of the values doesn't exceed."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def latencies_ms(outcomes: Iterable[Outcome], kind: str = '') -> list[float]:
    """Returns the latencies of the calls that were answered, ms."""
    return [
        outcome.latency * MS_PER_S
        for outcome in outcomes
        if outcome.status == 200 and outcome.call.kind.startswith(kind)
    ]


def summarise(outcomes: Sequence[Outcome], kind: str = '') -> list[str]:
    """Returns the cells of a table: calls, answered, percentiles in ms."""
    selected = [
        outcome for outcome in outcomes if outcome.call.kind.startswith(kind)
    ]
    latencies = latencies_ms(selected)
    cells = [
        str(len(selected)),
        f'{len(latencies) / max(1, len(selected)):.1%}',
    ]
    cells.extend(
        f'{percentile(latencies, share):.2f}' if latencies else '-'
        for share in PERCENTILES
    )
    return cells


def format_table(headings: Sequence[str], rows: Iterable[Sequence[str]]) -> str:
    """Returns a Markdown table."""
    lines = [headings, ['---'] * len(headings), *rows]
    return '\n'.join(f'| {" | ".join(line)} |' for line in lines)
