"""When a call may be sent again, and what a box spends on that.

The budget is a share of the calls that came first, as in the retry budgets
of the service meshes: an outage cannot multiply the load that caused it.
"""

from collections import deque
from enum import StrEnum

from msgspec import Struct

#: Retries that a box has from its first moment on, if its part is as large.
STARTING_RETRIES = 1.0


class Outcome(StrEnum):
    """How one attempt at an engine ended."""

    DONE = 'done'
    NOT_SENT = 'not_sent'
    ENGINE_REFUSED = 'engine_refused'
    ENGINE_FULL = 'engine_full'
    MISDIRECTED = 'misdirected'
    ANSWERED_FAILURE = 'answered_failure'
    FAILED = 'failed'
    BROKEN = 'broken'
    CANCELLED = 'cancelled'


#: The engine refused the call, because all its slots are taken or for another reason.
REFUSALS = frozenset({Outcome.ENGINE_REFUSED, Outcome.ENGINE_FULL})
#: After these the engine is certain not to have run the call.
NOT_RUN = frozenset(
    {Outcome.NOT_SENT, Outcome.ENGINE_REFUSED, Outcome.ENGINE_FULL, Outcome.MISDIRECTED}
)
#: After these a call that may be repeated is worth another engine.
FAILURES = frozenset({Outcome.FAILED, Outcome.BROKEN, Outcome.ANSWERED_FAILURE})


class RetryRule(Struct, frozen=True):
    """What a route allows: `repeatable` calls may run again."""

    repeatable: bool
    retries: int


def may_retry(rule: RetryRule, outcome: Outcome, tried: int, passed: bool) -> bool:
    """Whether another engine may be tried after `tried` attempts.

    `passed` tells that part of the answer went to the caller already, after
    which no second answer may begin.
    """
    if passed or tried > rule.retries:
        return False
    if outcome in NOT_RUN:
        return True
    return rule.repeatable and outcome in FAILURES


class RetryBudget:
    """One box's part of a fleet-wide retry budget over a sliding window.

    Within any `window` seconds the box's retries stay below `ratio` of its
    first attempts in that window and its part of `reserve`.  The parts of all
    boxes add up to the fleet's budget.  A box that just started cannot know
    what it spent before it ended, so its part of the reserve grows over the
    first window, from `STARTING_RETRIES` on.
    """

    def __init__(self, started: float, ratio: float = 0.1, window: float = 10.0):
        self.ratio = ratio
        self.window = window
        self.reserve = 0.0
        self.boxes = 1
        self._started = started
        self._firsts: deque[float] = deque()
        self._retries: deque[float] = deque()

    def first_attempt(self, now: float) -> None:
        """A call was sent for the first time."""
        self._firsts.append(now)
        self._forget(now)

    def take(self, now: float) -> bool:
        """Whether one more retry is within the budget; if so it is spent."""
        self._forget(now)
        if len(self._retries) + 1 > self.allowed(now):
            return False
        self._retries.append(now)
        return True

    def allowed(self, now: float) -> float:
        """Retries that this box may have made in the window that ends now."""
        part = self.reserve / max(1, self.boxes)
        age = min(1.0, max(0.0, now - self._started) / self.window)
        return self.ratio * len(self._firsts) + max(part * age, min(part, STARTING_RETRIES))

    def _forget(self, now: float) -> None:
        for times in (self._firsts, self._retries):
            while times and times[0] <= now - self.window:
                times.popleft()
