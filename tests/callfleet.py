"""A small fleet of real processes for tests of calls."""

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
from standins.faults import LinkRule
from standins.fleet import (
    Answer,
    Fleet,
    Member,
    Placement,
    send_request,
    wait_until,
)
from standins.proxyprocess import FaultProxy

REGION = 'near'
DOMAINS = ('one', 'two')
SOLO = 'solo-0'
INGRESS_HOST = 'front-0'
OTHER_INGRESS_HOST = 'front-1'
ORDERS = tuple(f'orders-{number}' for number in range(4))
INGRESS_HOSTS = (INGRESS_HOST, OTHER_INGRESS_HOST)
SERVICES = ('front', 'solo', 'orders')
PLACEMENTS = tuple(
    Placement(name, REGION, DOMAINS[number % 2], name.partition('-')[0])
    for number, name in enumerate(
        (INGRESS_HOST, OTHER_INGRESS_HOST, SOLO, *ORDERS)
    )
)
LONG_TIMEOUT = {'x_timeout_ms': '5000'}


def build_release() -> Release:
    """Returns a release with the same three routes for each service.

    Lookups are short and idempotent, orders are short, batches are long.
    """
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
        proxy: Injects faults into two links of `solo-0`: `peer`, from other
            daemons to its daemon, and `target`, from there to its target.
        target_port: The port of the target of `solo-0`, behind the proxy.
    """

    fleet: Fleet
    proxy: FaultProxy
    target_port: int

    @classmethod
    def start(cls, placements: Iterable[Placement] = PLACEMENTS) -> 'CallFleet':
        """Starts all processes and waits until calls are served."""
        fleet = Fleet.from_placements(placements, store_region=REGION)
        call_fleet = cls(
            fleet,
            FaultProxy.start(),
            fleet.members[SOLO].settings['target_port'],
        )
        try:
            call_fleet.serve()
        except BaseException:
            # If one process doesn't start, the others must not stay running.
            call_fleet.close()
            raise
        return call_fleet

    def serve(self) -> None:
        """Starts targets and daemons and waits until calls are served."""
        solo = self.member(SOLO)
        solo.listed_settings['peer_port'] = self.proxy.add_link(
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
        """Returns the host with a name."""
        return self.fleet.members[name]

    def wait_served(self, timeout_s: float = 15) -> None:
        """Waits until both ingress hosts get answers from all services."""
        for ingress_host, service in itertools.product(INGRESS_HOSTS, SERVICES):
            served = functools.partial(self.is_served, service, ingress_host)
            wait_until(served, timeout_s, f'{service} through {ingress_host}')

    def is_served(self, service: str, ingress_host: str) -> bool:
        """Returns whether an ingress gets an answer from a service."""
        return self.lookup(service, ingress_host).status == 200

    def lookup(self, service: str, ingress_host: str = INGRESS_HOST) -> Answer:
        """Makes an idempotent call through an ingress."""
        return self.member(ingress_host).call('GET', f'/{service}/lookup')

    def order(
        self,
        body: str,
        service: str = 'solo',
        ingress_host: str = INGRESS_HOST,
        **headers: str,
    ) -> Answer:
        """Makes a non-idempotent call through an ingress."""
        path = f'/{service}/order'
        member = self.member(ingress_host)
        return member.call('POST', path, body.encode(), **headers)

    def issue_key(
        self, service: str = 'solo', ingress_host: str = INGRESS_HOST
    ) -> str:
        """Requests an idempotency key for a service from a daemon."""
        path = f'/.egretlanding/keys/{service}'
        answer = self.member(ingress_host).call('POST', path)
        assert answer.status == 201, answer
        return str(answer.json()['key'])

    def runs(self, *names: str) -> Counter[str]:
        """Counts the runs at targets by request body.

        Lookups have no body and aren't counted.
        """
        ports = [
            self.target_port
            if name == SOLO
            else self.member(name).settings['target_port']
            for name in names or (SOLO,)
        ]
        return Counter(
            run['body']
            for port in ports
            for run in send_request(port, 'GET', '/executions').json()
            if run['body']
        )

    def count_arrivals(self, name: str) -> int:
        """Returns the number of calls that reached a target.

        Calls that it refused count as well.
        """
        port = self.member(name).settings['target_port']
        refused = send_request(port, 'GET', '/load').json()['refused']
        return int(refused) + self.runs(name).total()

    def count_runs(self, prefix: str) -> int:
        """Counts the runs at `solo-0` whose body starts with a prefix."""
        counts = self.runs()
        return sum(counts[body] for body in counts if body.startswith(prefix))

    @contextlib.contextmanager
    def rules(self, link: str, *rules: LinkRule) -> Iterator[None]:
        """Applies fault rules to a link's connections within the block.

        Existing connections are cut first, and again at the end.
        """
        self.proxy.set_rules(link, LinkRule(cut=True))
        self.proxy.set_rules(link, *rules)
        try:
            yield
        finally:
            self.proxy.set_rules(link, LinkRule(cut=True))
            self.proxy.set_rules(link)

    def dump(self, name: str) -> dict[str, object]:
        """Returns the part of a daemon's dump that is about calls."""
        port = self.member(name).settings['admin_port']
        state = send_request(port, 'GET', '/dump').json()
        return dict(state.get('calls', state))

    def close(self) -> None:
        """Stops everything."""
        self.fleet.close()
        self.proxy.close()


@attrs.define(eq=False)
class Load:
    """Makes calls in the background while a block runs.

    Attributes:
        fleet: The fleet that is called.
        answers: The answers so far.
        stopped: Set to stop the calls.
    """

    fleet: CallFleet
    answers: list[Answer] = attrs.field(factory=list)
    stopped: threading.Event = attrs.field(factory=threading.Event)

    def call(self, worker: int) -> None:
        """Makes calls one after another until stopped."""
        number = 0
        while not self.stopped.is_set():
            number += 1
            body = f'load-{id(self)}-{worker}-{number}'
            answer = self.fleet.order(body, 'orders', x_service_ms='10')
            self.answers.append(answer)

    @contextlib.contextmanager
    def running(self, workers: int = 4) -> Iterator[None]:
        """Runs the load until the block ends."""
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
    """Sends a call and returns its connection without reading an answer."""
    connection = client.HTTPConnection('127.0.0.1', port, timeout=20)
    names = {name.replace('_', '-'): text for name, text in headers.items()}
    connection.request('POST', path, b'held', names)
    time.sleep(0.1)
    return connection


def has_expected_body(answer: Answer, body: str, extra: int = 0) -> bool:
    """Returns whether an answer has the complete body expected of a call.

    Targets echo the request's body and pad it with `extra` bytes.
    """
    _, _, echoed = answer.body.partition(b':')
    return echoed == body.encode().ljust(len(body) + extra, b'.')
