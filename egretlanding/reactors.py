"""Installs the asyncio reactor of Twisted, then runs a program."""

import importlib
import sys

# Prevents the import of the TLS modules; the libraries then work without TLS.
# The system doesn't use TLS, and this saves 17 MB of memory per process.
TLS_MODULES = ('OpenSSL', 'ssl')
sys.modules.update(dict.fromkeys(TLS_MODULES))  # type: ignore[arg-type]


def launch(module: str) -> None:
    """Installs the asyncio reactor, then runs a module's `main` function.

    The asyncio reactor lets Twisted and grpclib share one event loop. It has
    to be installed before klein is imported, because klein picks the default
    reactor when it is imported; so the module is imported here.

    Args:
        module: Full name of the module to import and run.
    """
    asyncio = importlib.import_module('asyncio')
    asyncioreactor = importlib.import_module('twisted.internet.asyncioreactor')
    loop = asyncio.new_event_loop()
    # Tasks that start before the reactor runs must use the same loop.
    asyncio.set_event_loop(loop)
    asyncioreactor.install(loop)
    importlib.import_module(module).main()


def launch_daemon() -> None:
    """Runs the daemon; the entry point of `egretlandingd`."""
    launch('egretlanding.daemon')


if __name__ == '__main__':
    launch_daemon()
