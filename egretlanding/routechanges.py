"""The differences between two configurations, route by route."""

import functools
from collections.abc import Iterator
from typing import Any

import attrs

from egretlanding.diff import Action, Change, FieldChange, compare
from egretlanding.objects import Policy, Route
from egretlanding.warningchecks import CheckedConfiguration

# Shown by the values that they stand for.
REPLACED_FIELDS = frozenset(('service', 'policy', 'extends'))
OTHER_KINDS = ('Region', 'Service')

# Values and units by field.
RouteFields = dict[str, tuple[Any, str]]


def compare_by_route(
    old: CheckedConfiguration, new: CheckedConfiguration
) -> tuple[Change, ...]:
    """Returns what changes for the calls of each route, then other changes.

    A change of a policy, a rule or a branch is a change of each route that it
    applies to.

    Args:
        old: The configuration before, without faults.
        new: The configuration after, without faults.

    Returns:
        The changes of routes by name, then those of regions and services.
    """
    names = sorted({*old.table.routes, *new.table.routes})
    changes = (_change(name, old, new) for name in names)
    return (
        *(change for change in changes if change),
        *compare(_others(old), _others(new)),
    )


def route_fields(checked: CheckedConfiguration, name: str) -> RouteFields:
    """Returns all that applies to the calls of a route, by field."""
    table = checked.table
    route = table.routes[name]
    branches = table.branches.get(name, ())
    services = [f'{one.service} {one.weight}' for one in branches]
    rules = sorted(
        f'{" ".join(named.rule.methods) or "all methods"}: '
        f'{str(named.rule.idempotent).lower()}'
        for named in table.rules[name]
    )
    return {
        'services': (tuple(services or (route.service,)), ''),
        'idempotent': (tuple(rules), ''),
        **_plain_fields(Route, route),
        **_plain_fields(Policy, table.policies[route.policy]),
    }


def _plain_fields(kind: type, spec: Any) -> RouteFields:
    return {
        name: (getattr(spec, name), unit) for name, unit in _shown_fields(kind)
    }


@functools.cache
def _shown_fields(kind: type) -> tuple[tuple[str, str], ...]:
    return tuple(
        (field.name, field.metadata.get('unit', ''))
        for field in attrs.fields(kind)
        if field.name not in REPLACED_FIELDS
    )


def _change(
    name: str, old: CheckedConfiguration, new: CheckedConfiguration
) -> Change | None:
    if name not in new.table.routes:
        return Change(Action.REMOVED, Route.__name__, name)
    after = route_fields(new, name)
    if name not in old.table.routes:
        added = tuple(_field_changes({}, after))
        return Change(Action.ADDED, Route.__name__, name, added)
    fields = tuple(_field_changes(route_fields(old, name), after))
    if not fields:
        return None
    return Change(Action.CHANGED, Route.__name__, name, fields)


def _field_changes(
    before: RouteFields, after: RouteFields
) -> Iterator[FieldChange]:
    return (
        FieldChange(field, before.get(field, (None, ''))[0], content, unit)
        for field, (content, unit) in after.items()
        if before.get(field) != (content, unit)
    )


def _others(checked: CheckedConfiguration) -> Any:
    return {
        key: one
        for key, one in checked.release.objects.items()
        if one.kind in OTHER_KINDS
    }
