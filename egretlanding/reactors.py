"""The choice of the Twisted reactor."""

import asyncio
import importlib
import sys

# Twisted goes without TLS where pyOpenSSL can't be imported. The system uses
# none, and this keeps 12 MB out of every process.
sys.modules['OpenSSL'] = None  # type: ignore[assignment]


def launch(module: str) -> None:
    """Installs the asyncio reactor, then runs a module's `main` function.

    The asyncio reactor lets Twisted and grpclib share one event loop. It has
    to be installed before klein is imported, because klein picks the default
    reactor when it is imported; so the module is imported here.

    Args:
        module: Full name of the module to import and run.
    """
    asyncioreactor = importlib.import_module('twisted.internet.asyncioreactor')
    loop = asyncio.new_event_loop()
    # Tasks that start before the reactor runs must find the same loop.
    asyncio.set_event_loop(loop)
    asyncioreactor.install(loop)
    importlib.import_module(module).main()


def launch_daemon() -> None:
    """Runs the daemon; the entry point of `egretlandingd`."""
    launch('egretlanding.daemon')


if __name__ == '__main__':
    launch_daemon()
