"""Limits on YAML documents, checked on each parser event."""

from collections.abc import Callable, Iterable, Iterator

import attrs
import yaml

from egretlanding.findings import Finding

MAX_NODES_PER_FILE = 32_768
MAX_DEPTH = 8

SPLIT_REMEDY = 'split the file'
NO_ALIAS_REMEDY = 'write each value out where it is used'


@attrs.define
class Usage:
    """What the parser events of a document have used up so far.

    Attributes:
        max_nodes: Maximum number of nodes of the document.
        nodes: Scalars, lists, mappings and aliases so far.
        depth: Lists and mappings that are open at this point.
        documents: Documents started so far.
    """

    max_nodes: int
    nodes: int = 0
    depth: int = 0
    documents: int = 0

    def count(self, event: yaml.Event) -> None:
        """Adds one event to the counts."""
        self.nodes += isinstance(event, yaml.NodeEvent)
        self.depth += isinstance(event, yaml.CollectionStartEvent)
        self.depth -= isinstance(event, yaml.CollectionEndEvent)
        self.documents += isinstance(event, yaml.DocumentStartEvent)

    def violations(self, events: Iterable[yaml.Event]) -> Iterator[Finding]:
        """Counts events and yields a finding for each limit exceeded."""
        for event in events:
            self.count(event)
            mark = event.start_mark
            yield from (
                Finding('', mark.line + 1 if mark else 0, '', problem, remedy)
                for predicate, (problem, remedy) in LIMITS.items()
                if predicate(event, self)
            )


Limit = Callable[[yaml.Event, Usage], bool]

LIMITS: dict[Limit, tuple[str, str]] = {}


def limit(problem: str, remedy: str) -> Callable[[Limit], Limit]:
    """Registers a predicate that is true for events that are refused.

    Args:
        problem: What is wrong with the event, in one clause.
        remedy: What the operator can do about it.

    Returns:
        A decorator that records the predicate and returns it unchanged.
    """

    def register(predicate: Limit) -> Limit:
        LIMITS[predicate] = (problem, remedy)
        return predicate

    return register


@limit('too many values in this file, or in all files together', SPLIT_REMEDY)
def too_many_nodes(event: yaml.Event, usage: Usage) -> bool:
    """Returns whether the document has too many values."""
    return usage.nodes > usage.max_nodes


@limit(f'more than {MAX_DEPTH} levels of nesting', 'nest less deeply')
def too_deep(event: yaml.Event, usage: Usage) -> bool:
    """Returns whether the document is nested too deeply."""
    return usage.depth > MAX_DEPTH


@limit(
    'more than one document in a file',
    'write the objects as one list, or use one file for each',
)
def second_document(event: yaml.Event, usage: Usage) -> bool:
    """Returns whether the file contains a second document."""
    return usage.documents > 1


@limit('anchors and aliases are not allowed', NO_ALIAS_REMEDY)
def anchored(event: yaml.Event, usage: Usage) -> bool:
    """Returns whether a value has an anchor or is an alias."""
    return isinstance(event, yaml.NodeEvent) and event.anchor is not None


@limit('tags are not allowed', 'remove the tag')
def tagged(event: yaml.Event, usage: Usage) -> bool:
    """Returns whether a value has an explicit tag."""
    return getattr(event, 'tag', None) is not None
