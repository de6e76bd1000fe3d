"""Tests of the order of publications."""

import pytest

from egretlanding.httpmessages import HttpLimits
from egretlanding.publication import Publication


def publish(number: int, era: int, revision: int) -> Publication:
    """Returns a publication without objects."""
    return Publication(number, revision, (), HttpLimits(), era)


# Failure: a number that was published again after the store was restored, with
# other routes, lost against the publication that the store had lost.
@pytest.mark.parametrize(
    ('earlier', 'later'),
    [
        ((4, 1, 9), (5, 1, 8)),
        ((4, 2, 9), (5, 1, 2)),
        ((4, 1, 9), (4, 1, 10)),
        ((4, 1, 9), (4, 2, 3)),
    ],
)
def test_publications_are_ordered_by_number_then_era_then_revision(
    earlier: tuple[int, int, int], later: tuple[int, int, int]
) -> None:
    assert publish(*later).follows(publish(*earlier))
    assert not publish(*earlier).follows(publish(*later))
    assert not publish(*later).follows(publish(*later))
