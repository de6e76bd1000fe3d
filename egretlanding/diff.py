"""The differences between two sets of objects, for review."""

import enum
from collections.abc import Iterator, Mapping
from typing import Any

import attrs

from egretlanding.objects import ConfigObject
from egretlanding.release import ObjectKey

Objects = Mapping[ObjectKey, ConfigObject]


class Action(enum.StrEnum):
    """What happened to an object."""

    ADDED = 'added'
    REMOVED = 'removed'
    CHANGED = 'changed'


SIGNS = {Action.ADDED: '+', Action.REMOVED: '-', Action.CHANGED: '~'}


@attrs.frozen
class FieldChange:
    """The change of one field.

    Attributes:
        field: Name of the field.
        before: Its value in the old set; None if the object is new.
        after: Its value in the new set.
        unit: The unit of a number, or empty.
    """

    field: str
    before: Any
    after: Any
    unit: str = ''

    def __str__(self) -> str:
        values = (
            render_value(value, self.unit)
            for value in (self.before, self.after)
            if value is not None
        )
        return f'{self.field}: {" -> ".join(values)}'


@attrs.frozen
class Change:
    """The change of one object.

    Attributes:
        action: What happened to the object.
        kind: Its kind.
        name: Its name.
        fields: The fields that differ; all fields that are set if the object
            was added, none if it was removed.
    """

    action: Action
    kind: str
    name: str
    fields: tuple[FieldChange, ...] = ()

    def lines(self) -> list[str]:
        """Renders the change as lines of text."""
        return [
            f'{SIGNS[self.action]} {self.kind} {self.name}',
            *(f'    {field}' for field in self.fields),
        ]


def compare(old: Objects, new: Objects) -> tuple[Change, ...]:
    """Returns the changes from one set of objects to another.

    Args:
        old: The objects before, by kind and name.
        new: The objects after, by kind and name.

    Returns:
        The changes, ordered by kind and name; empty if the sets are equal.
    """
    return tuple(
        _change(key, old.get(key), new.get(key))
        for key in sorted({*old, *new})
        if old.get(key) != new.get(key)
    )


def render_value(value: Any, unit: str = '') -> str:
    """Renders a value as operators write it, with its unit."""
    if isinstance(value, bool):
        return str(value).lower()
    if isinstance(value, tuple):
        return f'[{", ".join(value)}]'
    return f'{value} {unit}'.rstrip() or "''"


def _change(
    key: ObjectKey,
    old: ConfigObject | None,
    new: ConfigObject | None,
) -> Change:
    if new is None:
        return Change(Action.REMOVED, *key)
    action = Action.CHANGED if old else Action.ADDED
    return Change(action, *key, fields=tuple(_field_changes(old, new)))


def _field_changes(
    old: ConfigObject | None,
    new: ConfigObject,
) -> Iterator[FieldChange]:
    for field in attrs.fields(type(new.spec)):
        before = getattr(old.spec, field.name) if old else None
        after = getattr(new.spec, field.name)
        if before != after:
            unit = field.metadata.get('unit', '')
            yield FieldChange(field.name, before, after, unit)
