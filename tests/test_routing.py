"""Tests that a call matches the route with the longest prefix."""

from hypothesis import given
from hypothesis import strategies as st

from egretlanding.objects import ConfigObject, Policy, Route, Service
from egretlanding.policies import resolve_policy
from egretlanding.release import Release
from egretlanding.routing import RouteTable

PREFIXES = st.lists(
    st.sampled_from(['/', '/a', '/ab', '/a/b', '/a/bb', '/b']),
    unique=True,
)
PATHS = st.lists(st.sampled_from(['a', 'ab', 'b', 'bb', ''])).map(
    lambda segments: '/{}'.format('/'.join(segments)),
)


def covers(prefix: str, path: str) -> bool:
    """Returns whether a prefix matches whole segments of a path."""
    segments = ['', *filter(None, prefix.split('/'))]
    return path.split('/')[: len(segments)] == segments


@given(PREFIXES, PATHS)
def test_longest_prefix_of_whole_segments_wins(
    prefixes: list[str],
    path: str,
) -> None:
    release = Release.from_objects(
        1,
        '',
        [
            ConfigObject('Policy', 'p', Policy()),
            ConfigObject('Service', 's', Service(regions=('r',))),
            *(
                ConfigObject(
                    'Route',
                    prefix,
                    Route(path_prefix=prefix, service='s', policy='p'),
                )
                for prefix in prefixes
            ),
        ],
    )
    table = RouteTable.from_release(release, resolve_policy)
    matching = [prefix for prefix in prefixes if covers(prefix, path)]
    expected = max(matching, key=len, default=None)
    assert table.find_route('GET', path) == expected
