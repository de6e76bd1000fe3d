"""Runs the command line as operators do, in a process of its own."""

import subprocess
import sys

TIMEOUT_S = 60


def launch(*arguments: str) -> subprocess.CompletedProcess[str]:
    """Runs a command in a process of its own, as its reactor needs."""
    return subprocess.run(
        [sys.executable, '-m', 'egretlanding', *arguments],
        capture_output=True,
        check=False,
        text=True,
        timeout=TIMEOUT_S,
    )
