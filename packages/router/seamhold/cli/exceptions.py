"""What can be wrong with a command before it begins."""

from seamhold_messages.errors import SeamholdError


class UsageError(SeamholdError):
    """The command lacks something; `detail` says what to add."""

    code = 'usage'
    status = 400
