"""Asks the target beside the daemon whether it is cold."""

import math
import re
from collections.abc import Callable
from http import HTTPStatus
from typing import Any

import attrs

from egretlanding.coldstart import ColdStart
from egretlanding.dialect import DEFAULT_DIALECT, Dialect
from egretlanding.events import Event, log_event
from egretlanding.httpheaders import header_values
from egretlanding.httpmessages import HttpRequest, HttpResponse
from egretlanding.objects import Service
from egretlanding.targetpool import TargetOutcome, TargetPool

# Time after which a check without an answer is given up, seconds. The target
# may let it wait for a slot.
CHECK_TIMEOUT_S = 1.0
# Pause before an unanswered check is repeated, seconds.
RETRY_PAUSE_S = 0.25
# Shortest time between two checks after calls were lost, seconds.
LOSS_CHECK_INTERVAL_S = 1.0
REMAINING_PATTERN = r'[0-9]{1,9}(\.[0-9]{1,9})?'
MS_PER_S = 1_000


@attrs.define(eq=False)
class ColdCheck:
    """Asks the target for how long it stays cold, until it has answered.

    Attributes:
        reactor: The reactor that gives the time.
        pool: Connections to the target.
        cold: The limit of a cold target.
        dialect: The header names that the target uses.
        path: Path of the target's health check, empty if it has none.
        instance: The process of the target that is to answer, empty for any.
        number: Number of the last check; the answers to earlier ones are
            passed over.
        checks: Number of checks that were sent.
        asked_at: When the last one was sent, seconds.
        epoch: The epoch of the target's health that was seen last.
        on_answer: Called after an answer, since calls that wait may begin.
        loss_timer: The delayed call of a check after a lost call.
    """

    reactor: Any
    pool: TargetPool
    cold: ColdStart
    dialect: Dialect = DEFAULT_DIALECT
    path: str = ''
    instance: str = ''
    number: int = 0
    checks: int = 0
    asked_at: float = -math.inf
    epoch: int = 0
    on_answer: Callable[[], None] = lambda: None
    loss_timer: Any = None

    def apply(self, service: Service) -> None:
        """Applies the limit that the release sets for cold targets."""
        was_limited = self.cold.is_limited
        self.cold.calls_per_s = service.cold_calls_per_s
        self.cold.duration_s = service.cold_start_ms / MS_PER_S
        self.path = service.health_path
        if self.cold.is_limited and not was_limited:
            self.cold.begin_limit(self.reactor.seconds())
            self.ask()

    def update_epoch(self, epoch: int) -> None:
        """Begins anew once the target came up again."""
        if epoch != self.epoch:
            self.epoch = epoch
            self.restart(self.instance)

    def restart(self, instance: str) -> None:
        """Begins anew for another process of the target."""
        self.instance = instance
        self.begin()

    def begin(self) -> None:
        """Counts the target as cold until it answers a new check."""
        now = self.reactor.seconds()
        self.cold.assume(now)
        self.ask()

    def hear_entry(self, remaining_s: float) -> None:
        """Applies what an entry of the target states, which may be outdated.

        Args:
            remaining_s: For how long the target stayed cold when it wrote the
                entry, seconds.
        """
        now = self.reactor.seconds()
        was_cold = self.cold.is_cold(now)
        self.cold.extend(remaining_s, now)
        if self.cold.is_cold(now) and not was_cold:
            self.ask()

    def record_lost_call(self) -> None:
        """Asks a target that may have started again unnoticed."""
        if not self.can_ask or (self.loss_timer and self.loss_timer.active()):
            return
        due_s = self.asked_at + LOSS_CHECK_INTERVAL_S - self.reactor.seconds()
        if due_s > 0:
            self.loss_timer = self.reactor.callLater(due_s, self.ask)
        else:
            self.ask()

    @property
    def can_ask(self) -> bool:
        """Whether the target needs checks and can be asked."""
        return bool(self.cold.is_limited and self.path and self.dialect.cold_ms)

    def ask(self) -> None:
        """Sends a check, in place of one that is under way."""
        if not self.can_ask:
            return
        self.asked_at = self.reactor.seconds()
        self.number += 1
        self.checks += 1
        number = self.number
        # The target may count the check among its calls.
        self.cold.take(self.reactor.seconds())
        request = HttpRequest('GET', self.path, [], b'')
        handle = self.pool.run(
            request, [], lambda outcome: self.finish(number, outcome)
        )
        self.reactor.callLater(CHECK_TIMEOUT_S, handle.cancel)

    def finish(self, number: int, outcome: TargetOutcome) -> None:
        """Applies the answer to a check, or repeats it."""
        if number != self.number:
            return
        now = self.reactor.seconds()
        remaining_s = self.remaining_s(outcome.response)
        if remaining_s is None:
            self.repeat_later()
        elif self.is_of_target(outcome.response):
            self.cold.learn(remaining_s, now)
            log_event(
                Event.TARGET_COLD,
                'the target stated for how long it is cold',
                instance=self.instance,
                remaining_ms=int(remaining_s * MS_PER_S),
                calls_per_s=self.cold.calls_per_s,
            )
            self.on_answer()
        else:
            # The store may list the process that answered later.
            self.cold.extend(remaining_s, now)
            self.repeat_later()

    def repeat_later(self) -> None:
        """Schedules another check if the target counts as cold."""
        if self.cold.is_cold(self.reactor.seconds()):
            self.reactor.callLater(RETRY_PAUSE_S, self.repeat, self.number)

    def repeat(self, number: int) -> None:
        """Sends a check again unless a later one was sent."""
        if number == self.number:
            self.ask()

    def is_of_target(self, response: HttpResponse | None) -> bool:
        """Returns whether the expected process of the target answered."""
        if not self.dialect.instance or not self.instance:
            return True
        headers = response.headers if response else []
        return self.instance in header_values(headers, self.dialect.instance)

    def remaining_s(self, response: HttpResponse | None) -> float | None:
        """Returns how long the target stays cold, None if it doesn't say.

        A healthy target that states nothing isn't cold.
        """
        if response is None:
            return None
        texts = header_values(response.headers, self.dialect.cold_ms)
        if not texts:
            return 0 if response.status == HTTPStatus.OK else None
        is_valid = re.fullmatch(REMAINING_PATTERN, texts[-1])
        return float(texts[-1]) / MS_PER_S if is_valid else None
