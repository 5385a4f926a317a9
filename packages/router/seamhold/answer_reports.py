"""Passes on what engines report with their answers: their load, and whether they take work."""

from seamhold_attempts.retry import REFUSALS, Outcome
from seamhold_messages.errors import EngineRefused
from seamhold_messages.work import Placed

from .clock import boot_seconds
from .decider import Decider
from .decisions import EngineBrittle, EngineLeaving, EngineLoadReported, EngineResting
from .job import Job
from .metrics import Metrics
from .ports import AttemptFailed, OpenAnswer

#: Retry-After of a call that was withdrawn from its engine, in seconds.
RETRY_AFTER_SECONDS = 0.25
#: An engine that goes on saying that it is brittle is reported this often, in seconds.
BRITTLE_REPORT_SECONDS = 1.0


class AnswerReports:
    """Records the reports in the call's attempt, and sends them to the decider."""

    def __init__(self, decider: Decider, metrics: Metrics):
        self._decider = decider
        self._metrics = metrics
        #: When engines that say that they are brittle were last reported.
        self._brittle_reported_at: dict[str, float] = {}

    def check_takes_work(self, placed: Placed) -> None:
        """Raise AttemptFailed if the engine said after the placement that it takes no work."""
        if not self._decider.takes_work(placed.engine, placed.incarnation):
            error = EngineRefused('the engine takes no new work', RETRY_AFTER_SECONDS)
            raise AttemptFailed(Outcome.WITHDRAWN, error)

    def record_answer(self, job: Job, placed: Placed, answer: OpenAnswer) -> None:
        """Record what the head of an answer reports."""
        self._record_leaving(job, placed, answer.leaving)
        self._record_brittle(placed, answer.brittle)
        self._record_load(job, placed, answer)

    def record_failure(self, job: Job, placed: Placed, failure: AttemptFailed) -> None:
        """Record what a refusal or a failure reports."""
        attempt = job.attempts[-1]
        self._record_leaving(job, placed, failure.leaving)
        if failure.brittle is not None:
            self._record_brittle(placed, failure.brittle)
        if failure.rest_seconds:
            attempt.rest_seconds = failure.rest_seconds
            self._decider.send(EngineResting(placed.engine, failure.rest_seconds))
        if failure.outcome in REFUSALS:
            attempt.refusal = failure.refusal
            self._metrics.count(f'engine_refused.{failure.refusal}')
        self._record_load(job, placed, failure)

    def _record_leaving(self, job: Job, placed: Placed, leaving: bool) -> None:
        if leaving:
            job.attempts[-1].leaving = True
            self._decider.send(EngineLeaving(placed.engine, placed.incarnation))

    def _record_brittle(self, placed: Placed, brittle: bool) -> None:
        reported_at = self._brittle_reported_at.get(placed.engine)
        if not brittle:
            if reported_at is not None:
                self._brittle_reported_at.pop(placed.engine, None)
                self._decider.send(EngineBrittle(placed.engine, False))
            return
        now = boot_seconds()
        if reported_at is None or now > reported_at + BRITTLE_REPORT_SECONDS:
            self._brittle_reported_at[placed.engine] = now
            self._decider.send(EngineBrittle(placed.engine, True))

    def _record_load(self, job: Job, placed: Placed, report: OpenAnswer | AttemptFailed) -> None:
        if report.load_unreadable:
            self._metrics.count('engine_load.unreadable')
        load = report.load
        if load is None:
            return
        attempt = job.attempts[-1]
        attempt.reported_load = load
        # The call itself was not part of the load when it was placed.
        self._metrics.belief_error(job.call.service, load.requests - placed.load - 1)
        self._decider.send(
            EngineLoadReported(placed.engine, load.requests, attempt.began_at, load.slowness)
        )
