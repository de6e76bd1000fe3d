"""Connections to the target beside the daemon."""

import math
from collections import deque
from collections.abc import Callable
from typing import Any

import attrs
from twisted.internet.defer import Deferred
from twisted.internet.endpoints import TCP4ClientEndpoint, connectProtocol
from twisted.python.failure import Failure

from egretlanding.frames import Headers
from egretlanding.httpclient import HttpClient, encode_request
from egretlanding.httpmessages import HttpRequest, HttpResponse
from egretlanding.outcomes import Progress

CONNECT_TIMEOUT_S = 1
# Targets close connections that are idle for long; a request that crosses
# such a close may or may not have run.
REUSE_LIMIT_S = 20
# Share of the time a target keeps idle connections in which they are used.
KEEP_SHARE = 0.8


@attrs.frozen
class Outgoing:
    """A request on its way to the target.

    Attributes:
        encoded: The request as bytes.
        is_head: Whether the response has no body.
        echo: Header and value that the response must repeat if it has it.
    """

    encoded: bytes
    is_head: bool = False
    echo: tuple[str, str] | None = None


@attrs.frozen
class TargetOutcome:
    """How a request to the target ended.

    Attributes:
        response: The whole response, or None if there was none.
        progress: How far the request got.
        cancelled: Whether it was ended because nobody wants the response.
    """

    response: HttpResponse | None
    progress: Progress
    cancelled: bool = False


OnOutcome = Callable[[TargetOutcome], None]
UNSENT = TargetOutcome(None, Progress.UNSENT)


@attrs.define(eq=False)
class Ticket:
    """One request at the target.

    Attributes:
        client: The connection that carries it, None before it is sent.
        cancelled: Whether nobody wants the response.
    """

    client: HttpClient | None = None
    cancelled: bool = False

    def cancel(self) -> None:
        """Closes the connection, so that the target ends the request."""
        self.cancelled = True
        if self.client:
            self.client.close()


@attrs.define(eq=False)
class TargetPool:
    """Kept connections to one target, each running one request at a time.

    Attributes:
        reactor: The reactor to connect with.
        address: IP address of the target.
        port: TCP port of the target.
        limit: The most connections to hold open.
        idle: Connections that run no request, the last used first.
        opened: Connections that are open or being opened.
        connects: Connections opened so far.
        fastest_connect_s: Shortest time in which one was opened, seconds.
        connect_timeout_s: Longest wait for a connection, seconds.
        reuse_limit_s: Longest time that a connection is kept idle, seconds.
    """

    reactor: Any
    address: str
    port: int
    limit: int
    idle: deque[HttpClient] = attrs.field(factory=deque)
    opened: int = 0
    connects: int = 0
    fastest_connect_s: float = math.inf
    connect_timeout_s: float = CONNECT_TIMEOUT_S
    reuse_limit_s: float = REUSE_LIMIT_S

    def run(
        self,
        request: HttpRequest,
        extra: Headers,
        on_outcome: OnOutcome,
        *,
        echoed: str = '',
    ) -> Ticket:
        """Sends a request on an idle connection or a new one.

        Args:
            request: The request.
            extra: Headers to add to it.
            on_outcome: Called once with what came of it.
            echoed: Header that the response must repeat if it has it.

        Returns:
            What cancels the request.
        """
        outgoing = Outgoing(
            encode_request(request, f'{self.address}:{self.port}', extra),
            request.method == 'HEAD',
            (echoed, request.header(echoed)) if echoed else None,
        )
        client = self.take_idle()
        if client:
            return self.send(client, outgoing, on_outcome)
        return self.send_fresh(outgoing, on_outcome)

    def send_fresh(
        self,
        outgoing: Outgoing,
        on_outcome: OnOutcome,
    ) -> Ticket:
        """Sends an encoded request on a new connection."""
        ticket = Ticket()
        if self.opened >= self.limit:
            on_outcome(UNSENT)
            return ticket
        self.connect().addCallbacks(
            self.send,
            lambda _failure: on_outcome(UNSENT),
            callbackArgs=(outgoing, on_outcome, ticket),
        )
        return ticket

    def take_idle(self) -> HttpClient | None:
        """Returns a connection that can be used, and drops old ones."""
        now = self.reactor.seconds()
        while self.idle:
            client = self.idle.popleft()
            limit = min(self.reuse_limit_s, client.keep_s * KEEP_SHARE)
            if client.usable and now - client.idle_since < limit:
                return client
            client.close()
        return None

    def connect(self) -> Deferred[HttpClient]:
        """Opens a connection."""
        self.opened += 1
        self.connects += 1
        endpoint = TCP4ClientEndpoint(
            self.reactor,
            self.address,
            self.port,
            timeout=self.connect_timeout_s,
        )
        started = self.reactor.seconds()
        connected = connectProtocol(endpoint, HttpClient(self.forget))
        connected.addCallbacks(
            self.take_connection,
            self.take_failure,
            callbackArgs=(started,),
        )
        return connected

    def take_connection(self, client: HttpClient, started: float) -> HttpClient:
        """Learns how long it takes to open a connection."""
        took_s = self.reactor.seconds() - started
        self.fastest_connect_s = min(self.fastest_connect_s, took_s)
        return client

    def take_failure(self, failure: Failure) -> Failure:
        """Stops counting a connection that was not opened."""
        self.opened -= 1
        return failure

    def forget(self, client: HttpClient) -> None:
        """Stops counting a connection that was closed."""
        self.opened -= 1
        if client in self.idle:
            self.idle.remove(client)

    def send(
        self,
        client: HttpClient,
        outgoing: Outgoing,
        on_outcome: OnOutcome,
        ticket: Ticket | None = None,
    ) -> Ticket:
        """Sends a request and keeps the connection afterwards."""
        ticket = ticket or Ticket()
        if ticket.cancelled:
            self.keep(client)
            on_outcome(TargetOutcome(None, Progress.UNSENT, cancelled=True))
            return ticket
        ticket.client = client

        def finished(response: HttpResponse | None) -> None:
            answering = client.header_bytes > 0
            progress = Progress.ANSWERING if answering else Progress.SENT
            ticket.client = None
            self.keep(client)
            on_outcome(TargetOutcome(response, progress, ticket.cancelled))

        client.send(
            outgoing.encoded,
            finished,
            is_head=outgoing.is_head,
            echo=outgoing.echo,
        )
        return ticket

    def keep(self, client: HttpClient) -> None:
        """Keeps a connection for the next request, or closes it."""
        if client.usable:
            client.idle_since = self.reactor.seconds()
            self.idle.appendleft(client)
        else:
            client.close()

    def close(self) -> None:
        """Closes the idle connections."""
        for client in tuple(self.idle):
            client.close()
