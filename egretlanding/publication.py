"""A configuration that operators published to a store of records."""

import attrs

from egretlanding.httpmessages import HttpLimits
from egretlanding.objects import ConfigObject
from egretlanding.release import Release


@attrs.frozen
class Publication:
    """One whole configuration.

    Attributes:
        number: The number that operators assigned; later publications have
            greater numbers.
        revision: The store's revision at which it was written.
        objects: The objects of the configuration.
        limits: Limits on the requests and connections of callers.
        era: The era of the store in which it was read.
    """

    number: int
    revision: int
    objects: tuple[ConfigObject, ...]
    limits: HttpLimits
    era: int = 0

    def follows(self, other: 'Publication') -> bool:
        """Returns whether it is later than another publication.

        The number comes first, because a restored store may list an earlier
        publication than it did before. Of two with one number, the store took
        the later one in the later era, or at the greater revision.
        """
        own = (self.number, self.era, self.revision)
        return own > (other.number, other.era, other.revision)

    @property
    def services(self) -> frozenset[str]:
        """The names of its services."""
        return frozenset(
            config_object.name
            for config_object in self.objects
            if config_object.kind == 'Service'
        )

    def to_release(self) -> Release:
        """Returns the release that daemons serve calls with."""
        objects = {
            (config_object.kind, config_object.name): config_object
            for config_object in self.objects
        }
        return Release(self.number, '', objects, {}, '')
