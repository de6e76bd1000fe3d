"""The baseline of lab.fleet: every daemon watches the store itself."""

from typing import Any

from lab.store import READ_OVERHEAD_BYTES, STORE

STORE_READS_PER_S = 2_000
RELEASES = 20
RELEASE_GAP_S = 10
WATCH_POLL_S = 30


def converge_by_store(fleet: Any) -> list[float]:
    """Computes the convergence of daemons that all watch the store.

    Each change answers every waiting read; each daemon then reads the changed
    parts and waits for the next change. The store serves `STORE_READS_PER_S`
    reads a second, so that the daemons get their answers one after another.

    Returns:
        Convergence at p50, p99 and max, seconds; bytes over the link per
        idle second and per change; reads of the store per idle second and
        per change.
    """
    network, clock = fleet.network, fleet.model
    parts_held: set[str] = set()
    times: list[float] = []
    link_bytes = 0
    reads = 0
    for _ in range(RELEASES):
        head, _parts = fleet.publish_change().to_parts()
        missing = [part for part in head.parts if part.digest not in parts_held]
        parts_held = {part.digest for part in head.parts}
        size = sum(part.size + READ_OVERHEAD_BYTES for part in missing)
        size += READ_OVERHEAD_BYTES
        clock.advance(RELEASE_GAP_S)
        for index, host in enumerate(fleet.hosts):
            wait_s = index * (1 + len(missing)) / STORE_READS_PER_S
            times.append(wait_s + network.delays(STORE, host.host_id, size)[0])
            reads += 1 + len(missing)
            link_bytes += size * network.is_link(STORE, host.host_id)
    ordered = sorted(times)
    daemons = len(fleet.hosts)
    remote_hosts = sum(
        network.is_link(STORE, candidate.host_id) for candidate in fleet.hosts
    )
    return [
        ordered[len(ordered) // 2],
        ordered[int(len(ordered) * 0.99)],
        ordered[-1],
        remote_hosts * READ_OVERHEAD_BYTES / WATCH_POLL_S,
        link_bytes / RELEASES,
        daemons / WATCH_POLL_S,
        reads / RELEASES,
    ]
