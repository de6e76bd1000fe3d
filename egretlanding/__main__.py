"""Runs the command line as `python -m egretlanding`."""

from egretlanding.cmdline import main
from egretlanding.platform import configfile

# Importing a module of a platform registers the forms that it reads.
PLATFORMS = (configfile,)

if __name__ == '__main__':
    main()
