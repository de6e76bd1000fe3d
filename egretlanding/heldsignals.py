"""Holds signals back while a daemon starts."""

import signal

# The signals that a daemon handles.
HANDLED_SIGNALS = (signal.SIGHUP, signal.SIGTERM, signal.SIGINT)


def hold_signals() -> None:
    """Holds signals back, which would otherwise end the process."""
    signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED_SIGNALS)


def release_signals() -> None:
    """Delivers signals, those that were held back first."""
    signal.pthread_sigmask(signal.SIG_UNBLOCK, HANDLED_SIGNALS)
