"""Faults in a set of objects, and the registry of checks that find them."""

import functools
import itertools
from collections.abc import Callable, Iterable, Iterator
from typing import Any

import attrs

from egretlanding.objects import ConfigObject

ObjectKey = tuple[str, str]


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
        return (self.value,) if isinstance(self.value, str) else self.value

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
    """The objects that are checked together, ordered by kind and name.

    Attributes:
        objects: The objects that were read completely.
        partial: Objects of which some fields couldn't be read; these fields
            hold None.
        keys: Kind and name of all these objects, to which links may refer.
        unchecked: The objects whose fields have not been checked before.
    """

    objects: tuple[ConfigObject, ...]
    partial: tuple[ConfigObject, ...]
    keys: frozenset[ObjectKey]
    unchecked: tuple[ConfigObject, ...]

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
            checked: Objects of an earlier set without faults. If the set
                contains one of these (the same instance, not merely an
                equal one), its fields aren't checked again.
        """
        complete = tuple(sorted(objects, key=_key_of))
        incomplete = tuple(sorted(partial, key=_key_of))
        keys = frozenset(map(_key_of, complete + incomplete))
        checked_ids = frozenset(map(id, checked))
        unchecked = tuple(
            config_object
            for config_object in complete
            if id(config_object) not in checked_ids
        )
        return cls(complete, incomplete, keys, unchecked)

    def of_kind(self, kind: str) -> Iterator[ConfigObject]:
        """Yields the completely read objects of one kind, ordered by name."""
        return (
            config_object
            for config_object in self.objects
            if config_object.kind == kind
        )

    def fields(
        self,
        option: str,
        *,
        include_checked: bool = False,
    ) -> Iterator[FieldValue]:
        """Yields the fields whose metadata has a key, object by object.

        Args:
            option: The key.
            include_checked: Whether to include objects that were checked
                before.
        """
        objects = self.objects if include_checked else self.unchecked
        fields_of = functools.partial(fields_with, option=option)
        return self.field_values(fields_of, objects)

    def values(self) -> Iterator[FieldValue]:
        """Yields every field that could be read, object by object."""
        return self.field_values(attrs.fields, self.objects)

    def field_values(
        self,
        fields_of: Callable[[type], Iterable[Any]],
        objects: Iterable[ConfigObject],
    ) -> Iterator[FieldValue]:
        """Yields selected fields that could be read, object by object.

        Args:
            fields_of: Returns the selected fields of a kind's class.
            objects: Completely read objects; the partial ones of the set
                are always included.
        """
        for config_object in itertools.chain(objects, self.partial):
            spec = config_object.spec
            for field in fields_of(type(spec)):
                content = getattr(spec, field.name)
                if content is not None:
                    yield FieldValue(config_object, field, content)


@functools.cache
def fields_with(kind: type, option: str) -> tuple[Any, ...]:
    """Returns the fields of a kind's class whose metadata has a key."""
    return tuple(
        field for field in attrs.fields(kind) if option in field.metadata
    )


Check = Callable[[ObjectSet], Iterator[Fault]]

CHECKS: dict[str, Check] = {}


def check(name: str) -> Callable[[Check], Check]:
    """Registers a check under a name.

    Args:
        name: The subject of the check, as `egretlanding debug` lists it.

    Returns:
        A decorator that records the check and returns it unchanged.
    """

    def register(function: Check) -> Check:
        CHECKS[name] = function
        return function

    return register


def _key_of(config_object: ConfigObject) -> ObjectKey:
    return config_object.kind, config_object.name
