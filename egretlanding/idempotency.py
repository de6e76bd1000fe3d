"""The keyed calls that one daemon runs, each at most once."""

import enum
import hashlib

import attrs

from egretlanding.keys import CallerKey, IssuedKey, Key
from egretlanding.outcomes import Execution, Reason, Refusal
from egretlanding.ownership import KeyBounds, Moment, Ownership

MAX_KEYS = 20_000
MAX_ANSWER_BYTES = 4_194_304
DIGEST_BYTES = 16


@attrs.frozen
class Answer:
    """The whole answer of a target.

    Attributes:
        status: HTTP status.
        headers: Header names and values, in order.
        body: The body.
    """

    status: int
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b''

    @property
    def size(self) -> int:
        """Bytes that the answer takes up, about."""
        return len(self.body) + sum(
            len(name) + len(text) for name, text in self.headers
        )


@attrs.frozen
class Run:
    """The daemon may run the call, after `KeyTable.begin`."""


@attrs.frozen
class Join:
    """The call is running; its outcome is the outcome of this one too."""


@attrs.frozen
class Replay:
    """The call has run.

    Attributes:
        answer: The stored answer.
    """

    answer: Answer


KeyDecision = Run | Join | Replay | Refusal


class KeyState(enum.Enum):
    """What is known of a key's call."""

    RUNNING = enum.auto()
    ANSWERED = enum.auto()
    UNKNOWN = enum.auto()


@attrs.define
class KeyEntry:
    """One remembered key.

    Attributes:
        key: The key.
        digest: Digest of the request that it came with.
        state: What is known of the call.
        answer: The answer, if it is held.
        refusal: The refusal, if the outcome is unknown.
    """

    key: Key
    digest: bytes
    state: KeyState = KeyState.RUNNING
    answer: Answer | None = None
    refusal: Refusal | None = None


@attrs.define
class KeyTable:
    """The keys that one daemon has run within the retention time.

    A key is never evicted early: a full table refuses new keys. Answers are
    dropped first, oldest first, when they exceed their bytes.

    Attributes:
        service: The service of the target beside the daemon.
        host_id: The daemon's own host.
        incarnation: Start time of the daemon, ns since the epoch.
        ownership: The callers' own keys that the daemon owns.
        max_keys: The most keys to remember.
        max_answer_bytes: The most bytes of answers to hold.
        entries: The keys by their text, oldest first.
        answer_bytes: Bytes of the answers held.
        latest: Greatest wall clock seen, seconds.
    """

    service: str
    host_id: str
    incarnation: int
    ownership: Ownership
    max_keys: int = MAX_KEYS
    max_answer_bytes: int = MAX_ANSWER_BYTES
    entries: dict[str, KeyEntry] = attrs.field(factory=dict)
    answer_bytes: int = 0
    latest: float = 0

    @classmethod
    def for_daemon(
        cls,
        service: str,
        host_id: str,
        incarnation: int,
        bounds: KeyBounds | None = None,
    ) -> 'KeyTable':
        """Builds the empty table of a daemon that just started."""
        ownership = Ownership(host_id, bounds or KeyBounds())
        return cls(service, host_id, incarnation, ownership)

    def decide(self, key: Key, digest: bytes, moment: Moment) -> KeyDecision:
        """Says what to do with a call that carries a key.

        Args:
            key: The key.
            digest: Digest of the request, from `request_digest`.
            moment: The current time.

        Returns:
            Whether to run it, join it, replay its answer or refuse it.
        """
        entry = self.entries.get(key.text)
        if entry is not None:
            return _known(entry, digest)
        refusal = self._foreign(key, moment) or self._untimely(key, moment)
        if refusal is not None:
            return refusal
        if len(self.entries) >= self.max_keys:
            return Refusal.not_run(
                Reason.KEY_TABLE_FULL,
                f'{self.max_keys} keys are remembered already',
            )
        return Run()

    def begin(self, key: Key, digest: bytes) -> None:
        """Records that a key's call is about to run."""
        self.entries[key.text] = KeyEntry(key, digest)

    def record_answer(self, key: Key, answer: Answer) -> None:
        """Records the answer of a call that ran."""
        entry = self.entries[key.text]
        entry.state = KeyState.ANSWERED
        entry.answer = answer
        self.answer_bytes += answer.size
        self._drop_answers()

    def record_refusal(self, key: Key, refusal: Refusal) -> None:
        """Records that a call got no answer.

        A call that provably did not run is forgotten, so that the same key
        may run later. Any other stays unknown and never runs again.
        """
        if refusal.execution is Execution.NOT_RUN:
            self.entries.pop(key.text)
            return
        entry = self.entries[key.text]
        entry.state = KeyState.UNKNOWN
        entry.refusal = refusal

    def expire(self, moment: Moment) -> None:
        """Forgets the keys that are refused for their age from now on."""
        self.latest = max(self.latest, moment.wall)
        expired = [
            text
            for text, entry in self.entries.items()
            if entry.state is not KeyState.RUNNING
            and self._is_expired(entry.key)
        ]
        for text in expired:
            self._forget_answer(self.entries.pop(text))

    def _is_expired(self, key: Key) -> bool:
        oldest = self.latest - self.ownership.bounds.retention_s
        return key.created < oldest

    def _foreign(self, key: Key, moment: Moment) -> Refusal | None:
        if isinstance(key, CallerKey):
            return self.ownership.check(key, moment)
        return self._not_issued_here(key)

    def _not_issued_here(self, key: IssuedKey) -> Refusal | None:
        if (key.service, key.host_id) != (self.service, self.host_id):
            return Refusal.unknown(
                Reason.KEY_NOT_OWNED,
                f'the key belongs to {key.service} on host {key.host_id}',
            )
        if key.incarnation != self.incarnation:
            return Refusal.unknown(
                Reason.KEY_OWNER_GONE,
                f'the daemon of {key.host_id} that owned the key has ended',
            )
        return None

    def _untimely(self, key: Key, moment: Moment) -> Refusal | None:
        bounds = self.ownership.bounds
        latest = max(self.latest, moment.wall)
        if key.created < latest - bounds.retention_s:
            return Refusal.unknown(
                Reason.KEY_EXPIRED,
                f'the key is older than {bounds.retention_s} s',
            )
        if key.created > moment.wall + bounds.clock_s:
            return Refusal.unknown(
                Reason.KEY_EARLY,
                'the key was made in the future',
            )
        return None

    def _drop_answers(self) -> None:
        for entry in self.entries.values():
            if self.answer_bytes <= self.max_answer_bytes:
                return
            self._forget_answer(entry)

    def _forget_answer(self, entry: KeyEntry) -> None:
        if entry.answer is not None:
            self.answer_bytes -= entry.answer.size
            entry.answer = None


def request_digest(method: str, path: str, body: bytes) -> bytes:
    """Returns the digest by which repeated requests are told apart."""
    hashed = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for field in (method.encode(), path.encode(), body):
        hashed.update(len(field).to_bytes(8, 'big'))
        hashed.update(field)
    return hashed.digest()


def _known(entry: KeyEntry, digest: bytes) -> KeyDecision:
    if entry.digest != digest:
        return Refusal.not_run(
            Reason.KEY_REUSED,
            'the key came with another request before',
        )
    if entry.state is KeyState.RUNNING:
        return Join()
    if entry.answer is not None:
        return Replay(entry.answer)
    return entry.refusal or Refusal.unknown(
        Reason.ANSWER_DROPPED,
        'the call ran; its answer is not held any more',
    )
