"""Runs a command line and returns its exit status."""

import fire
from fire.core import FireExit

from .cli.constants import PROGRAM
from .cli.definition import Commands
from .cli.exceptions import UsageError
from .context import Environment
from .ending import exit_status
from .status import ExitStatus


def run(environment: Environment, arguments: list[str]) -> ExitStatus:
    """Run a command line; return its exit status, also after a usage error."""
    try:
        return exit_status(environment, lambda: _fire(environment, arguments))
    except FireExit as end:
        return ExitStatus(end.code) if end.code in (0, 2) else ExitStatus.ERROR


def _fire(environment: Environment, arguments: list[str]) -> object:
    try:
        return fire.Fire(
            Commands(environment),
            command=arguments or ['--help'],
            name=PROGRAM,
            serialize=lambda value: None if isinstance(value, ExitStatus) else value,
        )
    except UsageError as error:
        environment.print_error(f'{PROGRAM}: {error.detail}')
        return ExitStatus.USAGE
