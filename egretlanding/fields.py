"""Reads YAML mappings as the typed fields of attrs classes."""

import difflib
import functools
import re
from collections import Counter
from collections.abc import Callable, Iterator
from typing import Any

import attrs
import yaml
from result import Err, Ok, Result

from egretlanding.findings import Finding, flaw
from egretlanding.objects import WorkClass
from egretlanding.texts import MAX_SHOWN_CHARS, quote

TAG_PREFIX = 'tag:yaml.org,2002:'
INTEGER_PATTERN = '-?(0|[1-9][0-9]{0,17})'
BOOLEANS = {'true': True, 'false': False}
# Many objects with one mistake would each pay for the same comparison.
SUGGESTIONS_KEPT = 256


@attrs.frozen
class Fields:
    """The fields of one mapping.

    Attributes:
        values: The values that could be read, by field.
        lines: The line of each field that was written, from 1.
        findings: The faults met.
    """

    values: dict[str, Any] = attrs.field(factory=dict)
    lines: dict[str, int] = attrs.field(factory=dict)
    findings: tuple[Finding, ...] = ()


Reader = Callable[[yaml.Node], Result[Any, Finding]]

READERS: dict[Any, Reader] = {}


def reader(of_type: Any) -> Callable[[Reader], Reader]:
    """Registers the function that reads values of one type.

    Args:
        of_type: The type as an attrs class declares it.

    Returns:
        A decorator that records the function and returns it unchanged.
    """

    def register(function: Reader) -> Reader:
        READERS[of_type] = function
        return function

    return register


def read_fields(node: yaml.Node, of_class: type) -> Fields:
    """Reads a mapping as the fields of an attrs class.

    Args:
        node: The node; anything but a mapping is a finding.
        of_class: The class, each of whose field types has a reader.
    """
    if not isinstance(node, yaml.MappingNode):
        problem = f'expected a mapping, found {_describe(node)}'
        return Fields(
            findings=(flaw(node, problem, 'write lines "field: value"'),),
        )
    children = {
        key.value: child
        for key, child in node.value
        if isinstance(key, yaml.ScalarNode)
    }
    outcomes = {
        field.name: READERS[field.type](children[field.name])
        for field in attrs.fields(of_class)
        if field.name in children
    }
    return Fields(
        values={
            name: outcome.ok_value
            for name, outcome in outcomes.items()
            if isinstance(outcome, Ok)
        },
        lines={name: children[name].start_mark.line + 1 for name in outcomes},
        findings=(
            *_misplaced(node, of_class),
            *_missing(node, children, of_class),
            *_failures(outcomes),
        ),
    )


@reader(yaml.Node)
def read_node(node: yaml.Node) -> Result[yaml.Node, Finding]:
    """Leaves a node to a later step."""
    return Ok(node)


@reader(str)
def read_text(node: yaml.Node) -> Result[str, Finding]:
    """Reads a text."""
    if _type_of(node) == 'str':
        return Ok(node.value)
    remedy = 'write a text; in quotes if it looks like another type'
    return _unexpected(node, 'a text', remedy)


@reader(int)
def read_integer(node: yaml.Node) -> Result[int, Finding]:
    """Reads a decimal integer."""
    if _type_of(node) == 'int' and re.fullmatch(INTEGER_PATTERN, node.value):
        return Ok(int(node.value))
    remedy = 'write decimal digits without unit, quotes or leading zeros'
    return _unexpected(node, 'an integer', remedy)


@reader(bool)
def read_boolean(node: yaml.Node) -> Result[bool, Finding]:
    """Reads a truth value."""
    if _type_of(node) == 'bool' and node.value in BOOLEANS:
        return Ok(BOOLEANS[node.value])
    return _unexpected(node, 'true or false', 'write true or false')


@reader(WorkClass)
def read_work_class(node: yaml.Node) -> Result[WorkClass, Finding]:
    """Reads a class of work."""
    if _type_of(node) == 'str' and node.value in set(WorkClass):
        return Ok(WorkClass(node.value))
    remedy = f'use {", ".join(WorkClass)}'
    return _unexpected(node, 'a class of work', remedy)


@reader(tuple[str, ...])
def read_texts(node: yaml.Node) -> Result[tuple[str, ...], Finding]:
    """Reads a list of texts."""
    if not isinstance(node, yaml.SequenceNode):
        return _unexpected(node, 'a list of texts', 'write [first, second]')
    outcomes = [read_text(child) for child in node.value]
    failures = [outcome for outcome in outcomes if isinstance(outcome, Err)]
    if failures:
        return failures[0]
    return Ok(tuple(outcome.unwrap() for outcome in outcomes))


@functools.lru_cache(maxsize=SUGGESTIONS_KEPT)
def suggest(name: str, known: frozenset[str]) -> str:
    """Returns a remedy that names what an unknown name is close to."""
    names = sorted(known)
    close = difflib.get_close_matches(name[:MAX_SHOWN_CHARS], names, n=1)
    return f'use {close[0]}' if close else f'use one of {", ".join(names)}'


def _misplaced(node: yaml.MappingNode, of_class: type) -> Iterator[Finding]:
    known = frozenset(field.name for field in attrs.fields(of_class))
    seen: Counter[str] = Counter()
    for key, _ in node.value:
        name = key.value if isinstance(key, yaml.ScalarNode) else ''
        seen[name] += 1
        if seen[name] > 1:
            problem = f'field {quote(name)} is written twice'
            yield flaw(key, problem, 'keep one of the two')
        elif name not in known:
            problem = f'unknown field {quote(name)}'
            yield flaw(key, problem, suggest(name, known))


def _missing(
    node: yaml.MappingNode,
    children: dict[str, yaml.Node],
    of_class: type,
) -> Iterator[Finding]:
    return (
        flaw(node, f'field {field.name} is missing', 'add it')
        for field in attrs.fields(of_class)
        if field.default is attrs.NOTHING and field.name not in children
    )


def _failures(
    outcomes: dict[str, Result[Any, Finding]],
) -> Iterator[Finding]:
    return (
        attrs.evolve(
            outcome.err_value,
            problem=f'{name}: {outcome.err_value.problem}',
        )
        for name, outcome in outcomes.items()
        if isinstance(outcome, Err)
    )


def _type_of(node: yaml.Node) -> str:
    return str(node.tag).removeprefix(TAG_PREFIX)


def _describe(node: yaml.Node) -> str:
    if isinstance(node, yaml.SequenceNode):
        return 'a list'
    if isinstance(node, yaml.MappingNode):
        return 'a mapping'
    return quote(node.value) if node.value else 'nothing'


def _unexpected(
    node: yaml.Node,
    expected: str,
    remedy: str,
) -> Err[Finding]:
    problem = f'expected {expected}, found {_describe(node)}'
    return Err(flaw(node, problem, remedy))
