"""Checks across objects: links, cycles, overlaps and contradictions."""

import operator
from collections.abc import Iterator, Mapping

from egretlanding.faults import (
    Fault,
    FieldValue,
    ObjectKey,
    ObjectSet,
    check,
    consistency_check,
    order,
)
from egretlanding.objects import ConfigObject, IdempotencyRule, Policy, Route
from egretlanding.schema import HTTP_METHODS
from egretlanding.texts import quote

RESERVED_PREFIX = '/.egretlanding'
RULE_KIND = IdempotencyRule.__name__
ANY_METHOD = '*'
ALL_METHODS = (*sorted(HTTP_METHODS), ANY_METHOD)


@consistency_check('links')
def check_links(objects: ObjectSet) -> Iterator[Fault]:
    """Finds links to objects that don't exist."""
    return (
        value.fault(
            f'refers to {kind} {quote(name)}, which does not exist',
            f'add that {kind} or refer to another',
        )
        for value in objects.link_fields()
        for kind, name in _links(value)
        if (kind, name) not in objects.keys
    )


@consistency_check('cycles')
def check_cycles(objects: ObjectSet) -> Iterator[Fault]:
    """Finds policies that extend one another in a cycle."""
    policies = {
        policy.name: policy for policy in objects.of_kind(Policy.__name__)
    }
    parents = {name: policy.spec.extends for name, policy in policies.items()}
    return (
        Fault(
            policies[members[0]],
            'extends',
            f'extends forms a cycle: {" > ".join((*members, members[0]))}',
            'remove extends from one of them',
        )
        for members in _cycles(parents)
    )


@check('failure domains')
def check_failure_domains(objects: ObjectSet) -> Iterator[Fault]:
    """Finds failure domains that belong to two regions."""
    owners: dict[str, str] = {}
    for region in objects.of_kind('Region'):
        for domain in region.spec.failure_domains:
            owner = owners.setdefault(domain, region.name)
            if owner != region.name:
                yield Fault(
                    region,
                    'failure_domains',
                    f'failure domain {quote(domain)} is also in '
                    f'Region {quote(owner)}',
                    'remove it from one of the two regions',
                )


@consistency_check('routes')
def check_routes(objects: ObjectSet) -> Iterator[Fault]:
    """Finds routes that match the same calls as another route."""
    first_names: dict[tuple[str, str, str], str] = {}
    for route in objects.related(Route.__name__, _calls_of):
        matched = [
            (route.spec.domain, route.spec.path_prefix, method)
            for method in _covered(route.spec.methods)
        ]
        others = {first_names.setdefault(key, route.name) for key in matched}
        yield from (
            Fault(
                route,
                'path_prefix',
                f'unreachable: Route {quote(other)} already matches the same '
                'domain, prefix and methods',
                'use another prefix, or methods that do not overlap',
            )
            for other in sorted(others - {route.name})
        )


@check('reserved paths')
def check_reserved(objects: ObjectSet) -> Iterator[Fault]:
    """Finds prefixes that are reserved or contain relative segments."""
    for route in objects.unchecked_of_kind(Route.__name__):
        segments = route.spec.path_prefix.split('/')
        if route.spec.path_prefix.startswith(RESERVED_PREFIX):
            problem = f'{RESERVED_PREFIX} is reserved for the daemons'
            yield Fault(route, 'path_prefix', problem, 'use another prefix')
        if '.' in segments or '..' in segments:
            problem = 'path_prefix contains the segment "." or ".."'
            yield Fault(route, 'path_prefix', problem, 'use another prefix')


@consistency_check('idempotency')
def check_rules(objects: ObjectSet) -> Iterator[Fault]:
    """Finds idempotency rules that contradict one another."""
    first_rules: dict[tuple[str, str], ConfigObject] = {}
    for rule in objects.related(RULE_KIND, operator.attrgetter('route')):
        covered = [
            (rule.spec.route, method) for method in _covered(rule.spec.methods)
        ]
        opposites = {
            first_rule.name
            for key in covered
            if (first_rule := first_rules.setdefault(key, rule)).spec.idempotent
            is not rule.spec.idempotent
        }
        yield from (
            Fault(
                rule,
                'idempotent',
                f'contradicts IdempotencyRule {quote(other)} for the same '
                'calls',
                'use only one rule for each method of a route',
            )
            for other in sorted(opposites)
        )


@check('rule coverage')
def check_coverage(objects: ObjectSet) -> Iterator[Fault]:
    """Finds idempotency rules for methods that their route doesn't accept."""
    rules = _uncovered_rules(objects)
    rule_routes = {rule.spec.route for rule in rules}
    routes = {
        one.name: one
        for one in objects.objects
        if one.name in rule_routes and one.kind == Route.__name__
    }
    for rule in rules:
        route = routes.get(rule.spec.route)
        if route is None:
            continue
        unused = set(rule.spec.methods).difference(
            _covered(route.spec.methods),
        )
        yield from (
            Fault(
                rule,
                'methods',
                f'Route {route.name} does not accept {quote(method)}',
                'remove the method, or add it to the route',
            )
            for method in sorted(unused)
        )


def _uncovered_rules(objects: ObjectSet) -> tuple[ConfigObject, ...]:
    # A rule that did not change is affected by a change of its route.
    changed = frozenset(map(id, objects.unchecked))
    changed_routes = {
        route.name for route in objects.unchecked_of_kind(Route.__name__)
    }
    return order(
        one
        for one in objects.objects
        if one.kind == RULE_KIND
        and (one.spec.route in changed_routes or id(one) in changed)
    )


def _calls_of(route: Route) -> tuple[str, str]:
    return route.domain, route.path_prefix


def _links(value: FieldValue) -> list[ObjectKey]:
    if value.value == value.field.default:
        return []
    return [(value.field.metadata['link'], name) for name in value.texts()]


def _covered(methods: tuple[str, ...]) -> tuple[str, ...]:
    return methods or ALL_METHODS


def _cycles(parents: Mapping[str, str]) -> Iterator[list[str]]:
    visited: set[str] = set()
    for start in parents:
        name = start
        # A dict keeps insertion order and has constant-time lookups.
        path: dict[str, None] = {}
        while name in parents and name not in visited and name not in path:
            path[name] = None
            name = parents[name]
        if name in path:
            members = list(path)
            yield members[members.index(name) :]
        visited.update(path)
