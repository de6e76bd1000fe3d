"""Declares fields together with what they may hold."""

from collections.abc import Iterable
from typing import Any

import attrs

HTTP_METHODS = frozenset(
    ('GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE', 'OPTIONS'),
)
NAME_PATTERN = '[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?'
NAME_FORM = 'lower-case letters, digits and inner hyphens, at most 63 in all'


def link(target_kind: str, **options: Any) -> Any:
    """Declares a field that names another object.

    Args:
        target_kind: The kind of the object that the field names.
        options: Further options of `attrs.field`.

    Returns:
        The attrs field, with the link recorded in its metadata.
    """
    return attrs.field(metadata={'link': target_kind}, **options)


def bounded(low: float, high: float, unit: str, **options: Any) -> Any:
    """Declares a numeric field with its bounds and unit.

    Args:
        low: The least value allowed.
        high: The greatest value allowed.
        unit: The unit, as written in error messages.
        options: Further options of `attrs.field`.

    Returns:
        The attrs field, with the bounds recorded in its metadata.
    """
    return attrs.field(
        metadata={'low': low, 'high': high, 'unit': unit},
        **options,
    )


def form(
    pattern: str,
    described: str,
    *,
    private: bool = False,
    **options: Any,
) -> Any:
    """Declares a text field, or a list of texts, with the form of each text.

    Args:
        pattern: Regular expression that the whole text must match.
        described: The form in words, as written in error messages.
        private: Whether error messages must not show the text.
        options: Further options of `attrs.field`.

    Returns:
        The attrs field, with the form recorded in its metadata.
    """
    return attrs.field(
        metadata={
            'pattern': pattern,
            'described': described,
            'private': private,
        },
        **options,
    )


def choice(options: Iterable[str], **more: Any) -> Any:
    """Declares a text field with the texts that it may hold.

    Args:
        options: The texts.
        more: Further options of `attrs.field`.

    Returns:
        The attrs field, with the choices recorded in its metadata.
    """
    return attrs.field(metadata={'choices': frozenset(options)}, **more)


def method_list() -> Any:
    """Declares a list of HTTP methods that is empty unless written."""
    return choice(HTTP_METHODS, default=())
