"""What a command answers, for people and for machines."""

import enum
from collections.abc import Iterable
from typing import Any

import attrs
import msgspec
import yaml

# Long texts aren't wrapped, so that they can be searched for.
OUTLINE_CHARS = 4_096


class ExitCode(enum.IntEnum):
    """The exit codes of the command line; docs/CLI.md describes them."""

    DONE = 0
    FOUND = 1
    USAGE = 2
    UNREACHABLE = 3


@attrs.frozen
class Reply:
    """The answer to one command.

    Attributes:
        code: The exit code.
        lines: The answer as lines for people.
        content: The answer as plain values for machines.
    """

    code: ExitCode
    lines: tuple[str, ...]
    content: Any

    @classmethod
    def from_lines(
        cls,
        lines: Iterable[str],
        content: Any,
        code: ExitCode = ExitCode.DONE,
    ) -> 'Reply':
        """Builds an answer."""
        return cls(code, tuple(lines), content)

    def text(self) -> str:
        """Returns the answer for people."""
        return '\n'.join(self.lines)

    def json(self) -> str:
        """Returns the answer for machines, as JSON."""
        encoded = msgspec.json.encode(self.content, order='sorted')
        return msgspec.json.format(encoded, indent=2).decode()


def plain(content: Any) -> Any:
    """Returns typed values as the plain values that JSON has."""
    return msgspec.to_builtins(content, str_keys=True)


def outline(content: Any) -> list[str]:
    """Returns typed values as indented lines for people."""
    dumped = yaml.safe_dump(
        plain(content),
        sort_keys=False,
        width=OUTLINE_CHARS,
    )
    return dumped.splitlines()
