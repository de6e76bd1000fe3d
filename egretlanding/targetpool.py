"""Connections to the target beside the daemon."""

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


@attrs.frozen
class TargetOutcome:
    """How a request to the target ended.

    Attributes:
        response: The whole response, or None if there was none.
        progress: How far the request got.
    """

    response: HttpResponse | None
    progress: Progress


OnOutcome = Callable[[TargetOutcome], None]
UNSENT = TargetOutcome(None, Progress.UNSENT)


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
    """

    reactor: Any
    address: str
    port: int
    limit: int
    idle: deque[HttpClient] = attrs.field(factory=deque)
    opened: int = 0

    def run(
        self,
        request: HttpRequest,
        extra: Headers,
        on_outcome: OnOutcome,
    ) -> None:
        """Sends a request on an idle connection or a new one.

        Args:
            request: The request.
            extra: Headers to add to it.
            on_outcome: Called once with what came of it.
        """
        encoded = encode_request(request, f'{self.address}:{self.port}', extra)
        is_head = request.method == 'HEAD'
        client = self.take_idle()
        if client:
            self.send(client, encoded, is_head, on_outcome)
        else:
            self.send_fresh(encoded, is_head, on_outcome)

    def send_fresh(
        self,
        encoded: bytes,
        is_head: bool,
        on_outcome: OnOutcome,
    ) -> None:
        """Sends an encoded request on a new connection."""
        if self.opened >= self.limit:
            on_outcome(UNSENT)
            return
        self.connect().addCallbacks(
            self.send,
            lambda _failure: on_outcome(UNSENT),
            callbackArgs=(encoded, is_head, on_outcome),
        )

    def take_idle(self) -> HttpClient | None:
        """Returns a connection that can be used, and drops old ones."""
        oldest = self.reactor.seconds() - REUSE_LIMIT_S
        while self.idle:
            client = self.idle.popleft()
            if client.usable and client.idle_since > oldest:
                return client
            client.close()
        return None

    def connect(self) -> Deferred[HttpClient]:
        """Opens a connection."""
        self.opened += 1
        endpoint = TCP4ClientEndpoint(
            self.reactor,
            self.address,
            self.port,
            timeout=CONNECT_TIMEOUT_S,
        )
        connected = connectProtocol(endpoint, HttpClient(self.forget))
        connected.addErrback(self.take_failure)
        return connected

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
        encoded: bytes,
        is_head: bool,
        on_outcome: OnOutcome,
    ) -> None:
        """Sends a request and keeps the connection afterwards."""

        def finished(response: HttpResponse | None) -> None:
            answering = client.header_bytes > 0
            progress = Progress.ANSWERING if answering else Progress.SENT
            self.keep(client)
            on_outcome(TargetOutcome(response, progress))

        client.send(encoded, finished, is_head=is_head)

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
