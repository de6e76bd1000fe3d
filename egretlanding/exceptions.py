"""The typed errors of egretlanding; each message names the remedy."""

from typing import final

import attrs


class EgretlandingError(Exception):
    """The base of every error that egretlanding raises on purpose."""


@attrs.frozen
class RemediedError(EgretlandingError):
    """An error with what went wrong and what to do about it.

    Attributes:
        problem: What was found, in one clause.
        remedy: What the reader can do about it.
    """

    problem: str
    remedy: str

    def __str__(self) -> str:
        return f'{self.problem}; {self.remedy}'


@final
class SettingsError(RemediedError):
    """A daemon's settings file can't be used."""


@final
class SourceError(RemediedError):
    """A file of configuration objects can't be read."""


@final
class ReleaseError(RemediedError):
    """A compiled release is corrupt, incomplete or fails the check."""


@final
class DeltaError(RemediedError):
    """A delta doesn't lead from the held release to the announced one."""


@final
class PlatformError(RemediedError):
    """The platform's store gave no usable answer."""


@final
class HistoryLostError(RemediedError):
    """The store no longer has the changes that a watch asked for."""


@final
class FrameError(RemediedError):
    """A message between daemons can't be decoded."""


@final
class CallHeaderError(RemediedError):
    """A header of a call has a value that can't be used."""


@final
class KeyFormatError(RemediedError):
    """An idempotency key doesn't have a form that can be honoured."""


@final
class TraceError(RemediedError):
    """A log can't be read."""


@final
class AdminError(RemediedError):
    """A daemon's admin port gave no usable answer."""


@final
class ExchangeError(RemediedError):
    """Another daemon gave no usable answer to a control exchange."""
