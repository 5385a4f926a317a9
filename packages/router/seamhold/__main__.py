"""Entry point of the program."""

import sys

from .context import Environment
from .core import run


def main() -> None:
    """Run the command line and exit with its status."""
    sys.exit(run(Environment(), sys.argv[1:]))


if __name__ == '__main__':
    main()
