"""When a call may be retried, and the budget that limits a box's retries.

The budget is a share of first attempts, as in the retry budgets of service meshes: an outage
cannot multiply the load that caused it.
"""

from collections import deque
from enum import StrEnum

from msgspec import Struct

#: Retries available to a box from its start, unless its share of the reserve is smaller.
STARTING_RETRIES = 1.0
#: Attempts that a peer's word adds at most: a wrong one must not exhaust the memory.
RESTORED_MAX = 100_000


class Outcome(StrEnum):
    """How one attempt at an engine ended."""

    DONE = 'done'
    NOT_SENT = 'not_sent'
    #: Not sent, because the engine said after the placement that it takes no new work.
    WITHDRAWN = 'withdrawn'
    ENGINE_REFUSED = 'engine_refused'
    ENGINE_FULL = 'engine_full'
    MISDIRECTED = 'misdirected'
    ANSWERED_FAILURE = 'answered_failure'
    FAILED = 'failed'
    BROKEN = 'broken'
    CANCELLED = 'cancelled'


#: Outcomes where the engine refused the call: all its slots are taken, or for another reason.
REFUSALS = frozenset({Outcome.ENGINE_REFUSED, Outcome.ENGINE_FULL})
#: Outcomes after which the engine is certain not to have run the call.
NOT_RUN = frozenset(
    {
        Outcome.NOT_SENT,
        Outcome.WITHDRAWN,
        Outcome.ENGINE_REFUSED,
        Outcome.ENGINE_FULL,
        Outcome.MISDIRECTED,
    }
)
#: Outcomes after which nothing has reached the engine, so that another attempt costs nothing.
UNSENT = frozenset({Outcome.NOT_SENT, Outcome.WITHDRAWN})
#: Outcomes after which a repeatable call is retried at another engine.
FAILURES = frozenset({Outcome.FAILED, Outcome.BROKEN, Outcome.ANSWERED_FAILURE})


class RetryRule(Struct, frozen=True):
    """A route's retry policy.

    `repeatable` calls may run more than once; `retries` is the maximum number of retries.
    """

    repeatable: bool
    retries: int


def may_retry(rule: RetryRule, outcome: Outcome, attempts: int, answer_started: bool) -> bool:
    """Return whether another engine may be tried after `attempts` attempts.

    `answer_started` is whether a part of the answer was sent to the caller, after which no
    second answer may begin.
    """
    if answer_started or attempts > rule.retries:
        return False
    if outcome in NOT_RUN:
        return True
    return rule.repeatable and outcome in FAILURES


class RetryBudget:
    """One box's share of a fleet-wide retry budget over a sliding window.

    Within any `window` seconds the box's retries stay below `ratio` times its first attempts,
    those in that window or in the one before, whichever are fewer, plus its share of `reserve`.
    Calls that move to this box from another earn nothing for the first window, in which the other
    box may already have spent what they earned there.  The shares of all boxes thus add up to the
    fleet's budget.  A box that starts learns from its peers what it spent before, if any of them
    knows; its share of the reserve grows from `STARTING_RETRIES` to its full size over the first
    window.
    """

    def __init__(self, started: float, ratio: float = 0.1, window: float = 10.0):
        self.ratio = ratio
        self.window = window
        self.reserve = 0.0
        self.boxes = 1
        self._started = started
        self._first_attempts: deque[float] = deque()
        #: The first attempts of the window before.
        self._earlier: deque[float] = deque()
        self._retries: deque[float] = deque()

    def record_first_attempt(self, now: float) -> None:
        """Record that a call was sent for the first time."""
        self._first_attempts.append(now)
        self._drop_expired(now)

    def take(self, now: float) -> bool:
        """Spend one retry if the budget allows it; return whether it did."""
        self._drop_expired(now)
        if len(self._retries) + 1 > self.allowed(now):
            return False
        self._retries.append(now)
        return True

    def counts(self, now: float) -> tuple[int, int]:
        """Return the number of retries and of first attempts in the window that ends now."""
        self._drop_expired(now)
        return len(self._retries), len(self._first_attempts)

    def restore(self, retries: int, first_attempts: int, at: float) -> None:
        """Add what this box spent in the window that ended at `at`, before it restarted.

        The first attempts count as spread evenly over that window and the one before, the
        retries as made at its end: a budget is spent in bursts.
        """
        retries, first_attempts = min(retries, RESTORED_MAX), min(first_attempts, RESTORED_MAX)
        step = self.window / max(1, first_attempts)
        before = [at - number * step for number in range(2 * first_attempts)]
        self._first_attempts = deque(sorted((*before, *self._first_attempts)))
        self._retries = deque(sorted((*[at] * retries, *self._retries)))

    def allowed(self, now: float) -> float:
        """Return how many retries this box may have made in the window that ends now."""
        share = self.reserve / max(1, self.boxes)
        age = min(1.0, max(0.0, now - self._started) / self.window)
        earned = min(len(self._first_attempts), len(self._earlier))
        return self.ratio * earned + max(share * age, min(share, STARTING_RETRIES))

    def _drop_expired(self, now: float) -> None:
        while self._first_attempts and self._first_attempts[0] <= now - self.window:
            self._earlier.append(self._first_attempts.popleft())
        for times, oldest in ((self._earlier, 2 * self.window), (self._retries, self.window)):
            while times and times[0] <= now - oldest:
                times.popleft()
