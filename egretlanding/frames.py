"""The messages that carry calls between daemons.

The classes are msgspec structs, not attrs classes: they are encoded and
decoded for each call, and structs take a fraction of the processor time.
"""

import enum

import msgspec

from egretlanding.exceptions import FrameError

MAX_FRAME_BYTES = 4_194_304

Headers = list[tuple[str, str]]


class Ran(enum.StrEnum):
    """Whether a call ran at a target."""

    YES = 'yes'
    NOT_RUN = 'no'
    UNKNOWN = 'unknown'


class Message(msgspec.Struct, frozen=True, array_like=True):
    """The base of all messages between daemons."""


class Hello(Message, frozen=True, tag='hello'):
    """Opens a connection between daemons.

    Attributes:
        host_id: The sender's host.
        incarnation: Start time of the sender, ns since the epoch.
    """

    host_id: str
    incarnation: int


class CallRequest(Message, frozen=True, tag='call'):
    """Asks the daemon beside a target to run a call.

    Attributes:
        call_id: Number of the call, unique on the connection.
        method: HTTP method.
        path: HTTP request target.
        headers: Headers to pass on.
        body: The request's body.
        route: Name of the route that matched, empty if none.
        remaining_ms: Time left until the deadline, ms.
        depth: Number of calls above this one.
        key: Idempotency key, or empty.
        idempotent: Whether the release says that the call may run twice.
    """

    call_id: int
    method: str
    path: str
    headers: Headers
    body: bytes
    route: str
    remaining_ms: int
    depth: int = 0
    key: str = ''
    idempotent: bool = False


class CallReply(Message, frozen=True, tag='reply'):
    """Answers a call request.

    Attributes:
        call_id: Number of the call.
        status: HTTP status.
        headers: Headers to pass back.
        body: The answer's whole body.
        ran: Whether the call ran at a target.
        reason: Why the call was refused, empty for an answer.
    """

    call_id: int
    status: int
    headers: Headers
    body: bytes
    ran: Ran = Ran.YES
    reason: str = ''


class Cancel(Message, frozen=True, tag='cancel'):
    """Tells that the answer to a call is no longer wanted.

    Attributes:
        call_id: Number of the call.
    """

    call_id: int


class Leaving(Message, frozen=True, tag='leaving'):
    """Tells that the sender takes no new calls."""


AnyMessage = Hello | CallRequest | CallReply | Cancel | Leaving

ENCODER = msgspec.msgpack.Encoder()
DECODER = msgspec.msgpack.Decoder(AnyMessage)


def encode_message(message: AnyMessage) -> bytes:
    """Encodes a message as msgpack."""
    return ENCODER.encode(message)


def decode_message(frame: bytes) -> AnyMessage:
    """Decodes a message.

    Raises:
        FrameError: The frame isn't a message that this version knows.
    """
    try:
        return DECODER.decode(frame)
    except msgspec.MsgspecError as error:
        raise FrameError(
            f'a frame between daemons is malformed ({error})',
            'run the same version of egretlandingd on every host',
        ) from error
