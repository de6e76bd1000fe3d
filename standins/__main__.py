"""Runs a stand-in: `python -m standins platform|target [options]`."""

import sys

from egretlanding.reactors import launch

launch(f'standins.{sys.argv.pop(1)}')
