"""What failed calls say about the health of the engines they were sent to.

Consecutive failures of this box's own calls make an engine suspect at once.  Failures that
are too rare at any single box are counted over all boxes: an engine that fails far more often
than the others of its service is avoided for a while.
"""

import math
from collections.abc import Iterable

from msgspec import Struct

from seamhold_attempts.retry import Outcome
from seamhold_membership import EngineView, FailureCounts, outliers
from seamhold_messages.work import FailureReport
from seamhold_placement import SpeedTable

#: The weight of each outcome as evidence that an engine is failing; 1.0 makes it suspect.  A
#: refused connection is proof, while lost answers and failed calls also occur on healthy
#: engines.  A misdirected call, one that reached another incarnation than expected, only
#: makes the engine avoided for a while: the platform's list, not an answer, shows that an
#: incarnation is gone.
EVIDENCE = {
    Outcome.NOT_SENT: 1.0,
    Outcome.MISDIRECTED: 1.0,
    Outcome.FAILED: 0.5,
    Outcome.BROKEN: 0.5,
    Outcome.ANSWERED_FAILURE: 0.25,
}
#: Outcomes counted when engines are compared.  ENGINE_FULL is not one of them: in a surge the
#: engines that hold a popular prompt would be avoided for it, and the others would fill up.
COMPARED = frozenset(
    {Outcome.FAILED, Outcome.BROKEN, Outcome.ANSWERED_FAILURE, Outcome.ENGINE_REFUSED}
)
#: Outcomes that a box with broken links meets at any engine.
LINK_FAILURES = frozenset({Outcome.NOT_SENT, Outcome.FAILED, Outcome.BROKEN})
#: A failure that may be the box's own is not reported unless the box reached an engine within
#: this time after it, in seconds.
PROOF_SECONDS = 1.0
#: A call that its engine has not begun to answer after this many times the call's objective
#: counts as one more failure.
SLOW_OBJECTIVES = 2.0
#: A reported slowness explains a late answer up to this multiple: an engine that reports more
#: and does not answer is of no use to callers.
MAX_SLOWNESS = 5.0


class PendingAnswer(Struct):
    """A call that its engine has not begun to answer."""

    engine: str
    sent_at: float
    #: How long an answer may take at the usual speed, in seconds.
    usual_seconds: float
    slow_at: float


class EngineHealth:
    """Derives from the outcomes of calls which engines are suspect or outliers."""

    def __init__(self, engines: EngineView, speeds: SpeedTable | None = None):
        self._speeds = speeds or SpeedTable()
        self.failures = FailureCounts()
        self._engines = engines
        self._pending: dict[str, PendingAnswer] = {}
        #: When this box itself last connected to an engine.
        self.reached_at = math.inf
        #: Engines with failures that have not been reported to peers, in order.
        self._unreported: dict[str, None] = {}
        #: When those last failed in a way that this box's own links may explain.
        self._unproven_at: dict[str, float] = {}

    def sent(self, call_id: str, engine: str, objective: float | None, now: float) -> None:
        """Record that a call was sent to `engine`.

        `objective` is the time to the first byte in seconds, None for none.  If the engine has
        not begun to answer after `SLOW_OBJECTIVES` times that, the call counts as failed.
        """
        if objective is not None:
            self._pending[call_id] = PendingAnswer(
                engine, now, SLOW_OBJECTIVES * objective, now + SLOW_OBJECTIVES * objective
            )

    def answer_started(self, call_id: str) -> None:
        """Stop waiting for the answer: it has begun, or the call is over."""
        self._pending.pop(call_id, None)

    def attempt_ended(self, engine: str, outcome: Outcome, now: float) -> bool:
        """Record an attempt's outcome; return True if it makes the engine suspect."""
        if outcome in LINK_FAILURES:
            self._unproven_at[engine] = now
        if outcome in COMPARED:
            self._record_failure(engine, now)
        if outcome is Outcome.DONE:
            self._engines.record_answer(engine)
            return False
        evidence = EVIDENCE.get(outcome)
        answered = outcome is Outcome.MISDIRECTED
        if evidence is None or not self._engines.record_failure(engine, now, evidence, answered):
            return False
        self._unreported[engine] = None
        return True

    def _record_failure(self, engine: str, now: float) -> None:
        self.failures.record_failure(engine, now)
        self._unreported[engine] = None

    def new_reports(self, box: str, now: float) -> list[FailureReport]:
        """Return the reports of this box, `box`, since the last call, one for each engine.

        A failure that may be due to this box's own links is held back until the box has reached
        an engine, and dropped if it does not.
        """
        unproven = {name: at for name, at in self._unproven_at.items() if at > self.reached_at}
        reported = [name for name in self._unreported if name not in unproven]
        self._unproven_at = {name: at for name, at in unproven.items() if now - at <= PROOF_SECONDS}
        self._unreported = {name: None for name in self._unreported if name in self._unproven_at}
        return [
            self.failures.report(
                box, engine, now, self._engines.suspect_incarnation_key(engine, now)
            )
            for engine in reported
        ]

    def record_report(self, report: FailureReport, now: float) -> bool:
        """Record another box's report; return False if it is not new."""
        return self.failures.record_report(report, now)

    def next_slow_at(self) -> float:
        """Return when the next pending answer counts as slow, infinity if none is pending."""
        return min((pending.slow_at for pending in self._pending.values()), default=math.inf)

    def eject_outliers(self, services: Iterable[str], now: float) -> list[str]:
        """Avoid engines that fail far more often than others of their service.

        Returns the names of those newly avoided.
        """
        self._count_slow(now)
        totals = self.failures.totals(now)
        if not totals:
            return []
        return [
            name
            for service in services
            for name in outliers(self._engines.of_service(service), totals)
            if self._engines.eject(name, now)
        ]

    def _count_slow(self, now: float) -> None:
        for call_id, pending in list(self._pending.items()):
            if now >= pending.slow_at and not self._is_reported_slow(pending, now):
                del self._pending[call_id]
                self._unproven_at[pending.engine] = now
                self._record_failure(pending.engine, now)

    def _is_reported_slow(self, pending: PendingAnswer, now: float) -> bool:
        """Whether the answer is only as late as the engine's reported speed explains.

        If so, the call is checked again when it is later than that.  Calls at engines that report
        no speed count as before.
        """
        speed = self._speeds.slowness(pending.engine, now)
        if speed is None or speed.value <= 1.0:
            return False
        late_at = pending.sent_at + pending.usual_seconds * min(speed.value, MAX_SLOWNESS)
        if now >= late_at:
            return False
        pending.slow_at = late_at
        return True
