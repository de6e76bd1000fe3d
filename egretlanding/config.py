"""The checked settings of a daemon."""

import pathlib
from collections.abc import Callable, Mapping
from typing import Any

import attrs
import yaml

from egretlanding.exceptions import SettingsError


@attrs.frozen
class Option:
    """One row of the table of settings.

    Attributes:
        name: The key in the settings file.
        convert: Turns the YAML value into the setting's type.
        unit: What the value measures, for documentation and errors.
        default: The value used when the key is absent; None means required.
    """

    name: str
    convert: Callable[[Any], Any]
    unit: str
    default: Any = None


OPTIONS = (
    Option('host_id', str, 'name'),
    Option('address', str, 'IP address'),
    Option('call_port', int, 'TCP port'),
    Option('peer_port', int, 'TCP port'),
    Option('exchange_port', int, 'TCP port'),
    Option('admin_port', int, 'TCP port'),
    Option('target_address', str, 'IP address'),
    Option('target_port', int, 'TCP port'),
    Option('region', str, 'name'),
    Option('failure_domain', str, 'name'),
    Option('service', str, 'name'),
    Option('store_url', str, 'URL'),
    Option('store_region', str, 'name'),
    Option('balancing', str, 'p2c or random', 'p2c'),
    Option('seeds', tuple, 'list of address:port', ()),
)


@attrs.frozen(kw_only=True)
class DaemonConfig:
    """The settings of one daemon; docs/SETTINGS.md describes each.

    Attributes:
        host_id: The name of the host.
        address: The IP address that the daemon listens on.
        call_port: TCP port for calls from callers.
        peer_port: TCP port for calls from other daemons.
        exchange_port: TCP port for control exchanges.
        admin_port: TCP port for status, dump and metrics.
        target_address: IP address of the target beside the daemon.
        target_port: TCP port of the target beside the daemon.
        region: The region that the host is in.
        failure_domain: The failure domain that the host is in.
        service: The service that the target runs.
        store_url: Base URL of the platform's store.
        store_region: The region that the store is in.
        balancing: How targets are chosen; "random" is a baseline for
            measurements only.
        seeds: Exchange addresses of daemons to ask at start.
    """

    host_id: str
    address: str
    call_port: int
    peer_port: int
    exchange_port: int
    admin_port: int
    target_address: str
    target_port: int
    region: str
    failure_domain: str
    service: str
    store_url: str
    store_region: str
    balancing: str = 'p2c'
    seeds: tuple[str, ...] = ()

    @classmethod
    def from_mapping(cls, settings: Mapping[str, Any]) -> 'DaemonConfig':
        """Checks settings and builds the config.

        Raises:
            SettingsError: A key is unknown, missing or has a wrong value.
        """
        known = {option.name for option in OPTIONS}
        unknown = sorted(set(settings) - known)
        if unknown:
            raise SettingsError(
                f'unknown settings: {", ".join(unknown)}',
                'remove them or see docs/SETTINGS.md for the right names',
            )
        return cls(
            **{option.name: _convert(option, settings) for option in OPTIONS},
        )

    @classmethod
    def from_file(cls, path: str) -> 'DaemonConfig':
        """Reads and checks a settings file.

        Args:
            path: A YAML file holding one mapping.

        Raises:
            SettingsError: The file can't be read or fails the check.
        """
        try:
            settings = yaml.safe_load(pathlib.Path(path).read_bytes())
        except (OSError, yaml.YAMLError) as error:
            raise SettingsError(
                f'{path} can not be read ({error})',
                'give the path of a YAML file',
            ) from error
        if not isinstance(settings, dict):
            raise SettingsError(
                f'{path} holds no mapping',
                'write one "name: value" a line',
            )
        return cls.from_mapping(settings)


def _convert(option: Option, settings: Mapping[str, Any]) -> Any:
    raw = settings.get(option.name, option.default)
    if raw is None:
        raise SettingsError(
            f'setting {option.name} is missing',
            f'add "{option.name}: <{option.unit}>"',
        )
    try:
        return option.convert(raw)
    except (TypeError, ValueError) as error:
        raise SettingsError(
            f'setting {option.name} has the value {raw!r}',
            f'give a {option.unit}',
        ) from error
