"""Tests of releases: canonical form, digests and parts."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from egretlanding.exceptions import ReleaseError
from egretlanding.objects import ConfigObject, Region, Service
from egretlanding.release import Head, Release

NAMES = st.text('abcdefgh-', min_size=1, max_size=8)


@st.composite
def releases(draw: st.DrawFn) -> Release:
    """Draws releases of regions and services."""
    names = draw(st.lists(NAMES, unique=True, max_size=12))
    objects = [
        ConfigObject('Region', name, Region(failure_domains=(name,)))
        for name in names
    ]
    services = [
        ConfigObject('Service', name, Service(regions=(name,)))
        for name in names
    ]
    number = draw(st.integers(1, 9))
    return Release.from_objects(number, '', objects + services)


@given(releases())
def test_parts_rebuild_the_release(release: Release) -> None:
    head, parts = release.to_parts()
    assert (
        Release.from_parts(Head.from_bytes(head.to_bytes()), parts) == release
    )


@given(releases(), st.data())
def test_corrupt_part_is_refused(release: Release, data: st.DataObject) -> None:
    head, parts = release.to_parts()
    digest = data.draw(st.sampled_from(sorted(parts)))
    cut = data.draw(st.integers(0, len(parts[digest]) - 1))
    with pytest.raises(ReleaseError):
        Release.from_parts(head, {**parts, digest: parts[digest][:cut]})


@given(st.binary(max_size=64))
def test_malformed_head_is_refused(encoded: bytes) -> None:
    with pytest.raises(ReleaseError):
        Head.from_bytes(encoded)
