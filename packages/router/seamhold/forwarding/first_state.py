"""Requests that come before a box that starts has its settings and lists."""

from collections.abc import Callable

#: How long after its start a box lets requests wait for its state, in seconds.
#: A store that answers has told it 0.015 s after the box listens (the logs of 7
#: boxes that started together, 30 requests refused in that time without this).  65
#: boxes that lost power together, with some 1,100 routes and links of 10 Mbit/s, had
#: theirs 0.25 s after in the middle and 0.68 s at most (their logs): 200 requests were refused
#: between 0.2 and 0.7 s, and came back half a second later at the earliest.  One that
#: has not answered by then may be away for long.
FIRST_STATE_SECONDS = 0.7


class FirstState:
    """Whether a box has its state; at its start requests wait for it a moment.

    `ready` tells at once, `wait_ready` waits so many seconds for it, and
    `store_lost` tells that a call to the store has failed.
    """

    def __init__(
        self,
        ready: Callable[[], bool],
        wait_ready: Callable[[float], bool],
        store_lost: Callable[[], bool],
        clock: Callable[[], float],
    ):
        self._ready = ready
        self._wait_ready = wait_ready
        self._store_lost = store_lost
        self._clock = clock
        self._ends = clock() + FIRST_STATE_SECONDS

    def here(self) -> bool:
        """Whether a request can be served, if need be after waiting for the state."""
        if self._ready():
            return True
        left = self._ends - self._clock()
        if left <= 0 or self._store_lost():
            return False
        return self._wait_ready(left)
