"""Tests of the check of a set that follows one without faults."""

from itertools import combinations

import attrs
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from egretlanding.check import find_faults
from egretlanding.faults import Fault
from egretlanding.objects import (
    Branch,
    ConfigObject,
    IdempotencyRule,
    Policy,
    Region,
    Route,
    Service,
    WorkClass,
)

EXAMPLES = 600
NAMES = st.sampled_from(['a', 'b', 'c', 'd'])
# One of these is not allowed.
ANY_NAMES = st.sampled_from(['a', 'b', 'c', 'd', 'a', 'b', 'c', 'd', '/'])
METHODS = st.lists(
    st.sampled_from(['GET', 'POST', 'PUT']), max_size=2, unique=True
).map(tuple)
NUMBERS = st.sampled_from([1, 2, 3, 2, 3, -1])
SPECS = {
    'Region': st.builds(
        Region, failure_domains=st.lists(NAMES, max_size=2).map(tuple)
    ),
    'Service': st.builds(
        Service,
        regions=st.lists(NAMES, min_size=1, max_size=2).map(tuple),
        slots=NUMBERS,
    ),
    'Policy': st.builds(
        Policy,
        extends=st.one_of(st.just(''), NAMES),
        max_attempts=NUMBERS,
    ),
    'Route': st.builds(
        Route,
        path_prefix=st.sampled_from(['/a', '/b', '/c', '/a', '/b/../c', 'x']),
        service=NAMES,
        policy=NAMES,
        methods=METHODS,
        work=st.sampled_from(WorkClass),
        domain=st.sampled_from(['', 'one.example']),
    ),
    'Branch': st.builds(Branch, route=NAMES, service=NAMES, weight=NUMBERS),
    'IdempotencyRule': st.builds(
        IdempotencyRule,
        route=NAMES,
        idempotent=st.booleans(),
        methods=METHODS,
    ),
}
BASE = (
    ConfigObject('Region', 'a', Region(failure_domains=('d1',))),
    ConfigObject('Service', 'a', Service(regions=('a',))),
    ConfigObject('Service', 'b', Service(regions=('a',))),
    ConfigObject('Policy', 'a', Policy()),
    ConfigObject('Policy', 'b', Policy(extends='a')),
    ConfigObject(
        'Route',
        'b',
        Route(path_prefix='/a', service='a', policy='a', methods=('GET',)),
    ),
    ConfigObject(
        'Route', 'c', Route(path_prefix='/c', service='b', policy='b')
    ),
    ConfigObject(
        'IdempotencyRule',
        'b',
        IdempotencyRule(route='b', idempotent=True, methods=('GET',)),
    ),
    ConfigObject('Branch', 'c', Branch(route='c', service='b')),
)


@st.composite
def objects(draw: st.DrawFn) -> ConfigObject:
    """Draws objects that are often valid and often related to each other."""
    kind = draw(st.sampled_from(sorted(SPECS)))
    return ConfigObject(kind, draw(ANY_NAMES), draw(SPECS[kind]))


@st.composite
def partial_objects(draw: st.DrawFn) -> ConfigObject:
    """Draws objects of which one field could not be read."""
    whole = draw(objects())
    field = draw(st.sampled_from(attrs.fields(type(whole.spec))))
    return attrs.evolve(
        whole, spec=attrs.evolve(whole.spec, **{field.name: None})
    )


def without_faults(drawn: list[ConfigObject]) -> list[ConfigObject]:
    """Returns the largest part found of some objects that has no faults."""
    remaining = drawn
    while faults := find_faults(remaining):
        faulty = {id(fault.subject) for fault in faults}
        remaining = [one for one in remaining if id(one) not in faulty]
    return remaining


@st.composite
def changes(draw: st.DrawFn, before: list[ConfigObject]) -> list[ConfigObject]:
    """Draws a set that has much in common with another one."""
    order = draw(st.permutations(before))
    dropped, copied, changed = draw(st.tuples(*[st.integers(0, 2)] * 3))
    kept = order[dropped:]
    copies = [attrs.evolve(one) for one in kept[:copied]]
    respecified = [
        attrs.evolve(one, spec=draw(SPECS[one.kind]))
        for one in kept[copied : copied + changed]
    ]
    new = draw(st.lists(objects(), max_size=2))
    after = [*copies, *respecified, *kept[copied + changed :], *new]
    return draw(st.permutations(after))


# Failure: a check that passes over unchanged objects misses a fault between
# them and changed ones.
@settings(max_examples=EXAMPLES, deadline=None)
@given(
    st.lists(objects(), max_size=14),
    st.lists(partial_objects(), max_size=1),
    st.booleans(),
    st.data(),
)
def test_a_changed_set_has_the_faults_of_a_full_check(
    drawn: list[ConfigObject],
    partial: list[ConfigObject],
    with_base: bool,
    data: st.DataObject,
) -> None:
    before = without_faults([*BASE, *drawn] if with_base else drawn)
    for after in data.draw(st.lists(changes(before), min_size=2, max_size=2)):
        full = find_faults(after, partial)
        assert find_faults(after, partial, checked=before) == full


def covers(methods: tuple[str, ...]) -> set[str]:
    """Returns the methods covered, with one that stands for all others."""
    return set(methods or ('GET', 'POST', 'PUT', 'OTHER'))


def overlaps(one: Route, other: Route) -> bool:
    """Returns whether two routes match the same call."""
    calls = {(one.domain, one.path_prefix), (other.domain, other.path_prefix)}
    return len(calls) == 1 and bool(covers(one.methods) & covers(other.methods))


def contradicts(one: IdempotencyRule, first: IdempotencyRule) -> bool:
    """Returns whether two rules disagree on a call."""
    return (
        one.route == first.route
        and one.idempotent is not first.idempotent
        and bool(covers(one.methods) & covers(first.methods))
    )


def specs_of(kind: str) -> st.SearchStrategy[dict[str, object]]:
    """Draws specs of a kind by name."""
    names = st.sampled_from('abcdefgh')
    return st.dictionaries(names, SPECS[kind], max_size=6)


# Failure: a check of groups of routes or rules misses two of one group.
@settings(max_examples=EXAMPLES, deadline=None)
@given(specs_of('Route'), specs_of('IdempotencyRule'))
def test_pairs_of_routes_and_rules_that_contradict_are_found(
    routes: dict[str, Route], rules: dict[str, IdempotencyRule]
) -> None:
    drawn = [ConfigObject('Route', *item) for item in routes.items()]
    drawn += [ConfigObject('IdempotencyRule', *item) for item in rules.items()]
    faults = find_faults(drawn)
    unreachable = {
        later
        for earlier, later in combinations(sorted(routes), 2)
        if overlaps(routes[earlier], routes[later])
    }
    contradictory = {
        later
        for earlier, later in combinations(sorted(rules), 2)
        if contradicts(rules[later], rules[earlier])
    }
    uncovered = {
        name
        for name, spec in rules.items()
        if spec.route in routes
        and not set(spec.methods) <= covers(routes[spec.route].methods)
    }
    assert unreachable == subjects(faults, 'unreachable')
    assert uncovered == subjects(faults, 'does not accept')
    # Only the first rule of a call counts against the later ones.
    assert subjects(faults, 'contradicts') <= contradictory
    assert bool(contradictory) is bool(subjects(faults, 'contradicts'))


def subjects(faults: tuple[Fault, ...], part: str) -> set[str]:
    """Returns the names of the objects whose problem contains a text."""
    return {fault.subject.name for fault in faults if part in fault.problem}


def route(name: str, **changes: object) -> ConfigObject:
    """Returns a valid route, but for the changes."""
    valid = {'path_prefix': '/new', 'service': 'a', 'policy': 'a'}
    return ConfigObject('Route', name, Route(**{**valid, **changes}))


def rule(name: str, **changes: object) -> ConfigObject:
    """Returns a valid rule, but for the changes."""
    valid = {'route': 'c', 'idempotent': True}
    spec = IdempotencyRule(**{**valid, **changes})
    return ConfigObject('IdempotencyRule', name, spec)


@pytest.mark.parametrize(
    ('changed', 'kind', 'field'),
    [
        (route('a', path_prefix='/a'), 'Route', 'path_prefix'),
        (route('d', path_prefix='/a'), 'Route', 'path_prefix'),
        (route('d', path_prefix='/b/..'), 'Route', 'path_prefix'),
        (route('d', service='none'), 'Route', 'service'),
        (route('b', methods=('PUT',)), 'IdempotencyRule', 'methods'),
        (
            rule('a', route='b', idempotent=False),
            'IdempotencyRule',
            'idempotent',
        ),
        (
            rule('d', route='b', idempotent=False),
            'IdempotencyRule',
            'idempotent',
        ),
        (rule('d', route='b', methods=('PUT',)), 'IdempotencyRule', 'methods'),
        (ConfigObject('Policy', 'a', Policy(extends='b')), 'Policy', 'extends'),
        (
            ConfigObject('Region', 'b', Region(failure_domains=('d1',))),
            'Region',
            'failure_domains',
        ),
    ],
)
def test_a_changed_object_is_checked_against_unchanged_ones(
    changed: ConfigObject, kind: str, field: str
) -> None:
    assert not find_faults(BASE)
    kept = [
        one
        for one in BASE
        if (one.kind, one.name) != (changed.kind, changed.name)
    ]
    faults = find_faults([*kept, changed], checked=BASE)
    assert (kind, field) in {
        (fault.subject.kind, fault.field) for fault in faults
    }
    assert faults == find_faults([*kept, changed])


@pytest.mark.parametrize('lost', BASE)
def test_unchanged_links_to_a_lost_object_are_found(lost: ConfigObject) -> None:
    kept = [one for one in BASE if one is not lost]
    faults = find_faults(kept, checked=BASE)
    assert faults == find_faults(kept)
    is_referred_to = lost.kind not in {'Branch', 'IdempotencyRule'}
    assert bool(faults) is is_referred_to


# Failure: of two routes with one name, the second hid that the first does not
# accept the method of a rule.
def test_a_set_with_repeated_names_vouches_for_no_object() -> None:
    narrow = route('d', path_prefix='/d', methods=('GET',))
    wide = route('d', path_prefix='/e')
    put_rule = rule('d', route='d', methods=('PUT',))
    before = [*BASE, narrow, wide, put_rule]
    assert not find_faults(before)
    after = [*BASE, narrow, put_rule]
    assert find_faults(after, checked=before) == find_faults(after)
    assert find_faults(after)
