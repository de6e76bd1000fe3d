"""The settings of a daemon, read from a file and checked."""

from collections.abc import Iterable, Iterator
from itertools import chain
from pathlib import Path
from typing import Any, Self

import attrs
from result import is_err

from egretlanding.documents import Document, RemainingLimits, read_document
from egretlanding.exceptions import SettingsError
from egretlanding.faults import Fault, ObjectSet
from egretlanding.fieldchecks import check_bounds, check_choices, check_forms
from egretlanding.fields import ReadFields, read_fields
from egretlanding.findings import Finding, sort_findings
from egretlanding.objects import ConfigObject
from egretlanding.schema import (
    NAME_FORM,
    NAME_PATTERN,
    bounded_field,
    choice_field,
    pattern_field,
)

OCTET_PATTERN = r'(25[0-5]|2[0-4]\d|1\d\d|[1-9]?\d)'
ADDRESS_PATTERN = rf'{OCTET_PATTERN}(\.{OCTET_PATTERN}){{3}}'
ADDRESS_FORM = 'an IPv4 address such as 10.0.0.7'
ENDPOINT_PATTERN = rf'{ADDRESS_PATTERN}:[1-9]\d{{0,4}}'
ENDPOINT_FORM = 'address:port, such as 10.0.0.7:7103'
HOST_ID_PATTERN = '[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?'
HOST_ID_FORM = 'lower-case letters, digits, dots and inner hyphens, at most 63'
# Credentials are refused because the state dump shows the URL.
URL_PATTERN = 'https?://[^/?#@ ]+(/[^?# ]*)?'
URL_FORM = 'a URL without credentials, such as http://10.0.0.1:7000'

PORT_FIELDS = ('call_port', 'peer_port', 'exchange_port', 'admin_port')


def required_name() -> Any:
    """Declares a required field for a name."""
    return pattern_field(NAME_PATTERN, NAME_FORM)


def tcp_port() -> Any:
    """Declares a required field for a TCP port."""
    return bounded_field(1, 65_535, 'TCP port')


def ip_address() -> Any:
    """Declares a required field for an IPv4 address."""
    return pattern_field(ADDRESS_PATTERN, ADDRESS_FORM)


class Settings:
    """Settings that are read from a YAML file and checked as a whole."""

    @classmethod
    def from_file(cls, path: str) -> Self:
        """Reads and checks a settings file.

        Args:
            path: A YAML file that holds one mapping.

        Raises:
            SettingsError: The file has faults; the error lists each.
        """
        outcome = read_document(Path(path), path, RemainingLimits())
        if is_err(outcome):
            raise _settings_error([outcome.err_value])
        return cls._from_document(outcome.unwrap())

    @classmethod
    def _from_document(cls, document: Document) -> Self:
        fields = read_fields(document.root, cls)
        settings = _build(cls, fields)
        findings = [
            attrs.evolve(finding, file=document.file)
            for finding in chain(fields.findings, _check(settings, fields))
        ]
        if findings:
            raise _settings_error(sort_findings(findings))
        return settings


@attrs.frozen(kw_only=True)
class DaemonConfig(Settings):
    """The settings of one daemon.

    The metadata of the fields holds bounds, units and forms. The checks use
    it, and docs/SETTINGS.md is generated from it.

    Attributes:
        host_id: The name of the host, unique in the mesh.
        address: The IP address that the daemon listens on.
        call_port: TCP port for calls from callers.
        peer_port: TCP port for calls from other daemons.
        exchange_port: TCP port for exchanges of releases and summaries between
            daemons.
        admin_port: TCP port for the status, the state dump and metrics.
        target_address: IP address of the target beside the daemon.
        target_port: TCP port of the target beside the daemon.
        region: The region that the host is in.
        failure_domain: The failure domain that the host is in.
        service: The service that the target runs.
        store_url: Base URL of the platform's store.
        store_region: The region that the store is in.
        seeds: Exchange addresses of daemons to contact at start.
        distribution: How releases reach the daemon; "direct" is a baseline
            for measurements only.
        balancing: How targets are chosen; "random" is a baseline for
            measurements only.
        target_check: How the daemon checks whether the target accepts calls:
            "report" asks the target, "connect" opens a connection after a
            call was lost.
    """

    host_id: str = pattern_field(HOST_ID_PATTERN, HOST_ID_FORM)
    address: str = ip_address()
    call_port: int = tcp_port()
    peer_port: int = tcp_port()
    exchange_port: int = tcp_port()
    admin_port: int = tcp_port()
    target_address: str = ip_address()
    target_port: int = tcp_port()
    region: str = required_name()
    failure_domain: str = required_name()
    service: str = required_name()
    store_url: str = pattern_field(URL_PATTERN, URL_FORM, private=True)
    store_region: str = required_name()
    seeds: tuple[str, ...] = pattern_field(
        ENDPOINT_PATTERN, ENDPOINT_FORM, default=()
    )
    distribution: str = choice_field(('exchange', 'direct'), default='exchange')
    balancing: str = choice_field(('p2c', 'random'), default='p2c')
    target_check: str = choice_field(('report', 'connect'), default='report')


def _build(config_class: type, fields: ReadFields) -> Any:
    # A field that could not be read holds None, which the checks skip.
    names = (
        field.name
        for field in attrs.fields(config_class)
        if field.name in fields.lines or field.default is attrs.NOTHING
    )
    return config_class(
        **{field_name: fields.values.get(field_name) for field_name in names},
    )


def _check(settings: Settings, fields: ReadFields) -> Iterator[Finding]:
    checked = ObjectSet.from_objects([ConfigObject('', '', settings)])
    faults = chain(
        check_bounds(checked),
        check_forms(checked),
        check_choices(checked),
        _port_conflicts(checked),
    )
    return (
        Finding(
            '',
            fields.lines.get(fault.field, 1),
            '',
            fault.problem,
            fault.remedy,
        )
        for fault in faults
    )


def _port_conflicts(checked: ObjectSet) -> Iterator[Fault]:
    first_users: dict[int, str] = {}
    for setting in checked.values():
        if setting.field.name in PORT_FIELDS:
            first_user = first_users.setdefault(
                setting.value,
                setting.field.name,
            )
            if first_user != setting.field.name:
                problem = f'is the same as {first_user}'
                yield setting.fault(problem, 'give each its own port')


def _settings_error(findings: Iterable[Finding]) -> SettingsError:
    return SettingsError(
        '\n'.join(map(str, findings)),
        'see docs/SETTINGS.md for each setting',
    )
