"""Converts the failure of a command to a message and an exit status."""

from collections.abc import Callable

from seamhold_messages.errors import SeamholdError

from .cli.constants import PROGRAM
from .context import Environment
from .status import ExitStatus, exit_status_of


def exit_status(environment: Environment, command: Callable[[], object]) -> ExitStatus:
    """Run a command; print a known failure and return its exit status."""
    try:
        result = command()
    except SeamholdError as error:
        environment.print_error(f'{PROGRAM}: {error.code}: {error.detail}')
        return exit_status_of(error)
    except OSError as error:
        environment.print_error(f'{PROGRAM}: {error}')
        return ExitStatus.ERROR
    except KeyboardInterrupt:
        return ExitStatus.CTRL_C
    return result if isinstance(result, ExitStatus) else ExitStatus.SUCCESS
