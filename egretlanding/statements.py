"""What a target states about itself beside its answers."""

import math

import attrs
import msgspec

from egretlanding.dialect import Dialect
from egretlanding.events import Event, Severity, log_event
from egretlanding.frames import NO_STATEMENT, Statement
from egretlanding.httpheaders import header_values
from egretlanding.httpmessages import HttpResponse
from egretlanding.targetanswers import has_target_seal, is_misdirected


def statement_in(response: HttpResponse, dialect: Dialect) -> Statement | None:
    """Returns what a target states in a response.

    Returns:
        The statement, or None if the response may come from another process
        or is corrupt, so that it says nothing about the target.
    """
    if is_misdirected(response) or not has_target_seal(response, dialect):
        return None
    leaving = bool(header_values(response.headers, dialect.leaving))
    limits = header_values(response.headers, dialect.rate_limit)
    if not limits:
        return Statement(None, leaving)
    rate_per_s = decode_rate(limits[-1])
    if rate_per_s is None:
        log_event(
            Event.STATEMENT_REFUSED,
            'the limit that the target names is not a number',
            Severity.WARNING,
            limit=limits[-1],
        )
        return None
    return Statement(rate_per_s, leaving)


def decode_rate(text: str) -> float | None:
    """Returns a limit in calls per second, or None if it is malformed."""
    try:
        rate_per_s = float(text)
    except ValueError:
        return None
    return rate_per_s if 0 <= rate_per_s < math.inf else None


def lower_limit(first: float | None, second: float | None) -> float | None:
    """Returns the lower of two limits, None if neither is one."""
    limits = [rate for rate in (first, second) if rate is not None]
    return min(limits, default=None)


@attrs.define
class TargetStatements:
    """What the process of the local target has stated so far.

    Attributes:
        instance: The target's process that stated it, empty if unknown.
        born_ms: When that process started, ms since the epoch, zero if unknown.
        current: The statement in force.
        limit_named_at: When an answer last named a limit, seconds.
        has_answered: Whether an answer of this process was heard.
        listed_instance: The process that the store last listed.
        listed_born_ms: When it started, ms since the epoch.
        was_removed: Whether its entry was removed before its start was known.
    """

    instance: str = ''
    born_ms: int = 0
    current: Statement = NO_STATEMENT
    limit_named_at: float = -math.inf
    has_answered: bool = False
    listed_instance: str = ''
    listed_born_ms: int = 0
    was_removed: bool = False

    def known_of(self, instance: str) -> Statement | None:
        """Returns what a process of the target stated, None if unknown."""
        is_unheard = not self.has_answered and self.current == NO_STATEMENT
        if is_unheard or instance != self.instance:
            return None
        return msgspec.structs.replace(self.current, born_ms=self.born_ms)

    def says_leaving(self, instance: str) -> bool:
        """Returns whether a process of the target said that it will stop."""
        return instance == self.instance and self.current.leaving

    def hear(
        self, instance: str, statement: Statement, sent_at: float, now: float
    ) -> None:
        """Applies what an answer states.

        Args:
            instance: The target's process that answered.
            statement: What it states.
            sent_at: When the call that it answers was sent, seconds. The
                answer doesn't end a limit that was named later.
            now: Monotonic time, seconds.
        """
        self.meet(instance)
        if not self.has_answered and self.born_ms != self.start_of(instance):
            # Another daemon named a start that the store doesn't list.
            self.forget()
        self.has_answered = True
        rate_per_s = statement.rate_per_s
        if rate_per_s is not None:
            self.limit_named_at = now
        elif sent_at < self.limit_named_at:
            rate_per_s = self.current.rate_per_s
        # A process that leaves never comes back.
        leaving = statement.leaving or self.current.leaving
        self.change(Statement(rate_per_s, leaving), 'target')

    def adopt(self, instance: str, statement: Statement) -> None:
        """Applies what another daemon heard from the target's process.

        It counts until the process has answered a call of this daemon, and
        only if the process is the one that the store lists. Of several limits
        the lowest counts, since an answer soon raises it.

        Args:
            instance: The process that the other daemon means.
            statement: What that daemon last heard from it.
        """
        if self.has_answered or not self.may_be_listed(instance, statement):
            return
        self.meet(instance)
        if not statement.may_be_of(self.born_ms):
            if statement.born_ms < self.born_ms:
                return
            self.forget()
        self.born_ms = statement.born_ms or self.born_ms
        rate_per_s = lower_limit(self.current.rate_per_s, statement.rate_per_s)
        leaving = statement.leaving or self.current.leaving
        self.change(Statement(rate_per_s, leaving), 'daemon')

    def may_be_listed(self, instance: str, statement: Statement) -> bool:
        """Returns whether the listed process may have stated something."""
        if not self.listed_instance:
            return True
        is_listed = instance == self.listed_instance
        return is_listed and statement.may_be_of(self.listed_born_ms)

    def start_of(self, instance: str) -> int:
        """Returns when a process started by the store, zero if unknown, ms."""
        return self.listed_born_ms if instance == self.listed_instance else 0

    def meet(self, instance: str) -> None:
        """Drops what an earlier process of the target stated."""
        if instance != self.instance:
            self.forget()
            self.instance = instance
            self.born_ms = self.start_of(instance)

    def record_start(self, instance: str, born_ms: int) -> None:
        """Drops what the process stated that another one has replaced.

        A start that was unknown and is named now is that of the same process,
        unless the entry was removed in between.

        Args:
            instance: The target's process that the store lists; it may have
                started again under its name.
            born_ms: When it started, ms since the epoch, zero if unknown.
        """
        was_listed = self.instance == self.listed_instance
        is_open = self.was_removed and instance == self.listed_instance
        self.listed_instance = instance
        self.listed_born_ms = born_ms
        self.was_removed = is_open and not born_ms
        if self.instance != instance:
            if was_listed:
                self.forget()
            return
        is_known = 0 not in {born_ms, self.born_ms}
        is_other = is_known and born_ms != self.born_ms
        if is_other or (is_open and born_ms and not self.born_ms):
            self.forget()
        self.born_ms = born_ms or self.born_ms

    def record_removal(self) -> None:
        """Records that the entry of the listed process was removed."""
        self.was_removed = not self.listed_born_ms

    def forget(self) -> None:
        """Drops all that the target stated."""
        self.has_answered = False
        self.limit_named_at = -math.inf
        self.born_ms = self.start_of(self.instance)
        self.change(NO_STATEMENT, 'start')

    def change(self, statement: Statement, heard_from: str) -> None:
        """Puts a statement in force, and logs what it changes."""
        previous = self.current
        self.current = statement
        if statement.rate_per_s != previous.rate_per_s:
            log_event(
                Event.TARGET_LIMITED,
                'the target named another limit',
                instance=self.instance,
                calls_per_s=statement.rate_per_s,
                before=previous.rate_per_s,
                heard_from=heard_from,
            )
        if statement.leaving and not previous.leaving:
            log_event(
                Event.TARGET_LEAVING,
                'the target says that it will stop',
                instance=self.instance,
            )
