"""The calls that one daemon runs at its own target."""

import math
from collections.abc import Callable
from typing import Any

import attrs

from egretlanding.frames import CallReply, CallRequest
from egretlanding.keys import Key
from egretlanding.slots import SlotRequest
from egretlanding.units import US_PER_S

MS_PER_S = 1_000

# Called once with the reply to a call.
OnReply = Callable[[CallReply], None]


@attrs.define(eq=False)
class Job:
    """One call at the target, for which one or more callers wait.

    Attributes:
        job_id: Number of the call, unique in this daemon.
        call: The request as it first arrived.
        deadline: Time after which its answer is useless, seconds.
        arrived: Time at which it arrived, seconds.
        signature: Signature by which the quarantine recognizes the request.
        key: Its idempotency key, or None.
        waiters: The callbacks that get the reply, by ticket.
        running: Whether it was sent to the target.
        started: Time at which it was sent to the target, seconds.
        request_handle: Handle that cancels the request at the target, None
            before it is sent.
    """

    job_id: int
    call: CallRequest
    deadline: float
    arrived: float
    signature: str
    key: Key | None = None
    waiters: dict[int, OnReply] = attrs.field(factory=dict)
    running: bool = False
    started: float = 0
    request_handle: Any = None

    def queued_call(self) -> SlotRequest:
        """Returns the description of the call that the admission queues."""
        patience_s = self.call.patience_ms / MS_PER_S or math.inf
        return SlotRequest(
            self.job_id,
            self.call.route,
            self.call.work,
            self.deadline,
            self.call.short_wait_ms / MS_PER_S,
            self.arrived,
            is_hedge=self.call.hedge,
            soft_deadline=self.arrived + patience_s,
            priority=self.call.priority,
            is_confined=bool(self.call.regions),
            usual_s=self.call.usual_us / US_PER_S,
            size=len(self.call.body),
        )

    def reply(self, reply: CallReply) -> None:
        """Sends the reply to every waiter."""
        waiters = self.waiters
        self.waiters = {}
        for on_reply in waiters.values():
            on_reply(reply)


@attrs.define(eq=False)
class JobTable:
    """The calls at the target, queued or running.

    Attributes:
        jobs: The calls by number.
        by_key: The calls by the text of their idempotency key.
        by_ticket: The calls by the tickets of their waiters.
    """

    jobs: dict[int, Job] = attrs.field(factory=dict)
    by_key: dict[str, Job] = attrs.field(factory=dict)
    by_ticket: dict[int, Job] = attrs.field(factory=dict)

    def running(self) -> list[Job]:
        """Returns the calls that were sent to the target."""
        return [job for job in self.jobs.values() if job.running]

    def add(self, job: Job) -> None:
        """Adds a call."""
        self.jobs[job.job_id] = job
        if job.key:
            self.by_key[job.key.text] = job

    def add_waiter(self, job: Job, ticket: int, on_reply: OnReply) -> None:
        """Adds a waiter for the reply to a call."""
        job.waiters[ticket] = on_reply
        self.by_ticket[ticket] = job

    def remove_waiter(self, ticket: int) -> Job | None:
        """Removes a waiter and returns the call that it waited for."""
        job = self.by_ticket.pop(ticket, None)
        if job:
            job.waiters.pop(ticket, None)
        return job

    def remove(self, job: Job) -> None:
        """Removes a call that has ended."""
        self.jobs.pop(job.job_id, None)
        if job.key:
            self.by_key.pop(job.key.text, None)
        for ticket in job.waiters:
            self.by_ticket.pop(ticket, None)
