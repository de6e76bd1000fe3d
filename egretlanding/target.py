"""Connections to the target beside the daemon."""

from collections import deque
from typing import Any

import attrs
from twisted.internet.defer import Deferred
from twisted.internet.endpoints import TCP4ClientEndpoint, connectProtocol

from egretlanding.httpclient import HttpClient, OnResponse, encode_request
from egretlanding.httpserver import HttpRequest

CONNECT_TIMEOUT_S = 1


@attrs.define(eq=False)
class TargetPool:
    """Kept connections to one target, each running one call at a time.

    Attributes:
        reactor: The reactor to connect with.
        address: IP address of the target.
        port: TCP port of the target.
        idle: Connections that run no call, the last used first.
        open_count: Connections that are open.
    """

    reactor: Any
    address: str
    port: int
    idle: deque[HttpClient] = attrs.field(factory=deque)
    open_count: int = 0

    def run(self, request: HttpRequest, on_response: OnResponse) -> None:
        """Sends a request on an idle connection or a new one.

        Args:
            request: The request.
            on_response: Called with the response, or None if it was cut.
        """
        encoded = encode_request(request, f'{self.address}:{self.port}')
        while self.idle:
            client = self.idle.popleft()
            if client.usable:
                self.send(client, encoded, on_response)
                return
        connected = self.connect()
        connected.addCallbacks(
            self.send,
            lambda _failure: on_response(None),
            callbackArgs=(encoded, on_response),
        )

    def connect(self) -> Deferred[HttpClient]:
        """Opens a connection."""
        endpoint = TCP4ClientEndpoint(
            self.reactor,
            self.address,
            self.port,
            timeout=CONNECT_TIMEOUT_S,
        )
        connected = connectProtocol(endpoint, HttpClient(self.closed))
        connected.addCallback(self.opened)
        return connected

    def opened(self, client: HttpClient) -> HttpClient:
        """Counts a connection that was opened."""
        self.open_count += 1
        return client

    def closed(self, client: HttpClient) -> None:
        """Forgets a connection that was closed."""
        self.open_count -= 1
        if client in self.idle:
            self.idle.remove(client)

    def send(
        self,
        client: HttpClient,
        encoded: bytes,
        on_response: OnResponse,
    ) -> None:
        """Sends a request and keeps the connection afterwards."""

        def finished(response: Any) -> None:
            if response is not None and client.usable:
                self.idle.appendleft(client)
            on_response(response)

        client.send(encoded, finished)

    def close(self) -> None:
        """Closes the idle connections."""
        for client in tuple(self.idle):
            client.close()
