"""Generates descriptions of kinds and settings from their classes."""

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
        'float': 'number',
        'bool': 'true or false',
        'WorkClass': 'text',
    },
)
ALLOWED_TEMPLATES = types.MappingProxyType(
    {
        'low': '{low} to {high} {unit}',
        'link': 'name of a {link}',
        'choices': '{choices}',
        'described': '{described}',
    },
)
CHOICES_BY_TYPE: dict[Any, list[str]] = {WorkClass: list(WorkClass)}


@attrs.frozen
class FieldReference:
    """The description of one field.

    Attributes:
        name: The name as operators write it.
        type: The type in words.
        allowed: Bounds with unit, form, choices or link; empty if every value
            of the type is allowed.
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
        class_name = getattr(field.type, '__qualname__', '')
        type_name = str(field.type) if class_name == 'tuple' else class_name
        required = field.default is attrs.NOTHING
        return cls(
            name=field.name,
            type=TYPE_NAMES[type_name],
            allowed=describe_allowed(field),
            default='required' if required else render_value(field.default),
            doc=doc,
        )


def describe_fields(declaring: type) -> tuple[FieldReference, ...]:
    """Describes every field of an attrs class.

    Args:
        declaring: The class; its doc comment has an Attributes section.
    """
    text = inspect.getdoc(declaring) or ''
    docs = {
        name: ' '.join(doc.split())
        for name, doc in re.findall(ATTRIBUTE_PATTERN, text, re.MULTILINE)
    }
    return tuple(
        FieldReference.from_field(field, docs[field.name])
        for field in attrs.fields(declaring)
    )


def describe_allowed(field: Any) -> str:
    """Returns which values a field may hold, in words."""
    texts = (
        template.format_map(_template_values(field))
        for option, template in ALLOWED_TEMPLATES.items()
        if option in field.metadata
    )
    return next(texts, ', '.join(CHOICES_BY_TYPE.get(field.type, ())))


def _template_values(field: Any) -> dict[str, Any]:
    choices = ', '.join(sorted(field.metadata.get('choices', ())))
    return {**field.metadata, 'choices': choices}


def render_table(declaring: type) -> str:
    """Renders the fields of a class as a Markdown table."""
    rows = [
        (f'`{field.name}`', field.type, field.allowed, field.default, field.doc)
        for field in describe_fields(declaring)
    ]
    header = ('name', 'type', 'allowed', 'default', 'meaning')
    lines = [header, ('---',) * len(header), *rows]
    return '\n'.join(f'| {" | ".join(line)} |' for line in lines)


def summarize(declaring: type) -> str:
    """Returns the first paragraph of a class's doc comment."""
    text = inspect.getdoc(declaring) or ''
    return text.partition('\n\nAttributes:')[0]
