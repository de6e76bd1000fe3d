"""Serves metrics and state of a `Sidecar` daemon over HTTP."""

from http import HTTPStatus
from typing import Any

import attrs
import msgspec

from egretlanding.httpmessages import HttpResponse
from egretlanding.httpserver import HttpExchange
from egretlanding.metrics import MetricReader
from egretlanding.sidecar import Sidecar
from egretlanding.sidecarmetrics import sidecar_metrics

METRICS_PATH = '/metrics'
DUMP_PATH = '/dump'
TEXT_TYPE = 'text/plain; version=0.0.4'
JSON_TYPE = 'application/json'


@attrs.define(eq=False)
class SidecarAdmin:
    """Serves the HTTP requests of operators.

    Attributes:
        sidecar: The daemon.
        metrics: Reads the metrics of the daemon.
    """

    sidecar: Sidecar
    metrics: MetricReader

    @classmethod
    def from_sidecar(cls, sidecar: Sidecar) -> 'SidecarAdmin':
        """Builds the server without opening its port."""
        return cls(sidecar, MetricReader(sidecar_metrics(sidecar)))

    def listen(self) -> None:
        """Opens the port."""
        reactor: Any = self.sidecar.reactor
        config = self.sidecar.config
        reactor.listenTCP(
            config.metrics_port,
            self.sidecar.calls.http.build_side_port(self.handle),
            interface=config.address,
        )

    def handle(self, exchange: HttpExchange) -> None:
        """Answers a request for the metrics or the state."""
        path = exchange.request.path.partition('?')[0]
        if path == METRICS_PATH:
            body = self.metrics.render().encode()
            response = HttpResponse(
                HTTPStatus.OK,
                [('content-type', TEXT_TYPE)],
                body,
            )
        elif path == DUMP_PATH:
            body = msgspec.json.encode(self.sidecar.dump(), enc_hook=str)
            response = HttpResponse(
                HTTPStatus.OK,
                [('content-type', JSON_TYPE)],
                body,
            )
        else:
            response = HttpResponse(HTTPStatus.NOT_FOUND, [], b'')
        exchange.respond(response)
