"""Checks a set of objects as a whole before it is published or used."""

import itertools
from collections.abc import Iterable

from egretlanding import fieldchecks, setchecks
from egretlanding.faults import (
    CHECKS,
    CONSISTENCY_CHECKS,
    Check,
    Fault,
    ObjectSet,
)
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
    return run_checks(CHECKS.values(), object_set)


def find_inconsistencies(
    objects: Iterable[ConfigObject],
    checked: Iterable[ConfigObject] = (),
) -> tuple[Fault, ...]:
    """Finds only what keeps calls from being served by a set of objects.

    This is for a configuration that somebody else has checked and accepted.
    The product's rules on names, forms and bounds don't apply to it.

    Args:
        objects: The objects.
        checked: All objects of an earlier set in which nothing was found.

    Returns:
        All faults, ordered by check and object; empty if there are none.
    """
    object_set = ObjectSet.from_objects(objects, checked=checked)
    return run_checks(CONSISTENCY_CHECKS.values(), object_set)


def run_checks(
    checks: Iterable[Check], objects: ObjectSet
) -> tuple[Fault, ...]:
    """Returns the faults that checks find in a set, in their order."""
    return tuple(
        itertools.chain.from_iterable(function(objects) for function in checks)
    )
