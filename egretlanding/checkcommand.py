"""Checks a configuration before it is published."""

from collections.abc import Iterator
from pathlib import Path

import attrs

from egretlanding.check import run_checks
from egretlanding.commandresult import CommandResult, ExitCode, plain_values
from egretlanding.configsources import (
    ReadConfiguration,
    ReadTargets,
    source_of,
)
from egretlanding.diff import Action, Change, FieldChange
from egretlanding.exceptions import SourceError
from egretlanding.faults import ObjectSet
from egretlanding.findings import Finding, sort_findings
from egretlanding.publication import Publication
from egretlanding.routechanges import compare_by_route
from egretlanding.setchecks import check_reserved
from egretlanding.warningchecks import CheckedConfiguration, find_warnings


@attrs.frozen
class CheckOptions:
    """What a configuration is checked against.

    Attributes:
        in_force: The version in force, None to compare with nothing.
        targets: File that lists the targets that run, None if unknown.
        settings: Settings file of a daemon, None if unknown.
    """

    in_force: Path | None = None
    targets: Path | None = None
    settings: Path | None = None


@attrs.frozen
class CheckReport:
    """What was found in a configuration.

    Attributes:
        objects: Number of its objects.
        findings: Its faults, for which daemons refuse it.
        warnings: What it probably doesn't mean to say. It isn't looked for in
            a configuration with faults.
        differences: The differences from the version in force; None if it
            wasn't compared.
    """

    objects: int
    findings: tuple[Finding, ...]
    warnings: tuple[Finding, ...] = ()
    differences: tuple[Change, ...] | None = None

    def lines(self) -> Iterator[str]:
        """Renders the report as lines of text."""
        if self.findings:
            yield from map(str, self.findings)
            yield f'{len(self.findings)} faults'
            return
        yield from (f'warning: {one}' for one in self.warnings)
        for change in self.differences or ():
            yield from change.lines()
        yield ', '.join(self.summary())

    def summary(self) -> Iterator[str]:
        """Yields the parts of the last line of a report without faults."""
        yield f'{self.objects} objects'
        yield 'no fault'
        if self.warnings:
            yield f'{len(self.warnings)} warnings'
        if self.differences is not None:
            count = len(self.differences) or 'no'
            yield f'{count} differences from the version in force'

    def result(self) -> CommandResult:
        """Returns the result of the command; only faults make it fail."""
        content = plain_values(self)
        if self.differences is None:
            content.pop('differences')
        code = ExitCode.FOUND if self.findings else ExitCode.DONE
        return CommandResult.from_lines(self.lines(), content, code)


def check_configuration(path: Path, options: CheckOptions) -> CommandResult:
    """Checks a configuration as daemons do, and for what they don't look for.

    Args:
        path: The configuration.
        options: What to check it against.

    Raises:
        RemediedError: A file can't be read, or the version in force has faults.
    """
    source = source_of(path)
    candidate = source.read(path, options.settings)
    in_force = read_in_force(options)
    findings = (*candidate.findings, *find_stale(candidate, in_force))
    if findings:
        return CheckReport(candidate.count, findings).result()
    targets = None
    if options.targets:
        targets = source.read_targets(options.targets, options.settings)
    checked = CheckedConfiguration.from_objects(
        candidate.objects,
        targets.counts if targets else None,
        candidate.grace_ms,
        declares_regions=candidate.publication is None,
    )
    return CheckReport(
        candidate.count,
        (),
        warnings_of(candidate, checked, targets),
        differences_of(candidate, checked, in_force),
    ).result()


def read_in_force(options: CheckOptions) -> ReadConfiguration | None:
    """Reads the version in force, if one is given.

    Raises:
        RemediedError: It can't be read or has faults.
    """
    if options.in_force is None:
        return None
    path = options.in_force
    in_force = source_of(path).read(path, options.settings)
    if in_force.findings:
        raise SourceError(
            f'the version in force has a fault ({in_force.findings[0]})',
            'give the version that daemons have in force',
        )
    return in_force


def find_stale(
    candidate: ReadConfiguration, in_force: ReadConfiguration | None
) -> Iterator[Finding]:
    """Finds a publication that daemons pass over as too old.

    It is taken to be written to the store after the version in force.
    """
    new, old = candidate.publication, in_force and in_force.publication
    if not (new and old):
        return
    written = attrs.evolve(new, revision=old.revision + 1, era=old.era)
    if not written.follows(old):
        yield Finding(
            candidate.name,
            0,
            '',
            f'version {new.number} does not follow version {old.number}, '
            'which is in force',
            f'publish it as version {old.number + 1} or later',
        )


def warnings_of(
    candidate: ReadConfiguration,
    checked: CheckedConfiguration,
    targets: ReadTargets | None,
) -> tuple[Finding, ...]:
    """Returns all warnings, ordered by location."""
    faults = find_warnings(checked)
    if candidate.publication:
        # The product's rules don't apply to it, but daemons reserve paths.
        objects = ObjectSet.from_objects(candidate.objects)
        faults += run_checks((check_reserved,), objects)
    unusable = targets.findings if targets else ()
    return sort_findings([*map(candidate.locate, faults), *unusable])


def differences_of(
    candidate: ReadConfiguration,
    checked: CheckedConfiguration,
    in_force: ReadConfiguration | None,
) -> tuple[Change, ...] | None:
    """Returns the differences from the version in force, if one is given."""
    if in_force is None:
        return None
    changes = compare_by_route(
        CheckedConfiguration.from_objects(in_force.objects), checked
    )
    limits = limit_changes(in_force.publication, candidate.publication)
    return changes + limits


def limit_changes(
    old: Publication | None, new: Publication | None
) -> tuple[Change, ...]:
    """Returns the differences of the limits on callers."""
    if not (old and new) or old.limits == new.limits:
        return ()
    before, after = attrs.asdict(old.limits), attrs.asdict(new.limits)
    fields = tuple(
        FieldChange(name, before[name], after[name])
        for name in after
        if before[name] != after[name]
    )
    return (Change(Action.CHANGED, 'Limits', 'callers', fields),)
