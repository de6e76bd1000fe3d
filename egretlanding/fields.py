"""Converts YAML mappings to the typed fields of attrs classes."""

import difflib
import functools
import re
from collections import Counter
from collections.abc import Callable, Iterator
from typing import Any

import attrs
import yaml
from result import Err, Ok, Result

from egretlanding.findings import Finding, finding_at
from egretlanding.objects import WorkClass
from egretlanding.texts import MAX_SHOWN_CHARS, quote

TAG_PREFIX = 'tag:yaml.org,2002:'
INTEGER_PATTERN = '-?(0|[1-9][0-9]{0,17})'
NUMBER_PATTERN = rf'{INTEGER_PATTERN}(\.[0-9]{{1,18}})?'
BOOLEANS = {'true': True, 'false': False}
# Caches suggestions, since many objects may contain the same mistake and
# each comparison with the known names is slow.
SUGGESTION_CACHE_SIZE = 256


@attrs.frozen
class ReadFields:
    """The fields that were read from one mapping.

    Attributes:
        values: The values that could be read, by field.
        lines: The line of each field that was written, from 1.
        findings: The faults found.
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


def read_fields(node: yaml.Node, of_class: type) -> ReadFields:
    """Reads a mapping as the fields of an attrs class.

    Args:
        node: The node; anything but a mapping is a fault.
        of_class: The class; each of its field types has a reader.
    """
    if not isinstance(node, yaml.MappingNode):
        problem = f'expected a mapping, found {_describe(node)}'
        return ReadFields(
            findings=(finding_at(node, problem, 'write lines "field: value"'),),
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
    return ReadFields(
        values={
            name: outcome.ok_value
            for name, outcome in outcomes.items()
            if isinstance(outcome, Ok)
        },
        lines={name: children[name].start_mark.line + 1 for name in outcomes},
        findings=(
            *_unknown_or_repeated(node, of_class),
            *_missing(node, children, of_class),
            *_value_findings(outcomes),
        ),
    )


@reader(yaml.Node)
def read_node(node: yaml.Node) -> Result[yaml.Node, Finding]:
    """Returns the node itself, to be read in a later step."""
    return Ok(node)


@reader(str)
def read_text(node: yaml.Node) -> Result[str, Finding]:
    """Reads a text."""
    if _type_of(node) == 'str':
        return Ok(node.value)
    remedy = 'write a text, in quotes if it looks like another type'
    return _type_finding(node, 'a text', remedy)


@reader(int)
def read_integer(node: yaml.Node) -> Result[int, Finding]:
    """Reads a decimal integer."""
    if _type_of(node) == 'int' and re.fullmatch(INTEGER_PATTERN, node.value):
        return Ok(int(node.value))
    remedy = 'write decimal digits without unit, quotes or leading zeros'
    return _type_finding(node, 'an integer', remedy)


@reader(float)
def read_number(node: yaml.Node) -> Result[float, Finding]:
    """Reads a decimal number."""
    is_number = _type_of(node) in {'int', 'float'}
    if is_number and re.fullmatch(NUMBER_PATTERN, node.value):
        return Ok(float(node.value))
    remedy = 'write decimal digits without unit, quotes or leading zeros'
    return _type_finding(node, 'a number', remedy)


@reader(bool)
def read_boolean(node: yaml.Node) -> Result[bool, Finding]:
    """Reads a boolean."""
    if _type_of(node) == 'bool' and node.value in BOOLEANS:
        return Ok(BOOLEANS[node.value])
    return _type_finding(node, 'true or false', 'write true or false')


@reader(WorkClass)
def read_work_class(node: yaml.Node) -> Result[WorkClass, Finding]:
    """Reads a work class."""
    if _type_of(node) == 'str' and node.value in set(WorkClass):
        return Ok(WorkClass(node.value))
    remedy = f'use one of {", ".join(WorkClass)}'
    return _type_finding(node, 'a work class', remedy)


@reader(tuple[str, ...])
def read_texts(node: yaml.Node) -> Result[tuple[str, ...], Finding]:
    """Reads a list of texts."""
    if not isinstance(node, yaml.SequenceNode):
        return _type_finding(node, 'a list of texts', 'write [first, second]')
    outcomes = [read_text(child) for child in node.value]
    failures = [outcome for outcome in outcomes if isinstance(outcome, Err)]
    if failures:
        return failures[0]
    return Ok(tuple(outcome.unwrap() for outcome in outcomes))


@functools.lru_cache(maxsize=SUGGESTION_CACHE_SIZE)
def suggest(name: str, known_names: frozenset[str]) -> str:
    """Returns a remedy for an unknown name: the closest known one, or all."""
    names = sorted(known_names)
    close = difflib.get_close_matches(name[:MAX_SHOWN_CHARS], names, n=1)
    return f'use {close[0]}' if close else f'use one of {", ".join(names)}'


def _unknown_or_repeated(
    node: yaml.MappingNode, of_class: type
) -> Iterator[Finding]:
    known_names = frozenset(field.name for field in attrs.fields(of_class))
    occurrences: Counter[str] = Counter()
    for key, _ in node.value:
        name = key.value if isinstance(key, yaml.ScalarNode) else ''
        occurrences[name] += 1
        if occurrences[name] > 1:
            problem = f'duplicate field {quote(name)}'
            yield finding_at(key, problem, 'remove one of them')
        elif name not in known_names:
            problem = f'unknown field {quote(name)}'
            yield finding_at(key, problem, suggest(name, known_names))


def _missing(
    node: yaml.MappingNode,
    children: dict[str, yaml.Node],
    of_class: type,
) -> Iterator[Finding]:
    return (
        finding_at(node, f'field {field.name} is missing', 'add it')
        for field in attrs.fields(of_class)
        if field.default is attrs.NOTHING and field.name not in children
    )


def _value_findings(
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


def _type_finding(
    node: yaml.Node,
    expected: str,
    remedy: str,
) -> Err[Finding]:
    problem = f'expected {expected}, found {_describe(node)}'
    return Err(finding_at(node, problem, remedy))
