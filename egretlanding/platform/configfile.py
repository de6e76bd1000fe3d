"""Reads a configuration and entries from files, for `egretlanding check`."""

from collections import Counter
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import attrs
import msgspec

from egretlanding.check import find_inconsistencies
from egretlanding.configsources import (
    ReadConfiguration,
    ReadTargets,
    config_source,
    read_file,
)
from egretlanding.exceptions import PlatformError, SourceError
from egretlanding.findings import Finding
from egretlanding.platform.names import CONFIG_KEY
from egretlanding.platform.records import RecordDecoder
from egretlanding.platform.store import ItemList, decode_items
from egretlanding.records import Record
from egretlanding.sidecarconfig import (
    MS_PER_S,
    USED_RETRY_SHARE,
    SidecarConfig,
)
from egretlanding.texts import printable_path
from egretlanding.units import PERCENT


@attrs.frozen
class RecordFileSource:
    """Reads files with the configuration, or with a page of the store's items.

    The configuration may be the value itself, or an item of such a page.
    """

    def accepts(self, path: Path) -> bool:
        """Returns whether the path is a file."""
        return path.is_file()

    def read(self, path: Path, settings: Path | None) -> ReadConfiguration:
        """Reads a configuration and checks it as daemons do."""
        config = read_settings(settings)
        name = printable_path(path)
        decoder = decoder_of(config)
        try:
            publication = decoder.decode_publication(
                find_configuration(path, decoder)
            )
        except PlatformError as error:
            finding = Finding(name, 0, '', error.problem, error.remedy)
            return ReadConfiguration(name, (), (finding,), 0)
        objects = publication.objects
        findings = tuple(
            Finding(name, 0, fault.subject.label(), fault.problem, fault.remedy)
            for fault in find_inconsistencies(objects)
        )
        return ReadConfiguration(
            name,
            objects,
            findings,
            len(objects),
            publication=publication,
            grace_ms=config.grace_s * MS_PER_S if config else None,
        )

    def read_targets(self, path: Path, settings: Path | None) -> ReadTargets:
        """Reads the entries of targets from a page of the store's items."""
        config = read_settings(settings)
        if config is None:
            raise SourceError(
                'the region of no failure domain is known',
                'add --settings FILE, the settings file of a daemon',
            )
        decoder = decoder_of(config)
        counts: Counter[tuple[str, str]] = Counter()
        findings = []
        for record in read_items(path):
            if record.deleted or not decoder.target_of_entry(record):
                continue
            try:
                entry = decoder.decode_entry(record)
            except PlatformError as error:
                name = printable_path(path)
                findings.append(
                    Finding(name, 0, '', error.problem, error.remedy)
                )
            else:
                counts[entry.service, entry.region] += not entry.draining
        return ReadTargets(counts, tuple(findings))


def read_settings(path: Path | None) -> SidecarConfig | None:
    """Reads a daemon's settings, if a file is given.

    Raises:
        SettingsError: The file has faults.
    """
    return SidecarConfig.from_file(str(path)) if path else None


def decoder_of(config: SidecarConfig | None) -> RecordDecoder:
    """Returns the decoder that a daemon with these settings has.

    Without settings their defaults count, and no region is known.
    """
    if config is None:
        fields: Any = attrs.fields(SidecarConfig)
        ratio = float(fields.retry_ratio.default)
        return RecordDecoder(
            {},
            int(ratio * PERCENT * USED_RETRY_SHARE),
            fields.cold_start_ms.default,
            fields.queue_limit.default,
        )
    return RecordDecoder.from_config(config)


def find_configuration(path: Path, decoder: RecordDecoder) -> Record:
    """Returns the record of the configuration that a file holds."""
    candidates = filter(decoder.is_publication, iterate_items(path))
    return next(candidates, Record(CONFIG_KEY, 0, read_file(path)))


def read_items(path: Path) -> tuple[Record, ...]:
    """Returns the items of a page.

    Raises:
        SourceError: The file holds no page.
    """
    records = tuple(iterate_items(path))
    if not records:
        raise SourceError(
            f'{printable_path(path)} holds no items of the store',
            "give a file with the store's answer to the call for its items",
        )
    return records


def iterate_items(path: Path) -> Iterator[Record]:
    """Yields the items of a page, none if the file holds no page."""
    try:
        page = msgspec.json.decode(read_file(path), type=ItemList)
    except (msgspec.MsgspecError, ValueError, RecursionError):
        return
    yield from decode_items(page.items)


config_source('a file with the value of the configuration', RecordFileSource())
