"""The forms in which a configuration to check can be given."""

from collections import Counter
from collections.abc import Mapping
from pathlib import Path
from typing import Protocol

import attrs
import msgspec

from egretlanding.declarations import Declarations, finding_of
from egretlanding.documents import MAX_TOTAL_BYTES
from egretlanding.exceptions import SourceError
from egretlanding.faults import Fault, ObjectKey
from egretlanding.findings import Finding
from egretlanding.hosts import HostList
from egretlanding.objects import ConfigObject
from egretlanding.publication import Publication
from egretlanding.release import HOSTS_KEY
from egretlanding.releasefiles import is_compiled_release, read_release
from egretlanding.sources import Source
from egretlanding.texts import printable_path


@attrs.frozen
class ReadTargets:
    """The targets that run.

    Attributes:
        counts: Their number by service and region.
        findings: Why entries of others can't be used.
    """

    counts: Mapping[tuple[str, str], int]
    findings: tuple[Finding, ...] = ()


@attrs.frozen
class ReadConfiguration:
    """A configuration that was read and checked as daemons check it.

    Attributes:
        name: Its path, to be shown.
        objects: Its objects, with inherited fields written out; empty if it
            has faults.
        findings: Its faults.
        count: Number of its objects, also if it has faults.
        places: Where the objects are declared, if that is known.
        publication: The publication that it is, None if it is none.
        grace_ms: Time that daemons have to stop, ms, None if it isn't known.
    """

    name: str
    objects: tuple[ConfigObject, ...]
    findings: tuple[Finding, ...]
    count: int
    places: Mapping[ObjectKey, Source] = attrs.field(factory=dict)
    publication: Publication | None = None
    grace_ms: float | None = None

    def locate(self, fault: Fault) -> Finding:
        """Returns a fault in an object with its location."""
        subject = fault.subject
        source = self.places.get((subject.kind, subject.name))
        if source:
            return finding_of(fault, source)
        return Finding(
            self.name, 0, subject.label(), fault.problem, fault.remedy
        )


class ConfigSource(Protocol):
    """Reads configurations that are given in one form."""

    def accepts(self, path: Path) -> bool:
        """Returns whether a path may hold a configuration of this form."""

    def read(self, path: Path, settings: Path | None) -> ReadConfiguration:
        """Reads and checks a configuration.

        Args:
            path: The path.
            settings: Settings file of a daemon, or None.

        Raises:
            RemediedError: The path can't be read.
        """

    def read_targets(self, path: Path, settings: Path | None) -> ReadTargets:
        """Reads which targets run.

        Args:
            path: A file that lists them.
            settings: Settings file of a daemon, or None.

        Raises:
            RemediedError: The file can't be read.
        """


# The last one that accepts a path reads it.
SOURCES: dict[str, ConfigSource] = {}


def config_source(name: str, source: ConfigSource) -> None:
    """Registers a form of configurations under a name."""
    SOURCES[name] = source


def source_of(path: Path) -> ConfigSource:
    """Returns the source that reads a path.

    Raises:
        SourceError: None does.
    """
    for source in reversed(SOURCES.values()):
        if source.accepts(path):
            return source
    raise SourceError(
        f'{printable_path(path)} is not a configuration of a known form',
        f'give one of these: {", ".join(SOURCES)}',
    )


def read_file(path: Path) -> bytes:
    """Reads a file.

    Raises:
        SourceError: It can't be read, or is too large.
    """
    try:
        with path.open('rb') as stream:
            content = stream.read(MAX_TOTAL_BYTES + 1)
    except OSError as error:
        raise SourceError(
            f'{printable_path(path)} cannot be read ({error.strerror})',
            'correct the path or its permissions',
        ) from error
    if len(content) > MAX_TOTAL_BYTES:
        raise SourceError(
            f'{printable_path(path)} is larger than {MAX_TOTAL_BYTES} bytes',
            'give a file with one configuration or list',
        )
    return content


@attrs.frozen
class DirectorySource:
    """Reads directories of YAML files, and compiled releases."""

    def accepts(self, path: Path) -> bool:
        """Returns whether the path isn't a file."""
        return not path.is_file()

    def read(self, path: Path, settings: Path | None) -> ReadConfiguration:
        """Reads and checks a directory."""
        name = printable_path(path)
        if is_compiled_release(path):
            objects = tuple(read_release(path).objects.values())
            return ReadConfiguration(name, objects, (), len(objects))
        declarations = Declarations.from_directory(path)
        count = len(declarations.sources)
        if declarations.findings:
            return ReadConfiguration(name, (), declarations.findings, count)
        places = {
            (source.config_object.kind, source.config_object.name): source
            for source in declarations.sources
        }
        return ReadConfiguration(
            name, tuple(declarations.flattened_objects()), (), count, places
        )

    def read_targets(self, path: Path, settings: Path | None) -> ReadTargets:
        """Reads the platform's host list, as the store holds it.

        Hosts that are leaving don't count.
        """
        try:
            hosts = msgspec.json.decode(read_file(path), type=HostList)
        except (msgspec.MsgspecError, UnicodeDecodeError) as error:
            raise SourceError(
                f'{printable_path(path)} is not a host list ({error})',
                f'give a file with the value of the key {HOSTS_KEY}',
            ) from error
        counts = Counter((host.service, host.region) for host in hosts.live())
        return ReadTargets(counts)


config_source('a directory of YAML files', DirectorySource())
