"""Accepts calls from callers and sends them to targets."""

import itertools
import math
from collections import Counter
from collections.abc import Callable
from typing import Any

import attrs

from egretlanding.attempts import ActiveCall, Attempt
from egretlanding.callheaders import (
    CallMeta,
    domain_of,
    malformed_refusal,
    response_of,
)
from egretlanding.dialect import DEFAULT_DIALECT, Dialect
from egretlanding.egress import Egress
from egretlanding.events import Event, log_event
from egretlanding.exceptions import CallHeaderError, KeyFormatError
from egretlanding.frames import (
    CallReply,
    CallRequest,
    Ran,
    refusal_reply,
)
from egretlanding.histograms import Histogram
from egretlanding.hosts import Host
from egretlanding.httpmessages import HttpRequest
from egretlanding.httpserver import HttpExchange
from egretlanding.jobs import MS_PER_S
from egretlanding.keys import parse_key
from egretlanding.lanes import BULK_BYTES, PendingCall, lane_for
from egretlanding.objects import WorkClass
from egretlanding.outcomes import Reason, Refusal
from egretlanding.ownership import locate_owner
from egretlanding.peerlinks import PeerLinks
from egretlanding.quarantine import request_signature
from egretlanding.retries import KEY_HEADER, CallContext
from egretlanding.retryafter import (
    FIRST_PAUSE_S,
    RetryAfterEstimator,
    starting_pause_s,
)
from egretlanding.routing import Match
from egretlanding.servicestates import ServiceStates
from egretlanding.views import View

# Bounds the memory that is used to remember routes with large answers.
MAX_BULK_ROUTES = 1_024
# Age of a configuration beyond which it can't show that a route is missing,
# seconds: half of the time within which a later one must be in force.
MAX_CONFIRMED_AGE_S = 1.5
# Stands for the route of all calls that match none, when pauses are computed.
UNMATCHED = ''
AGE_DECIMALS = 3
OnReply = Callable[[CallReply], None]


def starting_pause(ingress: 'Ingress', exchange: HttpExchange) -> float:
    """Returns how long a caller should pause while the daemon starts, seconds.

    A caller that states no time, or a malformed one, gets the usual pause.
    """
    try:
        meta = CallMeta.from_request(exchange.request, ingress.dialect)
    except CallHeaderError:
        return FIRST_PAUSE_S
    if meta.timeout_ms is None:
        return FIRST_PAUSE_S
    running_s = ingress.reactor.seconds() - ingress.started_at
    allowed_s = meta.timeout_ms / MS_PER_S
    return starting_pause_s(running_s, allowed_s, ingress.service_states.rng)


def always_confirmed() -> float:
    """Returns the age of a configuration that never counts as outdated."""
    return 0


@attrs.define(eq=False)
class Ingress:
    """Sends each call of a caller to the daemon beside a target.

    Attributes:
        reactor: The reactor; its clock gives the monotonic time.
        host_id: Id of this daemon's host.
        links: Connections to other daemons.
        egress: Runs calls at the local target.
        service_states: State of the services that are called.
        read_delay_s: Returns how long bytes that are read now may have waited
            while the process was paused, seconds.
        hedging: Whether idempotent calls may be hedged.
        separate_classes: Whether egress daemons queue short and long work
            separately. If not, all calls count as short.
        active_calls: Calls that have not been answered yet.
        bulk_routes: Routes that have had large answers.
        attempt_numbers: Source of attempt numbers.
        outcomes: Answered calls, by whether they ran and by the reason of
            the refusal, which is empty for answers of targets.
        hedges: Number of hedges made.
        retries: Number of retries made.
        call_times: Histogram of the times from calls to their answers.
        dialect: The names of the headers.
        service: The service of the local target, which attempts name as the
            origin of their call.
        refusal_margin_ms: Time before the caller's timeout at which calls end,
            so that a refusal still reaches the caller, ms.
        caller_latency_ms: Time that requests and answers take between callers
            and the daemon, ms.
        retry_pauses: Computes when refused callers should retry.
        stops_at: Time at which the daemon ends all calls since it stops,
            monotonic seconds.
        started_at: When the daemon was started, monotonic seconds.
        retries_lost: Whether calls that a target leaves unanswered are to be
            given up early, so that they can be retried.
        release_age_s: Returns the time since the configuration was last known
            to be the newest, seconds.
    """

    reactor: Any
    host_id: str
    links: PeerLinks
    egress: Egress
    service_states: ServiceStates
    read_delay_s: Callable[[], float]
    hedging: bool = True
    separate_classes: bool = True
    active_calls: set[ActiveCall] = attrs.field(factory=set)
    bulk_routes: set[str] = attrs.field(factory=set)
    attempt_numbers: Any = attrs.field(factory=lambda: itertools.count(1))
    outcomes: Counter[tuple[str, str]] = attrs.field(factory=Counter)
    hedges: int = 0
    retries: int = 0
    call_times: Histogram = attrs.field(factory=Histogram)
    dialect: Dialect = DEFAULT_DIALECT
    service: str = ''
    refusal_margin_ms: int = 0
    caller_latency_ms: int = 0
    retry_pauses: RetryAfterEstimator = attrs.field(factory=RetryAfterEstimator)
    stops_at: float = math.inf
    started_at: float = -math.inf
    release_age_s: Callable[[], float] = always_confirmed
    retries_lost: bool = False

    def next_attempt_number(self) -> int:
        """Returns an unused attempt number."""
        return int(next(self.attempt_numbers))

    def work_class(self, declared: WorkClass) -> WorkClass:
        """Returns the work class to send to the egress daemon."""
        return declared if self.separate_classes else WorkClass.SHORT

    def handle(self, exchange: HttpExchange) -> None:
        """Routes a request of a caller, or refuses it."""
        view = self.service_states.view
        if view is None:
            detail = 'the daemon has no configuration yet'
            refusal = Refusal.not_run(Reason.NOT_READY, detail)
            self.refuse(exchange, refusal, starting_pause(self, exchange))
            return
        request = exchange.request
        match = view.routes.match(
            request.method,
            request.path,
            domain_of(request),
        )
        age_s = self.release_age_s()
        if match is None and age_s <= MAX_CONFIRMED_AGE_S:
            self.refuse_unmatched(exchange, view, age_s)
            return
        try:
            meta = CallMeta.from_request(request, self.dialect)
        except CallHeaderError as error:
            self.refuse(exchange, malformed_refusal(error))
            return
        if match is None:
            self.refuse_unmatched(exchange, view, age_s, meta)
            return
        branches = view.routes.branches.get(match.route_name)
        if branches:
            match = view.routes.choose_branch(
                match, branches, self.service_states.rng
            )
        self.start_call(exchange, view, match, meta)

    def start_call(
        self,
        exchange: HttpExchange,
        view: View,
        match: Match,
        meta: CallMeta,
    ) -> None:
        """Starts a call that matched a route, unless it is refused."""
        deadline = self.deadline(match, meta)
        if deadline > self.stops_at:
            detail = 'the daemon may stop before the call ends'
            self.refuse(exchange, Refusal.not_run(Reason.DRAINING, detail))
            return
        owner = self.find_owner(view, match, meta.key)
        if isinstance(owner, Refusal):
            self.refuse(exchange, owner)
            return
        call = ActiveCall(
            ingress=self,
            exchange=exchange,
            match=match,
            context=CallContext(
                deadline=deadline,
                idempotent=match.idempotent,
                key_owner=owner.host_id if owner else '',
                depth=meta.depth,
                is_retry=meta.is_retry,
            ),
            service_state=self.service_states.service(
                match.service_name,
                self.reactor.seconds(),
            ),
            key=meta.key if owner else '',
            owner=owner,
            retry_after_s=self.choose_retry_after(match.route_name, meta),
        )
        self.active_calls.add(call)
        call.start()

    def deadline(self, match: Match, meta: CallMeta) -> float:
        """Returns the deadline of a call, monotonic seconds.

        It is the earlier of the policy's and the caller's, less the time
        that the request may have waited unread.
        """
        allowed_ms = match.policy.timeout_ms
        if meta.timeout_ms is not None:
            allowed_ms = min(
                allowed_ms, meta.timeout_ms - self.refusal_margin_ms
            )
        now = float(self.reactor.seconds())
        return now + allowed_ms / MS_PER_S - self.read_delay_s()

    def choose_retry_after(self, route: str, meta: CallMeta) -> float:
        """Returns how long a refused caller should pause, seconds."""
        if meta.timeout_ms is None:
            return FIRST_PAUSE_S
        allowed_s = meta.timeout_ms / MS_PER_S
        self.retry_pauses.observe(route, allowed_s)
        return self.retry_pauses.pause_s(route, allowed_s)

    def find_owner(
        self,
        view: View,
        match: Match,
        key_text: str,
    ) -> Host | Refusal | None:
        """Returns the host that owns a call's key, or a refusal.

        An idempotent call may run anywhere, so no owner is determined for its
        key. The result is then None, as without a key.
        """
        if not key_text or match.idempotent:
            return None
        try:
            key = parse_key(key_text)
        except KeyFormatError as error:
            return Refusal.not_run(Reason.KEY_MALFORMED, str(error))
        hosts = view.hosts.of_service(match.service_name)
        owner = locate_owner(key, match.service_name, hosts)
        if isinstance(owner, Refusal) or match.allows_region(owner.region):
            return owner
        return Refusal.not_run(
            Reason.NO_TARGET_IN_REGION,
            'the owner of the key is in a region that the route does not allow',
        )

    def send(
        self,
        attempt: Attempt,
        call: CallRequest,
        on_reply: OnReply,
    ) -> None:
        """Sends an attempt to the egress daemon beside its target."""
        if attempt.host.host_id == self.host_id:
            ticket = self.egress.run(call, 0, on_reply)
            attempt.cancel = lambda: self.egress.cancel(ticket)
            return
        is_long = call.work is WorkClass.LONG
        # Large answers use the bulk connection, so as not to delay short ones.
        answer_bytes = BULK_BYTES + 1 if call.route in self.bulk_routes else 0
        lane = lane_for(len(call.body) + answer_bytes, is_long)
        pending = PendingCall(call, on_reply)
        attempt.cancel = pending.cancel
        attempt.is_sent = pending.is_sent
        self.links.send(attempt.host, lane, pending)

    def check_quarantine(
        self,
        match: Match,
        request: HttpRequest,
    ) -> Refusal | None:
        """Refuses a request that is known to crash targets."""
        quarantine = self.egress.quarantine
        if not quarantine.suspects:
            return None
        signature = signature_of(match, request)
        return quarantine.check(signature, (), self.reactor.seconds())

    def offer_trial(self, call: ActiveCall) -> frozenset[str]:
        """Returns the hosts of a call's service that may try its request.

        A refused request gets a trial run if one is due. A call with a key
        runs only at the owner of the key, so it is not used for that.
        """
        if call.key:
            return frozenset()
        signature = signature_of(call.match, call.exchange.request)
        hosts = self.egress.quarantine.offer_trial(
            signature, self.reactor.seconds()
        )
        return hosts & call.service_state.balancer.targets.evidence.keys()

    def record_answer_size(self, route: str, size: int) -> None:
        """Records that a route has large answers, if this one is large."""
        if size > BULK_BYTES and len(self.bulk_routes) < MAX_BULK_ROUTES:
            self.bulk_routes.add(route)

    def refuse_unmatched(
        self,
        exchange: HttpExchange,
        view: View,
        age_s: float,
        retry_meta: CallMeta | None = None,
    ) -> None:
        """Refuses a call that matches no route of the configuration.

        Args:
            exchange: The request.
            view: The configuration in force.
            age_s: Time since it was last known to be the newest, seconds.
            retry_meta: What the headers state, if the caller is to try again
                since a later configuration may have a route.
        """
        request = exchange.request
        detail = f'no Route matches {request.method} on this path'
        refusal = Refusal.not_run(Reason.NO_ROUTE, detail)
        retry_after_s = FIRST_PAUSE_S
        if retry_meta:
            refusal = Refusal.not_run(
                Reason.ROUTE_UNCONFIRMED,
                f'{detail}, but a later configuration may have one',
            )
            retry_after_s = self.choose_retry_after(UNMATCHED, retry_meta)
        self.refuse(
            exchange,
            refusal,
            retry_after_s,
            domain=domain_of(request),
            release=view.release.number,
            release_age_s=round(age_s, AGE_DECIMALS),
        )

    def refuse(
        self,
        exchange: HttpExchange,
        refusal: Refusal,
        retry_after_s: float = FIRST_PAUSE_S,
        **details: Any,
    ) -> None:
        """Refuses a call before any attempt is made.

        Args:
            exchange: The request.
            refusal: Why it is refused.
            retry_after_s: Time after which the caller may send it again,
                seconds.
            details: Further fields of the log's line.
        """
        if exchange.request.header(KEY_HEADER):
            refusal = refusal.for_keyed_call()
        reply = refusal_reply(0, refusal)
        log_event(
            Event.CALL_REFUSED,
            refusal.detail,
            request=exchange.request.header(self.dialect.request_id),
            path=exchange.request.path,
            reason=refusal.reason.value,
            **details,
        )
        self.count(reply)
        exchange.respond(response_of(reply, self.dialect, retry_after_s))

    def count(self, reply: CallReply) -> None:
        """Counts an answered or refused call by its outcome."""
        self.outcomes[reply.ran.value, reply.reason] += 1

    def remove_call(self, call: ActiveCall) -> None:
        """Removes a call that has ended."""
        self.active_calls.discard(call)

    def answered(self) -> int:
        """Returns the number of calls that targets answered."""
        return self.outcomes[Ran.YES.value, '']


def signature_of(match: Match, request: HttpRequest) -> str:
    """Returns the signature by which the quarantine recognizes a request."""
    return request_signature(
        match.route_name, request.method, request.path, request.body
    )
