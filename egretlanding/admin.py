"""The admin port: status, state dump, metrics and explanations."""

import importlib
from typing import Any

import msgspec
from twisted.internet.protocol import Factory

from egretlanding.metrics import MetricReader
from egretlanding.supervisor import Supervisor

JSON_TYPE = 'application/json'
TEXT_TYPE = 'text/plain; version=0.0.4'
CONTENT_TYPE = 'content-type'


class AdminFactory(Factory):
    """Imports the HTTP libraries at the first connection.

    Most daemons get no admin connection, so this saves memory.
    """

    noisy = False

    def __init__(self, supervisor: Supervisor, metrics: MetricReader) -> None:
        """Initializes the factory.

        Args:
            supervisor: The daemon.
            metrics: Its metrics.
        """
        self.supervisor = supervisor
        self.metrics = metrics
        self.site: Any = None

    def buildProtocol(self, addr: Any) -> Any:
        """Builds the protocol of one connection."""
        if self.site is None:
            server = importlib.import_module('twisted.web.server')
            app = admin_app(self.supervisor, self.metrics)
            self.site = server.Site(app.resource())
            self.site.doStart()
        return self.site.buildProtocol(addr)


def admin_app(supervisor: Supervisor, metrics: MetricReader) -> Any:
    """Returns the application of the admin port.

    Args:
        supervisor: The daemon.
        metrics: Its metrics.
    """
    app = importlib.import_module('klein').Klein()

    @app.route('/status')
    def status(request: Any) -> bytes:
        request.setHeader(CONTENT_TYPE, JSON_TYPE)
        return supervisor.status().to_bytes()

    @app.route('/dump')
    def dump(request: Any) -> bytes:
        request.setHeader(CONTENT_TYPE, JSON_TYPE)
        return msgspec.json.encode(supervisor.dump(), enc_hook=str)

    @app.route('/metrics')
    def read_metrics(request: Any) -> bytes:
        request.setHeader(CONTENT_TYPE, TEXT_TYPE)
        return metrics.render().encode()

    @app.route('/explain')
    def explain(request: Any) -> bytes:
        request.setHeader(CONTENT_TYPE, JSON_TYPE)
        call = (query_argument(request, name) for name in (b'method', b'path'))
        return msgspec.json.encode(
            supervisor.calls.explain(*call),
            enc_hook=str,
        )

    return app


def query_argument(request: Any, name: bytes) -> str:
    """Returns a query argument, or an empty string."""
    value: bytes = request.args.get(name, [b''])[0]
    return value.decode('latin-1')
