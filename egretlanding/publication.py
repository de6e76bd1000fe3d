"""A configuration as operators published it in a store of records."""

import attrs

from egretlanding.httpmessages import HttpLimits
from egretlanding.objects import ConfigObject
from egretlanding.release import Position, Release


@attrs.frozen
class Publication:
    """One whole configuration.

    Attributes:
        number: The number that operators gave it; later ones are greater.
        revision: The store's revision at which it was written.
        objects: Its objects.
        limits: What callers may send.
    """

    number: int
    revision: int
    objects: tuple[ConfigObject, ...]
    limits: HttpLimits

    @property
    def position(self) -> Position:
        """Its place in the order that daemons follow."""
        return Position(self.number, self.revision)

    def to_release(self) -> Release:
        """Returns the release that daemons serve calls with."""
        objects = {(each.kind, each.name): each for each in self.objects}
        return Release(self.number, '', objects, {}, '')
