"""Pooled connections to the target beside the daemon."""

import math
from collections import deque
from collections.abc import Callable
from typing import Any

import attrs
from twisted.internet.defer import Deferred
from twisted.internet.endpoints import TCP4ClientEndpoint, connectProtocol
from twisted.python.failure import Failure

from egretlanding.answerbuffers import AnswerBuffers
from egretlanding.answerstates import OnInterim
from egretlanding.frames import Headers
from egretlanding.httpclient import (
    HttpClient,
    encode_request,
    encode_request_head,
    exceeds_bounds,
)
from egretlanding.httpmessages import HttpRequest, HttpResponse
from egretlanding.outcomes import Progress
from egretlanding.tcpwrites import PIECE_BYTES

CONNECT_TIMEOUT_S = 1
# Idle time after which a connection isn't used again, seconds. Targets close
# connections that are idle for long. If a request is sent while the target
# closes the connection, it is unknown whether it ran.
REUSE_LIMIT_S = 20
# Share of the target's keep-alive timeout during which an idle connection is
# still used.
KEEP_ALIVE_SHARE = 0.8


@attrs.frozen
class OutgoingRequest:
    """An encoded request to the target.

    Attributes:
        encoded: The request as bytes, without a long body.
        is_head: Whether it is a HEAD request, whose response has no body.
        echo: Header name and value; a response with this header must repeat
            the value.
        on_interim: Called at the first interim answer.
        long_body: A body that is sent in pieces.
    """

    encoded: bytes
    is_head: bool = False
    echo: tuple[str, str] | None = None
    on_interim: OnInterim | None = None
    long_body: bytes = b''


@attrs.frozen
class TargetOutcome:
    """How a request to the target ended.

    Attributes:
        response: The complete response, or None if there was none.
        progress: How far the request got.
        cancelled: Whether it was cancelled before it ended.
        is_too_long: Whether the response exceeded the bound on its size.
        is_malformed: Whether the target sent something else than a valid
            response.
        may_run: Whether the target may still run it, because this daemon
            closed the connection before the last response began.
    """

    response: HttpResponse | None
    progress: Progress
    cancelled: bool = False
    is_too_long: bool = False
    is_malformed: bool = False
    may_run: bool = False


OnOutcome = Callable[[TargetOutcome], None]
UNSENT = TargetOutcome(None, Progress.UNSENT)


@attrs.define(eq=False)
class RequestHandle:
    """A handle that cancels one request at the target.

    Attributes:
        client: The connection that carries it, None before it is sent.
        cancelled: Whether the request was cancelled.
    """

    client: HttpClient | None = None
    cancelled: bool = False

    def cancel(self) -> None:
        """Closes the connection, so that the target stops the request."""
        self.cancelled = True
        self.cut()

    def cut(self) -> None:
        """Closes the connection; the request counts as lost."""
        if self.client:
            self.client.close()

    def cut_interim(self) -> None:
        """Closes the connection if the last answer has not begun."""
        if self.client and self.client.state.awaits_last:
            self.client.state.is_malformed = True
            self.client.close()

    @property
    def is_answering(self) -> bool:
        """Whether the answer has begun but not ended."""
        return self.received_bytes > 0

    @property
    def received_bytes(self) -> int:
        """Number of bytes of the answer that have arrived so far."""
        return self.client.received_bytes if self.client else 0


@attrs.define(eq=False)
class TargetPool:
    """Keep-alive connections to one target, each with one request at a time.

    Attributes:
        reactor: The reactor to connect with.
        address: IP address of the target.
        port: TCP port of the target.
        limit: Maximum number of open connections.
        idle: Connections without a request, the most recently used first.
        open_count: Number of connections that are open or being opened.
        connections_opened: Number of connections opened since the start.
        fastest_connect_s: Shortest time that opening one took, seconds.
        connect_timeout_s: Timeout for opening a connection, seconds.
        reuse_limit_s: Idle time after which a connection isn't used again,
            seconds.
        buffers: Bounds the bodies of the answers that are arriving.
    """

    reactor: Any
    address: str
    port: int
    limit: int
    idle: deque[HttpClient] = attrs.field(factory=deque)
    open_count: int = 0
    connections_opened: int = 0
    fastest_connect_s: float = math.inf
    connect_timeout_s: float = CONNECT_TIMEOUT_S
    reuse_limit_s: float = REUSE_LIMIT_S
    buffers: AnswerBuffers = attrs.field(factory=AnswerBuffers)

    def run(
        self,
        request: HttpRequest,
        extra: Headers,
        on_outcome: OnOutcome,
        *,
        echoed: str = '',
        on_interim: OnInterim | None = None,
    ) -> RequestHandle:
        """Sends a request on an idle connection or a new one.

        Args:
            request: The request.
            extra: Headers to add to it.
            on_outcome: Called once with the outcome.
            echoed: Name of a header; a response with this header must
                repeat the value of the request.
            on_interim: Called at the first interim answer.

        Returns:
            A handle that cancels the request.
        """
        echo = (echoed, request.header(echoed)) if echoed else None
        is_long = len(request.body) > PIECE_BYTES
        encode = encode_request_head if is_long else encode_request
        outgoing = OutgoingRequest(
            encode(request, f'{self.address}:{self.port}', extra),
            request.method == 'HEAD',
            echo,
            on_interim,
            request.body if is_long else b'',
        )
        client = self.pop_idle(echo[1] if echo else '')
        if client:
            return self.send(client, outgoing, on_outcome)
        return self.send_on_new_connection(outgoing, on_outcome)

    def send_on_new_connection(
        self,
        outgoing: OutgoingRequest,
        on_outcome: OnOutcome,
    ) -> RequestHandle:
        """Sends an encoded request on a new connection."""
        handle = RequestHandle()
        if self.open_count >= self.limit:
            on_outcome(UNSENT)
            return handle
        self.connect().addCallbacks(
            self.send,
            lambda _failure: on_outcome(UNSENT),
            callbackArgs=(outgoing, on_outcome, handle),
        )
        return handle

    def pop_idle(self, request_id: str) -> HttpClient | None:
        """Takes a usable idle connection, and closes those idle too long.

        Args:
            request_id: Id of the request that it is for. Connections on which
                this request failed before are left out.
        """
        for client in tuple(self.idle):
            if not self.is_fresh(client):
                self.idle.remove(client)
                client.close()
            elif request_id not in client.failed_echoes:
                self.idle.remove(client)
                return client
        return None

    def is_fresh(self, client: HttpClient) -> bool:
        """Returns whether an idle connection may still be used."""
        limit = min(self.reuse_limit_s, client.keep_alive_s * KEEP_ALIVE_SHARE)
        idle_s = self.reactor.seconds() - client.idle_since
        return client.usable and idle_s < limit

    def connect(self) -> Deferred[HttpClient]:
        """Opens a connection."""
        self.open_count += 1
        self.connections_opened += 1
        endpoint = TCP4ClientEndpoint(
            self.reactor,
            self.address,
            self.port,
            timeout=self.connect_timeout_s,
        )
        started = self.reactor.seconds()
        connected = connectProtocol(
            endpoint, HttpClient(self.on_connection_closed, self.buffers)
        )
        connected.addCallbacks(
            self.record_connect_time,
            self.on_connect_failed,
            callbackArgs=(started,),
        )
        return connected

    def record_connect_time(
        self, client: HttpClient, started: float
    ) -> HttpClient:
        """Records how long it took to open a connection."""
        took_s = self.reactor.seconds() - started
        self.fastest_connect_s = min(self.fastest_connect_s, took_s)
        return client

    def on_connect_failed(self, failure: Failure) -> Failure:
        """Stops counting a connection that was not opened."""
        self.open_count -= 1
        return failure

    def on_connection_closed(self, client: HttpClient) -> None:
        """Stops counting a connection that was closed."""
        self.open_count -= 1
        if client in self.idle:
            self.idle.remove(client)

    def send(
        self,
        client: HttpClient,
        outgoing: OutgoingRequest,
        on_outcome: OnOutcome,
        handle: RequestHandle | None = None,
    ) -> RequestHandle:
        """Sends a request and returns the connection to the pool afterwards."""
        handle = handle or RequestHandle()
        if handle.cancelled:
            self.release(client)
            on_outcome(TargetOutcome(None, Progress.UNSENT, cancelled=True))
            return handle
        handle.client = client

        def finished(response: HttpResponse | None) -> None:
            answering = client.received_bytes > 0
            progress = Progress.ANSWERING if answering else Progress.SENT
            handle.client = None
            self.release(client)
            is_too_long = response is None and exceeds_bounds(client)
            on_outcome(
                TargetOutcome(
                    response,
                    progress,
                    handle.cancelled,
                    is_too_long,
                    client.state.is_malformed,
                    client.state.closed_here
                    and (not answering or client.state.awaits_last),
                )
            )

        client.send(
            outgoing.encoded,
            finished,
            is_head=outgoing.is_head,
            echo=outgoing.echo,
            on_interim=outgoing.on_interim,
            long_body=outgoing.long_body,
        )
        return handle

    def release(self, client: HttpClient) -> None:
        """Returns a connection to the pool, or closes it if it is unusable."""
        if client.usable:
            client.idle_since = self.reactor.seconds()
            self.idle.appendleft(client)
        else:
            client.close()

    def close(self) -> None:
        """Closes the idle connections."""
        for client in tuple(self.idle):
            client.close()
