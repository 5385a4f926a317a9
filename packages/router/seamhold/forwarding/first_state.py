"""Holds requests that arrive before a starting box has its settings and lists."""

from collections.abc import Callable

#: How long after its start a box holds requests until it has its state, in seconds.
#: A refused caller comes back half a second later at the earliest.  A box has its state
#: 0.015 s after it listens when 7 boxes start together, a time in which 30 requests would
#: be refused.  When 65 boxes with about 1,100 routes and links of 10 Mbit/s restart
#: together, it takes 0.25 s in the median and at most 0.68 s; a limit of 0.2 s refused 200
#: requests.  A store that has not answered by then may be unavailable for long.
INITIAL_STATE_SECONDS = 0.7


class FirstState:
    """Whether a box has its state; requests during its start wait briefly for it.

    `ready` returns at once.  `wait_ready` waits at most the given seconds and returns
    whether the state is there.  `store_lost` returns whether a call to the store failed.
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
        self._ends = clock() + INITIAL_STATE_SECONDS

    def available(self) -> bool:
        """Whether a request can be served; waits for the state while the box starts."""
        if self._ready():
            return True
        left = self._ends - self._clock()
        if left <= 0 or self._store_lost():
            return False
        return self._wait_ready(left)
