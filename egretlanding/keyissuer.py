"""Issues idempotency keys to callers."""

import random
import time
from http import HTTPStatus
from typing import Any

import attrs
import msgspec
from result import Err, Ok, Result
from twisted.internet.defer import Deferred, ensureDeferred
from twisted.internet.task import deferLater
from twisted.python.failure import Failure

from egretlanding.balancing import Choice, Wanted
from egretlanding.callheaders import response_of
from egretlanding.frames import refusal_reply
from egretlanding.hosts import Host
from egretlanding.httpmessages import HttpResponse
from egretlanding.httpserver import Exchange
from egretlanding.keys import issue_key
from egretlanding.outcomes import Reason, Refusal
from egretlanding.peerlinks import Lane, PeerLinks
from egretlanding.serviceroutes import ServiceRoutes

KEYS_PREFIX = '/.egretlanding/keys/'
POLL_S = 0.005
WAIT_S = 1
MAX_TRIES = 3


class IssuedKeyBody(msgspec.Struct):
    """The body of the answer to a request for a key.

    Attributes:
        key: The key, for the header idempotency-key.
    """

    key: str


@attrs.define(eq=False)
class KeyIssuer:
    """Chooses an owner for each key that a caller asks for.

    Attributes:
        reactor: The reactor that gives the time.
        links: Connections to other daemons.
        routes: What is known of the services.
        rng: Source of the random bits of keys.
    """

    reactor: Any
    links: PeerLinks
    routes: ServiceRoutes
    rng: random.Random

    def handle(self, entry: Exchange) -> None:
        """Answers a request for a key."""
        issued: Deferred[Result[str, Refusal]] = ensureDeferred(
            self.issue(entry.request.path.removeprefix(KEYS_PREFIX)),
        )
        issued.addCallbacks(
            lambda key: entry.respond(key_response(key)),
            lambda failure: entry.respond(failed_response(failure)),
        )

    async def issue(self, service: str) -> Result[str, Refusal]:
        """Returns a key of a service, or why there is none."""
        view = self.routes.view
        if view is None or service not in view.routes.services:
            detail = f'no Service {service!r} is in force'
            return Err(Refusal.not_run(Reason.NO_ROUTE, detail))
        tried: frozenset[str] = frozenset()
        for _ in range(MAX_TRIES):
            choice = self.choose(service, tried)
            if isinstance(choice, Refusal):
                return Err(choice)
            incarnation = await self.incarnation_of(choice.host)
            if incarnation is not None:
                return Ok(self.make(service, choice.host, incarnation))
            tried |= {choice.host.host_id}
        return Err(Refusal.not_run(Reason.NO_TARGET, 'no owner was reached'))

    def choose(self, service: str, tried: frozenset[str]) -> Choice | Refusal:
        """Chooses the owner of a key."""
        now = self.reactor.seconds()
        balancer = self.routes.service(service, now).balancer
        wanted = Wanted(0, '', now + WAIT_S, excluded=tried)
        return self.routes.choose(balancer, wanted, now, self.routes.rng)

    async def incarnation_of(self, host: Host) -> int | None:
        """Returns the incarnation of a host's daemon, once connected."""
        if host.host_id == self.links.node.hello.host_id:
            return self.links.node.hello.incarnation
        deadline = self.reactor.seconds() + WAIT_S
        while self.reactor.seconds() < deadline:
            incarnation = self.links.incarnation_of(host)
            if incarnation is not None:
                return incarnation
            self.links.connect(host, Lane.SHORT)
            await deferLater(self.reactor, POLL_S)
        return None

    def make(self, service: str, host: Host, incarnation: int) -> str:
        """Returns the text of a new key."""
        wall = time.time()
        key = issue_key(service, host.host_id, incarnation, wall, self.rng)
        return key.text


def key_response(issued: Result[str, Refusal]) -> HttpResponse:
    """Returns the response with a key, or with the refusal."""
    match issued:
        case Ok(text):
            body = msgspec.json.encode(IssuedKeyBody(text))
            headers = [('content-type', 'application/json')]
            return HttpResponse(HTTPStatus.CREATED, headers, body)
        case Err(refusal):
            return response_of(refusal_reply(0, refusal))


def failed_response(failure: Failure) -> HttpResponse:
    """Returns the response to a request that no key can be made for."""
    refusal = Refusal.not_run(Reason.KEY_MALFORMED, str(failure.value))
    return response_of(refusal_reply(0, refusal))
