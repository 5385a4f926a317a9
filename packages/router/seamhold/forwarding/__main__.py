"""Runs a box that forwards requests: `python -m seamhold.forwarding BOX_FILE`.

Does the same as `seamhold serve` without loading the operators' command line.  This
shortens the start: callers wait while a box that was killed restarts.
"""

import gc
import signal
import sys
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..context import Environment


def main() -> None:
    """Run the box that the box file on the command line describes."""
    # SIGHUP announces a changed box file, which a start reads anyway.  Its default action
    # would end the process.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    # A start creates no garbage, and collection takes a tenth of the start's time.
    gc.disable()
    from ..context import Environment
    from ..ending import exit_status
    from ..status import ExitStatus

    environment = Environment()
    _, *files = sys.argv
    if len(files) != 1:
        environment.print_error('usage: python -m seamhold.forwarding BOX_FILE')
        sys.exit(ExitStatus.USAGE)
    sys.exit(exit_status(environment, lambda: _serve(files[0], environment)))


def _serve(file: str, environment: 'Environment') -> None:
    from ..config import load_box_config
    from .box import serve

    serve(load_box_config(file), environment)


if __name__ == '__main__':
    main()
