"""The choice of the Twisted reactor."""

import importlib

import uvloop
from twisted.internet import asyncioreactor


def launch(module: str) -> None:
    """Installs the asyncio reactor, then runs a module's `main` function.

    The asyncio reactor lets Twisted and grpclib share one event loop. It has
    to be installed before klein is imported, because klein picks the default
    reactor when it is imported; so the module is imported here.

    Args:
        module: Full name of the module to import and run.
    """
    asyncioreactor.install(uvloop.new_event_loop())
    importlib.import_module(module).main()


def launch_daemon() -> None:
    """Runs the daemon; the entry point of `egretlandingd`."""
    launch('egretlanding.daemon')


if __name__ == '__main__':
    launch_daemon()
