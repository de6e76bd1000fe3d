"""Runs the command line as `python -m egretlanding`."""

from egretlanding.cmdline import main

main()
