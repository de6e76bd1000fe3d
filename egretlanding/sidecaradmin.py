"""Metrics and state of a daemon that reads a store of records, over HTTP."""

from http import HTTPStatus
from typing import Any

import attrs
import msgspec

from egretlanding.httpmessages import HttpResponse
from egretlanding.httpserver import Exchange, HttpServerFactory
from egretlanding.metrics import MetricReader
from egretlanding.sidecar import Sidecar
from egretlanding.sidecarmetrics import sidecar_metrics

METRICS_PATH = '/metrics'
DUMP_PATH = '/dump'
TEXT_TYPE = 'text/plain; version=0.0.4'
JSON_TYPE = 'application/json'


@attrs.define(eq=False)
class SidecarAdmin:
    """Answers operators.

    Attributes:
        sidecar: The daemon.
        metrics: Its metrics.
    """

    sidecar: Sidecar
    metrics: MetricReader

    @classmethod
    def of(cls, sidecar: Sidecar) -> 'SidecarAdmin':
        """Builds what answers operators of a daemon."""
        return cls(sidecar, MetricReader(sidecar_metrics(sidecar)))

    def listen(self) -> None:
        """Opens the port."""
        reactor: Any = self.sidecar.reactor
        config = self.sidecar.config
        reactor.listenTCP(
            config.metrics_port,
            HttpServerFactory(self.handle, reactor.seconds),
            interface=config.address,
        )

    def handle(self, entry: Exchange) -> None:
        """Answers one request."""
        path = entry.request.path.partition('?')[0]
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
        entry.respond(response)
