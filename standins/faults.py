"""The network faults that a fault proxy can inject into its links."""

import attrs

LOOPBACK = '127.0.0.1'
CORRUPTION_MASK = 0x55


@attrs.frozen(kw_only=True)
class DirectionFaults:
    """The faults in one direction of a link.

    Attributes:
        blackhole: Whether bytes are held back until the fault is removed.
        delay_ms: Delay added to all bytes, ms.
        bytes_per_s: Rate limit, bytes per second; zero means none.
        close_after: Number of bytes after which the connection is closed.
        corrupt_after: Number of bytes after which all bytes are corrupted.
    """

    blackhole: bool = False
    delay_ms: float = 0
    bytes_per_s: int = 0
    close_after: int | None = None
    corrupt_after: int | None = None


@attrs.frozen(kw_only=True)
class LinkRule:
    """The faults of a link for clients with certain addresses.

    Attributes:
        sources: Prefixes of the client addresses that the rule applies to.
        cut: Whether connections are reset, open ones and new ones.
        to_server: Faults of the bytes sent to the process behind the link.
        to_client: Faults of the bytes sent to the client.
    """

    sources: tuple[str, ...] = ('',)
    cut: bool = False
    to_server: DirectionFaults = DirectionFaults()
    to_client: DirectionFaults = DirectionFaults()


NO_FAULTS = LinkRule()


@attrs.frozen(kw_only=True)
class LinkRequest:
    """The request to open a link; the answer is its listening port.

    Attributes:
        name: The link's name.
        target_port: The port that connections are forwarded to.
        target_address: The address that connections are forwarded to.
        port: The port to listen on, or zero for any free port.
        address: The address to listen on.
    """

    name: str
    target_port: int
    target_address: str = LOOPBACK
    port: int = 0
    address: str = LOOPBACK


def apply_faults(faults: DirectionFaults, chunk: bytes, offset: int) -> bytes:
    """Returns a chunk of bytes truncated or corrupted as the faults specify.

    Args:
        faults: The faults.
        chunk: The bytes.
        offset: Number of bytes that the connection carried before the chunk.
    """
    if faults.close_after is not None:
        chunk = chunk[: max(0, faults.close_after - offset)]
    if faults.corrupt_after is not None:
        intact = max(0, faults.corrupt_after - offset)
        corrupted = bytes(octet ^ CORRUPTION_MASK for octet in chunk[intact:])
        chunk = chunk[:intact] + corrupted
    return chunk
