"""Describes kinds and settings from the classes that declare them."""

import inspect
import re
import types
from typing import Any

import attrs

from egretlanding.diff import render_value
from egretlanding.objects import WorkClass

ATTRIBUTE_PATTERN = r'^    (\w+): (.*(?:\n {5,}.*)*)'
TYPE_NAMES = types.MappingProxyType(
    {
        'tuple[str, ...]': 'list of texts',
        'str': 'text',
        'int': 'integer',
        'bool': 'true or false',
        'WorkClass': 'text',
    },
)
ALLOWED = types.MappingProxyType(
    {
        'low': '{low} to {high} {unit}',
        'link': 'name of a {link}',
        'choices': '{choices}',
        'described': '{described}',
    },
)
CHOICES: dict[Any, list[str]] = {WorkClass: list(WorkClass)}


@attrs.frozen
class FieldReference:
    """What is to be known of one field.

    Attributes:
        name: The name as operators write it.
        type: The type in words.
        allowed: Bounds with unit, form, choices or link; empty if any.
        default: The default as operators write it; "required" if none.
        doc: What the field means.
    """

    name: str
    type: str
    allowed: str
    default: str
    doc: str

    @classmethod
    def from_field(cls, field: Any, doc: str) -> 'FieldReference':
        """Describes an attrs field."""
        named = getattr(field.type, '__qualname__', '')
        shown = str(field.type) if named == 'tuple' else named
        required = field.default is attrs.NOTHING
        return cls(
            name=field.name,
            type=TYPE_NAMES[shown],
            allowed=describe_allowed(field),
            default='required' if required else render_value(field.default),
            doc=doc,
        )


def describe_fields(described: type) -> tuple[FieldReference, ...]:
    """Describes every field of an attrs class.

    Args:
        described: The class; its doc comment has an Attributes section.
    """
    text = inspect.getdoc(described) or ''
    docs = {
        name: ' '.join(doc.split())
        for name, doc in re.findall(ATTRIBUTE_PATTERN, text, re.MULTILINE)
    }
    return tuple(
        FieldReference.from_field(field, docs[field.name])
        for field in attrs.fields(described)
    )


def describe_allowed(field: Any) -> str:
    """Returns what a field may hold, in words."""
    described = (
        template.format_map(_words(field))
        for option, template in ALLOWED.items()
        if option in field.metadata
    )
    return next(described, ', '.join(CHOICES.get(field.type, ())))


def _words(field: Any) -> dict[str, Any]:
    choices = ', '.join(sorted(field.metadata.get('choices', ())))
    return {**field.metadata, 'choices': choices}


def render_table(described: type) -> str:
    """Returns the fields of a class as a table in Markdown."""
    rows = [
        (f'`{each.name}`', each.type, each.allowed, each.default, each.doc)
        for each in describe_fields(described)
    ]
    header = ('name', 'type', 'allowed', 'default', 'meaning')
    lines = [header, ('---',) * len(header), *rows]
    return '\n'.join(f'| {" | ".join(line)} |' for line in lines)


def summarize(described: type) -> str:
    """Returns the first paragraph of a class's doc comment."""
    text = inspect.getdoc(described) or ''
    return text.partition('\n\nAttributes:')[0]
