"""What failed calls say of the engines they went to.

A box's own calls in a row are evidence at once.  What single boxes see too
little of is compared over all boxes: an engine that fails far more often than
its siblings is avoided for a while.
"""

import math
from collections.abc import Iterable

from msgspec import Struct

from seamhold_attempts.retry import Outcome
from seamhold_membership import EngineView, FailureCounts, outliers
from seamhold_messages.work import FailureReport

#: What each way for a call to fail says against its engine.  A connection that
#: is refused is proof; answers are lost, and calls fail, on good engines too.  One that is
#: not the start that was expected is avoided for a while only: the platform's list, not an
#: answer, tells that a start is gone.
EVIDENCE = {
    Outcome.NOT_SENT: 1.0,
    Outcome.MISDIRECTED: 1.0,
    Outcome.FAILED: 0.5,
    Outcome.BROKEN: 0.5,
    Outcome.ANSWERED_FAILURE: 0.25,
}
#: Ways for a call to fail that count when engines are compared.  To be full is none: in a rush
#: the engines that hold a wanted prompt would be avoided for it, and the others filled.
COMPARED = frozenset(
    {Outcome.FAILED, Outcome.BROKEN, Outcome.ANSWERED_FAILURE, Outcome.ENGINE_REFUSED}
)
#: An engine that has not begun to answer after so many objectives counts as
#: one more that failed.
SLOW_OBJECTIVES = 2.0


class Wait(Struct):
    """A call that its engine has not begun to answer."""

    engine: str
    slow_at: float


class EngineHealth:
    """Turns how calls end into what this box believes of their engines."""

    def __init__(self, engines: EngineView):
        self.failures = FailureCounts()
        self._engines = engines
        self._waits: dict[str, Wait] = {}
        #: Engines at which calls failed since the others were told.
        self._untold: dict[str, None] = {}

    def sent(self, call_id: str, engine: str, objective: float | None, now: float) -> None:
        """A call was placed; with an `objective` its engine is watched for silence."""
        if objective is not None:
            self._waits[call_id] = Wait(engine, now + SLOW_OBJECTIVES * objective)

    def began(self, call_id: str) -> None:
        """The engine has begun to answer, or the call is over."""
        self._waits.pop(call_id, None)

    def ended(self, engine: str, outcome: Outcome, now: float) -> bool:
        """An attempt ended; True if that alone makes the engine suspect."""
        if outcome in COMPARED:
            self._failed(engine, now)
        if outcome is Outcome.DONE:
            self._engines.record_answer(engine)
            return False
        evidence = EVIDENCE.get(outcome)
        answered = outcome is Outcome.MISDIRECTED
        if evidence is None or not self._engines.record_failure(engine, now, evidence, answered):
            return False
        self._untold[engine] = None
        return True

    def _failed(self, engine: str, now: float) -> None:
        self.failures.record_failure(engine, now)
        self._untold[engine] = None

    def new_reports(self, box: str, now: float) -> list[FailureReport]:
        """What this box, `box`, met since it was asked last, by engine."""
        untold, self._untold = self._untold, {}
        return [
            self.failures.report(
                box, engine, now, self._engines.suspect_incarnation_key(engine, now)
            )
            for engine in untold
        ]

    def heard(self, report: FailureReport, now: float) -> bool:
        """Another box's report; False if it is not news."""
        return self.failures.record_report(report, now)

    def next_late(self) -> float:
        """When the next engine is late with its answer, infinity if none can be."""
        return min((wait.slow_at for wait in self._waits.values()), default=math.inf)

    def eject_outliers(self, services: Iterable[str], now: float) -> list[str]:
        """Avoid the engines that fail far more than their siblings; names the new ones."""
        self._count_silent(now)
        totals = self.failures.totals(now)
        if not totals:
            return []
        return [
            name
            for service in services
            for name in outliers(self._engines.of_service(service), totals)
            if self._engines.eject(name, now)
        ]

    def _count_silent(self, now: float) -> None:
        for call_id, wait in list(self._waits.items()):
            if now >= wait.slow_at:
                del self._waits[call_id]
                self._failed(wait.engine, now)
