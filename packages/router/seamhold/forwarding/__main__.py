"""Runs a box that forwards requests: `python -m seamhold.forwarding BOX_FILE`.

Like `seamhold serve`, without the operators' command line, which a box does
not need: callers wait while a box that was killed starts again.
"""

import gc
import signal
import sys
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..context import Environment


def main() -> None:
    """Run the box of the one file that is named."""
    # What it says, that the file changed, a start reads anyway; unhandled it would end it.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    # Nothing that a start makes is garbage; looking for it takes a tenth of the time.
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
