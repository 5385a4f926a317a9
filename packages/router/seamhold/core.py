"""Runs a command line and turns how it ended into an exit status."""

import fire
from fire.core import FireExit

from seamhold_messages.errors import SeamholdError

from .cli.constants import PROGRAM
from .cli.definition import Commands
from .cli.exceptions import UsageError
from .context import Environment
from .status import ExitStatus, exit_status_of


def run(environment: Environment, arguments: list[str]) -> ExitStatus:
    """The exit status of a command; never raises for a user's mistake."""
    try:
        result = fire.Fire(
            Commands(environment),
            command=arguments or ['--help'],
            name=PROGRAM,
            serialize=lambda value: None if isinstance(value, ExitStatus) else value,
        )
    except FireExit as end:
        return ExitStatus(end.code) if end.code in (0, 2) else ExitStatus.ERROR
    except UsageError as error:
        environment.complain(f'{PROGRAM}: {error.detail}')
        return ExitStatus.USAGE
    except SeamholdError as error:
        environment.complain(f'{PROGRAM}: {error.code}: {error.detail}')
        return exit_status_of(error)
    except OSError as error:
        environment.complain(f'{PROGRAM}: {error}')
        return ExitStatus.ERROR
    except KeyboardInterrupt:
        return ExitStatus.CTRL_C
    return result if isinstance(result, ExitStatus) else ExitStatus.SUCCESS
