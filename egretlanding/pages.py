"""Writes the reference pages that are generated from the code."""

from collections.abc import Callable
from pathlib import Path

from egretlanding.config import DaemonConfig
from egretlanding.fielddocs import render_table, summarize
from egretlanding.objects import KINDS
from egretlanding.sidecarconfig import SidecarConfig

SIDECAR_HEADER = """
## A daemon that reads a store of records

These are the settings of a daemon on the users' platform, see
[PLATFORM.md](PLATFORM.md). `deploy/settings.yaml` renders them. On SIGHUP the
daemon reads them again. If the file then has faults, event 110 is logged and
the previous settings stay in use.
"""

PageRenderer = Callable[[], str]

PAGES: dict[str, PageRenderer] = {}

OBJECTS_HEADER = """\
# Objects

This page is generated from `egretlanding/objects.py` by `make pages`.

Operators keep named objects in YAML files below one directory. A file ends in
`.yaml` or `.yml` and holds one object or a list of objects; which file holds
an object doesn't matter. Each object has three fields:

| name | meaning |
| --- | --- |
| `kind` | one of the kinds below |
| `name` | lower-case letters, digits and inner hyphens; unique in its kind |
| `spec` | the fields of the kind |

Objects refer to each other by name. Anchors, aliases and tags are refused, and
values are never converted: a text that looks like another type needs quotes,
truth values are `true` and `false`, and integers are plain decimal digits.

`egretlanding check` reports all faults in the whole set. `egretlanding compile`
writes out the fields that policies inherit, so that a compiled Policy extends
no other.
"""

SETTINGS_HEADER = """\
# Settings

This page is generated from `egretlanding/config.py` by `make pages`.

`egretlandingd FILE` reads its settings from a YAML file that holds one
mapping. The file is checked as a whole before any socket is opened. If it has
faults, each is printed with its line and remedy, event 110 is logged and the
process exits with code 2. The ports of one daemon must differ.
"""


def register_page(name: str) -> Callable[[PageRenderer], PageRenderer]:
    """Registers the function that renders a page below docs/.

    Args:
        name: Name of the file below docs/.

    Returns:
        A decorator that records the function and returns it unchanged.
    """

    def register(function: PageRenderer) -> PageRenderer:
        PAGES[name] = function
        return function

    return register


@register_page('OBJECTS.md')
def render_objects() -> str:
    """Renders the page about the kinds of objects."""
    sections = (
        f'## {name}\n\n{summarize(spec)}\n\n{render_table(spec)}\n'
        for name, spec in KINDS.items()
    )
    return '\n'.join((OBJECTS_HEADER, *sections))


@register_page('SETTINGS.md')
def render_settings() -> str:
    """Renders the page about the daemon's settings."""
    return '\n'.join(
        (
            SETTINGS_HEADER,
            render_table(DaemonConfig),
            SIDECAR_HEADER,
            render_table(SidecarConfig),
            '',
        ),
    )


def main() -> None:
    """Writes every page to docs/."""
    for name, render in PAGES.items():
        Path('docs', name).write_text(render())


if __name__ == '__main__':
    main()
