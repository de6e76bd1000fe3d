"""A model of targets that leave calls unanswered, on simulated time.

Ingress, egress and all their decisions are the real ones; connections to
targets are in memory.
"""

import random
from collections import Counter
from collections.abc import Callable, Iterator
from types import SimpleNamespace
from typing import Any

import attrs
from twisted.internet.task import Clock

from egretlanding.admission import Admission
from egretlanding.attempts import Attempt
from egretlanding.egress import Egress
from egretlanding.frames import CallReply, CallRequest
from egretlanding.hosts import Host, HostList
from egretlanding.httpclient import HttpClient
from egretlanding.httpmessages import HttpRequest
from egretlanding.httpserver import HttpExchange
from egretlanding.idempotency import KeyTable
from egretlanding.ingress import Ingress
from egretlanding.objects import (
    ConfigObject,
    IdempotencyRule,
    Policy,
    Region,
    Route,
    Service,
    WorkClass,
)
from egretlanding.platform.names import DIALECT
from egretlanding.quarantine import Quarantine
from egretlanding.release import Release
from egretlanding.retries import RetryBudget, WindowBudget
from egretlanding.servicestates import CHOOSERS, ServiceStates
from egretlanding.sidecarrecords import watch_silence
from egretlanding.subsets import Locality
from egretlanding.targetcalls import TargetCalls
from egretlanding.targethealth import ConnectHealth
from egretlanding.tokens import TokenBucket
from egretlanding.views import View
from lab.targetwires import SimulatedPool

ANSWER = b'HTTP/1.1 200 OK\r\nserver-stamp: s\r\ncontent-length: 1\r\n\r\na'
USUAL_S = 0.05
TIMEOUT_MS = 1_000
SLOTS = 5
TAIL_SHARE = 0.03
STEP_S = 0.005
INGRESSES = 24
# The share of calls that daemons retry, as the sidecar derives it from 0.2.
RETRY_PERCENT = 12


@attrs.define(eq=False)
class Target:
    """A target with the daemon beside it.

    Attributes:
        model: The model that it is part of.
        host: Its host.
        slots: Calls that it answers at a time; it never answers others.
        hang_share: Share of the calls that it never answers.
        running: Calls that hold one of its slots.
        silent_clients: Connections on which it answers nothing any more.
        received: Number of requests.
        reused: Requests on such connections.
        egress: The daemon's part that runs calls.
    """

    model: 'Model'
    host: Host
    slots: int = SLOTS
    hang_share: float = 0
    running: int = 0
    silent_clients: set[HttpClient] = attrs.field(factory=set)
    received: int = 0
    reused: int = 0
    egress: Egress = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        clock = self.model.clock
        pool = SimulatedPool(clock, '127.0.0.1', 1, limit=64, target=self)
        health = ConnectHealth(clock, pool)
        health.start()
        quarantine = Quarantine()
        self.egress = Egress(
            clock,
            TargetCalls('h:1', pool, health, quarantine, dialect=DIALECT),
            health,
            Admission.from_service(Service(regions=('r',), slots=SLOTS)),
            KeyTable.for_daemon('s', 'h', 1),
            quarantine,
            dialect=DIALECT,
        )
        self.egress.admission.slots.limit.fix(SLOTS)
        self.egress.residency.routes = self.model.view.routes.routes
        if self.model.detects:
            watch_silence(self.egress)

    def receive(self, client: HttpClient) -> None:
        """Runs a request, or leaves it without an answer."""
        self.received += 1
        self.reused += client in self.silent_clients
        rng = self.model.rng
        hangs = self.running >= self.slots or rng.random() < self.hang_share
        if hangs or client in self.silent_clients:
            self.silent_clients.add(client)
            return
        self.running += 1
        self.model.clock.callLater(self.model.work_s(), self.finish, client)

    def finish(self, client: HttpClient) -> None:
        """Answers a request if its connection is open."""
        self.running -= 1
        if client.on_response:
            client.dataReceived(ANSWER)


@attrs.define(eq=False)
class DirectIngress(Ingress):
    """Hands attempts to the daemons of a model without a network."""

    model: Any = None

    def send(
        self,
        attempt: Attempt,
        call: CallRequest,
        on_reply: Callable[[CallReply], None],
    ) -> None:
        """Runs an attempt at the egress of its host."""
        target = self.model.targets[attempt.host.host_id]
        ticket = target.egress.run(call, 0, on_reply)
        attempt.cancel = lambda: target.egress.cancel(ticket)


def build_view() -> View:
    """Returns a configuration with a route that may be repeated and another."""
    policy = Policy(
        timeout_ms=TIMEOUT_MS, max_attempts=3, retry_percent=RETRY_PERCENT
    )
    objects = [
        ConfigObject('Region', 'r', Region(failure_domains=('d',))),
        ConfigObject('Service', 's', Service(regions=('r',), cold_start_ms=0)),
        ConfigObject('Policy', 'p', policy),
        ConfigObject(
            'IdempotencyRule',
            'i',
            IdempotencyRule(route='repeatable', idempotent=True),
        ),
        *(
            ConfigObject(
                'Route',
                name,
                Route(
                    path_prefix=f'/{name}',
                    service='s',
                    policy='p',
                    work=WorkClass.SHORT,
                ),
            )
            for name in ('repeatable', 'once')
        ),
    ]
    return View.from_release(Release.from_objects(1, '', objects), HostList())


@attrs.define(eq=False)
class Model:
    """Targets of one service, ingress daemons and their callers.

    Attributes:
        detects: Whether lost calls are detected.
        rng: Source of all random values.
        work_s: Returns how long the next call runs, seconds.
        clock: The simulated time.
        view: The configuration.
        targets: The targets by the id of their host.
        ingresses: Send the calls.
        exchanges: The calls, with their responses.
        budgets: The retry budgets of the ingress daemons.
    """

    detects: bool
    rng: random.Random
    work_s: Callable[[], float]
    clock: Clock = attrs.field(factory=Clock)
    view: View = attrs.field(factory=build_view)
    targets: dict[str, Target] = attrs.field(factory=dict)
    ingresses: list[Ingress] = attrs.field(factory=list)
    exchanges: list[HttpExchange] = attrs.field(factory=list)
    budgets: list[WindowBudget] = attrs.field(factory=list)

    @classmethod
    def of_targets(
        cls,
        count: int,
        *,
        ingresses: int = INGRESSES,
        detects: bool = True,
        seed: int = 1,
        work_s: Callable[[random.Random], float] | None = None,
    ) -> 'Model':
        """Builds a model whose ingress daemons call some targets."""
        rng = random.Random(seed)
        work = work_s or exponential_work
        model = cls(detects, rng, lambda: work(rng))
        hosts = [
            Host(f'h{n}', '', 1, 2, 3, 'r', 'd', 's', slots=SLOTS)
            for n in range(count)
        ]
        model.targets = {host.host_id: Target(model, host) for host in hosts}
        listed = HostList(1, {host.host_id: host for host in hosts})
        for n in range(ingresses):
            model.add_ingress(f'front-{n}', listed)
        return model

    def add_ingress(self, name: str, listed: HostList) -> None:
        """Adds an ingress daemon."""
        states = ServiceStates(
            Locality(name, 'r', 'd'), CHOOSERS['near'], self.rng
        )
        states.new_budget = self.new_budget
        states.apply(self.view.with_hosts(listed), 0)
        links: Any = SimpleNamespace()
        ingress = DirectIngress(
            self.clock,
            name,
            links,
            self.targets['h0'].egress,
            states,
            float,
            dialect=DIALECT,
            retries_lost=self.detects,
            model=self,
        )
        self.ingresses.append(ingress)

    def call(self, route: str = 'repeatable') -> HttpExchange:
        """Makes a call."""
        connection: Any = SimpleNamespace(flush=lambda: None)
        request = HttpRequest('GET', f'/{route}', [], b'')
        exchange = HttpExchange(request, connection)
        self.exchanges.append(exchange)
        self.rng.choice(self.ingresses).handle(exchange)
        return exchange

    def run(
        self, rate: float, seconds: float, routes: Iterator[str] | None = None
    ) -> None:
        """Offers calls at random times."""
        end = self.clock.seconds() + seconds
        at = self.clock.seconds() + self.rng.expovariate(rate)
        while at < end:
            self.advance(at - self.clock.seconds())
            self.call(next(routes) if routes else 'repeatable')
            at += self.rng.expovariate(rate)
        self.advance(2 * TIMEOUT_MS / 1_000)

    def advance(self, seconds: float) -> None:
        """Lets time pass in steps."""
        end = self.clock.seconds() + seconds
        while self.clock.seconds() < end:
            self.clock.advance(min(STEP_S, end - self.clock.seconds() + 1e-9))

    def statuses(self) -> Counter[int]:
        """Returns the number of calls by the status of their responses."""
        return Counter(
            int(exchange.response.status) if exchange.response else 0
            for exchange in self.exchanges
        )

    def budget_spent(self) -> int:
        """Returns the retries that count against the budgets now."""
        return sum(len(budget.spent) for budget in self.budgets)

    def new_budget(self, now: float) -> RetryBudget:
        """Returns the retry budget of an ingress daemon."""
        budget = WindowBudget(TokenBucket(0, 0, 0, now))
        self.budgets.append(budget)
        return budget

    def share_answered(self) -> float:
        """Returns the share of the calls that were answered in time."""
        return self.statuses()[200] / len(self.exchanges)


def exponential_work(rng: random.Random) -> float:
    """Returns an exponential run time, seconds."""
    return rng.expovariate(1 / USUAL_S)


def tailed_work(rng: random.Random) -> float:
    """Returns a run time; 3% of the calls have seven times the work."""
    work_s = USUAL_S * rng.lognormvariate(0, 0.3)
    return 7 * work_s if rng.random() < TAIL_SHARE else work_s
