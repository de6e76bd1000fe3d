"""Declares attrs fields together with the values that they allow."""

from collections.abc import Iterable
from typing import Any

import attrs

HTTP_METHODS = frozenset(
    ('GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE', 'OPTIONS'),
)
NAME_PATTERN = '[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?'
NAME_FORM = 'lower-case letters, digits and inner hyphens, at most 63 in all'


def link(target_kind: str, **options: Any) -> Any:
    """Declares a field that refers to another object by name.

    Args:
        target_kind: The kind of the object that the field refers to.
        options: Further options of `attrs.field`.

    Returns:
        The attrs field, with the link recorded in its metadata.
    """
    return attrs.field(metadata={'link': target_kind}, **options)


def bounded_field(low: float, high: float, unit: str, **options: Any) -> Any:
    """Declares a numeric field with its bounds and unit.

    Args:
        low: The lowest value allowed.
        high: The highest value allowed.
        unit: The unit, as shown in error messages.
        options: Further options of `attrs.field`.

    Returns:
        The attrs field, with the bounds recorded in its metadata.
    """
    return attrs.field(
        metadata={'low': low, 'high': high, 'unit': unit},
        **options,
    )


def pattern_field(
    pattern: str,
    description: str,
    *,
    private: bool = False,
    **options: Any,
) -> Any:
    """Declares a text field, or a list of texts, that must match a pattern.

    Args:
        pattern: Regular expression that each whole text must match.
        description: The pattern in words, as shown in error messages.
        private: Whether the text must not appear in error messages.
        options: Further options of `attrs.field`.

    Returns:
        The attrs field, with the pattern recorded in its metadata.
    """
    return attrs.field(
        metadata={
            'pattern': pattern,
            'described': description,
            'private': private,
        },
        **options,
    )


def choice_field(choices: Iterable[str], **options: Any) -> Any:
    """Declares a text field that allows only certain texts.

    Args:
        choices: The allowed texts.
        options: Further options of `attrs.field`.

    Returns:
        The attrs field, with the choices recorded in its metadata.
    """
    return attrs.field(metadata={'choices': frozenset(choices)}, **options)


def method_list() -> Any:
    """Declares a list of HTTP methods that is empty by default."""
    return choice_field(HTTP_METHODS, default=())
