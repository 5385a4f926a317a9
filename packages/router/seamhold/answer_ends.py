"""Decides whether the end of an answer's bytes is the end of the answer.

A body with a length or chunks shows its own end.  One that ends with its connection does not: the
kernel of a process that was killed, and a box that cancels a call, close connections in order, too.
"""

from collections.abc import Callable

from seamhold_attempts.retry import Outcome
from seamhold_messages.errors import AnswerCut, AnswerEndUnproven

from .framing import Framing
from .ports import AttemptFailed, Cancellation
from .probing import Liveness


def confirm_end(
    framing: Framing, cancellation: Cancellation, find_liveness: Callable[[], Liveness]
) -> None:
    """Return if the bytes that ended are the whole answer; raises AttemptFailed if not.

    `find_liveness` finds out whether the server's process is alive now, if that matters.
    """
    if framing is not Framing.CONNECTION:
        return
    if cancellation.cancelled:
        raise AttemptFailed(Outcome.BROKEN, AnswerCut('this box closed the connection'))
    liveness = find_liveness()
    if liveness is not Liveness.ALIVE:
        unproven = AnswerEndUnproven(f'the connection ended, and the server is {liveness}')
        raise AttemptFailed(Outcome.BROKEN, unproven)
