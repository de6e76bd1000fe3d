"""The choice of the Twisted reactor."""

import asyncio
import importlib

from twisted.internet import asyncioreactor


def launch(module: str) -> None:
    """Installs the asyncio reactor, then runs a module's `main` function.

    The asyncio reactor lets Twisted and grpclib share one event loop. It has
    to be installed before klein is imported, because klein picks the default
    reactor when it is imported; so the module is imported here.

    The loop is the standard one. With uvloop, Twisted doesn't learn of
    connections that the other side resets, and the next socket with the same
    descriptor can't be used.

    Args:
        module: Full name of the module to import and run.
    """
    asyncioreactor.install(asyncio.new_event_loop())
    importlib.import_module(module).main()


def launch_daemon() -> None:
    """Runs the daemon; the entry point of `egretlandingd`."""
    launch('egretlanding.daemon')


if __name__ == '__main__':
    launch_daemon()
