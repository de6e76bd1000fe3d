"""Runs a `Sidecar` daemon as a process."""

import os
import signal
from typing import Any

from egretlanding.containment import log_reactor_errors
from egretlanding.events import SINKS
from egretlanding.heldsignals import release_signals
from egretlanding.platformadapter import PlatformAdapter
from egretlanding.sidecar import Sidecar
from egretlanding.sidecaradmin import SidecarAdmin
from egretlanding.sidecarconfig import SidecarConfig


def serve(
    reactor: Any,
    settings: str,
    config: SidecarConfig,
    adapter: PlatformAdapter,
) -> None:
    """Runs the daemon until a signal stops it; SIGHUP reloads settings."""
    sidecar = Sidecar.from_config(
        reactor,
        settings,
        config,
        adapter,
    )
    os.set_blocking(sidecar.log.file, False)
    SINKS.insert(0, sidecar.log.write)
    log_reactor_errors()

    def stop(*_args: Any) -> None:
        reactor.callFromThread(sidecar.stop)

    def reload(*_args: Any) -> None:
        reactor.callFromThread(sidecar.reload)

    signal.signal(signal.SIGHUP, reload)
    signal.signal(signal.SIGTERM, stop)
    signal.signal(signal.SIGINT, stop)
    release_signals()
    reactor.callWhenRunning(sidecar.start)
    reactor.callWhenRunning(SidecarAdmin.from_sidecar(sidecar).listen)
    reactor.run(installSignalHandlers=False)
