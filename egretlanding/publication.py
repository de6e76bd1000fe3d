"""A configuration that operators published to a store of records."""

import attrs

from egretlanding.httpmessages import HttpLimits
from egretlanding.objects import ConfigObject
from egretlanding.release import Position, Release


@attrs.frozen
class Publication:
    """One whole configuration.

    Attributes:
        number: The number that operators assigned; later publications have
            greater numbers.
        revision: The store's revision at which it was written.
        objects: The objects of the configuration.
        limits: Limits on the requests and connections of callers.
    """

    number: int
    revision: int
    objects: tuple[ConfigObject, ...]
    limits: HttpLimits

    @property
    def position(self) -> Position:
        """Position of the release, by which daemons order releases."""
        return Position(self.number, self.revision)

    def to_release(self) -> Release:
        """Returns the release that daemons serve calls with."""
        objects = {
            (config_object.kind, config_object.name): config_object
            for config_object in self.objects
        }
        return Release(self.number, '', objects, {}, '')
