"""What a target states about itself beside its answers."""

import math
from http import HTTPStatus

import attrs

from egretlanding.callheaders import has_target_seal
from egretlanding.dialect import Dialect
from egretlanding.events import Event, Severity, log_event
from egretlanding.frames import NO_STATEMENT, Statement
from egretlanding.httpheaders import header_values
from egretlanding.httpmessages import HttpResponse


def statement_in(response: HttpResponse, dialect: Dialect) -> Statement | None:
    """Returns what a target states in a response.

    Returns:
        The statement, or None if the response may come from another process
        or is corrupt, so that it says nothing about the target.
    """
    misdirected = response.status == HTTPStatus.MISDIRECTED_REQUEST
    if misdirected or not has_target_seal(response, dialect):
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


@attrs.define
class TargetStatements:
    """What the process of the local target has stated so far.

    Attributes:
        instance: The target's process that stated it, empty if unknown.
        current: The statement in force.
        limit_named_at: When an answer last named a limit, seconds.
    """

    instance: str = ''
    current: Statement = NO_STATEMENT
    limit_named_at: float = -math.inf

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
        if instance != self.instance:
            self.instance = instance
            self.current = NO_STATEMENT
        rate_per_s = statement.rate_per_s
        if rate_per_s is not None:
            self.limit_named_at = now
        elif sent_at < self.limit_named_at:
            rate_per_s = self.current.rate_per_s
        # A process that leaves never comes back.
        leaving = statement.leaving or self.current.leaving
        self.change(Statement(rate_per_s, leaving), 'target')

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
