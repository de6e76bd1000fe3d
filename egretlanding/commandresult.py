"""The results of commands, as text and as JSON."""

import enum
from collections.abc import Iterable
from typing import Any

import attrs
import msgspec
import yaml

# Wide enough that long texts aren't wrapped and can be searched for.
YAML_WIDTH_CHARS = 4_096


class ExitCode(enum.IntEnum):
    """The exit codes of the command line; docs/CLI.md describes them."""

    DONE = 0
    FOUND = 1
    USAGE = 2
    UNREACHABLE = 3


@attrs.frozen
class CommandResult:
    """The result of one command.

    Attributes:
        code: The exit code.
        lines: The result as lines of text.
        content: The result as plain values, to be printed as JSON.
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
    ) -> 'CommandResult':
        """Builds a result; the exit code is that of success by default."""
        return cls(code, tuple(lines), content)

    def text(self) -> str:
        """Returns the result as text."""
        return '\n'.join(self.lines)

    def json(self) -> str:
        """Returns the result as JSON with sorted keys."""
        encoded = msgspec.json.encode(self.content, order='sorted')
        return msgspec.json.format(encoded, indent=2).decode()


def plain_values(content: Any) -> Any:
    """Converts typed values to values of the types that JSON has."""
    return msgspec.to_builtins(content, str_keys=True)


def yaml_lines(content: Any) -> list[str]:
    """Renders typed values as lines of YAML."""
    dumped = yaml.safe_dump(
        plain_values(content),
        sort_keys=False,
        width=YAML_WIDTH_CHARS,
    )
    return dumped.splitlines()
