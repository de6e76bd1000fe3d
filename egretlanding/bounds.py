"""What a YAML document may contain, checked event by event."""

from collections.abc import Callable, Iterable, Iterator

import attrs
import yaml

from egretlanding.findings import Finding

MAX_NODES_PER_FILE = 32_768
MAX_DEPTH = 8

SPLIT_REMEDY = 'split the file'
PLAIN_REMEDY = 'write each value out where it is used'


@attrs.define
class Usage:
    """What the events of a document have used up so far.

    Attributes:
        most_nodes: Nodes that the document may have.
        nodes: Scalars, lists and mappings.
        depth: Lists and mappings open at this point.
        documents: Documents started.
    """

    most_nodes: int
    nodes: int = 0
    depth: int = 0
    documents: int = 0

    def count(self, event: yaml.Event) -> None:
        """Takes one event into account."""
        self.nodes += isinstance(event, yaml.NodeEvent)
        self.depth += isinstance(event, yaml.CollectionStartEvent)
        self.depth -= isinstance(event, yaml.CollectionEndEvent)
        self.documents += isinstance(event, yaml.DocumentStartEvent)

    def refusals(self, events: Iterable[yaml.Event]) -> Iterator[Finding]:
        """Counts events and yields a finding for each that is refused."""
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
    """Registers a predicate that tells whether an event is refused.

    Args:
        problem: What the event is, in one clause.
        remedy: What the operator can do about it.

    Returns:
        A decorator that records the predicate and returns it unchanged.
    """

    def register(predicate: Limit) -> Limit:
        LIMITS[predicate] = (problem, remedy)
        return predicate

    return register


@limit('too many values in this file, or in all', SPLIT_REMEDY)
def too_many_nodes(event: yaml.Event, usage: Usage) -> bool:
    """Tells whether the document has too many values."""
    return usage.nodes > usage.most_nodes


@limit(f'more than {MAX_DEPTH} levels of nesting', 'nest less deeply')
def too_deep(event: yaml.Event, usage: Usage) -> bool:
    """Tells whether the document is nested too deeply."""
    return usage.depth > MAX_DEPTH


@limit(
    'more than one document in a file',
    'write the objects as one list, or use a file each',
)
def second_document(event: yaml.Event, usage: Usage) -> bool:
    """Tells whether a second document starts."""
    return usage.documents > 1


@limit('an anchor or alias is not allowed', PLAIN_REMEDY)
def anchored(event: yaml.Event, usage: Usage) -> bool:
    """Tells whether a value has an anchor or refers to one."""
    return isinstance(event, yaml.NodeEvent) and event.anchor is not None


@limit('a tag is not allowed', 'leave the tag out')
def tagged(event: yaml.Event, usage: Usage) -> bool:
    """Tells whether a value has an explicit tag."""
    return getattr(event, 'tag', None) is not None
