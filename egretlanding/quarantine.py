"""Recognises requests that crash the targets that run them.

A crash blames every request in flight in the target. A request is refused
when it was in flight in several crashes of different target processes and
never completed. Two rules keep its neighbours from the same fate: a
completed run clears a request, and two suspects never run in one target at
the same time, so that a second crash can blame only one of them.
"""

import enum
import hashlib
import heapq
from collections.abc import Collection, Iterable

import attrs

from egretlanding.outcomes import Reason, Refusal

CRASHES_TO_QUARANTINE = 3
SUSPICION_S = 600
MAX_SUSPECTS = 256
MAX_FACTS = 16
MAX_EVIDENCE = 8
SIGNATURE_BYTES = 16


class FactKind(enum.StrEnum):
    """What daemons tell one another of a request."""

    SUSPECT = 'suspect'
    QUARANTINED = 'quarantined'
    CLEARED = 'cleared'


@attrs.frozen
class RequestFact:
    """A short-lived fact about one request, carried as a notice.

    Attributes:
        kind: What is known.
        signature: The request, from `signature_of`.
        crashes: The target processes that crashed, as host:incarnation.
        ttl_s: Remaining lifetime, seconds.
    """

    kind: FactKind
    signature: str
    crashes: frozenset[str]
    ttl_s: float


@attrs.define
class Suspect:
    """What is known of one suspected request.

    Attributes:
        crashes: The target processes that crashed, as host:incarnation.
        expires: When the suspicion lapses, seconds.
        cleared: Whether the request has completed since.
    """

    crashes: frozenset[str]
    expires: float
    cleared: bool = False

    def kind(self) -> FactKind:
        """Returns what the evidence amounts to."""
        if self.cleared:
            return FactKind.CLEARED
        if len(self.crashes) >= CRASHES_TO_QUARANTINE:
            return FactKind.QUARANTINED
        return FactKind.SUSPECT


@attrs.define
class Quarantine:
    """The suspected requests that one daemon knows of.

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
        """Says whether a request must not run in a target now.

        Args:
            signature: The request.
            in_flight: Signatures of the requests that the target runs.
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
        """Returns what other daemons should know, the gravest first."""
        current = [
            signature
            for signature, suspect in self.suspects.items()
            if now < suspect.expires
        ]
        gravest = heapq.nlargest(MAX_FACTS, current, key=self._gravity)
        return tuple(self._fact(signature, now) for signature in gravest)

    def record_crash(
        self,
        process: str,
        in_flight: Iterable[str],
        now: float,
    ) -> None:
        """Blames the requests that a crashed target was running.

        Args:
            process: The target process, as host:incarnation.
            in_flight: Signatures of the requests that it was running.
            now: Monotonic time, seconds.
        """
        for signature in set(in_flight):
            self._blame(signature, frozenset((process,)), SUSPICION_S, now)

    def record_completed(self, signature: str) -> None:
        """Clears a request that a target has answered."""
        suspect = self.suspects.get(signature)
        if suspect is not None:
            suspect.cleared = True

    def merge(self, fact: RequestFact, now: float) -> None:
        """Takes over what another daemon knows."""
        self._blame(fact.signature, fact.crashes, fact.ttl_s, now)
        if fact.kind is FactKind.CLEARED:
            self.record_completed(fact.signature)

    def expire(self, now: float) -> None:
        """Forgets suspicions that have lapsed."""
        self.suspects = {
            signature: suspect
            for signature, suspect in self.suspects.items()
            if now < suspect.expires
        }

    def _blame(
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
            self.suspects[signature] = Suspect(_bounded(crashes), expires)
            return
        if suspect.cleared:
            return
        suspect.crashes = _bounded(suspect.crashes | crashes)
        suspect.expires = max(suspect.expires, expires)

    def _make_room(self, signature: str) -> None:
        self.suspects.pop(signature, None)
        if len(self.suspects) >= MAX_SUSPECTS:
            self.suspects.pop(min(self.suspects, key=self._gravity))

    def _gravity(self, signature: str) -> tuple[bool, int, float]:
        suspect = self.suspects[signature]
        return not suspect.cleared, len(suspect.crashes), suspect.expires

    def _fact(self, signature: str, now: float) -> RequestFact:
        suspect = self.suspects[signature]
        return RequestFact(
            suspect.kind(),
            signature,
            suspect.crashes,
            suspect.expires - now,
        )


def signature_of(route: str, method: str, path: str, body: bytes) -> str:
    """Returns the signature by which a repeated request is recognised."""
    hashed = hashlib.blake2b(digest_size=SIGNATURE_BYTES)
    for field in (route.encode(), method.encode(), path.encode(), body):
        hashed.update(len(field).to_bytes(8, 'big'))
        hashed.update(field)
    return hashed.hexdigest()


def _bounded(crashes: frozenset[str]) -> frozenset[str]:
    return frozenset(sorted(crashes)[:MAX_EVIDENCE])
