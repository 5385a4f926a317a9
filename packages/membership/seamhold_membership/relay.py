"""A buffer for updates that a box gossips, whichever box they came from.

A box sends each update in a fixed number of messages and then drops it: rumour mongering as in
Demers et al., "Epidemic algorithms for replicated database maintenance".  A newer update on a
subject replaces the pending one, and the newest updates go first where bytes are short.
"""

from collections import OrderedDict
from collections.abc import Hashable
from typing import Generic, TypeVar

from msgspec import Struct

#: Messages in which a box sends an update.  At any fleet size a share of about e^-5 of the
#: boxes, seven in a thousand, misses the update; updates that are repeated soon reach them too.
TRANSMITS_PER_UPDATE = 5
#: Subjects with a pending update; beyond this limit the oldest is dropped.
PENDING_UPDATES_MAX = 2048

Subject = TypeVar('Subject', bound=Hashable)
Update = TypeVar('Update')


class _Pending(Struct):
    update: object
    left: int


class GossipBuffer(Generic[Subject, Update]):
    """Pending updates by subject, each with the number of messages it still goes into."""

    def __init__(self, times: int = TRANSMITS_PER_UPDATE):
        self._times = times
        self._pending: OrderedDict[Subject, _Pending] = OrderedDict()

    def put(self, subject: Subject, update: Update) -> None:
        """Add `update`, replacing the pending update on the same subject."""
        self._pending.pop(subject, None)
        self._pending[subject] = _Pending(update, self._times)
        if len(self._pending) > PENDING_UPDATES_MAX:
            self._pending.popitem(last=False)

    def take(self, limit: int) -> list[Update]:
        """Return up to `limit` updates for the next message, newest first, counted as sent."""
        taken = []
        spent = []
        for subject in reversed(self._pending):
            if len(taken) >= limit:
                break
            pending = self._pending[subject]
            taken.append(pending.update)
            pending.left -= 1
            if not pending.left:
                spent.append(subject)
        for subject in spent:
            del self._pending[subject]
        return taken

    def __len__(self) -> int:
        return len(self._pending)
