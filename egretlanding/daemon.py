"""The process beside each target host."""

import importlib
import signal
import sys
from typing import Any

from absl import logging
from twisted.internet import reactor as default_reactor
from twisted.internet.error import CannotListenError

from egretlanding.admin import AdminFactory
from egretlanding.check import find_faults
from egretlanding.config import DaemonConfig
from egretlanding.daemonmetrics import control_metrics
from egretlanding.events import Event, Severity, log_event
from egretlanding.exceptions import SettingsError
from egretlanding.metrics import MetricReader
from egretlanding.supervisor import Supervisor

REFUSED_SETTINGS_EXIT = 2


def serve(settings: str) -> None:
    """Runs the daemon beside a target until it is told to stop.

    Args:
        settings: Path of the YAML settings file.
    """
    reactor: Any = default_reactor
    config = DaemonConfig.from_file(settings)
    supervisor = Supervisor.from_config(
        reactor,
        config,
        find_faults,
        reactor.stop,
    )
    metrics = MetricReader(control_metrics(supervisor))
    try:
        open_ports(reactor, supervisor, AdminFactory(supervisor, metrics))
    except CannotListenError as error:
        raise SettingsError(
            f'a port can not be opened ({error})',
            'stop what uses it, or choose another port or address',
        ) from error

    def stop(*_args: Any) -> None:
        reactor.callFromThread(supervisor.stop)

    signal.signal(signal.SIGTERM, stop)
    signal.signal(signal.SIGINT, stop)
    reactor.callWhenRunning(supervisor.start)
    reactor.run(installSignalHandlers=False)


def open_ports(
    reactor: Any,
    supervisor: Supervisor,
    admin: AdminFactory,
) -> None:
    """Opens the ports for callers, other daemons and operators.

    Raises:
        CannotListenError: A port is in use or the address isn't the host's.
    """
    config = supervisor.config
    supervisor.calls.listen()
    reactor.listenTCP(config.admin_port, admin, interface=config.address)


def run(arguments: list[str]) -> None:
    """Runs the daemon with the arguments of its command line.

    A plain path is taken as it is, because the parser of the command line
    needs 5 MB that the daemon would keep for as long as it runs.

    Args:
        arguments: What follows the name of the program.
    """
    if len(arguments) == 1 and not arguments[0].startswith('-'):
        serve(arguments[0])
    else:
        importlib.import_module('defopt').run(serve, argv=arguments)


def main() -> None:
    """Runs the command line of the daemon."""
    logging.set_verbosity(logging.INFO)
    try:
        run(sys.argv[1:])
    except SettingsError as error:
        log_event(Event.SETTINGS_REFUSED, str(error), Severity.ERROR)
        sys.exit(REFUSED_SETTINGS_EXIT)
