"""Tests that each configuration that the platform accepts comes into force."""

import math
import random
from collections import Counter
from collections.abc import Iterator
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from egretlanding.events import SINKS, Event
from tests.test_call_path import Daemon

NAMES = st.from_regex(r'[A-Za-z0-9][A-Za-z0-9_.:-]{0,90}', fullmatch=True)
HOSTS = st.from_regex(
    r'[A-Za-z0-9_-]{1,70}(\.[A-Za-z0-9-]{1,20}){0,6}', fullmatch=True
)
SEGMENTS = st.from_regex(r"[A-Za-z0-9._~%@:+!$&'()*,;=-]{1,90}", fullmatch=True)
PREFIXES = st.lists(SEGMENTS, max_size=12).map(
    lambda segments: '/'.join(('', *segments, ''))
)
MILLISECONDS = st.integers(1, 10_000_000)
DURATIONS = st.one_of(
    MILLISECONDS.map('{}ms'.format),
    MILLISECONDS.map(lambda number: f'{number / 1_000}s'),
    MILLISECONDS.map(lambda number: f'{number / 8}ms'),
)
WEIGHTS = st.one_of(
    st.integers(0, 10_000_000), st.floats(0, 1_000, allow_subnormal=False)
)
TIMINGS = {
    'route-kind': st.sampled_from(['safe', 'unsafe']),
    'timeout': DURATIONS,
    'target-latency': DURATIONS,
    'priority': st.integers(0, 100_000),
    'max-attempts': st.integers(1, 1_000),
}


@st.composite
def configurations(draw: st.DrawFn) -> dict[str, Any]:
    """Returns a configuration with any values that the platform allows."""
    services = draw(st.lists(NAMES, min_size=1, max_size=4, unique=True))
    service = st.sampled_from(services)
    parts = st.lists(
        st.fixed_dictionaries({'service': service, 'weight': WEIGHTS}),
        min_size=1,
        max_size=4,
    )
    targets = st.one_of(
        st.fixed_dictionaries({'service': service}),
        st.fixed_dictionaries({'weighted-services': parts}),
    )
    places = draw(
        st.lists(
            st.tuples(HOSTS, PREFIXES),
            max_size=5,
            unique_by=lambda place: (place[0].lower(), place[1]),
        )
    )
    names = draw(
        st.lists(NAMES, min_size=len(places), max_size=len(places), unique=True)
    )
    routes = {
        name: {
            'host': host,
            'prefix': prefix,
            **draw(st.fixed_dictionaries(TIMINGS)),
            **draw(targets),
        }
        for name, (host, prefix) in zip(names, places, strict=True)
    }
    connections = st.integers(1, 1_000_000)
    return {
        'version': draw(st.integers(1, 1_000_000)),
        'routes': routes,
        'services': {
            name: {'health-path': '/h', 'max-connections': draw(connections)}
            for name in services
        },
        'limits': {
            'max-header-bytes': draw(st.integers(1, 1_000_000_000)),
            'max-body-bytes': draw(st.integers(0, 1_000_000_000)),
            'header-timeout': draw(DURATIONS),
            'idle-timeout': draw(DURATIONS),
        },
    }


# Failure: one route's value beyond the product's own bounds kept a whole
# configuration, which the store had accepted, out of force.
@given(configurations())
def test_each_accepted_configuration_comes_into_force(
    content: dict[str, Any],
) -> None:
    daemon = Daemon.build(0)
    daemon.write('op/config', content)
    assert daemon.sidecar.release_number == content['version']
    view = daemon.sidecar.view
    assert view
    for name, route in content['routes'].items():
        path, host = f'{route["prefix"]}x', route['host'].lower()
        match = view.routes.match('GET', path, host)
        assert match
        assert match.route_name == name
        assert match.policy.max_attempts == route['max-attempts']
        assert match.idempotent == (route['route-kind'] == 'safe')


# The same for one value at a time, of which each was refused.
@pytest.mark.parametrize(
    'changes',
    [
        {'max-attempts': 6},
        {'priority': 1_001},
        {'target-latency': '61s'},
        {'timeout': '3601s'},
        {'prefix': f'/{"a/" * 9}'},
        {'prefix': f'/{"a" * 64}/'},
        {'prefix': '/a!/'},
        {'prefix': '/./'},
        {'prefix': '/.egretlanding/'},
        {'host': 'one_two.example'},
        {'host': 'one.example-'},
        {'service': 'Orders_1'},
        {'weighted-services': [{'service': 'orders', 'weight': 0.5}]},
        {'weighted-services': [{'service': 'orders', 'weight': 2_000_000}]},
    ],
)
def test_no_bound_of_the_product_keeps_a_configuration_out_of_force(
    changes: dict[str, Any],
) -> None:
    route = {
        'host': 'one.example',
        'prefix': '/a/',
        'route-kind': 'safe',
        'timeout': '2s',
        'max-attempts': 2,
        'service': 'orders',
        **changes,
    }
    services: dict[str, Any] = {'orders': {}, route['service']: {}}
    daemon = Daemon.build(0)
    daemon.write(
        'op/config',
        {'version': 3, 'routes': {'r-1': route}, 'services': services},
    )
    assert daemon.sidecar.release_number == 3


def test_weights_that_are_not_whole_keep_their_proportions() -> None:
    parts = [
        {'service': name, 'weight': weight}
        for name, weight in (('a', 0.25), ('b', 0.1), ('c', 0.65))
    ]
    route = {
        'host': 'one.example',
        'prefix': '/a/',
        'route-kind': 'safe',
        'timeout': '2s',
        'weighted-services': parts,
    }
    daemon = Daemon.build(0)
    services: dict[str, Any] = {part['service']: {} for part in parts}
    daemon.write(
        'op/config',
        {'version': 1, 'routes': {'r': route}, 'services': services},
    )
    assert daemon.sidecar.view
    table = daemon.sidecar.view.routes
    match = table.match('GET', '/a/x', 'one.example')
    assert match
    rng = random.Random(1)
    drawn = Counter(
        table.choose_branch(match, table.branches['r'], rng).service_name
        for _ in range(10_000)
    )
    for part in parts:
        expected = part['weight'] * drawn.total()
        assert math.isclose(drawn[part['service']], expected, rel_tol=0.1)


@pytest.fixture(name='logged')
def collect_events() -> Iterator[list[Event]]:
    logged: list[Event] = []

    def write(event: Event, *_details: Any) -> None:
        logged.append(event)

    SINKS.insert(0, write)
    yield logged
    SINKS.remove(write)


# A configuration whose calls can't be served as one must still be refused.
@pytest.mark.parametrize(
    'changes',
    [
        {'service': 'missing'},
        {'weighted-services': [{'service': 'missing', 'weight': 1}]},
        {'prefix': '/first/', 'route-kind': 'unsafe'},
    ],
)
def test_a_configuration_that_contradicts_itself_is_refused(
    changes: dict[str, Any], logged: list[Event]
) -> None:
    first = {
        'host': 'one.example',
        'prefix': '/first/',
        'route-kind': 'safe',
        'timeout': '2s',
        'service': 'orders',
    }
    second = {**first, 'prefix': '/second/', **changes}
    daemon = Daemon.build(0)
    daemon.write(
        'op/config',
        {
            'version': 1,
            'routes': {'a': first, 'b': second},
            'services': {'orders': {}},
        },
    )
    assert not daemon.sidecar.release_number
    assert Event.ENTRY_REFUSED in logged
