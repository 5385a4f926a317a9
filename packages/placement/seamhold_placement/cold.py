"""Limits the rate of calls that each box may send to a cold engine.

An engine that has just started, or that comes back after its failure domain was empty, can serve
only a few calls per second and fails above that rate. The boxes cannot count each other's calls
in time: before a report reached all boxes, the fleet could send more calls than the engine can
serve in a second. The engine's rate is therefore divided beforehand, in whole calls, between the
boxes that rank first for its incarnation. All boxes compute the same shares from the platform's
list, whether they are up or not, and need no messages for it.

In tests on a simulated clock, 200 routers with ten times the demand send an engine that can
serve 13 calls per second at most 13 in any second; 65 routers whose lists differ by up to six
boxes stay within 24.
"""

from collections import deque
from collections.abc import Iterable

from .rank import Ranking

#: The rate is guaranteed for every interval of this length, wherever it begins.
WINDOW_SECONDS = 1.0


class ColdShares:
    """This box's share of the rate that each engine can serve while it is cold.

    A box that has just started does not know what it sent in the last second. An engine may then
    get the share of that box twice: one call more, where the share is one call.
    """

    def __init__(self, me: str):
        self._me = me
        self._boxes: dict[str, float] = {me: 1.0}
        self._ranking = Ranking()
        self._ranking.set_weights(self._boxes)
        #: Cached shares of this box, by incarnation and rate.
        self._shares: dict[tuple[str, int], int] = {}
        self._sent_at: dict[str, deque[float]] = {}

    def set_boxes(self, boxes: Iterable[str]) -> None:
        """Replace the platform's list of boxes."""
        weights = dict.fromkeys((*boxes, self._me), 1.0)
        if weights != self._boxes:
            self._boxes = weights
            self._ranking.set_weights(weights)
            self._shares.clear()

    def share(self, incarnation: str, per_second: float) -> int:
        """Return the number of calls that this box may send to the engine in any second.

        The shares of all boxes add up to `per_second`, rounded down.
        """
        calls = int(per_second)
        cached = self._shares.get((incarnation, calls))
        if cached is None:
            cached = self._shares[incarnation, calls] = self._compute_share(incarnation, calls)
        return cached

    def _compute_share(self, incarnation: str, calls: int) -> int:
        each, left = divmod(calls, len(self._boxes))
        if not left:
            return each
        return each + (self._me in self._ranking.order(incarnation)[:left])

    def allows(self, incarnation: str, per_second: float, now: float) -> bool:
        """Return whether this box may send the engine one more call now."""
        return len(self._recent(incarnation, now)) < self.share(incarnation, per_second)

    def record_sent(self, incarnation: str, now: float) -> None:
        """Record that this box sends a call to a cold engine."""
        self._sent_at.setdefault(incarnation, deque()).append(now)

    def _recent(self, incarnation: str, now: float) -> deque[float]:
        times = self._sent_at.get(incarnation)
        if times is None:
            return deque()
        while times and times[0] <= now - WINDOW_SECONDS:
            times.popleft()
        return times

    def prune(self, now: float) -> None:
        """Remove calls that are older than the window."""
        for incarnation in list(self._sent_at):
            if not self._recent(incarnation, now):
                del self._sent_at[incarnation]
