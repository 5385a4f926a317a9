"""Exit codes of the program."""

from enum import IntEnum, unique

from seamhold_messages import errors


@unique
class ExitStatus(IntEnum):
    """Exit codes, one for each kind of result."""

    SUCCESS = 0
    ERROR = 1
    USAGE = 2
    INVALID = 3
    CONFLICT = 4
    UNAVAILABLE = 5
    NOT_FOUND = 6
    DIFFERS = 7
    CTRL_C = 130


STATUS_BY_ERROR = {
    errors.SettingsInvalid: ExitStatus.INVALID,
    errors.SettingsConflict: ExitStatus.CONFLICT,
    errors.PlatformConflict: ExitStatus.CONFLICT,
    errors.PlatformUnavailable: ExitStatus.UNAVAILABLE,
    errors.NotReady: ExitStatus.UNAVAILABLE,
    errors.PlatformNotFound: ExitStatus.NOT_FOUND,
}


def exit_status_of(error: errors.SeamholdError) -> ExitStatus:
    """Return the exit code for an error."""
    for kind, status in STATUS_BY_ERROR.items():
        if isinstance(error, kind):
            return status
    return ExitStatus.ERROR
