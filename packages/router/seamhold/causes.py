"""Finds an error among the causes of another: libraries wrap the errors of those below them."""


def caused_by(error: BaseException, kind: type[BaseException]) -> bool:
    """Whether an error, or one of its causes, is of this kind."""
    cause: BaseException | None = error
    while cause is not None and not isinstance(cause, kind):
        cause = cause.__cause__
    return cause is not None
