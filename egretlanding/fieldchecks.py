"""Checks of single fields: names, bounds, patterns, choices and lists."""

import functools
import re
from collections.abc import Iterator
from typing import Any, get_origin

import attrs

from egretlanding.faults import (
    Fault,
    FieldValue,
    ObjectSet,
    as_texts,
    check,
    fields_with,
)
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
        for number in objects.wrong_fields(_numbers, _is_within)
    )


@check('forms')
def check_forms(objects: ObjectSet) -> Iterator[Fault]:
    """Finds texts that don't match the pattern of their field."""
    return (
        value.fault(
            f'has invalid value {_shown_text(value, text)}',
            f'use {value.field.metadata["described"]}',
        )
        for value in objects.wrong_fields(_patterned, _match)
        for text in value.texts()
        if not _matches(value.field, text)
    )


@check('choices')
def check_choices(objects: ObjectSet) -> Iterator[Fault]:
    """Finds texts that aren't among the choices of their field."""
    return (
        value.fault(
            f'has unknown value {quote(text)}',
            f'use one of {", ".join(sorted(value.field.metadata["choices"]))}',
        )
        for value in objects.wrong_fields(_limited, _are_choices)
        for text in value.texts()
        if text not in value.field.metadata['choices']
    )


@check('repeats')
def check_repeats(objects: ObjectSet) -> Iterator[Fault]:
    """Finds lists that contain an item twice."""
    return (
        list_field.fault('contains an item twice', 'list each item once')
        for list_field in objects.wrong_fields(_list_fields, _has_no_repeats)
    )


@check('empty lists')
def check_empty_lists(objects: ObjectSet) -> Iterator[Fault]:
    """Finds required lists that are empty."""
    return (
        list_field.fault('is empty', 'list at least one item')
        for list_field in objects.wrong_fields(_list_fields, _may_be_as_long)
    )


_numbers = functools.partial(fields_with, option='low')
_patterned = functools.partial(fields_with, option='pattern')
_limited = functools.partial(fields_with, option='choices')


def _shown_text(value: FieldValue, text: str) -> str:
    return '(not shown)' if value.field.metadata['private'] else quote(text)


def _is_within(field: Any, number: float) -> bool:
    return bool(field.metadata['low'] <= number <= field.metadata['high'])


def _matches(field: Any, text: str) -> bool:
    return re.fullmatch(field.metadata['pattern'], text) is not None


def _match(field: Any, content: str | tuple[str, ...]) -> bool:
    return all(_matches(field, text) for text in as_texts(content))


def _are_choices(field: Any, content: str | tuple[str, ...]) -> bool:
    choices = field.metadata['choices']
    return all(text in choices for text in as_texts(content))


def _has_no_repeats(_field: Any, items: tuple[str, ...]) -> bool:
    return len(set(items)) == len(items)


def _may_be_as_long(field: Any, items: tuple[str, ...]) -> bool:
    return bool(items) or field.default is not attrs.NOTHING


@functools.cache
def _list_fields(kind: type) -> tuple[Any, ...]:
    return tuple(
        field for field in attrs.fields(kind) if get_origin(field.type) is tuple
    )
