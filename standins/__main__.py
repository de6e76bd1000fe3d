"""Runs a stand-in: `python -m standins NAME [options]`.

NAME is `platform`, `target` or `faultproxy`.
"""

import sys

from egretlanding.reactors import launch

launch(f'standins.{sys.argv.pop(1)}')
