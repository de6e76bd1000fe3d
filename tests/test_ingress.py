"""Tests of what an ingress says of requests that match no route."""

import random
from types import SimpleNamespace
from typing import Any

import pytest
from twisted.internet.task import Clock

from egretlanding.dialect import Dialect
from egretlanding.hosts import HostList
from egretlanding.httpmessages import HttpRequest, HttpResponse
from egretlanding.httpserver import HttpExchange
from egretlanding.ingress import MAX_CONFIRMED_AGE_S, Ingress
from egretlanding.platform.names import DIALECT
from egretlanding.release import Release
from egretlanding.views import View

VIEW = View.from_release(Release.from_objects(7, '', ()), HostList())


def make_ingress(**attributes: Any) -> Ingress:
    """Returns an ingress whose configuration has no routes."""
    states: Any = SimpleNamespace(view=VIEW, rng=random.Random(1))
    unused: Any = None
    return Ingress(
        Clock(), 'host-1', unused, unused, states, float, **attributes
    )


def ask(ingress: Ingress, **headers: str) -> HttpResponse:
    """Returns the response to a request; names use underscores."""
    pairs = [(name.replace('_', '-'), text) for name, text in headers.items()]
    connection: Any = SimpleNamespace(flush=lambda: None)
    exchange = HttpExchange(HttpRequest('GET', '/x', pairs, b''), connection)
    ingress.handle(exchange)
    assert exchange.response
    return exchange.response


def retry_after_s(response: HttpResponse) -> float:
    """Returns the pause that a response asks for, seconds."""
    return float(dict(response.headers)['retry-after'])


# Failure: a daemon denied a route whatever the age of its configuration.
@pytest.mark.parametrize(
    ('age_s', 'status'),
    [
        (0, 404),
        (MAX_CONFIRMED_AGE_S, 404),
        (MAX_CONFIRMED_AGE_S + 0.001, 503),
        (float('inf'), 503),
    ],
)
def test_only_a_confirmed_configuration_denies_a_route(
    age_s: float, status: int
) -> None:
    ingress = make_ingress(dialect=DIALECT, release_age_s=lambda: age_s)
    response = ask(ingress, host='one.example', deadline_ms='2000')
    assert response.status == status
    assert b'did not run' in response.body
    names = {name for name, _ in response.headers}
    assert names.issuperset({'retry-after'} if status == 503 else ())
    assert status == 503 or 'retry-after' not in names


@pytest.mark.parametrize('dialect', [Dialect(), DIALECT])
def test_a_configuration_without_an_age_denies_routes(dialect: Dialect) -> None:
    assert ask(make_ingress(dialect=dialect)).status == 404


def test_a_caller_that_comes_back_pauses_longer() -> None:
    ingress = make_ingress(dialect=DIALECT, release_age_s=lambda: 2)
    first = retry_after_s(ask(ingress, deadline_ms='3000'))
    second = retry_after_s(ask(ingress, deadline_ms='2700'))
    assert 0 < first < second
    assert second < 1


def test_a_malformed_request_is_refused_as_such_without_a_route() -> None:
    ingress = make_ingress(dialect=DIALECT, release_age_s=lambda: 2)
    assert ask(ingress, deadline_ms='soon').status == 400


def test_a_keyed_request_without_a_route_may_have_run_elsewhere() -> None:
    ingress = make_ingress(dialect=DIALECT, release_age_s=lambda: 2)
    response = ask(ingress, idempotency_key='some-key')
    assert response.status == 502
    assert b'may have run' in response.body
