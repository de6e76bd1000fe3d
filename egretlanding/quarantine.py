"""Recognizes requests that crash the targets that run them.

When a target crashes, every request in flight in it becomes a suspect. A
request is refused when it was in flight in the crashes of several target
processes and no run of it has completed since. These rules protect the harmless
requests that were in flight with it: a completed run voids all crashes known
by then; two suspects never run in one target at the same time, so that the next
crash is evidence against only one of them; and a refused request gets a few
trial runs, one after another, at hosts whose targets it may have crashed.
"""

import enum
import hashlib
import heapq
from collections.abc import Collection, Iterable, Mapping

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
# Most trial runs of one request in the whole fleet. At most three late runs are
# allowed; the third is left for a daemon that doesn't know of the crashes yet.
MAX_TRIALS = 2
# Time from the last crash to a trial if all crashes are one event, seconds.
# By then all daemons in touch know the same crashes, which takes up to 3 s.
TRIAL_DELAY_S = 4
# A run that begins this soon after a crash is part of the same event, seconds:
# callers repeat a lost request before all daemons know of the crash.
SAME_EVENT_S = 0.5
# Each further event multiplies the time to the next trial.
TRIAL_DELAY_GROWTH = 4
# Time between two calls that an ingress daemon offers for a trial, seconds.
OFFER_INTERVAL_S = 1


class FactKind(enum.StrEnum):
    """Kinds of facts about a request that daemons send to one another."""

    SUSPECT = 'suspect'
    QUARANTINED = 'quarantined'
    CLEARED = 'cleared'


@attrs.frozen
class Crash:
    """The crash of a target process that was running a request.

    Attributes:
        began: When it began to run the request, seconds.
        at: When it crashed, seconds.
        voided: Whether a run of the request has completed since.
        tried: Whether the host has begun a trial run of the request since.
    """

    began: float
    at: float
    voided: bool = False
    tried: bool = False

    def merge(self, other: 'Crash') -> 'Crash':
        """Returns what both reports of one crash tell together.

        Reports get later by the time of each message, so the earlier is right.
        """
        return Crash(
            min(self.began, other.began),
            min(self.at, other.at),
            self.voided or other.voided,
            self.tried or other.tried,
        )

    def shifted(self, seconds: float) -> 'Crash':
        """Returns the crash on a clock that is ahead by some seconds."""
        return attrs.evolve(
            self, began=self.began + seconds, at=self.at + seconds
        )


@attrs.frozen
class RequestFact:
    """The evidence on one request, as daemons send it to one another.

    Attributes:
        kind: What the sender concludes.
        signature: The request, from `request_signature`.
        crashes: The crashes by target process, which is host:incarnation. The
            times are relative to the time of sending.
        ttl_s: Remaining lifetime, seconds.
    """

    kind: FactKind
    signature: str
    crashes: Mapping[str, Crash]
    ttl_s: float

    @classmethod
    def without_times(
        cls,
        kind: FactKind,
        signature: str,
        processes: Iterable[str],
        ttl_s: float,
    ) -> 'RequestFact':
        """Builds a fact that tells no more than the crashed processes."""
        at = min(ttl_s, SUSPICION_S) - SUSPICION_S
        crash = Crash(at, at, voided=kind is FactKind.CLEARED)
        return cls(kind, signature, dict.fromkeys(processes, crash), ttl_s)


@attrs.define
class Suspect:
    """The evidence on one request.

    Attributes:
        crashes: The crashes by target process, which is host:incarnation.
        offered_at: When a call was last offered for a trial, seconds.
    """

    crashes: dict[str, Crash] = attrs.field(factory=dict)
    offered_at: float = -OFFER_INTERVAL_S

    @property
    def valid(self) -> dict[str, Crash]:
        """The crashes after which no run has completed."""
        return {
            process: crash
            for process, crash in self.crashes.items()
            if not crash.voided
        }

    @property
    def expires(self) -> float:
        """Monotonic time when the suspicion expires, seconds."""
        last = max(crash.at for crash in self.crashes.values())
        return last + SUSPICION_S

    def kind(self) -> FactKind:
        """Returns the kind of fact that the evidence supports."""
        valid_count = len(self.valid)
        if not valid_count:
            return FactKind.CLEARED
        if valid_count >= CRASHES_TO_QUARANTINE:
            return FactKind.QUARANTINED
        return FactKind.SUSPECT

    def events(self) -> int:
        """Returns the number of independent crash events.

        Crashes of runs that overlap or follow at once count as one, since a
        single external cause may have ended all of them.
        """
        count, last_end = 0, float('-inf')
        by_end = sorted(self.valid.values(), key=lambda crash: crash.at)
        for crash in by_end:
            if crash.began > last_end + SAME_EVENT_S:
                count += 1
                last_end = crash.at
        return count

    def trial_hosts(self, now: float) -> frozenset[str]:
        """Returns the hosts that may make a trial run now.

        The hosts of the crashes get their turns one after another, so that the
        trial of one is known to the next.

        Args:
            now: Monotonic time, seconds.
        """
        valid = self.valid
        tried = {
            host_of(process) for process, crash in valid.items() if crash.tried
        }
        if len(tried) >= MAX_TRIALS or not valid:
            return frozenset()
        last = max(crash.at for crash in valid.values())
        first_delay_s = TRIAL_DELAY_S * TRIAL_DELAY_GROWTH ** (
            self.events() - 1
        )
        turns = int((now - last - first_delay_s) // TRIAL_DELAY_S) + 1
        # Further hosts get no turn before the trials are used up.
        hosts = sorted(set(map(host_of, valid)))[:CRASHES_TO_QUARANTINE]
        return frozenset(hosts[: max(0, turns)]) - tried

    def merge(self, crashes: Mapping[str, Crash]) -> bool:
        """Adds evidence, and returns whether it told anything new."""
        before = self.crashes
        merged = {
            process: crash.merge(before.get(process, crash))
            for process, crash in crashes.items()
        }
        self.crashes = _limit_crashes({**before, **merged})
        return any(
            process not in before
            or (before[process].voided, before[process].tried)
            != (crash.voided, crash.tried)
            for process, crash in self.crashes.items()
        )

    def void(self) -> None:
        """Records that a run has completed after all crashes known."""
        self.crashes = {
            process: attrs.evolve(crash, voided=True)
            for process, crash in self.crashes.items()
        }


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
        host_id: str = '',
    ) -> Refusal | None:
        """Checks whether a request may run in a target now.

        Args:
            signature: Signature of the request.
            in_flight: Signatures of the requests that the target is running.
            now: Monotonic time, seconds.
            host_id: Host of the target, empty if none is chosen yet.

        Returns:
            A refusal, or None if the request may run.
        """
        if not self.is_suspect(signature, now):
            return None
        suspect = self.suspects[signature]
        is_quarantined = suspect.kind() is FactKind.QUARANTINED
        if is_quarantined and host_id not in suspect.trial_hosts(now):
            return Refusal.not_run(
                Reason.QUARANTINED,
                f'the request crashed {len(suspect.valid)} targets',
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
        if suspect is None or now >= suspect.expires:
            return False
        return suspect.kind() is not FactKind.CLEARED

    def offer_trial(self, signature: str, now: float) -> frozenset[str]:
        """Returns the hosts to send a call of a refused request to.

        Few calls are offered, since the hosts refuse all but one of them.

        Args:
            signature: Signature of the request.
            now: Monotonic time, seconds.

        Returns:
            The hosts that may make a trial run; none if no trial is due.
        """
        suspect = self.suspects.get(signature)
        if suspect is None or now < suspect.offered_at + OFFER_INTERVAL_S:
            return frozenset()
        hosts = suspect.trial_hosts(now)
        if hosts:
            suspect.offered_at = now
        return hosts

    def begin_trial(self, signature: str, host_id: str) -> bool:
        """Records that a host runs a request, if that is a trial of it.

        Returns:
            Whether it is one; others must be told before the run begins.
        """
        suspect = self.suspects.get(signature)
        if suspect is None or suspect.kind() is not FactKind.QUARANTINED:
            return False
        suspect.crashes.update(
            (process, attrs.evolve(crash, tried=True))
            for process, crash in suspect.valid.items()
            if host_of(process) == host_id
        )
        return True

    def facts(self, now: float) -> tuple[RequestFact, ...]:
        """Returns the facts to send to other daemons, most severe first."""
        current = [
            signature
            for signature, suspect in self.suspects.items()
            if now < suspect.expires
        ]
        most_severe = heapq.nlargest(MAX_FACTS, current, key=self._severity)
        return tuple(self.fact(signature, now) for signature in most_severe)

    def fact(self, signature: str, now: float) -> RequestFact:
        """Returns the fact to send about one suspect."""
        suspect = self.suspects[signature]
        return RequestFact(
            suspect.kind(),
            signature,
            {
                process: crash.shifted(-now)
                for process, crash in suspect.crashes.items()
            },
            suspect.expires - now,
        )

    def record_crash(
        self,
        process: str,
        in_flight: Iterable[str],
        now: float,
        began: Mapping[str, float] | None = None,
    ) -> None:
        """Suspects the requests that a crashed target was running.

        Args:
            process: The target process, as host:incarnation.
            in_flight: Signatures of the requests that it was running.
            now: Monotonic time, seconds.
            began: When it began to run them, seconds; `now` if it isn't known.
        """
        starts = began or {}
        for signature in dict.fromkeys(in_flight):
            crash = Crash(starts.get(signature, now), now)
            self._add_crashes(signature, {process: crash}, now)

    def record_completed(self, signature: str) -> frozenset[str]:
        """Records that a target has answered a request.

        Returns:
            The hosts of the crashes that this voids, for which the request
            would be refused or nearly so; they have to be told.
        """
        suspect = self.suspects.get(signature)
        if suspect is None:
            return frozenset()
        voided = suspect.valid
        suspect.void()
        if len(voided) < CRASHES_TO_QUARANTINE - 1:
            return frozenset()
        return frozenset(map(host_of, voided))

    def hosts_to_correct(self, fact: RequestFact) -> frozenset[str]:
        """Returns whom to tell that crashes of a fact are voided.

        Args:
            fact: What another daemon has told, merged already.

        Returns:
            The hosts of these crashes; none if the other daemon knows it or is
            far from refusing the request.
        """
        suspect = self.suspects.get(fact.signature)
        valid = {
            process
            for process, crash in fact.crashes.items()
            if not crash.voided
        }
        if suspect is None or len(valid) < CRASHES_TO_QUARANTINE - 1:
            return frozenset()
        still_valid = suspect.valid
        return frozenset(
            host_of(process)
            for process in valid
            if process in suspect.crashes and process not in still_valid
        )

    def merge(self, fact: RequestFact, now: float) -> bool:
        """Merges a fact from another daemon.

        Returns:
            Whether it told anything new.
        """
        crashes = {
            process: crash.shifted(now)
            for process, crash in fact.crashes.items()
        }
        return self._add_crashes(fact.signature, crashes, now)

    def expire(self, now: float) -> None:
        """Removes the suspects whose suspicion has expired."""
        self.suspects = {
            signature: suspect
            for signature, suspect in self.suspects.items()
            if now < suspect.expires
        }

    def _add_crashes(
        self, signature: str, crashes: Mapping[str, Crash], now: float
    ) -> bool:
        current = {
            process: crash
            for process, crash in crashes.items()
            if now < crash.at + SUSPICION_S
        }
        if not current:
            return False
        suspect = self.suspects.get(signature)
        if suspect is None or suspect.expires <= now:
            self._make_room(signature)
            suspect = self.suspects.setdefault(signature, Suspect())
        return suspect.merge(current)

    def _make_room(self, signature: str) -> None:
        self.suspects.pop(signature, None)
        if len(self.suspects) >= MAX_SUSPECTS:
            self.suspects.pop(min(self.suspects, key=self._severity))

    def _severity(self, signature: str) -> tuple[int, float]:
        suspect = self.suspects[signature]
        return len(suspect.valid), suspect.expires


def request_signature(route: str, method: str, path: str, body: bytes) -> str:
    """Returns the signature that identifies a request when it is repeated."""
    hashed = hashlib.blake2b(digest_size=SIGNATURE_BYTES)
    for field in (route.encode(), method.encode(), path.encode(), body):
        hashed.update(len(field).to_bytes(8, 'big'))
        hashed.update(field)
    return hashed.hexdigest()


def host_of(process: str) -> str:
    """Returns the host of a target process."""
    return process.rpartition(':')[0]


def _limit_crashes(crashes: Mapping[str, Crash]) -> dict[str, Crash]:
    # All daemons keep the same ones, those that decide most.
    kept = sorted(
        crashes,
        key=lambda process: (
            crashes[process].voided,
            not crashes[process].tried,
            process,
        ),
    )
    return {process: crashes[process] for process in kept[:MAX_CRASHES]}
