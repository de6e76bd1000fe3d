"""Faults with their place in the files that operators wrote."""

from collections.abc import Iterable
from operator import attrgetter

import attrs
import yaml

BY_PLACE = attrgetter('file', 'line', 'subject', 'problem', 'remedy')


@attrs.frozen
class Finding:
    """A fault with its place in the files that operators wrote.

    Attributes:
        file: Path of the file, relative to the directory that was read.
        line: The line, from 1; zero if the whole file is meant.
        subject: The object, as "Kind name"; empty if none is known.
        problem: What was found, in one clause.
        remedy: What the reader can do about it.
    """

    file: str
    line: int
    subject: str
    problem: str
    remedy: str

    def __str__(self) -> str:
        place = f'{self.file}:{self.line}' if self.line else self.file
        lead = ': '.join(filter(None, (place, self.subject)))
        return f'{lead}: {self.problem}; {self.remedy}'


def flaw(node: yaml.Node, problem: str, remedy: str) -> Finding:
    """Returns a finding at a node; file and subject are filled in later."""
    return Finding('', node.start_mark.line + 1, '', problem, remedy)


def in_order(findings: Iterable[Finding]) -> tuple[Finding, ...]:
    """Returns findings ordered by place, each once."""
    return tuple(sorted(set(findings), key=BY_PLACE))
