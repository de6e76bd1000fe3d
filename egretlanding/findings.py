"""Faults with their location in the files that operators wrote."""

from collections.abc import Iterable
from operator import attrgetter

import attrs
import yaml

LOCATION_ORDER = attrgetter('file', 'line', 'subject', 'problem', 'remedy')


@attrs.frozen
class Finding:
    """A fault with its location in the files that operators wrote.

    Attributes:
        file: Path of the file, relative to the directory that was read.
        line: The line, from 1; zero for the whole file.
        subject: The object, as "Kind name"; empty if unknown.
        problem: What is wrong, in one clause.
        remedy: What the reader can do about it.
    """

    file: str
    line: int
    subject: str
    problem: str
    remedy: str

    def __str__(self) -> str:
        location = f'{self.file}:{self.line}' if self.line else self.file
        prefix = ': '.join(filter(None, (location, self.subject)))
        return f'{prefix}: {self.problem}; {self.remedy}'


def finding_at(node: yaml.Node, problem: str, remedy: str) -> Finding:
    """Returns a finding at a node's line; callers add file and subject."""
    return Finding('', node.start_mark.line + 1, '', problem, remedy)


def sort_findings(findings: Iterable[Finding]) -> tuple[Finding, ...]:
    """Returns findings ordered by location, without duplicates."""
    return tuple(sorted(set(findings), key=LOCATION_ORDER))
