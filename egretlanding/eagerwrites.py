"""Writes at once to TCP connections, and notices those that fell silent."""

import socket
from typing import Any

# Where Twisted keeps what it has not tried to send yet.
UNTRIED = '_tempDataBuffer'
# Probes begin after a second without traffic and end the connection after
# two more seconds without an answer; unanswered bytes end it as late.
SILENCE_OPTIONS = (
    (socket.TCP_KEEPIDLE, 1),
    (socket.TCP_KEEPINTVL, 1),
    (socket.TCP_KEEPCNT, 2),
    (socket.TCP_USER_TIMEOUT, 3_000),
)


def write_now(transport: Any, encoded: bytes) -> None:
    """Sends bytes at once if none wait before them.

    Twisted's `write` asks the event loop when the socket takes bytes, which
    costs three system calls more. What can't be sent at once goes that way.

    Args:
        transport: A TCP transport, or one that only knows `write`.
        encoded: The bytes.
    """
    sent = 0
    if may_send(transport):
        taken = transport.writeSomeData(encoded)
        # Anything but a count tells of an error, which `write` reports.
        sent = taken if isinstance(taken, int) else 0
    if sent < len(encoded):
        transport.write(encoded[sent:])


def may_send(transport: Any) -> bool:
    """Tells whether bytes can be sent past Twisted's own buffers."""
    if not hasattr(transport, 'writeSomeData') or transport.disconnecting:
        return False
    waiting = transport.dataBuffer or getattr(transport, UNTRIED)
    return transport.connected and not waiting


def watch_silence(transport: Any) -> None:
    """Has the kernel end a connection whose other side fell silent.

    Args:
        transport: A TCP transport, or one of a test, which is left alone.
    """
    if not hasattr(transport, 'getHandle'):
        return
    handle = transport.getHandle()
    transport.setTcpKeepAlive(True)
    for option, setting in SILENCE_OPTIONS:
        handle.setsockopt(socket.IPPROTO_TCP, option, setting)
