"""The daemon process that runs beside each target host."""

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

SETTINGS_REFUSED_EXIT_CODE = 2


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
            f'cannot open a port ({error})',
            'stop the process that uses it, or choose another port or address',
        ) from error

    def stop(*_args: Any) -> None:
        reactor.callFromThread(supervisor.stop)

    # The settings are read at the start only.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
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
        CannotListenError: A port is in use, or the address isn't one of
            the host.
    """
    config = supervisor.config
    supervisor.calls.listen()
    reactor.listenTCP(config.admin_port, admin, interface=config.address)


def run(arguments: list[str]) -> None:
    """Runs the daemon with the arguments of its command line.

    A single path bypasses the command line parser, whose import takes 5 MB
    of memory for the whole lifetime of the daemon.

    Args:
        arguments: The command line without the program name.
    """
    if len(arguments) == 1 and not arguments[0].startswith('-'):
        serve(arguments[0])
    else:
        importlib.import_module('defopt').run(serve, argv=arguments)


def main() -> None:
    """Runs the daemon from its command line."""
    logging.set_verbosity(logging.INFO)
    try:
        run(sys.argv[1:])
    except SettingsError as error:
        log_event(Event.SETTINGS_REFUSED, str(error), Severity.ERROR)
        sys.exit(SETTINGS_REFUSED_EXIT_CODE)
