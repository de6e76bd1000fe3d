"""Immediate writes to TCP connections, and TCP keep-alive."""

import fcntl
import socket
import termios
from typing import Any

import attrs
from twisted.internet.interfaces import IPullProducer
from zope.interface import implementer

# Name of the attribute in which Twisted keeps bytes that it has not yet tried
# to send.
UNTRIED_BUFFER = '_tempDataBuffer'
# Bytes that are copied from a long body at a time.
PIECE_BYTES = 65_536
INT_BYTES = 4
# The kernel probes after 1 s without traffic and ends the connection after 2 s
# more without an acknowledgement. Unacknowledged bytes end it after 3 s too.
KEEPALIVE_OPTIONS = (
    (socket.TCP_KEEPIDLE, 1),
    (socket.TCP_KEEPINTVL, 1),
    (socket.TCP_KEEPCNT, 2),
    (socket.TCP_USER_TIMEOUT, 3_000),
)


def write_now(transport: Any, encoded: bytes) -> bool:
    """Sends bytes at once if no earlier bytes are waiting.

    Twisted's `write` waits until the event loop reports the socket as
    writable, which costs three more system calls. It is used for the bytes
    that can't be sent at once.

    Args:
        transport: A TCP transport, or one that only has `write`.
        encoded: The bytes to send.

    Returns:
        Whether the kernel has accepted all of them.
    """
    sent = 0
    if can_write_now(transport):
        written = transport.writeSomeData(encoded)
        # Anything but a count means an error, which `write` reports.
        sent = written if isinstance(written, int) else 0
    if sent == len(encoded):
        return True
    transport.write(encoded[sent:])
    return False


def can_write_now(transport: Any) -> bool:
    """Returns whether bytes can be sent without Twisted's write buffers."""
    if not hasattr(transport, 'writeSomeData') or transport.disconnecting:
        return False
    waiting = transport.dataBuffer or getattr(transport, UNTRIED_BUFFER)
    return transport.connected and not waiting


def unsent_bytes(transport: Any) -> int:
    """Returns the number of bytes that the kernel has not yet accepted.

    Args:
        transport: A TCP transport, or one that only has `write`.
    """
    if not hasattr(transport, 'dataBuffer'):
        return 0
    untried = sum(map(len, getattr(transport, UNTRIED_BUFFER)))
    return len(transport.dataBuffer) - int(transport.offset) + untried


def unread_bytes(transport: Any) -> int:
    """Returns the number of bytes that the other side has not acknowledged.

    Args:
        transport: A TCP transport, or one that only has `write`.
    """
    unsent = unsent_bytes(transport)
    if not unsent or not hasattr(transport, 'getHandle'):
        return unsent
    try:
        queued = fcntl.ioctl(
            transport.getHandle(), termios.TIOCOUTQ, bytes(INT_BYTES)
        )
    except OSError:
        return unsent
    return unsent + int.from_bytes(queued, 'little')


@implementer(IPullProducer)
@attrs.define(eq=False)
class BodyWriter:
    """Writes a long body in pieces, without a second copy of all of it.

    Attributes:
        transport: The transport to write to.
        rest: The part of the body that is not written yet.
    """

    transport: Any
    rest: memoryview

    @classmethod
    def start(cls, transport: Any, body: bytes) -> 'BodyWriter':
        """Begins to write a body behind what was written before."""
        writer = cls(transport, memoryview(body))
        transport.registerProducer(writer, False)
        return writer

    def resumeProducing(self) -> None:
        """Writes the next piece."""
        self.transport.write(bytes(self.rest[:PIECE_BYTES]))
        self.rest = self.rest[PIECE_BYTES:]
        if not self.rest:
            self.transport.unregisterProducer()

    def stopProducing(self) -> None:
        """Drops the rest, since the connection has ended."""
        self.rest = self.rest[:0]


def is_writing_body(transport: Any) -> bool:
    """Returns whether a part of a long body has yet to be written."""
    return isinstance(getattr(transport, 'producer', None), BodyWriter)


def enable_keepalive(transport: Any) -> None:
    """Makes the kernel end connections to an unresponsive other side.

    Args:
        transport: A TCP transport; one without a socket, as in tests, is
            not changed.
    """
    if not hasattr(transport, 'getHandle'):
        return
    handle = transport.getHandle()
    transport.setTcpKeepAlive(True)
    for option, setting in KEEPALIVE_OPTIONS:
        handle.setsockopt(socket.IPPROTO_TCP, option, setting)
