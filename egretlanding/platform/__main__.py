"""Runs the daemon on the platform."""

import gc
import os
import sys
import time
import types
from typing import Any

from egretlanding.heldsignals import hold_signals

# Loading the other modules takes long enough for a signal to arrive.
hold_signals()

# Modules and classes stay, so that the collector need not look at them.
gc.disable()

# Modules for TLS and its hashes, which the platform does not use. They are
# blocked before the first import; the libraries work without them.
UNUSED = ('OpenSSL', 'ssl', '_hashlib')
sys.modules.update(dict.fromkeys(UNUSED))  # type: ignore[arg-type]
# A module that Twisted imports for names which it doesn't use here, and with it
# modules for mail and for another HTTP client.
sys.modules['http.cookiejar'] = types.ModuleType('http.cookiejar')

from twisted.internet import reactor as default_reactor  # noqa: E402

from egretlanding.platform.names import (  # noqa: E402
    DIALECT,
    READINESS_PATH,
)
from egretlanding.platform.records import RecordDecoder  # noqa: E402
from egretlanding.platform.store import PlatformStore  # noqa: E402
from egretlanding.platformadapter import PlatformAdapter  # noqa: E402
from egretlanding.sidecarconfig import SidecarConfig  # noqa: E402
from egretlanding.sidecarprocess import serve  # noqa: E402

gc.freeze()
gc.enable()

SETTINGS_VARIABLE = 'EGRETLANDING_CONFIG'


def boot_time() -> float:
    """Returns a monotonic time that includes suspension, seconds."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def main() -> None:
    """Runs the daemon with the settings file that the environment names."""
    settings = os.environ[SETTINGS_VARIABLE]
    config = SidecarConfig.from_file(settings)
    reactor: Any = default_reactor
    reactor.seconds = boot_time
    address, _, port = config.store.rpartition(':')
    decoder = RecordDecoder.from_config(config)
    store = PlatformStore.from_address(
        reactor,
        address,
        int(port),
        reads_evacuations=config.evacuations == 'on',
    )
    adapter = PlatformAdapter(
        DIALECT,
        store,
        decoder,
        READINESS_PATH,
        store.pool.buffers,
    )
    serve(reactor, settings, config, adapter)


if __name__ == '__main__':
    main()
