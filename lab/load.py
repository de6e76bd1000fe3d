"""An open-loop load: calls are sent at their time, whatever the answers.

Latency counts from the time at which a call was meant to be sent, so that
waits of the load itself aren't hidden.
"""

import asyncio
import random
import time
from collections.abc import Callable, Iterable, Sequence

import attrs

PERCENTILES = (0.5, 0.99, 0.999)
MS_PER_S = 1_000
LAST_CHUNK = b'\r\n0\r\n\r\n'
# The first part of each run warms up connections and is not counted.
WARM_UP_S = 1


@attrs.frozen
class Call:
    """One call of the load.

    Attributes:
        due: When it is to be sent, seconds from the start of the run.
        port: Port of the daemon or target that gets it.
        encoded: The request.
        kind: What it is counted as.
    """

    due: float
    port: int
    encoded: bytes
    kind: str


@attrs.frozen
class Outcome:
    """What became of one call.

    Attributes:
        call: The call.
        latency: From the time when it was due to its answer, seconds.
        status: HTTP status, or 0 if the connection was cut.
    """

    call: Call
    latency: float
    status: int


@attrs.define
class Pool:
    """Kept connections to one port."""

    port: int
    idle: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = attrs.field(
        factory=list,
    )

    async def send(self, encoded: bytes) -> int:
        """Sends a request and returns the status of its answer."""
        if self.idle:
            reader, writer = self.idle.pop()
        else:
            reader, writer = await asyncio.open_connection(
                '127.0.0.1',
                self.port,
            )
        writer.write(encoded)
        head = await reader.readuntil(b'\r\n\r\n')
        status = int(head[9:12])
        await read_body(reader, head.lower())
        if b'connection: close' in head.lower():
            writer.close()
        else:
            self.idle.append((reader, writer))
        return status

    def close(self) -> None:
        """Closes the kept connections."""
        for _, writer in self.idle:
            writer.close()


async def read_body(reader: asyncio.StreamReader, head: bytes) -> None:
    """Reads the body that a head in lower case announces."""
    _, found, rest = head.partition(b'content-length:')
    if found:
        await reader.readexactly(int(rest.partition(b'\r\n')[0]))
    else:
        await reader.readuntil(LAST_CHUNK)


def encode(
    method: str,
    path: str,
    body: bytes = b'',
    **headers: object,
) -> bytes:
    """Encodes a request; header names use underscores."""
    lines = [f'{method} {path} HTTP/1.1', 'host: lab']
    lines.extend(
        f'{name.replace("_", "-")}: {text}' for name, text in headers.items()
    )
    lines.append(f'content-length: {len(body)}')
    head = '\r\n'.join(lines).encode()
    return b'%s\r\n\r\n%s' % (head, body)


def schedule(
    rate: Callable[[float], float],
    duration_s: float,
    make: Callable[[float, random.Random], Call],
    seed: int,
) -> list[Call]:
    """Draws calls at random times.

    Args:
        rate: Calls a second, by seconds from the start.
        duration_s: Length of the run, seconds.
        make: Makes the call that is due at a time.
        seed: Seed of the random times.
    """
    rng = random.Random(seed)
    calls = []
    now: float = 0
    while now < duration_s:
        now += rng.expovariate(rate(now))
        calls.append(make(now, rng))
    return calls


async def send_all(calls: Iterable[Call]) -> list[Outcome]:
    """Sends each call at its time."""
    pools: dict[int, Pool] = {}
    outcomes: list[Outcome] = []
    began = time.perf_counter()

    async def send(call: Call) -> None:
        pool = pools.setdefault(call.port, Pool(call.port))
        try:
            status = await pool.send(call.encoded)
        except (OSError, asyncio.IncompleteReadError):
            status = 0
        latency = time.perf_counter() - began - call.due
        outcomes.append(Outcome(call, latency, status))

    tasks = set()
    for call in calls:
        delay = call.due - (time.perf_counter() - began)
        if delay > 0:
            await asyncio.sleep(delay)
        tasks.add(asyncio.ensure_future(send(call)))
    await asyncio.gather(*tasks)
    for pool in pools.values():
        pool.close()
    return [entry for entry in outcomes if entry.call.due > WARM_UP_S]


def run_load(calls: Iterable[Call]) -> list[Outcome]:
    """Runs a load to its end."""
    return asyncio.run(send_all(calls))


def percentile(values: Sequence[float], share: float) -> float:
    """Returns the value that a share of the values does not exceed."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def latencies_ms(outcomes: Iterable[Outcome], kind: str = '') -> list[float]:
    """Returns the latencies of the calls that were answered, ms."""
    return [
        entry.latency * MS_PER_S
        for entry in outcomes
        if entry.status == 200 and entry.call.kind.startswith(kind)
    ]


def summarise(outcomes: Sequence[Outcome], kind: str = '') -> list[str]:
    """Returns the cells of a table: calls, answered, percentiles in ms."""
    wanted = [entry for entry in outcomes if entry.call.kind.startswith(kind)]
    times = latencies_ms(wanted)
    cells = [str(len(wanted)), f'{len(times) / max(1, len(wanted)):.1%}']
    cells.extend(
        f'{percentile(times, share):.2f}' if times else '-'
        for share in PERCENTILES
    )
    return cells


def table(heads: Sequence[str], rows: Iterable[Sequence[str]]) -> str:
    """Returns a Markdown table."""
    lines = [heads, ['---'] * len(heads), *rows]
    return '\n'.join(f'| {" | ".join(line)} |' for line in lines)
