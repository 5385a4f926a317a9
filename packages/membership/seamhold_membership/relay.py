"""News that boxes pass on to each other, whoever it came from.

A box passes each piece of news on in some messages and then forgets that it has
to: the rumour mongering of Demers and others.  News of the same subject replaces
what was waiting, and the newest goes first where bytes are short.
"""

from collections import OrderedDict
from collections.abc import Hashable
from typing import Generic, TypeVar

from msgspec import Struct

#: Messages in which a box passes news on.  A share of about e^-5 of the boxes, seven
#: in a thousand, misses it, at any size of fleet; what is said again soon reaches
#: these too.
RELAY_TIMES = 5
#: Subjects that wait at most; the one that waits longest goes.
WAITING_MAX = 2048

Subject = TypeVar('Subject', bound=Hashable)
News = TypeVar('News')


class _Waiting(Struct):
    news: object
    left: int


class RelayLog(Generic[Subject, News]):
    """News by its subject, with how often each has still to be told."""

    def __init__(self, times: int = RELAY_TIMES):
        self._times = times
        self._waiting: OrderedDict[Subject, _Waiting] = OrderedDict()

    def put(self, subject: Subject, news: News) -> None:
        """Pass `news` on from now, in place of what waits of its subject."""
        self._waiting.pop(subject, None)
        self._waiting[subject] = _Waiting(news, self._times)
        if len(self._waiting) > WAITING_MAX:
            self._waiting.popitem(last=False)

    def take(self, most: int) -> list[News]:
        """What the next message carries, the newest first; it counts as told."""
        taken = []
        spent = []
        for subject in reversed(self._waiting):
            if len(taken) >= most:
                break
            waiting = self._waiting[subject]
            taken.append(waiting.news)
            waiting.left -= 1
            if not waiting.left:
                spent.append(subject)
        for subject in spent:
            del self._waiting[subject]
        return taken

    def __len__(self) -> int:
        return len(self._waiting)
