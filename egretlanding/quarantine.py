"""Recognizes requests that crash the targets that run them.

When a target crashes, every request in flight in it becomes a suspect. A
request is refused when it was in flight in the crashes of several target
processes and has not completed since it became a suspect. Two rules protect
the harmless requests that were in flight with it: a completed run clears a
request, and two suspects never run in one target at the same time, so that the
next crash is evidence against only one of them.
"""

import enum
import hashlib
import heapq
from collections.abc import Collection, Iterable

import attrs

from egretlanding.outcomes import Reason, Refusal

CRASHES_TO_QUARANTINE = 3
# Time after the last crash for which a request remains suspected, seconds.
SUSPICION_S = 600
MAX_SUSPECTS = 256
# Maximum number of facts that a daemon sends to others at once.
MAX_FACTS = 16
# Maximum number of crashed processes recorded for one request.
MAX_CRASHES = 8
SIGNATURE_BYTES = 16


class FactKind(enum.StrEnum):
    """Kinds of facts about a request that daemons send to one another."""

    SUSPECT = 'suspect'
    QUARANTINED = 'quarantined'
    CLEARED = 'cleared'


@attrs.frozen
class RequestFact:
    """A fact about one request that expires, sent as a notice.

    Attributes:
        kind: The kind of fact.
        signature: The request, from `request_signature`.
        crashes: The target processes that crashed, as host:incarnation.
        ttl_s: Remaining lifetime, seconds.
    """

    kind: FactKind
    signature: str
    crashes: frozenset[str]
    ttl_s: float


@attrs.define
class Suspect:
    """The evidence against one request, with its expiry.

    Attributes:
        crashes: The target processes that crashed, as host:incarnation.
        expires: Monotonic time when the suspicion expires, seconds.
        cleared: Whether the request has completed a run since.
    """

    crashes: frozenset[str]
    expires: float
    cleared: bool = False

    def kind(self) -> FactKind:
        """Returns the kind of fact that the evidence supports."""
        if self.cleared:
            return FactKind.CLEARED
        if len(self.crashes) >= CRASHES_TO_QUARANTINE:
            return FactKind.QUARANTINED
        return FactKind.SUSPECT


@attrs.define
class Quarantine:
    """The suspected requests known to one daemon.

    Attributes:
        suspects: The suspects by signature, oldest first.
    """

    suspects: dict[str, Suspect] = attrs.field(factory=dict)

    def check(
        self,
        signature: str,
        in_flight: Collection[str],
        now: float,
    ) -> Refusal | None:
        """Checks whether a request may run in a target now.

        Args:
            signature: Signature of the request.
            in_flight: Signatures of the requests that the target is running.
            now: Monotonic time, seconds.

        Returns:
            A refusal, or None if the request may run.
        """
        if not self.is_suspect(signature, now):
            return None
        suspect = self.suspects[signature]
        if suspect.kind() is FactKind.QUARANTINED:
            return Refusal.not_run(
                Reason.QUARANTINED,
                f'the request crashed {len(suspect.crashes)} targets',
            )
        if any(self.is_suspect(other, now) for other in in_flight):
            return Refusal.not_run(
                Reason.SUSPECT,
                'another request that may crash the target is running',
            )
        return None

    def is_suspect(self, signature: str, now: float) -> bool:
        """Returns whether a request is suspected and not cleared."""
        suspect = self.suspects.get(signature)
        if suspect is None:
            return False
        return not suspect.cleared and now < suspect.expires

    def facts(self, now: float) -> tuple[RequestFact, ...]:
        """Returns the facts to send to other daemons, most severe first."""
        current = [
            signature
            for signature, suspect in self.suspects.items()
            if now < suspect.expires
        ]
        most_severe = heapq.nlargest(MAX_FACTS, current, key=self._severity)
        return tuple(
            self._build_fact(signature, now) for signature in most_severe
        )

    def record_crash(
        self,
        process: str,
        in_flight: Iterable[str],
        now: float,
    ) -> None:
        """Suspects the requests that a crashed target was running.

        Args:
            process: The target process, as host:incarnation.
            in_flight: Signatures of the requests that it was running.
            now: Monotonic time, seconds.
        """
        for signature in set(in_flight):
            self._add_crashes(
                signature, frozenset((process,)), SUSPICION_S, now
            )

    def record_completed(self, signature: str) -> None:
        """Clears a request that a target has answered."""
        suspect = self.suspects.get(signature)
        if suspect is not None:
            suspect.cleared = True

    def merge(self, fact: RequestFact, now: float) -> None:
        """Merges a fact from another daemon."""
        self._add_crashes(fact.signature, fact.crashes, fact.ttl_s, now)
        if fact.kind is FactKind.CLEARED:
            self.record_completed(fact.signature)

    def expire(self, now: float) -> None:
        """Removes the suspects whose suspicion has expired."""
        self.suspects = {
            signature: suspect
            for signature, suspect in self.suspects.items()
            if now < suspect.expires
        }

    def _add_crashes(
        self,
        signature: str,
        crashes: frozenset[str],
        ttl_s: float,
        now: float,
    ) -> None:
        expires = now + min(ttl_s, SUSPICION_S)
        suspect = self.suspects.get(signature)
        if suspect is None or suspect.expires <= now:
            self._make_room(signature)
            self.suspects[signature] = Suspect(_limit_crashes(crashes), expires)
            return
        if suspect.cleared:
            return
        suspect.crashes = _limit_crashes(suspect.crashes | crashes)
        suspect.expires = max(suspect.expires, expires)

    def _make_room(self, signature: str) -> None:
        self.suspects.pop(signature, None)
        if len(self.suspects) >= MAX_SUSPECTS:
            self.suspects.pop(min(self.suspects, key=self._severity))

    def _severity(self, signature: str) -> tuple[bool, int, float]:
        suspect = self.suspects[signature]
        return not suspect.cleared, len(suspect.crashes), suspect.expires

    def _build_fact(self, signature: str, now: float) -> RequestFact:
        suspect = self.suspects[signature]
        return RequestFact(
            suspect.kind(),
            signature,
            suspect.crashes,
            suspect.expires - now,
        )


def request_signature(route: str, method: str, path: str, body: bytes) -> str:
    """Returns the signature that identifies a request when it is repeated."""
    hashed = hashlib.blake2b(digest_size=SIGNATURE_BYTES)
    for field in (route.encode(), method.encode(), path.encode(), body):
        hashed.update(len(field).to_bytes(8, 'big'))
        hashed.update(field)
    return hashed.hexdigest()


def _limit_crashes(crashes: frozenset[str]) -> frozenset[str]:
    return frozenset(sorted(crashes)[:MAX_CRASHES])
