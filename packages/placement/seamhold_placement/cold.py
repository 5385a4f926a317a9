"""How many calls a second each box may send to an engine that is cold.

An engine that has just started, or comes back after its failure domain was empty,
bears few calls a second and falls over above that.  The boxes cannot count each
other's calls in time: what an engine bears in a second is less than what the fleet
could send before any news of it went round.  So its rate is dealt out beforehand, in
whole calls, to the boxes that rank first for its incarnation.  All boxes work that out
alike from the platform's list, whether they live or not, and nothing has to be told.

200 routers with ten times the demand send an engine that bears 13 a second 13 at most in
any second; 65 whose lists differ by up to six boxes stay within 24 (tests on a hand-set
clock).
"""

from collections import deque
from collections.abc import Iterable

from .rank import Ranking

#: The promise is of any second, wherever it begins.
WINDOW_SECONDS = 1.0


class ColdShares:
    """This box's part of what engines bear while they are cold.

    A box that just started knows nothing of its last second: then an engine gets one
    call more than its share at most for each box that did.
    """

    def __init__(self, me: str):
        self._me = me
        self._boxes: dict[str, float] = {me: 1.0}
        self._ranking = Ranking()
        self._ranking.set_weights(self._boxes)
        #: This box's share by incarnation and rate, worked out once.
        self._shares: dict[tuple[str, int], int] = {}
        self._sent: dict[str, deque[float]] = {}

    def set_boxes(self, boxes: Iterable[str]) -> None:
        """Take over the platform's list of boxes."""
        weights = dict.fromkeys((*boxes, self._me), 1.0)
        if weights != self._boxes:
            self._boxes = weights
            self._ranking.set_weights(weights)
            self._shares.clear()

    def share(self, incarnation: str, per_second: float) -> int:
        """The calls that this box may send there in any second.

        The shares of all boxes add up to `per_second`, rounded down.
        """
        calls = int(per_second)
        kept = self._shares.get((incarnation, calls))
        if kept is None:
            kept = self._shares[incarnation, calls] = self._work_out(incarnation, calls)
        return kept

    def _work_out(self, incarnation: str, calls: int) -> int:
        each, left = divmod(calls, len(self._boxes))
        if not left:
            return each
        return each + (self._me in self._ranking.order(incarnation)[:left])

    def allows(self, incarnation: str, per_second: float, now: float) -> bool:
        """Whether this box may send one more call there now."""
        return len(self._recent(incarnation, now)) < self.share(incarnation, per_second)

    def sent(self, incarnation: str, now: float) -> None:
        """This box sends a call to an engine that is cold."""
        self._sent.setdefault(incarnation, deque()).append(now)

    def _recent(self, incarnation: str, now: float) -> deque[float]:
        times = self._sent.get(incarnation)
        if times is None:
            return deque()
        while times and times[0] <= now - WINDOW_SECONDS:
            times.popleft()
        return times

    def forget(self, now: float) -> None:
        """Drop what is older than the promise looks back."""
        for incarnation in list(self._sent):
            if not self._recent(incarnation, now):
                del self._sent[incarnation]
