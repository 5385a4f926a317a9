"""The retry budgets of all services, shared by the request threads of a box."""

import math
import threading
from collections.abc import Callable, Iterable

from seamhold_attempts.retry import RetryBudget
from seamhold_messages.hashing import hash32
from seamhold_messages.work import RetryCount
from seamhold_settings.schema import Control


class RetryBudgets:
    """A retry budget for each service; all boxes share its reserve."""

    def __init__(self, clock: Callable[[], float]):
        self._clock = clock
        self._started = clock()
        self._control = Control()
        self._budgets: dict[str, RetryBudget] = {}
        #: What this box spent before it restarted, and when, until the service has a budget.
        self._restored: dict[int, tuple[RetryCount, float]] = {}
        self._lock = threading.Lock()
        self._boxes = 1
        self._listed = 1
        #: Since when fewer boxes are listed than share the reserve.
        self._fewer_since = math.inf

    def use(self, control: Control) -> None:
        """Apply changed settings."""
        with self._lock:
            self._control = control

    def set_boxes(self, count: int) -> None:
        """Set how many boxes are listed, this one included.

        One that drops off the list may be back soon, and spent its share before: fewer boxes
        share the reserve only after the list has been shorter for the budget's window.
        """
        with self._lock:
            if count >= self._boxes:
                self._boxes, self._fewer_since = count, math.inf
            elif self._fewer_since == math.inf:
                self._fewer_since = self._clock()
            self._listed = count

    def record_first_attempt(self, service: str) -> None:
        """Record the first attempt of a call of `service`."""
        with self._lock:
            self._budget(service).record_first_attempt(self._clock())

    def take(self, service: str) -> bool:
        """Spend one retry and return True if the budget allows it, else return False."""
        with self._lock:
            return self._budget(service).take(self._clock())

    def counts(self) -> tuple[RetryCount, ...]:
        """Return what this box spent of each budget; services without a retry are left out."""
        now = self._clock()
        with self._lock:
            counted = [(name, self._budget(name).counts(now)) for name in self._budgets]
        return tuple(
            RetryCount(hash32(name), retries, first_attempts)
            for name, (retries, first_attempts) in counted
            if retries
        )

    def restore(self, counts: Iterable[RetryCount], age: float) -> None:
        """Count what this box spent before it restarted, as of `age` seconds ago."""
        now = self._clock()
        with self._lock:
            self._restored |= {count.service_key: (count, now - age) for count in counts}
            for name in self._budgets:
                self._restore(name)

    def _restore(self, service: str) -> None:
        count, at = self._restored.pop(hash32(service), (None, 0.0))
        if count is not None:
            self._budgets[service].restore(count.retries, count.first_attempts, at)

    def _budget(self, service: str) -> RetryBudget:
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._budgets[service] = RetryBudget(self._started)
            budget.window = self._control.retry_window_seconds
            self._restore(service)
        budget.ratio = self._control.retry_budget_ratio
        budget.window = self._control.retry_window_seconds
        budget.reserve = self._control.retry_reserve
        if self._clock() > self._fewer_since + self._control.retry_window_seconds:
            self._boxes, self._fewer_since = self._listed, math.inf
        budget.boxes = self._boxes
        return budget
