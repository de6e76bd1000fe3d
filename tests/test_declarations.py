"""Tests of reading, checking and compiling directories of objects.

Faults are reported with their location, and hostile files are refused
within bounds on time and memory.
"""

import itertools
import os
from pathlib import Path
from typing import Any

import pytest
import yaml
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from syrupy.assertion import SnapshotAssertion

from egretlanding.check import find_faults
from egretlanding.declarations import Declarations
from egretlanding.documents import MAX_FILE_BYTES
from egretlanding.exceptions import SourceError
from egretlanding.objects import KINDS, Policy
from egretlanding.policies import resolve_policy
from egretlanding.sources import MAX_FINDINGS

EXAMPLES = Path(__file__).parent.parent / 'examples'
FIRMS = ('trousse', 'magnolia')

FAULTY = """\
- {kind: Region, name: north, spec: {failure_domains: [a, b]}}
- {kind: Region, name: south, spec: {failure_domains: [b, b]}}
- {kind: Service, name: stock, spec: {regions: [], slots: 0}}
- {kind: Service, name: stock, spec: {regions: [north, west]}}
- {kind: Service, name: Kits_1, spec: {regions: [north], slot: 6}}
- kind: Policy
  name: first
  spec:
    extends: second
    timeout_ms: 1s
    retry_percent: 101
- {kind: Policy, name: second, spec: {extends: third, hedge_ms: 99999}}
- {kind: Policy, name: third, spec: {extends: fourth}}
- {kind: Policy, name: fourth, spec: {extends: third}}
- kind: Route
  name: all
  spec: {path_prefix: /stock, service: stock, policy: second}
- kind: Route
  name: shadowed
  spec: {path_prefix: /stock, service: stok, policy: '', methods: [GET, get]}
- {kind: Route, name: own, spec: {path_prefix: /.egretlanding/x, service: stock,
   policy: second, work: medium}}
- {kind: Route, name: up, spec: {path_prefix: /a/../b, service: stock,
   policy: second, methods: [POST]}}
- {kind: Route, name: bare, spec: {path_prefix: a/, service: stock,
   policy: second}}
- {kind: IdempotencyRule, name: r1, spec: {route: all, idempotent: true}}
- {kind: IdempotencyRule, name: r2, spec: {route: all, idempotent: false,
   methods: [GET]}}
- {kind: IdempotencyRule, name: r3, spec: {route: up, idempotent: yes,
   methods: GET}}
- {kind: IdempotencyRule, name: r4, spec: {route: up, idempotent: true,
   methods: [GET]}}
- {kind: Routes, name: 7, spec: [], spec: {}}
- {kind: Region, name: east, name: east}
- just text
"""

HOSTILE = {
    'aliases': b'a: &a [x]\nb: [*a, *a]',
    'anchored': b'&top {kind: Region}',
    'bare alias': b'- *missing',
    'billions': b''.join(
        b'%s: &%s [%s]\n' % (a, a, b','.join([b'*%s' % b] * 9))
        for a, b in itertools.pairwise(
            str(n).encode() for n in range(30, 0, -1)
        )
    ),
    'binary': bytes(range(256)) * 8,
    'colons': b':' * MAX_FILE_BYTES,
    'deep flow': b'[' * MAX_FILE_BYTES,
    'deep mapping': b'{a: ' * 60_000,
    'deep block': b'- ' * 120_000,
    'directive': b'%YAML 9.9\n---\n- a',
    'digits': b'- {kind: Service, name: a, spec: {slots: %s}}'
    % (b'9' * 99_999),
    'documents': b'--- 1\n' * 40_000,
    'empty': b'',
    'merge': b'- {<<: {kind: Region}, name: a, spec: {}}',
    'many': b'- 1\n' * 60_000,
    'null': b'~',
    'oversize': b'#' * (MAX_FILE_BYTES + 1),
    'quoted': '"{}"'.format(r'\u0000' * 40_000),
    'sexagesimal': b'- {kind: Service, spec: {slots: 1%s}}' % (b':1' * 99_999),
    'escape': r'- {kind: Region, name: "\e[2J", spec: {}}',
    'surrogate': r'- {kind: "\ud800", name: "\udfff\e[2J", spec: {}}',
    'tagged': b'- !!python/object/apply:os.abort []',
    'timestamp': b'- {kind: 2026-01-01, name: 1.5, spec: ~}',
    'utf-16': 'kind: Region'.encode('utf-16'),
    'complex key': b'- {? [a, b] : c, ? {d: e} : f}',
}


def write(directory: Path, **files: str | bytes) -> Path:
    """Writes files with the suffix .yaml."""
    for name, content in files.items():
        encoded = content.encode() if isinstance(content, str) else content
        (directory / f'{name}.yaml').write_bytes(encoded)
    return directory


@pytest.mark.parametrize('firm', FIRMS)
def test_example_has_no_fault_and_a_stable_digest(
    firm: str,
    snapshot: SnapshotAssertion,
) -> None:
    declared = Declarations.from_directory(EXAMPLES / firm)
    assert declared.findings == ()
    release = declared.compile(1, '')
    assert not find_faults(release.objects.values())
    # Daemons of different versions must compute the same digest.
    assert release.digest == snapshot


def test_every_fault_is_reported_with_place_and_remedy(
    tmp_path: Path,
    snapshot: SnapshotAssertion,
) -> None:
    declared = Declarations.from_directory(write(tmp_path, faulty=FAULTY))
    assert '\n'.join(map(str, declared.findings)) == snapshot
    with pytest.raises(SourceError):
        declared.compile(1, '')


@pytest.mark.parametrize('name', HOSTILE)
def test_hostile_file_is_refused(
    tmp_path: Path,
    name: str,
    snapshot: SnapshotAssertion,
) -> None:
    directory = write(tmp_path, hostile=HOSTILE[name])
    declared = Declarations.from_directory(directory)
    findings = list(map(str, declared.findings))
    assert findings[0] == snapshot
    assert all(finding.isprintable() for finding in findings)


def test_pipe_and_missing_directory_are_findings(tmp_path: Path) -> None:
    os.mkfifo(tmp_path / 'pipe.yaml')
    pipe = Declarations.from_directory(tmp_path).findings
    assert 'not a regular file' in '\n'.join(map(str, pipe))
    missing = Declarations.from_directory(tmp_path / 'none').findings
    assert 'no YAML files' in '\n'.join(map(str, missing))


SCALARS = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(-9, 10**20),
    st.floats(allow_nan=False),
    st.text(max_size=6),
    st.sampled_from(['GET', 'a', 'b', '/a', 'short', 'GET ']),
)
VALUES = st.one_of(SCALARS, st.lists(SCALARS, max_size=3))
FIELDS = sorted(
    {field.name for spec in KINDS.values() for field in spec.__attrs_attrs__},
)
OBJECTS = st.fixed_dictionaries(
    {},
    optional={
        'kind': st.one_of(st.sampled_from(sorted(KINDS)), VALUES),
        'name': st.one_of(st.sampled_from('ab'), VALUES),
        'spec': st.one_of(
            st.dictionaries(st.sampled_from(FIELDS), VALUES, max_size=6),
            VALUES,
        ),
        'extra': VALUES,
    },
)


def read_single_file(directory: Path, content: bytes) -> Declarations:
    """Writes one file to an otherwise empty directory and reads it."""
    return Declarations.from_directory(write(directory, only=content))


PROPERTY_SETTINGS = settings(
    suppress_health_check=[HealthCheck.function_scoped_fixture],
    max_examples=200,
    deadline=None,
)


@PROPERTY_SETTINGS
@given(st.lists(st.one_of(OBJECTS, VALUES), max_size=5))
def test_any_document_is_checked_without_an_error(
    tmp_path: Path,
    objects: list[Any],
) -> None:
    declared = read_single_file(tmp_path, yaml.safe_dump(objects).encode())
    assert declared.findings or len(declared.sources) == len(objects)


@PROPERTY_SETTINGS
@given(st.binary(max_size=64))
def test_any_bytes_are_checked_without_an_error(
    tmp_path: Path,
    content: bytes,
) -> None:
    assert read_single_file(tmp_path, content).findings


@settings(PROPERTY_SETTINGS, max_examples=30)
@given(st.randoms(use_true_random=False), st.sampled_from(FIRMS))
def test_release_depends_only_on_the_set(
    tmp_path_factory: pytest.TempPathFactory,
    random: Any,
    firm: str,
) -> None:
    objects = [
        declared
        for path in sorted((EXAMPLES / firm).iterdir())
        for declared in yaml.safe_load(path.read_bytes())
    ]
    random.shuffle(objects)
    directory = tmp_path_factory.mktemp('shuffled')
    cut = random.randrange(1, len(objects))
    flow = random.choice([True, False])
    for index, group in enumerate((objects[:cut], objects[cut:])):
        path = directory / f'{random.randrange(9)}-{index}.yml'
        path.write_text(yaml.safe_dump(group, default_flow_style=flow))
    shuffled = Declarations.from_directory(directory).compile(3, 'p')
    expected = Declarations.from_directory(EXAMPLES / firm).compile(3, 'p')
    assert shuffled == expected


def test_written_default_overrides_the_inherited_value(
    tmp_path: Path,
) -> None:
    default = Policy().timeout_ms
    write(
        tmp_path,
        policies=f"""
        - kind: Policy
          name: base
          spec: {{timeout_ms: 9000, hedge_ms: 7}}
        - kind: Policy
          name: child
          spec: {{extends: base, timeout_ms: {default}}}
        """,
    )
    release = Declarations.from_directory(tmp_path).compile(1, '')
    child = resolve_policy(release, 'child')
    assert (child.timeout_ms, child.hedge_ms) == (default, 7)


def test_reading_ends_after_many_faults(tmp_path: Path) -> None:
    (tmp_path / 'a.yaml').write_text('- {a: 1}\n' * 9_000)
    (tmp_path / 'b.yaml').write_text('- {a: 1}\n' * 9_000)
    findings = Declarations.from_directory(tmp_path).findings
    assert MAX_FINDINGS < len(findings) < MAX_FINDINGS + 10
    assert any(
        'the rest is not read' in finding.problem for finding in findings
    )
