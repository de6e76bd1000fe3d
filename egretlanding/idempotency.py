"""Runs each call with an idempotency key at most once on its owner."""

import enum
import hashlib

import attrs

from egretlanding.keys import CallerKey, IssuedKey, Key
from egretlanding.outcomes import Execution, Reason, Refusal
from egretlanding.ownership import ClockReading, KeyBounds, KeyOwnership

MAX_KEYS = 20_000
MAX_ANSWER_BYTES = 4_194_304
DIGEST_BYTES = 16


@attrs.frozen
class Answer:
    """A complete answer of a target.

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
        """Approximate size of the answer, bytes."""
        return len(self.body) + sum(
            len(name) + len(text) for name, text in self.headers
        )


@attrs.frozen
class Run:
    """The call may run; the daemon calls `KeyTable.begin` first."""


@attrs.frozen
class Join:
    """The call is already running; this request gets the same outcome."""


@attrs.frozen
class Replay:
    """The call has already run; its stored answer is sent again.

    Attributes:
        answer: The stored answer.
    """

    answer: Answer


KeyDecision = Run | Join | Replay | Refusal


class KeyState(enum.Enum):
    """What is known about the outcome of a key's call."""

    RUNNING = enum.auto()
    ANSWERED = enum.auto()
    UNKNOWN = enum.auto()


@attrs.define
class KeyEntry:
    """A key whose call was begun, with its outcome so far.

    Attributes:
        key: The key.
        digest: Digest of the request that carried it.
        state: What is known about the outcome.
        answer: The answer, if it is still stored.
        refusal: The refusal, if the outcome is unknown.
    """

    key: Key
    digest: bytes
    state: KeyState = KeyState.RUNNING
    answer: Answer | None = None
    refusal: Refusal | None = None


@attrs.define
class KeyTable:
    """The keys whose calls one daemon has run within the retention time.

    A key is never evicted before its retention time ends: a full table
    refuses new keys. If the stored answers exceed `max_answer_bytes`, answers
    are dropped, oldest first, but their keys are kept.

    Attributes:
        service: The service of the target beside the daemon.
        host_id: Id of the daemon's own host.
        incarnation: Start time of the daemon, ns since the epoch.
        ownership: Decides which of the callers' own keys the daemon owns.
        max_keys: Maximum number of keys.
        max_answer_bytes: Maximum size of all stored answers, bytes.
        entries: The keys by their text, oldest first.
        answer_bytes: Size of all stored answers, bytes.
        latest_wall: Greatest wall clock time seen, seconds since the epoch.
            The wall clock may be set back, but keys that have expired stay
            refused.
    """

    service: str
    host_id: str
    incarnation: int
    ownership: KeyOwnership
    max_keys: int = MAX_KEYS
    max_answer_bytes: int = MAX_ANSWER_BYTES
    entries: dict[str, KeyEntry] = attrs.field(factory=dict)
    answer_bytes: int = 0
    latest_wall: float = 0

    @classmethod
    def for_daemon(
        cls,
        service: str,
        host_id: str,
        incarnation: int,
        bounds: KeyBounds | None = None,
    ) -> 'KeyTable':
        """Builds the empty table of a daemon that just started."""
        ownership = KeyOwnership(host_id, bounds or KeyBounds())
        return cls(service, host_id, incarnation, ownership)

    def decide(
        self, key: Key, digest: bytes, moment: ClockReading
    ) -> KeyDecision:
        """Decides what to do with a call that carries a key.

        Args:
            key: The key.
            digest: Digest of the request, from `request_digest`.
            moment: The current time.

        Returns:
            Whether to run it, join it, replay its answer or refuse it.
        """
        entry = self.entries.get(key.text)
        if entry is not None:
            return _decide_known_key(entry, digest)
        refusal = self._check_owner(key, moment) or self._check_age(key, moment)
        if refusal is not None:
            return refusal
        if len(self.entries) >= self.max_keys:
            return Refusal.not_run(
                Reason.KEY_TABLE_FULL,
                f'the table already holds {self.max_keys} keys',
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
        self._drop_excess_answers()

    def record_refusal(self, key: Key, refusal: Refusal) -> None:
        """Records that a call got no answer.

        The key of a call that provably did not run is removed, so that it
        may run later. Any other key keeps an unknown outcome and never runs
        again.
        """
        if refusal.execution is Execution.NOT_RUN:
            self.entries.pop(key.text)
            return
        entry = self.entries[key.text]
        entry.state = KeyState.UNKNOWN
        entry.refusal = refusal

    def expire(self, moment: ClockReading) -> None:
        """Removes the keys that are refused for their age from now on."""
        self.latest_wall = max(self.latest_wall, moment.wall)
        expired = [
            text
            for text, entry in self.entries.items()
            if entry.state is not KeyState.RUNNING
            and self._is_expired(entry.key)
        ]
        for text in expired:
            self._drop_answer(self.entries.pop(text))

    def _is_expired(self, key: Key) -> bool:
        oldest = self.latest_wall - self.ownership.bounds.retention_s
        return key.created < oldest

    def _check_owner(self, key: Key, moment: ClockReading) -> Refusal | None:
        if isinstance(key, CallerKey):
            return self.ownership.check(key, moment)
        return self._check_issuer(key)

    def _check_issuer(self, key: IssuedKey) -> Refusal | None:
        if (key.service, key.host_id) != (self.service, self.host_id):
            return Refusal.unknown(
                Reason.KEY_NOT_OWNED,
                f'the key is owned by {key.service} on host {key.host_id}',
            )
        if key.incarnation != self.incarnation:
            return Refusal.unknown(
                Reason.KEY_OWNER_GONE,
                f'the daemon of {key.host_id} that owned the key has stopped',
            )
        return None

    def _check_age(self, key: Key, moment: ClockReading) -> Refusal | None:
        bounds = self.ownership.bounds
        latest = max(self.latest_wall, moment.wall)
        if key.created < latest - bounds.retention_s:
            return Refusal.unknown(
                Reason.KEY_EXPIRED,
                f'the key is older than {bounds.retention_s} s',
            )
        if key.created > moment.wall + bounds.max_clock_skew_s:
            return Refusal.unknown(
                Reason.KEY_EARLY,
                'the key has a time in the future',
            )
        return None

    def _drop_excess_answers(self) -> None:
        for entry in self.entries.values():
            if self.answer_bytes <= self.max_answer_bytes:
                return
            self._drop_answer(entry)

    def _drop_answer(self, entry: KeyEntry) -> None:
        if entry.answer is not None:
            self.answer_bytes -= entry.answer.size
            entry.answer = None


def request_digest(method: str, path: str, body: bytes) -> bytes:
    """Returns the digest that distinguishes repeated requests from others."""
    hashed = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for field in (method.encode(), path.encode(), body):
        hashed.update(len(field).to_bytes(8, 'big'))
        hashed.update(field)
    return hashed.digest()


def _decide_known_key(entry: KeyEntry, digest: bytes) -> KeyDecision:
    if entry.digest != digest:
        return Refusal.not_run(
            Reason.KEY_REUSED,
            'the key was used with a different request',
        )
    if entry.state is KeyState.RUNNING:
        return Join()
    if entry.answer is not None:
        return Replay(entry.answer)
    return entry.refusal or Refusal.unknown(
        Reason.ANSWER_DROPPED,
        'the call ran; its answer is no longer stored',
    )
