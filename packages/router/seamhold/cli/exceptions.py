"""Errors in the use of a command, found before it runs."""

from seamhold_messages.errors import SeamholdError


class UsageError(SeamholdError):
    """An argument or variable is missing; `detail` states which to add."""

    code = 'usage'
    status = 400
