"""A small fleet of processes that tests of calls share."""

import contextlib
import functools
import itertools
import threading
import time
from collections import Counter
from collections.abc import Iterable, Iterator
from concurrent.futures import ThreadPoolExecutor
from http import client

import attrs

from egretlanding.objects import (
    ConfigObject,
    IdempotencyRule,
    Policy,
    Region,
    Route,
    Service,
    WorkClass,
)
from egretlanding.release import Release
from standins.faults import Rule
from standins.fleet import Answer, Fleet, Member, Placement, ask, wait_until
from standins.proxy import FaultProxy

REGION = 'near'
DOMAINS = ('one', 'two')
SOLO = 'solo-0'
FRONT = 'front-0'
OTHER_FRONT = 'front-1'
ORDERS = tuple(f'orders-{number}' for number in range(4))
FRONTS = (FRONT, OTHER_FRONT)
SERVICES = ('front', 'solo', 'orders')
PLACEMENTS = tuple(
    Placement(name, REGION, DOMAINS[number % 2], name.partition('-')[0])
    for number, name in enumerate((FRONT, OTHER_FRONT, SOLO, *ORDERS))
)
PATIENT = {'x_timeout_ms': '5000'}


def build_release() -> Release:
    """Returns a release with a lookup, an order and a batch per service."""
    objects = [
        ConfigObject('Region', REGION, Region(failure_domains=DOMAINS)),
        ConfigObject(
            'Policy',
            'quick',
            Policy(timeout_ms=5_000, max_attempts=4, retry_percent=100),
        ),
        ConfigObject('Policy', 'slow', Policy(timeout_ms=30_000)),
    ]
    for service in SERVICES:
        spec = Service(regions=(REGION,), cold_start_ms=0)
        objects.append(ConfigObject('Service', service, spec))
        objects.extend(
            ConfigObject(
                'Route',
                f'{service}-{kind}',
                Route(
                    path_prefix=f'/{service}/{kind}',
                    service=service,
                    policy=policy,
                    work=work,
                ),
            )
            for kind, policy, work in (
                ('lookup', 'quick', WorkClass.SHORT),
                ('order', 'quick', WorkClass.SHORT),
                ('batch', 'slow', WorkClass.LONG),
            )
        )
        rule = IdempotencyRule(route=f'{service}-lookup', idempotent=True)
        objects.append(ConfigObject('IdempotencyRule', service, rule))
    return Release.from_objects(1, '', objects)


@attrs.define(eq=False)
class CallFleet:
    """A fleet whose host `solo-0` is behind fault proxies.

    Attributes:
        fleet: The processes.
        proxy: Carries the links `peer`, between daemons, and `target`.
        target_port: The port of the target of `solo-0` itself.
    """

    fleet: Fleet
    proxy: FaultProxy
    target_port: int

    @classmethod
    def start(cls, placements: Iterable[Placement] = PLACEMENTS) -> 'CallFleet':
        """Starts all processes and waits until calls are served."""
        fleet = Fleet.from_placements(placements, store_region=REGION)
        started = cls(
            fleet,
            FaultProxy.start(),
            fleet.members[SOLO].settings['target_port'],
        )
        try:
            started.serve()
        except BaseException:
            # No process may be left running if one of them doesn't start.
            started.close()
            raise
        return started

    def serve(self) -> None:
        """Starts the hosts and waits until calls are served."""
        solo = self.member(SOLO)
        solo.advertised['peer_port'] = self.proxy.add_link(
            'peer',
            solo.settings['peer_port'],
        )
        for member in self.fleet.members.values():
            member.start_target()
        solo.settings['target_port'] = self.proxy.add_link(
            'target',
            self.target_port,
        )
        for member in self.fleet.members.values():
            member.start_daemon()
        self.fleet.publish_hosts()
        self.fleet.publish(build_release())
        self.fleet.wait_in_force(1)
        self.wait_served()

    def member(self, name: str) -> Member:
        """Returns a host."""
        return self.fleet.members[name]

    def wait_served(self, timeout_s: float = 15) -> None:
        """Waits until every service answers through both ingresses."""
        for front, service in itertools.product(FRONTS, SERVICES):
            served = functools.partial(self.is_served, service, front)
            wait_until(served, timeout_s, f'{service} through {front}')

    def is_served(self, service: str, front: str) -> bool:
        """Tells whether a service answers through an ingress."""
        return self.lookup(service, front).status == 200

    def lookup(self, service: str, front: str = FRONT) -> Answer:
        """Makes an idempotent call."""
        return self.member(front).call('GET', f'/{service}/lookup')

    def order(
        self,
        body: str,
        service: str = 'solo',
        front: str = FRONT,
        **headers: str,
    ) -> Answer:
        """Makes a non-idempotent call."""
        path = f'/{service}/order'
        member = self.member(front)
        return member.call('POST', path, body.encode(), **headers)

    def issue_key(self, service: str = 'solo', front: str = FRONT) -> str:
        """Asks a daemon for an idempotency key."""
        path = f'/.egretlanding/keys/{service}'
        answer = self.member(front).call('POST', path)
        assert answer.status == 201, answer
        return str(answer.json()['key'])

    def runs(self, *names: str) -> Counter[str]:
        """Returns how often targets ran each body; lookups have none."""
        ports = [
            self.target_port
            if name == SOLO
            else self.member(name).settings['target_port']
            for name in names or (SOLO,)
        ]
        return Counter(
            run['body']
            for port in ports
            for run in ask(port, 'GET', '/executions').json()
            if run['body']
        )

    def arrivals(self, name: str) -> int:
        """Returns how many calls reached a target, refused ones too."""
        port = self.member(name).settings['target_port']
        refused = ask(port, 'GET', '/load').json()['refused']
        return int(refused) + self.runs(name).total()

    def runs_of(self, prefix: str) -> int:
        """Returns how often `solo-0` ran bodies that begin with a text."""
        counted = self.runs()
        return sum(counted[body] for body in counted if body.startswith(prefix))

    @contextlib.contextmanager
    def rules(self, link: str, *rules: Rule) -> Iterator[None]:
        """Has a link misbehave on new connections for a while."""
        self.proxy.set_rules(link, Rule(cut=True))
        self.proxy.set_rules(link, *rules)
        try:
            yield
        finally:
            self.proxy.set_rules(link, Rule(cut=True))
            self.proxy.set_rules(link)

    def dump(self, name: str) -> dict[str, object]:
        """Returns the state of a daemon's call path."""
        port = self.member(name).settings['admin_port']
        found = ask(port, 'GET', '/dump').json()
        return dict(found.get('calls', found))

    def close(self) -> None:
        """Stops everything."""
        self.fleet.close()
        self.proxy.close()


@attrs.define(eq=False)
class Load:
    """Calls that go on in the background until the block ends.

    Attributes:
        fleet: The fleet.
        answers: The answers so far.
        stopped: Set when the calls shall end.
    """

    fleet: CallFleet
    answers: list[Answer] = attrs.field(factory=list)
    stopped: threading.Event = attrs.field(factory=threading.Event)

    def call(self, worker: int) -> None:
        """Makes one call after the other."""
        number = 0
        while not self.stopped.is_set():
            number += 1
            body = f'load-{id(self)}-{worker}-{number}'
            answer = self.fleet.order(body, 'orders', x_service_ms='10')
            self.answers.append(answer)

    @contextlib.contextmanager
    def running(self, workers: int = 4) -> Iterator[None]:
        """Runs the load for as long as the block takes."""
        with ThreadPoolExecutor(workers) as pool:
            futures = [pool.submit(self.call, n) for n in range(workers)]
            try:
                yield
            finally:
                self.stopped.set()
        for future in futures:
            future.result()


def open_call(
    port: int,
    path: str,
    **headers: str,
) -> client.HTTPConnection:
    """Begins a call and returns its connection without waiting."""
    connection = client.HTTPConnection('127.0.0.1', port, timeout=20)
    names = {name.replace('_', '-'): text for name, text in headers.items()}
    connection.request('POST', path, b'held', names)
    time.sleep(0.1)
    return connection


def is_whole(answer: Answer, body: str, extra: int = 0) -> bool:
    """Tells whether an answer is the whole one to a request's body."""
    _, _, echoed = answer.body.partition(b':')
    return echoed == body.encode().ljust(len(body) + extra, b'.')
