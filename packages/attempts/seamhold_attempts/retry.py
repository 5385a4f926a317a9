"""When a call may be sent again, and what a box spends on that.

The budget is a share of the calls that came first, as in the retry budgets
of the service meshes: an outage cannot multiply the load that caused it.
"""

from dataclasses import dataclass
from enum import StrEnum


class Outcome(StrEnum):
    """How one attempt at an engine ended."""

    DONE = 'done'
    NOT_SENT = 'not_sent'
    ENGINE_REFUSED = 'engine_refused'
    FAILED = 'failed'
    BROKEN = 'broken'
    CANCELLED = 'cancelled'


#: After these the engine is certain not to have run the call.
NOT_RUN = frozenset({Outcome.NOT_SENT, Outcome.ENGINE_REFUSED})


@dataclass(frozen=True, slots=True)
class RetryRule:
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
    return rule.repeatable and outcome in (Outcome.FAILED, Outcome.BROKEN)


class RetryBudget:
    """Retries as a share of first attempts, with a small reserve."""

    RESERVE = 10.0

    def __init__(self, ratio: float = 0.1):
        self.ratio = ratio
        self._left = self.RESERVE

    def first_attempt(self) -> None:
        """A call was sent for the first time: it earns a part of a retry."""
        self._left = min(self.RESERVE * 10, self._left + self.ratio)

    def take(self) -> bool:
        """Whether one more retry is within the budget."""
        if self._left < 1.0:
            return False
        self._left -= 1.0
        return True
