"""Runs the soak from the command line."""

from soak.cmdline import main

main()
