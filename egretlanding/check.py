"""Checks a set of objects as a whole before it is published or used."""

import itertools
from collections.abc import Iterable

from egretlanding import fieldchecks, setchecks
from egretlanding.faults import CHECKS, Fault, ObjectSet
from egretlanding.objects import ConfigObject

# Importing these modules registers their checks.
CHECK_MODULES = (fieldchecks, setchecks)


def find_faults(
    objects: Iterable[ConfigObject],
    partial: Iterable[ConfigObject] = (),
    checked: Iterable[ConfigObject] = (),
) -> tuple[Fault, ...]:
    """Runs every check on a set of objects.

    Args:
        objects: The objects; a daemon passes those of a release.
        partial: Further objects that couldn't be read completely.
        checked: All objects of an earlier set without faults. Those of which
            the same instances are in this set aren't checked again, except in
            relation to objects that changed.

    Returns:
        All faults, ordered by check and object; empty if there are none.
    """
    object_set = ObjectSet.from_objects(objects, partial, checked)
    return tuple(
        itertools.chain.from_iterable(
            function(object_set) for function in CHECKS.values()
        ),
    )
