"""Faults in a set of objects, and the registry of checks that find them."""

import collections
import functools
import itertools
import operator
from collections.abc import (
    Callable,
    Hashable,
    Iterable,
    Iterator,
    Mapping,
)
from typing import Any, TypeVar

import attrs

from egretlanding.objects import ConfigObject

ObjectKey = tuple[str, str]
GroupOf = Callable[[Any], Hashable]
# Returns the fields to look at of a kind's class.
FieldsOf = Callable[[type], Iterable[Any]]
# Tests a value, given the attrs field and the value.
IsRight = Callable[[Any, Any], bool]
# How to read a link of a spec, and the names of objects that are searched.
LinkSearch = tuple[Callable[[Any], Any], frozenset[str]]


@attrs.frozen
class Fault:
    """A fault in one object of a set.

    Attributes:
        subject: The object.
        field: Name of the faulty field of its spec; empty for the whole
            object.
        problem: What is wrong, in one clause.
        remedy: What the operator can do about it.
    """

    subject: ConfigObject
    field: str
    problem: str
    remedy: str

    def __str__(self) -> str:
        return f'{self.subject.label()}: {self.problem}; {self.remedy}'


@attrs.frozen
class FieldValue:
    """One field of one object.

    Attributes:
        subject: The object.
        field: The attrs field, whose metadata declares what is allowed.
        value: The value of the field.
    """

    subject: ConfigObject
    field: Any
    value: Any

    def texts(self) -> tuple[str, ...]:
        """Returns the text, or the list of texts, as a tuple."""
        return as_texts(self.value)

    def fault(self, problem: str, remedy: str) -> Fault:
        """Returns a fault in this field.

        Args:
            problem: What is wrong, worded to follow the field's name.
            remedy: What the operator can do about it.
        """
        sentence = f'{self.field.name} {problem}'
        return Fault(self.subject, self.field.name, sentence, remedy)


@attrs.frozen
class ObjectSet:
    """The objects that are checked together.

    Attributes:
        objects: The objects that were read completely, in any order.
        partial: Objects of which some fields couldn't be read, ordered by
            kind and name; these fields hold None.
        keys: Kind and name of all these objects, to which links may refer.
        unchecked: The objects that have not been checked before, ordered by
            kind and name.
        lost: Kind and name of the objects that the earlier set had and this
            one lacks.
    """

    objects: tuple[ConfigObject, ...]
    partial: tuple[ConfigObject, ...]
    keys: frozenset[ObjectKey]
    unchecked: tuple[ConfigObject, ...]
    lost: frozenset[ObjectKey]

    @classmethod
    def from_objects(
        cls,
        objects: Iterable[ConfigObject],
        partial: Iterable[ConfigObject] = (),
        checked: Iterable[ConfigObject] = (),
    ) -> 'ObjectSet':
        """Builds the set; the order of the objects doesn't matter.

        Args:
            objects: The objects that were read completely.
            partial: Further objects that couldn't be read completely.
            checked: All objects of an earlier set without faults, none of
                them read partially. What the set contains of these (the same
                instance, not merely an equal one) isn't checked again, except
                in relation to objects that changed.
        """
        complete = tuple(objects)
        incomplete = order(partial)
        keys = frozenset(map(key_of, complete + incomplete))
        earlier = _without_repeats(checked)
        ids = frozenset(map(id, complete))
        removed = (one for one in earlier.values() if id(one) not in ids)
        checked_ids = frozenset(map(id, earlier.values()))
        unchecked = (one for one in complete if id(one) not in checked_ids)
        lost = frozenset(map(key_of, removed)) - keys
        return cls(complete, incomplete, keys, order(unchecked), lost)

    def of_kind(self, kind: str) -> tuple[ConfigObject, ...]:
        """Returns the completely read objects of one kind, ordered by name."""
        return order(one for one in self.objects if one.kind == kind)

    def unchecked_of_kind(self, kind: str) -> tuple[ConfigObject, ...]:
        """Returns the unchecked objects of one kind, ordered by name."""
        return tuple(one for one in self.unchecked if one.kind == kind)

    def related(self, kind: str, group_of: GroupOf) -> Iterator[ConfigObject]:
        """Yields the objects that may contradict another one of their group.

        A group without an unchecked object is part of a group of the earlier
        set, in which no objects contradicted each other.

        Args:
            kind: The kind of the objects.
            group_of: Returns the group of a spec; objects of different groups
                never contradict each other.
        """
        groups = {group_of(one.spec) for one in self.unchecked_of_kind(kind)}
        if not groups:
            return iter(())
        members = [
            (group, one)
            for one in self.objects
            if one.kind == kind and (group := group_of(one.spec)) in groups
        ]
        sizes = collections.Counter(group for group, _member in members)
        return iter(order(one for group, one in members if sizes[group] > 1))

    def wrong_fields(
        self, fields_of: FieldsOf, is_right: IsRight
    ) -> Iterator[FieldValue]:
        """Yields the unchecked fields of which a test fails.

        Most objects have the same few values, which are tested once.

        Args:
            fields_of: Returns the fields to test of a kind's class.
            is_right: Tests a value, given the attrs field and the value.
        """
        right: set[tuple[type, str, Any]] = set()
        for one, field, content in self._contents(fields_of, self.unchecked):
            known = (type(one.spec), field.name, content)
            if known in right:
                continue
            if is_right(field, content):
                right.add(known)
            else:
                yield FieldValue(one, field, content)

    def link_fields(self) -> Iterator[FieldValue]:
        """Yields the links of unchecked objects, and links to lost objects."""
        fields_of = functools.partial(fields_with, option='link')
        if not self.lost:
            return self.field_values(fields_of, self.unchecked)
        broken = self.objects_that_refer_to(self.lost)
        ids = frozenset(map(id, itertools.chain(self.unchecked, broken)))
        affected = (one for one in self.objects if id(one) in ids)
        return self.field_values(fields_of, order(affected))

    def objects_that_refer_to(
        self, keys: Iterable[ObjectKey]
    ) -> Iterator[ConfigObject]:
        """Yields the objects with a link to one of some objects, once a link.

        Args:
            keys: Kind and name of these objects.
        """
        names: dict[str, set[str]] = {}
        for kind, name in keys:
            names.setdefault(kind, set()).add(name)
        classes = {type(one.spec) for one in self.objects}
        links = {one: _links_to(one, names) for one in classes}
        return (
            one
            for one in self.objects
            for read, searched in links[type(one.spec)]
            if _names_any(read(one.spec), searched)
        )

    def values(self) -> Iterator[FieldValue]:
        """Yields every field that could be read, object by object."""
        return self.field_values(attrs.fields, order(self.objects))

    def field_values(
        self,
        fields_of: FieldsOf,
        objects: Iterable[ConfigObject],
    ) -> Iterator[FieldValue]:
        """Yields selected fields that could be read, object by object.

        Args:
            fields_of: Returns the selected fields of a kind's class.
            objects: Completely read objects; the partial ones of the set
                are always included.
        """
        return itertools.starmap(FieldValue, self._contents(fields_of, objects))

    def _contents(
        self, fields_of: FieldsOf, objects: Iterable[ConfigObject]
    ) -> Iterator[tuple[ConfigObject, Any, Any]]:
        for one in itertools.chain(objects, self.partial):
            for field in fields_of(type(one.spec)):
                content = getattr(one.spec, field.name)
                if content is not None:
                    yield one, field, content


def as_texts(content: str | tuple[str, ...]) -> tuple[str, ...]:
    """Returns a text, or a list of texts, as a tuple."""
    return (content,) if isinstance(content, str) else content


@functools.cache
def fields_with(kind: type, option: str) -> tuple[Any, ...]:
    """Returns the fields of a kind's class whose metadata has a key."""
    return tuple(
        field for field in attrs.fields(kind) if option in field.metadata
    )


Check = Callable[[ObjectSet], Iterator[Fault]]
Function = TypeVar('Function')

CHECKS: dict[str, Check] = {}
# Those that tell whether calls can be served by a set of objects at all.
CONSISTENCY_CHECKS: dict[str, Check] = {}


def registered_in(
    registry: dict[str, Function], name: str
) -> Callable[[Function], Function]:
    """Registers a check.

    Args:
        registry: The checks of its kind.
        name: The subject of the check, as `egretlanding debug` lists it.

    Returns:
        A decorator that records the check and returns it unchanged.
    """

    def register(function: Function) -> Function:
        registry[name] = function
        return function

    return register


def consistency_check(name: str) -> Callable[[Check], Check]:
    """Registers a check that also holds for sets accepted by others."""

    def register(function: Check) -> Check:
        CONSISTENCY_CHECKS[name] = function
        return check(name)(function)

    return register


def check(name: str) -> Callable[[Check], Check]:
    """Registers a check of a set of objects."""
    return registered_in(CHECKS, name)


# Returns kind and name of an object.
key_of: Callable[[ConfigObject], ObjectKey] = operator.attrgetter(
    'kind', 'name'
)


def order(objects: Iterable[ConfigObject]) -> tuple[ConfigObject, ...]:
    """Returns objects ordered by kind and name."""
    return tuple(sorted(objects, key=key_of))


def _without_repeats(
    checked: Iterable[ConfigObject],
) -> dict[ObjectKey, ConfigObject]:
    # Of two objects with one name, one may have hidden a fault of the other.
    objects = tuple(checked)
    by_key = dict(zip(map(key_of, objects), objects, strict=True))
    return by_key if len(by_key) == len(objects) else {}


def _links_to(kind: type, names: Mapping[str, set[str]]) -> list[LinkSearch]:
    return [
        (
            operator.attrgetter(field.name),
            frozenset(names[field.metadata['link']]),
        )
        for field in fields_with(kind, 'link')
        if field.metadata['link'] in names
    ]


def _names_any(content: str | Iterable[str], names: frozenset[str]) -> bool:
    if isinstance(content, str):
        return content in names
    return not names.isdisjoint(content)
