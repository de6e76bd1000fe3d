"""The frames that carry calls between daemons.

The classes are msgspec structs instead of attrs classes, because they are
encoded and decoded for each call and structs take a fraction of the CPU time.
"""

import enum

import msgspec

from egretlanding.exceptions import FrameError
from egretlanding.objects import WorkClass
from egretlanding.outcomes import Execution, Refusal

MAX_FRAME_BYTES = 4_194_304
# Reports carry the start of a process in 2 bytes instead of 8.
BORN_TAGS = 65_536

Headers = list[tuple[str, str]]


class Ran(enum.StrEnum):
    """Whether a call ran at a target."""

    YES = 'yes'
    NOT_RUN = 'no'
    UNKNOWN = 'unknown'


class Frame(msgspec.Struct, frozen=True, array_like=True):
    """The base of all frames between daemons."""


class Hello(Frame, frozen=True, tag='hello'):
    """Opens a connection between daemons.

    Attributes:
        host_id: The sender's host.
        incarnation: Start time of the sender, ns since the epoch.
        ready: Whether the sender accepts calls for its target.
    """

    host_id: str
    incarnation: int
    ready: bool = True


class Statement(Frame, frozen=True):
    """What a target states about itself beside its answers.

    Attributes:
        rate_per_s: Calls a second that it takes from all hosts together, None
            if it names no limit.
        leaving: Whether it is about to stop.
        born_ms: When the process that stated it started, ms since the epoch,
            zero if unknown.
    """

    rate_per_s: float | None = None
    leaving: bool = False
    born_ms: int = 0

    def may_be_of(self, born_ms: int) -> bool:
        """Returns whether a process that started then may have stated it."""
        return 0 in {born_ms, self.born_ms} or born_ms == self.born_ms


NO_STATEMENT = Statement()


class CapacityReport(Frame, frozen=True):
    """What the daemon beside a target has learned about it.

    Attributes:
        limit: Calls that the target takes well at a time.
        speed_percent: Its speed, 100 is usual.
        run_us: Time that the target took for the answered call, microseconds;
            zero in a refusal.
        born: Lowest 16 bits of the start of the target's process in ms since
            the epoch, which tell it from one that was replaced.
    """

    limit: int
    speed_percent: int
    run_us: int = 0
    born: int = 0


class CallRequest(Frame, frozen=True, tag='call'):
    """Asks the daemon beside a target to run a call.

    Fields that derive from the release are set by the ingress daemon, so that
    a call is handled by one release from start to end.

    Attributes:
        call_id: Number of the call, unique on the connection.
        method: HTTP method.
        path: HTTP request target.
        headers: Headers to pass on.
        body: The request's body.
        route: Name of the route that matched.
        remaining_ms: Time left until the deadline, ms.
        short_wait_ms: Maximum wait of a short call behind long ones, ms.
        work: The work class that the route declares.
        idempotent: Whether the release allows the call to run twice.
        key: Idempotency key that the receiver owns, or empty.
        hedge: Whether it is a hedge, sent while another attempt is open.
        instance: The target process that is to run it, or empty for any.
        priority: Rank of the call under overload, 0 is served first.
        patience_ms: Time from now after which an answer is worth less, ms.
        heard: What the sender last heard from `instance`, None if nothing.
            The receiver may have started since and not have heard it.
        regions: The regions that the call is confined to, empty for all.
        usual_us: Usual run time of the route over all targets, microseconds;
            zero if unknown or if the sender doesn't learn it.
        may_retry: Whether the sender would send the call elsewhere if the
            target leaves it unanswered.
    """

    call_id: int
    method: str
    path: str
    headers: Headers
    body: bytes
    route: str
    remaining_ms: int
    short_wait_ms: int
    work: WorkClass = WorkClass.LEARNED
    idempotent: bool = False
    key: str = ''
    hedge: bool = False
    instance: str = ''
    priority: int = 0
    patience_ms: int = 0
    heard: Statement | None = None
    regions: list[str] = []
    usual_us: int = 0
    may_retry: bool = False


class CallReply(Frame, frozen=True, tag='reply'):
    """Replies to a call request.

    Attributes:
        call_id: Number of the call.
        status: HTTP status.
        headers: Headers to pass back to the caller.
        body: The complete body of the answer.
        ran: Whether the call ran at a target.
        reason: Why the call was refused, empty for an answer.
        detail: The circumstances of a refusal, in one clause.
        load: Number of calls running or queued at the target, as a hint.
        arrived: Whether the call reached a target, even one that refused it.
        stated: What the target states about itself, None if unknown.
        capacity: What was learned about the target, None if nothing is.
    """

    call_id: int
    status: int
    headers: Headers
    body: bytes
    ran: Ran = Ran.YES
    reason: str = ''
    detail: str = ''
    load: int = 0
    arrived: bool = True
    stated: Statement | None = None
    capacity: CapacityReport | None = None


class Cancel(Frame, frozen=True, tag='cancel'):
    """Cancels a call whose answer is no longer needed.

    Attributes:
        call_id: Number of the call.
    """

    call_id: int


class Readiness(Frame, frozen=True, tag='readiness'):
    """Reports whether the sender accepts new calls for its target.

    Attributes:
        ready: False while the target drains, is down, or the daemon stops.
    """

    ready: bool


class Suspicion(Frame, frozen=True, tag='suspicion'):
    """Reports a request that was running when targets crashed.

    Attributes:
        kind: The conclusion from the evidence, a value of `FactKind`.
        signature: Signature of the request.
        crashes: Names of the target processes that crashed.
        ttl_ms: Remaining lifetime, ms.
        ages_ms: For each crash, the time since the run of the request began
            and since the crash, ms.
        voided: The crashes after which a run of the request has completed.
        tried: The crashes whose hosts have begun a trial run since.
    """

    kind: str
    signature: str
    crashes: list[str]
    ttl_ms: int
    ages_ms: list[tuple[int, int]] = []
    voided: list[str] = []
    tried: list[str] = []


class HostsState(Frame, frozen=True, tag='hosts'):
    """Reports the held host list to another host of the same service.

    Attributes:
        revision: Revision of the list.
        established: Whether the store has confirmed the service's hosts in
            it for at least `KeyBounds.max_list_age_s`.
        wall_ms: The sender's wall clock, ms since the epoch.
    """

    revision: int
    established: bool
    wall_ms: int


class RecordsState(Frame, frozen=True, tag='records-held'):
    """Reports which records of the store the sender holds.

    Attributes:
        revision: The sender holds all changes up to this revision.
        age_ms: Time since the store confirmed that there are no later
            changes, ms.
        asks: Whether the receiver is to reply with its own state.
        distance_ms: Time that the sender takes to connect to the store, ms.
        era: How often the store had been restored from an older copy, None
            from a daemon of an earlier version, which doesn't know. Positions
            are ordered by era and then by revision.
        topic: What the records are about, empty from an earlier version.
        newest: Revision of the last change of the topic, None if unknown. A
            receiver that holds all changes up to it lacks nothing.
        widest_kbps: Width of the widest link of the sender's host and of those
            that report to it, kbit/s; 0 if unknown.
        widest_host: The host that has that link.
        appoints: Whether the receiver is to read the store for a while,
            because its link is wider than the sender's.
        reads: Whether the sender reads the store on behalf of others.
        stamp: The sender's clock, ms, if it asks; only it reads its clock.
        echo: Stamp of the receiver's last question, 0 if there was none.
        held_ms: Time since that question arrived, ms. With `echo` it tells the
            receiver how old the frame can be at most.
        failure_age_ms: Time since the store last failed a daemon that the
            sender knows of, ms; -1 if it never did.
    """

    revision: int
    age_ms: int
    asks: bool = False
    distance_ms: int = 0
    era: int | None = None
    topic: str = ''
    newest: int | None = None
    widest_kbps: int = 0
    widest_host: str = ''
    appoints: bool = False
    reads: bool = False
    stamp: int = 0
    echo: int = 0
    held_ms: int = 0
    failure_age_ms: int = -1


class RecordsRequest(Frame, frozen=True, tag='records-wanted'):
    """Requests the records that were written after a revision.

    Attributes:
        after: The sender holds all changes up to this revision.
        era: The era of that revision, None from an earlier version.
        topic: What the records are about, empty from an earlier version.
        base: Revision of a record that the sender holds, to which the reply
            may be a difference; 0 for none.
        stamp: The sender's clock, ms.
    """

    after: int
    era: int | None = None
    topic: str = ''
    base: int = 0
    stamp: int = 0


class RecordsUpdate(Frame, frozen=True, tag='records'):
    """Carries records of the store.

    Attributes:
        revision: With these records, the receiver holds all changes up to
            this revision.
        age_ms: Time since the store confirmed that there are no later
            changes, ms.
        packed: The records as msgpack, compressed with zlib, or as a
            difference.
        whole: Whether these are all existing records instead of changes.
        era: The era of the store, None from an earlier version.
        topic: What the records are about, empty from an earlier version.
        base: Revision of the receiver's record that `packed` is a difference
            to, 0 if it is none.
        echo: Stamp of the request.
        failure_age_ms: Time since the store last failed a daemon that the
            sender knows of, ms; -1 if it never did.
    """

    revision: int
    age_ms: int
    packed: bytes
    whole: bool = False
    era: int | None = None
    topic: str = ''
    base: int = 0
    echo: int = 0
    failure_age_ms: int = -1


class Ping(Frame, frozen=True, tag='ping'):
    """Checks whether the other daemon is alive."""


class Pong(Frame, frozen=True, tag='pong'):
    """Replies to a ping."""


AnyFrame = (
    Hello
    | CallRequest
    | CallReply
    | Cancel
    | Readiness
    | Suspicion
    | HostsState
    | RecordsState
    | RecordsRequest
    | RecordsUpdate
    | Ping
    | Pong
)

ENCODER = msgspec.msgpack.Encoder()
DECODER = msgspec.msgpack.Decoder(AnyFrame)


def encode_frame(frame: AnyFrame) -> bytes:
    """Encodes a frame as msgpack."""
    return ENCODER.encode(frame)


def decode_frame(encoded: bytes) -> AnyFrame:
    """Decodes a frame.

    Raises:
        FrameError: The bytes aren't a frame that this version supports.
    """
    try:
        return DECODER.decode(encoded)
    except msgspec.MsgspecError as error:
        raise FrameError(
            f'a frame between daemons is malformed ({error})',
            'run the same version of egretlandingd on every host',
        ) from error


def born_tag(born_ms: int) -> int:
    """Returns the part of a process's start time that reports carry."""
    return born_ms % BORN_TAGS


def refusal_reply(
    call_id: int,
    refusal: Refusal,
    load: int = 0,
    *,
    arrived: bool = True,
    stated: Statement | None = None,
    capacity: CapacityReport | None = None,
) -> CallReply:
    """Returns the reply that carries a refusal.

    Args:
        call_id: Number of the call.
        refusal: The refusal to report.
        load: Number of calls running or queued at the target, as a hint.
        arrived: Whether the call may have reached a target.
        stated: What the target states about itself, None if unknown.
        capacity: What was learned about the target, None if nothing is.
    """
    not_run = refusal.execution is Execution.NOT_RUN
    return CallReply(
        call_id,
        refusal.status,
        [],
        b'',
        Ran.NOT_RUN if not_run else Ran.UNKNOWN,
        refusal.reason,
        refusal.detail,
        load,
        arrived,
        stated,
        capacity,
    )
