"""The baseline: every daemon watches the store itself."""

from typing import Any

from lab.store import READ_OVERHEAD_BYTES, STORE

STORE_READS_PER_S = 2_000
RELEASES = 20
RELEASE_GAP_S = 10
WATCH_POLL_S = 30


def converge_by_store(fleet: Any) -> list[float]:
    """Publishes releases to daemons that all watch the store.

    A change answers every waiting read; each daemon then reads the changed
    parts and waits again. The store serves `STORE_READS_PER_S`.

    Returns:
        Convergence at p50, p99 and max, seconds; bytes across the link in
        an idle second and per change; reads of the store in an idle second
        and per change.
    """
    network, clock = fleet.network, fleet.model
    held: set[str] = set()
    times: list[float] = []
    link_size = 0
    reads = 0
    for _ in range(RELEASES):
        head, _parts = fleet.change().to_parts()
        missing = [part for part in head.parts if part.digest not in held]
        held = {part.digest for part in head.parts}
        size = sum(part.size + READ_OVERHEAD_BYTES for part in missing)
        size += READ_OVERHEAD_BYTES
        clock.advance(RELEASE_GAP_S)
        for place, host in enumerate(fleet.hosts):
            queued = place * (1 + len(missing)) / STORE_READS_PER_S
            times.append(queued + network.delays(STORE, host.host_id, size)[0])
            reads += 1 + len(missing)
            link_size += size * network.is_link(STORE, host.host_id)
    ordered = sorted(times)
    count = len(fleet.hosts)
    far = sum(network.is_link(STORE, entry.host_id) for entry in fleet.hosts)
    return [
        ordered[len(ordered) // 2],
        ordered[int(len(ordered) * 0.99)],
        ordered[-1],
        far * READ_OVERHEAD_BYTES / WATCH_POLL_S,
        link_size / RELEASES,
        count / WATCH_POLL_S,
        reads / RELEASES,
    ]
