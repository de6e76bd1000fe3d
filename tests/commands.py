"""Runs the command line in a separate process, as operators do."""

import subprocess
import sys

TIMEOUT_S = 60


def launch(*arguments: str) -> subprocess.CompletedProcess[str]:
    """Runs a command in a new process, as a reactor can't be restarted."""
    return subprocess.run(
        [sys.executable, '-m', 'egretlanding', *arguments],
        capture_output=True,
        check=False,
        text=True,
        timeout=TIMEOUT_S,
    )
