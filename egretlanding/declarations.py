"""Reads, checks and compiles the objects declared in a directory."""

from collections.abc import Iterable, Iterator, Mapping
from itertools import chain
from pathlib import Path

import attrs

from egretlanding.check import find_faults
from egretlanding.documents import read_directory
from egretlanding.exceptions import SourceError
from egretlanding.faults import Fault, ObjectKey
from egretlanding.findings import Finding, sort_findings
from egretlanding.objects import ConfigObject, Policy
from egretlanding.policies import WrittenPolicy, flatten
from egretlanding.release import Release
from egretlanding.sources import UNNAMED, Source, all_were_read, read_objects


@attrs.frozen
class Declarations:
    """The objects that operators declared in one directory.

    Attributes:
        sources: The objects of known kinds, completely read or not.
        findings: All faults of the set, ordered by file and line.
    """

    sources: tuple[Source, ...]
    findings: tuple[Finding, ...]

    @classmethod
    def from_directory(cls, directory: Path) -> 'Declarations':
        """Reads and checks all YAML files below a directory."""
        documents, file_findings = read_directory(directory)
        readings = read_objects(documents)
        sources = tuple(
            chain.from_iterable(reading.sources for reading in readings),
        )
        faults: Iterable[Fault] = ()
        if all_were_read(readings):
            faults = find_faults(
                (source.config_object for source in sources if source.complete),
                (
                    source.config_object
                    for source in sources
                    if not source.complete
                ),
            )
        findings = chain(
            file_findings,
            *(reading.findings for reading in readings),
            _duplicate_findings(sources),
            _located_findings(faults, sources),
        )
        return cls(sources, sort_findings(findings))

    def compile(self, number: int, parent: str) -> Release:
        """Builds the release of the declared objects.

        Args:
            number: The number to give the release, from 1.
            parent: Digest of the release that it succeeds, or empty.

        Raises:
            SourceError: The declarations have faults.
        """
        if self.findings:
            raise SourceError(
                f'the declarations have {len(self.findings)} faults',
                'run "egretlanding check" and correct them',
            )
        return Release.from_objects(number, parent, self.flattened_objects())

    def flattened_objects(self) -> Iterator[ConfigObject]:
        """Returns the objects, with the inherited fields of policies."""
        policies = flatten(
            {
                source.config_object.name: WrittenPolicy(
                    source.config_object.spec,
                    frozenset(source.lines),
                )
                for source in self.sources
                if source.config_object.kind == Policy.__name__
            },
        )
        return (
            _with_flattened_policy(source.config_object, policies)
            for source in self.sources
        )


def _with_flattened_policy(
    config_object: ConfigObject,
    policies: Mapping[str, Policy],
) -> ConfigObject:
    if config_object.kind != Policy.__name__:
        return config_object
    return attrs.evolve(config_object, spec=policies[config_object.name])


def _duplicate_findings(sources: Iterable[Source]) -> Iterator[Finding]:
    first_sources: dict[ObjectKey, Source] = {}
    for source in sources:
        declared = source.config_object
        first = first_sources.setdefault((declared.kind, declared.name), source)
        if first is source or (
            declared.name == UNNAMED and not source.complete
        ):
            continue
        yield Finding(
            source.file,
            source.line,
            declared.label(),
            f'already declared at {first.location()}',
            'rename one of the two, or remove it',
        )


def _located_findings(
    faults: Iterable[Fault],
    sources: Iterable[Source],
) -> Iterator[Finding]:
    # Two objects may be equal, so they are looked up by identity.
    sources_by_id = {id(source.config_object): source for source in sources}
    return (
        finding_of(fault, sources_by_id[id(fault.subject)]) for fault in faults
    )


def finding_of(fault: Fault, source: Source) -> Finding:
    """Returns a fault in an object with the location of its source."""
    return Finding(
        source.file,
        source.lines.get(fault.field, source.line),
        source.config_object.label(),
        fault.problem,
        fault.remedy,
    )
