"""The connection of one kind of call to one daemon, opened when needed."""

import enum

import attrs

from egretlanding.frames import CallReply, CallRequest, refusal_reply
from egretlanding.outcomes import Reason, Refusal
from egretlanding.peers import OnReply, PeerConnection
from egretlanding.silentconnections import SilentConnections

BACKOFF_FIRST_S = 0.1
BACKOFF_LONGEST_S = 2
IDLE_LIMIT_S = 120
# Time after its last use from which a connection gets no heartbeats, seconds.
REST_AFTER_S = 3
# Calls with a request or answers above this size use the bulk lane, bytes.
# Their frames would delay the small ones that are sent after them.
BULK_BYTES = 16_384


class Lane(enum.Enum):
    """The two kinds of connections to one daemon."""

    SHORT = enum.auto()
    BULK = enum.auto()


@attrs.define(eq=False)
class PendingCall:
    """A call that is to be sent or was sent to another daemon.

    Attributes:
        request: The call.
        on_reply: Called once with the reply.
        connection: The connection that carries it, None before it is sent.
        call_id: Number of the call on that connection.
        cancelled: Whether the call was abandoned.
    """

    request: CallRequest
    on_reply: OnReply
    connection: PeerConnection | None = None
    call_id: int = 0
    cancelled: bool = False

    def send(self, connection: PeerConnection) -> None:
        """Sends the call unless it was cancelled."""
        if self.cancelled:
            return
        self.connection = connection
        self.call_id = connection.call(self.request, self.on_reply)

    def is_sent(self) -> bool:
        """Returns whether any byte of the call may have left this daemon."""
        return self.connection is not None

    def cancel(self) -> None:
        """Abandons the call; its reply is dropped."""
        self.cancelled = True
        if self.connection:
            self.connection.cancel(self.call_id)

    def fail(self, detail: str) -> None:
        """Reports that no byte of the call left this daemon."""
        if not self.cancelled:
            self.on_reply(unsent_reply(detail))


@attrs.define(eq=False)
class LaneConnection:
    """The connection of one lane, opened when it is needed.

    Calls are sent only after the hello of the other daemon. Until then, the
    connection may still be waiting in the backlog of a daemon that stops.

    Attributes:
        connection: The last connection, None before the first.
        connecting: Whether a connection is being opened, up to the hello, or
            probed.
        queued: Calls that wait for the hello, or the answer to the probe.
        failures: Consecutive failed attempts to connect.
        backoff_until: Time before which no attempt is made, seconds.
        last_used: Time at which the lane was last used, seconds.
        silent: Earlier connections, on which the daemon fell silent and calls
            are in flight.
    """

    connection: PeerConnection | None = None
    connecting: bool = False
    queued: list[PendingCall] = attrs.field(factory=list)
    failures: int = 0
    backoff_until: float = 0
    last_used: float = 0
    silent: SilentConnections = attrs.field(factory=SilentConnections)

    def is_open(self) -> bool:
        """Returns whether the connection can be used."""
        connection = self.connection
        return (
            connection is not None
            and connection.is_open()
            and connection.peer is not None
        )

    def is_unused(self, now: float) -> bool:
        """Returns whether the lane has had no use for a long time."""
        in_use = self.connecting or self.silent.connections
        return not in_use and now - self.last_used > IDLE_LIMIT_S

    def rests(self, now: float) -> bool:
        """Returns whether the connection is unused, so has no heartbeats."""
        is_idle = self.connection is not None and self.connection.is_idle()
        unused_s = now - self.last_used
        return is_idle and not self.connecting and unused_s > REST_AFTER_S

    def set_aside(self, connection: PeerConnection) -> None:
        """Leaves a silent connection to its calls in flight."""
        self.connection = None
        self.silent.add(connection)

    def record_failure(self, now: float) -> list[PendingCall]:
        """Sets the backoff and returns the calls that can't be sent."""
        pause = BACKOFF_FIRST_S * 2**self.failures
        self.failures += 1
        self.backoff_until = now + min(BACKOFF_LONGEST_S, pause)
        self.connecting = False
        queued = self.queued
        self.queued = []
        return queued

    def record_success(self) -> list[PendingCall]:
        """Returns the calls that wait for the connection."""
        self.connecting = False
        self.failures = 0
        queued = self.queued
        self.queued = []
        return queued


def lane_for(size: int, is_long: bool) -> Lane:
    """Returns the lane for a call.

    Args:
        size: Size of the request or of the answers of its route, bytes.
        is_long: Whether the route declares long work.
    """
    return Lane.BULK if is_long or size > BULK_BYTES else Lane.SHORT


def unsent_reply(detail: str) -> CallReply:
    """Returns the reply for a call of which no byte left this daemon."""
    return refusal_reply(0, Refusal.not_run(Reason.NO_TARGET, detail))
