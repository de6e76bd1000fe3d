"""Checks of single fields: names, bounds, patterns, choices and lists."""

import functools
import re
from collections.abc import Iterator
from typing import Any, get_origin

import attrs

from egretlanding.faults import Fault, FieldValue, ObjectSet, check
from egretlanding.schema import NAME_FORM, NAME_PATTERN
from egretlanding.texts import quote


@check('names')
def check_names(objects: ObjectSet) -> Iterator[Fault]:
    """Finds object names with characters or a length not allowed."""
    return (
        Fault(
            config_object,
            'name',
            'the name is not allowed',
            f'use {NAME_FORM}',
        )
        for config_object in objects.unchecked + objects.partial
        if not re.fullmatch(NAME_PATTERN, config_object.name)
    )


@check('bounds')
def check_bounds(objects: ObjectSet) -> Iterator[Fault]:
    """Finds numbers outside the bounds of their fields."""
    return (
        number.fault(
            'is out of range',
            'use {low} to {high} {unit}'.format_map(number.field.metadata),
        )
        for number in objects.fields('low')
        if not _within(number)
    )


@check('forms')
def check_forms(objects: ObjectSet) -> Iterator[Fault]:
    """Finds texts that don't match the pattern of their field."""
    return (
        value.fault(
            f'has invalid value {_shown_text(value, text)}',
            f'use {value.field.metadata["described"]}',
        )
        for value in objects.fields('pattern')
        for text in value.texts()
        if not re.fullmatch(value.field.metadata['pattern'], text)
    )


@check('choices')
def check_choices(objects: ObjectSet) -> Iterator[Fault]:
    """Finds texts that aren't among the choices of their field."""
    return (
        value.fault(
            f'has unknown value {quote(text)}',
            f'use one of {", ".join(sorted(value.field.metadata["choices"]))}',
        )
        for value in objects.fields('choices')
        for text in value.texts()
        if text not in value.field.metadata['choices']
    )


@check('repeats')
def check_repeats(objects: ObjectSet) -> Iterator[Fault]:
    """Finds lists that contain an item twice."""
    return (
        list_field.fault('contains an item twice', 'list each item once')
        for list_field in _lists(objects)
        if len(set(list_field.value)) < len(list_field.value)
    )


@check('empty lists')
def check_empty_lists(objects: ObjectSet) -> Iterator[Fault]:
    """Finds required lists that are empty."""
    return (
        list_field.fault('is empty', 'list at least one item')
        for list_field in _lists(objects)
        if not list_field.value and list_field.field.default is attrs.NOTHING
    )


def _shown_text(value: FieldValue, text: str) -> str:
    return '(not shown)' if value.field.metadata['private'] else quote(text)


def _within(number: FieldValue) -> bool:
    bounds = number.field.metadata
    return bounds['low'] <= number.value <= bounds['high']


def _lists(objects: ObjectSet) -> Iterator[FieldValue]:
    return objects.field_values(_list_fields, objects.unchecked)


@functools.cache
def _list_fields(kind: type) -> tuple[Any, ...]:
    return tuple(
        field for field in attrs.fields(kind) if get_origin(field.type) is tuple
    )
