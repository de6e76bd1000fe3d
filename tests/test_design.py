"""Tests that imports follow the layers in docs/DESIGN.md."""

import ast
import itertools
import re
from collections.abc import Iterator
from pathlib import Path

ROOT = Path(__file__).parent.parent
PACKAGE = ROOT / 'egretlanding'
PURE_LAYERS = ('values', 'files', 'policy')
IMPURE_LIBRARIES = {
    'absl',
    'asyncio',
    'grpclib',
    'httptools',
    'klein',
    'opentelemetry',
    'signal',
    'socket',
    'time',
    'treq',
    'twisted',
    'uvloop',
}


def layers() -> dict[str, list[str]]:
    """Returns the modules of each layer, in the order of the page."""
    text = (ROOT / 'docs' / 'DESIGN.md').read_text()
    table = re.search('```layers\n(.*?)```', text, re.DOTALL)
    assert table
    rows = [line.split(': ') for line in table[1].splitlines()]
    return {name: modules.split() for name, modules in rows}


def imports(module: str) -> Iterator[str]:
    """Yields the full names of what a module of the package imports."""
    tree = ast.parse((PACKAGE / f'{module}.py').read_text())
    for node in ast.walk(tree):
        if isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom) and node.module:
            yield node.module


def test_each_module_is_in_one_layer() -> None:
    listed = list(itertools.chain.from_iterable(layers().values()))
    present = {
        path.stem
        for path in PACKAGE.glob('*.py')
        if not path.stem.startswith('__')
    }
    assert sorted(listed) == sorted(present)


def test_modules_import_from_their_own_or_upper_layers() -> None:
    layer_numbers = {
        module: number
        for number, modules in enumerate(layers().values())
        for module in modules
    }
    violations = [
        f'{module} imports {name}'
        for module in layer_numbers
        for name in imports(module)
        if name.startswith('egretlanding.')
        and layer_numbers[name.removeprefix('egretlanding.')]
        > layer_numbers[module]
    ]
    assert not violations


def test_pure_layers_import_no_sockets_and_no_clock() -> None:
    modules = itertools.chain.from_iterable(map(layers().get, PURE_LAYERS))
    violations = [
        f'{module} imports {name}'
        for module in modules
        for name in imports(module)
        if name.partition('.')[0] in IMPURE_LIBRARIES
    ]
    assert not violations
