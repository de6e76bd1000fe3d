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

from egretlanding.balancing import AttemptSpec, Choice
from egretlanding.callheaders import response_of
from egretlanding.frames import refusal_reply
from egretlanding.hosts import Host
from egretlanding.httpmessages import HttpResponse
from egretlanding.httpserver import HttpExchange
from egretlanding.keys import issue_key
from egretlanding.lanes import Lane
from egretlanding.outcomes import Reason, Refusal
from egretlanding.peerlinks import PeerLinks
from egretlanding.servicestates import ServiceStates

KEYS_PATH_PREFIX = '/.egretlanding/keys/'
CONNECT_POLL_S = 0.005
# Time to wait for a connection to a possible owner, seconds.
CONNECT_TIMEOUT_S = 1
MAX_OWNERS_TRIED = 3


class IssuedKeyBody(msgspec.Struct):
    """The body of the answer to a request for a key.

    Attributes:
        key: The key, to be sent in the header idempotency-key.
    """

    key: str


@attrs.define(eq=False)
class KeyIssuer:
    """Issues idempotency keys, each with an owner that it chooses.

    Attributes:
        reactor: The reactor that gives the time.
        links: Connections to other daemons.
        service_states: State of the services, for the choice of owners.
        rng: Source of the random bits of keys.
    """

    reactor: Any
    links: PeerLinks
    service_states: ServiceStates
    rng: random.Random

    def handle(self, exchange: HttpExchange) -> None:
        """Answers a caller's request for a key."""
        issuing: Deferred[Result[str, Refusal]] = ensureDeferred(
            self.issue(exchange.request.path.removeprefix(KEYS_PATH_PREFIX)),
        )
        issuing.addCallbacks(
            lambda key: exchange.respond(key_response(key)),
            lambda failure: exchange.respond(failed_response(failure)),
        )

    async def issue(self, service: str) -> Result[str, Refusal]:
        """Returns a new key for calls of a service, or a refusal."""
        view = self.service_states.view
        if view is None or service not in view.routes.services:
            detail = f'no Service {service!r} is in force'
            return Err(Refusal.not_run(Reason.NO_ROUTE, detail))
        tried: frozenset[str] = frozenset()
        for _ in range(MAX_OWNERS_TRIED):
            choice = self.choose_owner(service, tried)
            if isinstance(choice, Refusal):
                return Err(choice)
            incarnation = await self.incarnation_of(choice.host)
            if incarnation is not None:
                return Ok(self.make_key(service, choice.host, incarnation))
            tried |= {choice.host.host_id}
        return Err(Refusal.not_run(Reason.NO_TARGET, 'no owner was reached'))

    def choose_owner(
        self, service: str, tried: frozenset[str]
    ) -> Choice | Refusal:
        """Chooses a host as the owner of a key."""
        now = self.reactor.seconds()
        balancer = self.service_states.service(service, now).balancer
        spec = AttemptSpec(0, '', now + CONNECT_TIMEOUT_S, excluded=tried)
        return self.service_states.choose(
            balancer, spec, now, self.service_states.rng
        )

    async def incarnation_of(self, host: Host) -> int | None:
        """Connects to a host's daemon and returns its incarnation.

        Returns:
            None if no connection was made within the timeout.
        """
        if host.host_id == self.links.context.hello.host_id:
            return self.links.context.hello.incarnation
        deadline = self.reactor.seconds() + CONNECT_TIMEOUT_S
        while self.reactor.seconds() < deadline:
            incarnation = self.links.incarnation_of(host)
            if incarnation is not None:
                return incarnation
            self.links.connect(host, Lane.SHORT)
            await deferLater(self.reactor, CONNECT_POLL_S)
        return None

    def make_key(self, service: str, host: Host, incarnation: int) -> str:
        """Makes a key and returns its text."""
        wall = time.time()
        key = issue_key(service, host.host_id, incarnation, wall, self.rng)
        return key.text


def key_response(issued: Result[str, Refusal]) -> HttpResponse:
    """Returns the response to a request for a key."""
    match issued:
        case Ok(text):
            body = msgspec.json.encode(IssuedKeyBody(text))
            headers = [('content-type', 'application/json')]
            return HttpResponse(HTTPStatus.CREATED, headers, body)
        case Err(refusal):
            return response_of(refusal_reply(0, refusal))


def failed_response(failure: Failure) -> HttpResponse:
    """Returns the response when making a key raised an error."""
    refusal = Refusal.not_run(Reason.KEY_MALFORMED, str(failure.value))
    return response_of(refusal_reply(0, refusal))
