"""Converts YAML documents to typed objects with their source lines."""

from collections.abc import Iterable, Iterator, Mapping
from itertools import chain

import attrs
import yaml

from egretlanding.documents import Document
from egretlanding.fields import ReadFields, read_fields, suggest
from egretlanding.findings import Finding, finding_at
from egretlanding.objects import KINDS, ConfigObject
from egretlanding.texts import printable, quote

# Replaces the name of an object if it couldn't be read.
UNNAMED = 'unnamed'
# Reading stops after more faults than this.
MAX_FINDINGS = 10_000


@attrs.frozen
class Envelope:
    """The fields that objects of all kinds have.

    Attributes:
        kind: The kind, a key of `KINDS`.
        name: The name, unique within its kind.
        spec: The node of the spec, whose fields depend on the kind.
    """

    kind: str
    name: str
    spec: yaml.Node


@attrs.frozen
class Source:
    """An object and its location in the files.

    Attributes:
        file: Path of the file, relative to the directory that was read.
        line: The line where the object starts, from 1.
        lines: The line of each field that was written, from 1.
        config_object: The object; fields that couldn't be read are None.
        complete: Whether all its fields could be read.
    """

    file: str
    line: int
    lines: Mapping[str, int]
    config_object: ConfigObject
    complete: bool

    def location(self) -> str:
        """Returns file and line in the form used in error messages."""
        return f'{self.file}:{self.line}'


@attrs.frozen
class ObjectReading:
    """The result of reading one object.

    Attributes:
        findings: The faults found.
        sources: The object, or empty if its kind couldn't be read.
    """

    findings: tuple[Finding, ...]
    sources: tuple[Source, ...] = ()


def read_objects(documents: Iterable[Document]) -> tuple[ObjectReading, ...]:
    """Reads the object, or the list of objects, of each document.

    Reading stops after `MAX_FINDINGS` faults; a last finding says so.
    """
    readings: list[ObjectReading] = []
    fault_count = 0
    for node, file in _all_nodes(documents):
        if fault_count > MAX_FINDINGS:
            readings.append(_limit_reading(node, file))
            break
        readings.append(_read_object(node, file))
        fault_count += len(readings[-1].findings)
    return tuple(readings)


def all_were_read(readings: Iterable[ObjectReading]) -> bool:
    """Returns whether all objects were read, so that links can be checked."""
    fault_count = sum(len(reading.findings) for reading in readings)
    return fault_count <= MAX_FINDINGS


def _all_nodes(
    documents: Iterable[Document],
) -> Iterator[tuple[yaml.Node, str]]:
    return (
        (node, document.file)
        for document in documents
        for node in _object_nodes(document.root)
    )


def _limit_reading(node: yaml.Node, file: str) -> ObjectReading:
    problem = f'more than {MAX_FINDINGS} faults so far; the rest is not read'
    finding = finding_at(node, problem, 'correct the faults above first')
    return ObjectReading((attrs.evolve(finding, file=file),))


def _object_nodes(root: yaml.Node) -> list[yaml.Node]:
    return root.value if isinstance(root, yaml.SequenceNode) else [root]


def _read_object(node: yaml.Node, file: str) -> ObjectReading:
    envelope = read_fields(node, Envelope)
    kind = envelope.values.get('kind', '')
    name = envelope.values.get('name', '')
    spec_fields = _read_spec(envelope, kind)
    subject = f'{printable(kind)} {printable(name)}'.strip()
    findings = tuple(
        attrs.evolve(finding, file=file, subject=subject)
        for finding in chain(
            envelope.findings,
            _unknown_kinds(node, envelope),
            spec_fields.findings,
        )
    )
    if kind not in KINDS:
        return ObjectReading(findings)
    source = Source(
        file=file,
        line=node.start_mark.line + 1,
        lines={**envelope.lines, **spec_fields.lines},
        config_object=_build_object(
            kind,
            envelope.values.get('name', UNNAMED),
            spec_fields,
        ),
        complete=not findings,
    )
    return ObjectReading(findings, (source,))


def _build_object(
    kind: str, name: str, spec_fields: ReadFields
) -> ConfigObject:
    spec_class = KINDS[kind]
    names = (
        field.name
        for field in attrs.fields(spec_class)
        if field.name in spec_fields.lines or field.default is attrs.NOTHING
    )
    # Fields that were written but couldn't be read become None.
    spec = spec_class(
        **{
            field_name: spec_fields.values.get(field_name)
            for field_name in names
        }
    )
    return ConfigObject(kind, name, spec)


def _read_spec(envelope: ReadFields, kind: str) -> ReadFields:
    if kind in KINDS and 'spec' in envelope.values:
        return read_fields(envelope.values['spec'], KINDS[kind])
    return ReadFields()


def _unknown_kinds(
    node: yaml.Node, envelope: ReadFields
) -> tuple[Finding, ...]:
    kind = envelope.values.get('kind')
    if kind is None or kind in KINDS:
        return ()
    problem = f'unknown kind {quote(kind)}'
    return (finding_at(node, problem, suggest(kind, frozenset(KINDS))),)
