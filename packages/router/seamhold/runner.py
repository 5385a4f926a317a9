"""Runs one call: a place, an attempt, and what follows from how it ended."""

from collections.abc import Iterator
from concurrent.futures import Future
from concurrent.futures import TimeoutError as FutureTimeout
from dataclasses import dataclass, field, replace

from seamhold_attempts.retry import NOT_RUN, Outcome, RetryBudget, RetryRule, may_retry
from seamhold_messages.errors import (
    AnswerCut,
    AnswerMismatch,
    DeadlinePassed,
    Ran,
    RetryBudgetSpent,
    SeamholdError,
    error_from,
)
from seamhold_messages.work import Call, Placed, Refused

from .context import Environment
from .decider import Decider
from .decisions import Admit, Again, Attempted, Closed, EngineLeaving
from .engines import AttemptFailed, EngineAnswer, EngineClient, EngineRequest
from .guards import Guard
from .logs import logger
from .metrics import Metrics
from .streams import StreamWatch

#: Slack for the decider to answer after a call's own time is up.
DECIDER_SLACK_SECONDS = 0.5


@dataclass(slots=True)
class Job:
    """One call with everything that is needed to run it.

    `streamed` tells that the answer is passed on as it comes.
    """

    call: Call
    request: EngineRequest
    rule: RetryRule
    guard: Guard
    streamed: bool = False
    tried: int = 0
    maybe_ran: bool = False
    engines: list[str] = field(default_factory=list)


@dataclass(slots=True)
class Answer:
    """What goes to the caller; `body` is whole or an iterator that may fail."""

    status: int
    headers: dict[str, str]
    body: bytes | Iterator[bytes]
    placed: Placed | None = None


class Runner:
    """Runs calls to their end on request threads."""

    def __init__(
        self,
        decider: Decider,
        engines: EngineClient,
        budget: RetryBudget,
        environment: Environment,
        metrics: Metrics,
    ):
        self._decider = decider
        self._engines = engines
        self._budget = budget
        self._environment = environment
        self._metrics = metrics
        self._log = logger('runner')

    def run(self, job: Job) -> Answer:
        """Give the call's answer, or raise the failure its caller is told."""
        begun = False
        try:
            placed = self._await(job, self._decider.ask(Admit(job.call)))
            job.guard.begin(self._remaining(job))
            begun = True
            self._check_time(job)
            self._budget.first_attempt()
            return self._attempts(job, placed)
        except SeamholdError as error:
            self._close(job)
            raise self._told(job, error, begun) from error
        except BaseException:
            self._close(job)
            raise

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
        try:
            decision = reply.result(wait)
        except FutureTimeout as error:
            raise DeadlinePassed('the time ran out in the queue') from error
        if isinstance(decision, Refused):
            raise error_from(decision.code, decision.detail, decision.retry_after)
        return decision

    def _attempts(self, job: Job, placed: Placed) -> Answer:
        while True:
            try:
                return self._attempt(job, placed)
            except AttemptFailed as failure:
                placed = self._next_place(job, placed, failure, passed=False)

    def _attempt(self, job: Job, placed: Placed) -> Answer:
        job.tried += 1
        job.engines.append(placed.engine)
        answer = self._engines.open(placed.address, job.request, self._remaining(job))
        if job.streamed and answer.status < 400:
            return Answer(
                answer.status, dict(answer.headers), self._pass(job, placed, answer), placed
            )
        try:
            body = answer.whole()
        finally:
            answer.close()
        self._finish(job, Outcome.DONE)
        return Answer(answer.status, dict(answer.headers), body, placed)

    def _next_place(self, job: Job, placed: Placed, failure: AttemptFailed, passed: bool) -> Placed:
        """Where the call goes after a failed attempt; raises if nowhere."""
        if failure.outcome not in NOT_RUN:
            job.maybe_ran = True
        if failure.leaving:
            self._decider.send(EngineLeaving(placed.engine))
        self._metrics.count(f'attempt_failed.{failure.error.code}')
        resumes = passed and job.rule.repeatable
        allowed = may_retry(job.rule, failure.outcome, job.tried, passed and not resumes)
        if not allowed:
            self._decider.send(Attempted(job.call.id, failure.outcome))
            raise failure.error
        if not self._budget.take():
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
        return found

    def _pass(self, job: Job, placed: Placed, answer: EngineAnswer) -> Iterator[bytes]:
        """The stream as it comes, resumed elsewhere if it may be.

        The finally clause also runs when the caller leaves: it cancels the
        call at the engine.
        """
        watch = StreamWatch(job.request.request_id)
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

    def _resume(self, job: Job, placed: Placed, watch: StreamWatch) -> EngineAnswer:
        """Open the rest of the stream at another engine."""
        watch.restart()
        job.tried += 1
        job.engines.append(placed.engine)
        request = replace(job.request, offset=watch.events)
        while True:
            try:
                return self._engines.open(placed.address, request, self._remaining(job))
            except AttemptFailed as failure:
                placed = self._next_place(job, placed, failure, passed=True)
                job.tried += 1

    @staticmethod
    def _events(watch: StreamWatch, answer: EngineAnswer) -> Iterator[bytes]:
        for data in answer.chunks():
            ready = watch.feed(data)
            if watch.foreign:
                mismatch = AnswerMismatch('the stream carries events of another request')
                raise AttemptFailed(Outcome.BROKEN, mismatch)
            if ready:
                yield ready
        if not watch.done:
            raise AttemptFailed(Outcome.BROKEN, AnswerCut('the stream ended early'))

    def _finish(self, job: Job, outcome: Outcome) -> None:
        self._decider.send(Attempted(job.call.id, outcome))
        job.guard.done()
        self._close(job)

    def _close(self, job: Job) -> None:
        self._decider.send(Closed(job.call.id))
