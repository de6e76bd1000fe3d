"""Takes calls from callers and sends them to targets."""

import random
from http import HTTPStatus
from typing import Any

import attrs
from twisted.internet.defer import ensureDeferred
from twisted.python.failure import Failure

from egretlanding.frames import CallReply, CallRequest, Ran
from egretlanding.hosts import Host, HostList
from egretlanding.httpserver import Exchange, HttpRequest, HttpResponse
from egretlanding.objects import IdempotencyRule, Route
from egretlanding.peers import PeerConnection, PeerNode, connect_peer
from egretlanding.release import Release
from egretlanding.target import TargetPool

RAN_HEADER = 'x-egretlanding-ran'
REASON_HEADER = 'x-egretlanding-reason'
KEY_HEADER = 'idempotency-key'
TIMEOUT_HEADER = 'x-timeout-ms'
DEPTH_HEADER = 'x-call-depth'


@attrs.frozen
class View:
    """The configuration that a call is served with from start to end.

    Attributes:
        release: The release in force.
        hosts: The host list in force.
    """

    release: Release
    hosts: HostList

    def route_of(self, request: HttpRequest) -> tuple[str, Route] | None:
        """Returns the route with the longest prefix that matches."""
        matches = [
            (name, entry.spec)
            for (kind, name), entry in self.release.objects.items()
            if kind == 'Route'
            and request.path.startswith(entry.spec.path_prefix)
            and request.method in (entry.spec.methods or (request.method,))
        ]
        return max(
            matches,
            key=lambda match: len(match[1].path_prefix),
            default=None,
        )

    def is_idempotent(self, route: str, method: str) -> bool:
        """Tells whether a rule says that the call may run twice."""
        rules = [
            entry.spec
            for entry in self.release.objects.values()
            if isinstance(entry.spec, IdempotencyRule)
            and entry.spec.route == route
            and method in (entry.spec.methods or (method,))
        ]
        return bool(rules) and all(rule.idempotent for rule in rules)


@attrs.define(eq=False)
class Ingress:
    """Sends each call to the daemon beside a target.

    Attributes:
        reactor: The reactor to connect with.
        host_id: This daemon's host.
        node: What the peer connections share.
        pool: Connections to the local target.
        view: The configuration in force, None until there is one.
        connections: Peer connections by host.
    """

    reactor: Any
    host_id: str
    node: PeerNode
    pool: TargetPool
    view: View | None = None
    connections: dict[str, PeerConnection] = attrs.field(factory=dict)

    def handle(self, entry: Exchange) -> None:
        """Serves a call from a caller."""
        view = self.view
        if view is None:
            entry.respond(refusal(HTTPStatus.SERVICE_UNAVAILABLE, 'not_ready'))
            return
        match = view.route_of(entry.request)
        if match is None:
            entry.respond(refusal(HTTPStatus.NOT_FOUND, 'no_route'))
            return
        name, route = match
        hosts = view.hosts.of_service(route.service)
        if not hosts:
            entry.respond(refusal(HTTPStatus.SERVICE_UNAVAILABLE, 'no_target'))
            return
        call = build_call(
            entry.request,
            name,
            view.is_idempotent(name, entry.request.method),
        )
        self.dispatch(random.choice(hosts), call, entry)

    def dispatch(
        self,
        host: Host,
        call: CallRequest,
        entry: Exchange,
    ) -> None:
        """Sends a call to the daemon of a host and answers the caller."""
        sent = ensureDeferred(self.send(host, call, entry))
        sent.addErrback(lambda _failure: not_sent(entry, _failure))

    async def send(
        self,
        host: Host,
        call: CallRequest,
        entry: Exchange,
    ) -> None:
        """Sends a call over the kept connection to a host."""
        connection = self.connections.get(host.host_id)
        if connection is None or not connection.is_open():
            connection = await connect_peer(self.reactor, host, self.node)
            self.connections[host.host_id] = connection
        connection.call(call, lambda reply: entry.respond(to_response(reply)))

    def run_local(
        self,
        connection: PeerConnection,
        call: CallRequest,
    ) -> None:
        """Runs a call from another daemon at the local target."""
        request = HttpRequest(call.method, call.path, call.headers, call.body)
        self.pool.run(
            request,
            lambda response: connection.send(to_reply(call, response)),
        )


def build_call(
    request: HttpRequest,
    route: str,
    idempotent: bool,
) -> CallRequest:
    """Builds the message that carries a caller's request."""
    return CallRequest(
        0,
        request.method,
        request.path,
        request.headers,
        request.body,
        route,
        int(request.header(TIMEOUT_HEADER, '1000')),
        int(request.header(DEPTH_HEADER, '0')),
        request.header(KEY_HEADER),
        idempotent,
    )


def to_reply(call: CallRequest, response: HttpResponse | None) -> CallReply:
    """Returns the reply that carries a target's response."""
    if response is None:
        return CallReply(
            call.call_id,
            HTTPStatus.BAD_GATEWAY,
            [],
            b'',
            Ran.UNKNOWN,
            'target_lost',
        )
    return CallReply(
        call.call_id,
        response.status,
        response.headers,
        response.body,
    )


def to_response(reply: CallReply) -> HttpResponse:
    """Returns the response that carries a reply to the caller."""
    headers = [*reply.headers, (RAN_HEADER, reply.ran.value)]
    if reply.reason:
        headers.append((REASON_HEADER, reply.reason))
    return HttpResponse(reply.status, headers, reply.body)


def refusal(status: int, reason: str) -> HttpResponse:
    """Returns the refusal of a call that did not run."""
    return HttpResponse(
        status,
        [(RAN_HEADER, Ran.NOT_RUN.value), (REASON_HEADER, reason)],
        b'',
    )


def not_sent(entry: Exchange, _failure: Failure) -> None:
    """Refuses a call that reached no other daemon."""
    entry.respond(refusal(HTTPStatus.SERVICE_UNAVAILABLE, 'target_unreachable'))
