"""Runs one call: a place, an attempt, and what follows from how it ended."""

from collections.abc import Iterator
from concurrent.futures import Future
from concurrent.futures import TimeoutError as FutureTimeout

from msgspec.structs import replace

from seamhold_attempts.retry import NOT_RUN, REFUSALS, Outcome, may_retry
from seamhold_messages.errors import (
    AnswerCut,
    AnswerMismatch,
    AnswerTimeout,
    CallerLeft,
    DeadlinePassed,
    Ran,
    RequestOnTrial,
    RequestQuarantined,
    RetryBudgetSpent,
    SeamholdError,
    error_from,
)
from seamhold_messages.work import Placed, Refused
from seamhold_quarantine import SUSPECT_ENDS, TrialRequest

from .budgets import RetryBudgets
from .context import Environment
from .decider import Decider
from .decisions import Abandon, Admit, Again, Attempted, Began, Closed, EngineLeaving, EngineTold
from .job import Attempt, Job
from .logs import logger
from .metrics import Metrics
from .ports import (
    Answer,
    AttemptFailed,
    Backends,
    EngineLoad,
    EngineRequest,
    OpenAnswer,
    StreamCheck,
)
from .trials import WAIT_SECONDS, Trials

#: Slack for the decider to answer after a call's own time is up.
DECIDER_SLACK_SECONDS = 0.2
#: Backend servers that a call may wait for in vain: each costs the whole time for a
#: connection.  Those that ended refuse within a round trip and are not counted: a call
#: tries each once, and its box avoids them from then on.
SILENT_MAX = 4
#: Ways for an attempt to fail that may be the end of its engine.
BREAKS = frozenset({Outcome.FAILED, Outcome.BROKEN})


class Runner:
    """Runs calls to their end on request threads."""

    def __init__(
        self,
        decider: Decider,
        engines: Backends,
        budgets: RetryBudgets,
        environment: Environment,
        metrics: Metrics,
        trials: Trials,
    ):
        self._decider = decider
        self._trials = trials
        self._engines = engines
        self._budgets = budgets
        self._environment = environment
        self._metrics = metrics
        self._log = logger('runner')

    def run(self, job: Job) -> Answer:
        """Give the call's answer, or raise the failure its caller is told."""
        begun = False
        try:
            self._permit(job, WAIT_SECONDS)
            placed = self._await(job, self._decider.ask(Admit(job.call)))
            job.guard.begin(self._remaining(job))
            begun = True
            self._check_time(job)
            self._permit_still(job)
            self._budgets.record_first_attempt(job.call.service)
            return self._attempts(job, placed)
        except SeamholdError as error:
            self._close(job)
            raise self._told(job, error, begun) from error
        except BaseException:
            self._close(job)
            raise

    def _permit(self, job: Job, patience: float) -> None:
        """Let the call run if it may, as others do or alone; waits `patience` seconds for that.

        Raises RequestQuarantined or RequestOnTrial: then it has not run and will not.
        """
        identity = job.identity
        self._trials.catch_up()
        if not self._trials.is_watched(identity):
            return
        seconds = self._remaining(job)
        ask = TrialRequest(identity.digest, job.call.id, seconds)
        job.on_trial = self._trials.permit(
            ask, job.call.service, min(patience, seconds), job.cancellation
        )
        if job.on_trial:
            # Where fewest calls run fewest die with it, if it does end its engine.
            job.call = replace(job.call, sticky=False)

    def _permit_still(self, job: Job) -> None:
        """Ask again before an attempt: the call may have waited, or met engines that refuse.

        Meanwhile others may have ended under copies of it.  It has a place by now and waits no
        more, so that suspects hold no place that others could use.
        """
        if job.on_trial:
            self._trials.check_proof(job.identity.digest)
        else:
            self._permit(job, 0.0)

    def _told(self, job: Job, error: SeamholdError, begun: bool) -> SeamholdError:
        """The failure as the caller is told: the truth of all attempts."""
        if job.maybe_ran:
            error.ran = Ran.UNKNOWN
        if begun and not job.maybe_ran:
            job.guard.not_run()
        elif begun:
            job.guard.done()
        return error

    def _remaining(self, job: Job) -> float:
        return job.call.deadline - self._environment.monotonic()

    def _check_time(self, job: Job) -> None:
        # A box may have been frozen between its decision and this line.
        if self._remaining(job) <= 0:
            raise DeadlinePassed('the time ran out before the call was sent')

    def _await(self, job: Job, reply: Future) -> Placed:
        wait = max(0.0, self._remaining(job)) + DECIDER_SLACK_SECONDS
        job.cancellation.attach(lambda: self._decider.send(Abandon(job.call.id)))
        try:
            decision = reply.result(wait)
        except FutureTimeout as error:
            raise DeadlinePassed('the time ran out in the queue') from error
        finally:
            job.cancellation.attach(None)
        if isinstance(decision, Refused):
            raise error_from(decision.code, decision.detail, decision.retry_after)
        return decision

    def _attempts(self, job: Job, placed: Placed) -> Answer:
        while True:
            try:
                return self._attempt(job, placed)
            except AttemptFailed as failure:
                try:
                    placed = self._next_place(job, placed, failure, passed=False)
                except SeamholdError as error:
                    return self._engine_failure(job, placed, failure, error)

    def _engine_failure(
        self, job: Job, placed: Placed, failure: AttemptFailed, error: SeamholdError
    ) -> Answer:
        """What the engine itself answered, if that is the last word."""
        if failure.answer is None or isinstance(error, CallerLeft):
            raise error
        job.guard.done()
        job.answered = True
        self._close(job)
        failure.answer.placed = placed
        return failure.answer

    def _attempt(self, job: Job, placed: Placed) -> Answer:
        answer = self._open(job, placed, job.request)
        if job.streamed and answer.status < 400:
            passed = self._pass(job, placed, answer)
            return Answer(answer.status, dict(answer.headers), passed, placed)
        try:
            body = answer.whole()
        finally:
            answer.close()
        self._finish(job, Outcome.DONE)
        return Answer(answer.status, dict(answer.headers), body, placed)

    def _open(self, job: Job, placed: Placed, request: EngineRequest) -> OpenAnswer:
        """Begin one attempt; counted by whether it reached its server."""
        job.attempts.append(Attempt(placed, self._environment.monotonic()))
        try:
            answer = self._engines.open(placed, request, self._remaining(job), job.cancellation)
        except AttemptFailed as failure:
            if failure.outcome is not Outcome.NOT_SENT:
                job.sent += 1
            elif not failure.nobody_listens:
                job.silent += 1
            if failure.outcome in REFUSALS:
                job.attempts[-1].refusal = failure.refusal
                self._metrics.count(f'engine_refused.{failure.refusal}')
            self._note_load(job, placed, failure.load)
            raise
        job.sent += 1
        self._note_load(job, placed, answer.load)
        job.attempts[-1].answered = self._environment.monotonic()
        self._decider.send(Began(job.call.id))
        return answer

    def _note_load(self, job: Job, placed: Placed, load: EngineLoad | None) -> None:
        if load is None:
            return
        job.attempts[-1].told = load
        # The call itself was not there yet when it was placed.
        self._metrics.belief_error(job.call.service, load.requests - placed.load - 1)
        began = job.attempts[-1].began
        self._decider.send(EngineTold(placed.engine, load.requests, began))

    def _next_place(self, job: Job, placed: Placed, failure: AttemptFailed, passed: bool) -> Placed:
        """Where the call goes after a failed attempt; raises if nowhere."""
        self._note_attempt(job, failure.outcome, failure.error.code)
        if failure.outcome not in NOT_RUN:
            job.maybe_ran = True
        if job.cancellation.cancelled:
            self._decider.send(Attempted(job.call.id, Outcome.CANCELLED))
            raise CallerLeft('the caller closed its connection')
        may_go_on = self._may_go_on(job, failure, passed)
        if self._has_ended(placed, failure):
            ends = self._note_end(job, placed, may_go_on)
            # Of a second end the call may be the cause: what a box tries again by itself
            # ends engines faster than anybody learns of it.
            may_go_on = may_go_on and not job.on_trial and ends < SUSPECT_ENDS
        if failure.leaving:
            self._decider.send(EngineLeaving(placed.engine))
        self._metrics.count(f'attempt_failed.{failure.error.code}')
        if not may_go_on:
            self._decider.send(Attempted(job.call.id, failure.outcome))
            raise failure.error
        if not self._within_budget(job, failure):
            self._metrics.count('retry.budget_spent')
            self._decider.send(Attempted(job.call.id, failure.outcome))
            raise failure.error if job.maybe_ran else RetryBudgetSpent(failure.error.detail, 1.0)
        self._metrics.count(f'retry.{failure.outcome}')
        self._log.info(
            'call.retry',
            request_id=job.call.id,
            engine=placed.engine,
            outcome=failure.outcome,
            code=failure.error.code,
        )
        again = Again(job.call.id, placed.engine, failure.outcome)
        found = self._await(job, self._decider.ask(again))
        self._check_time(job)
        try:
            self._permit_still(job)
        except (RequestQuarantined, RequestOnTrial) as refusal:
            # Of one that may have run the caller must not be told that it was not.
            raise (failure.error if job.maybe_ran else refusal) from refusal
        return found

    def _has_ended(self, placed: Placed, failure: AttemptFailed) -> bool:
        """Whether the engine ended under the call: a cut or a wrong answer may be less."""
        if failure.outcome not in BREAKS or isinstance(failure.error, AnswerTimeout):
            return False
        return self._engines.has_ended(placed)

    def _note_end(self, job: Job, placed: Placed, wanted: bool) -> int:
        """Tell which call an engine ended under; how many have under its request.

        The number is joined with what other boxes met only where it is `wanted`.
        """
        self._metrics.count('engine_ended_under_call')
        attempt = job.attempts[-1]
        identity = job.identity
        ends = self._trials.ended(identity, placed, job.on_trial, wanted)
        self._log.warning(
            'engine.ended_under_call',
            request_id=job.call.id,
            digest=identity.digest,
            engine=placed.engine,
            service=job.call.service,
            workspace=job.call.workspace,
            begun=attempt.answered is not None,
            on_trial=job.on_trial,
            ends=ends,
            seconds=round(attempt.seconds, 3),
        )
        return ends

    def _note_attempt(self, job: Job, outcome: Outcome, code: str = '') -> None:
        attempt = job.attempts[-1]
        attempt.outcome = outcome
        attempt.code = code
        attempt.seconds = self._environment.monotonic() - attempt.began

    @staticmethod
    def _may_go_on(job: Job, failure: AttemptFailed, passed: bool) -> bool:
        """Whether the route's rule allows another attempt."""
        if failure.outcome is Outcome.NOT_SENT:
            return job.silent < SILENT_MAX and (not passed or job.rule.repeatable)
        resumes = passed and job.rule.repeatable
        return may_retry(job.rule, failure.outcome, job.sent, passed and not resumes)

    def _within_budget(self, job: Job, failure: AttemptFailed) -> bool:
        """Whether the fleet's budget allows it; what was not sent costs nothing."""
        if failure.outcome is Outcome.NOT_SENT:
            return True
        return self._budgets.take(job.call.service)

    def _pass(self, job: Job, placed: Placed, answer: OpenAnswer) -> Iterator[bytes]:
        """The stream as it comes, resumed elsewhere if it may be.

        The finally clause also runs when the caller leaves: it cancels the
        call at the engine.
        """
        watch = self._engines.stream_check(job.request)
        outcome = Outcome.CANCELLED
        try:
            while True:
                try:
                    yield from self._events(watch, answer)
                    outcome = Outcome.DONE
                    return
                except AttemptFailed as failure:
                    outcome = failure.outcome
                    answer.close()
                    placed = self._next_place(job, placed, failure, passed=True)
                    outcome = Outcome.CANCELLED
                    answer = self._resume(job, placed, watch)
        except SeamholdError as error:
            error.ran = Ran.UNKNOWN
            raise
        finally:
            answer.close()
            self._finish(job, outcome)

    def _resume(self, job: Job, placed: Placed, watch: StreamCheck) -> OpenAnswer:
        """Open the rest of the stream at another engine."""
        watch.restart()
        request = job.request
        if watch.position:
            request = replace(job.request, resume_after=watch.position)
        while True:
            try:
                return self._open(job, placed, request)
            except AttemptFailed as failure:
                placed = self._next_place(job, placed, failure, passed=True)

    @staticmethod
    def _events(watch: StreamCheck, answer: OpenAnswer) -> Iterator[bytes]:
        for data in answer.chunks():
            ready = watch.feed(data)
            if watch.foreign:
                mismatch = AnswerMismatch('the stream carries events of another request')
                raise AttemptFailed(Outcome.BROKEN, mismatch)
            if ready:
                yield ready
        if not watch.end():
            raise AttemptFailed(Outcome.BROKEN, AnswerCut('the stream ended early'))

    def _finish(self, job: Job, outcome: Outcome) -> None:
        if outcome in (Outcome.DONE, Outcome.CANCELLED):
            self._note_attempt(job, outcome)
        self._decider.send(Attempted(job.call.id, outcome))
        job.guard.done()
        job.answered = outcome is Outcome.DONE
        self._close(job)

    def _close(self, job: Job) -> None:
        self._decider.send(Closed(job.call.id))
        if job.on_trial:
            job.on_trial = False
            self._trials.over(job.identity.digest, job.call.id, job.answered)
        if job.answered:
            self._trials.ended_well(job.identity)
