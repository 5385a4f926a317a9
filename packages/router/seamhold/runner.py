"""Runs one call: placement, attempts and retries."""

from collections.abc import Iterator
from concurrent.futures import Future
from concurrent.futures import TimeoutError as FutureTimeout
from http import HTTPStatus

from msgspec.structs import replace

from seamhold_attempts.retry import NOT_RUN, UNSENT, Outcome, may_retry
from seamhold_messages.errors import (
    AnswerCut,
    AnswerTimeout,
    CallerLeft,
    DeadlinePassed,
    EngineFailed,
    Ran,
    RequestOnTrial,
    RequestQuarantined,
    RetryBudgetSpent,
    SeamholdError,
    error_from,
)
from seamhold_messages.work import Placed, Refused
from seamhold_quarantine import SUSPECT_ENDS, TrialResult

from .answer_reports import AnswerReports
from .budgets import RetryBudgets
from .context import Environment
from .decider import Decider
from .decisions import (
    AbandonCall,
    Admit,
    AnswerStarted,
    AttemptEnded,
    CallClosed,
    RetryCall,
)
from .job import Attempt, Job
from .logs import logger
from .metrics import Metrics
from .ports import (
    Answer,
    AttemptFailed,
    Backends,
    EngineRequest,
    OpenAnswer,
    StreamCheck,
    whole_body,
)
from .stream_records import StreamRecordStore
from .trials import TRIAL_WAIT_SECONDS, TrialRun, Trials

#: Time for the decider to reply after a call's deadline, in seconds.
DECIDER_SLACK_SECONDS = 0.2
#: Maximum number of backend servers that may fail to answer a call's connection attempt:
#: each costs the whole connect timeout.  Servers that have ended refuse within a round trip
#: and are not counted: a call tries each once, and the box then avoids them.
SILENT_MAX = 4
#: A body is held up to this size, in bytes, so that a retry can replace it; a larger one is
#: passed on as it arrives.
HELD_MAX_BYTES = 256 * 1024
#: Limit on a body that must be complete before it is passed on, in bytes.
ANSWER_MAX_BYTES = 64 * 1024 * 1024
#: Outcomes that may mean that the engine ended.
ENGINE_END_OUTCOMES = frozenset({Outcome.FAILED, Outcome.BROKEN})


class Runner:
    """Runs calls to completion on request threads."""

    def __init__(
        self,
        decider: Decider,
        engines: Backends,
        budgets: RetryBudgets,
        environment: Environment,
        metrics: Metrics,
        trials: Trials,
        stream_records: StreamRecordStore | None = None,
    ):
        self._decider = decider
        self._trials = trials
        self._stream_records = stream_records
        self._engines = engines
        self._budgets = budgets
        self._environment = environment
        self._metrics = metrics
        self._reports = AnswerReports(decider, metrics)
        self._log = logger('runner')

    def run(self, job: Job) -> Answer:
        """Return the call's answer, or raise the error that its caller receives."""
        guard_begun = False
        try:
            self._permit(job, TRIAL_WAIT_SECONDS)
            placed = self._await_placement(job, self._decider.query(Admit(job.call)))
            job.guard.begin(self._remaining(job))
            guard_begun = True
            self._check_deadline(job)
            self._recheck_permission(job)
            self._budgets.record_first_attempt(job.call.service)
            return self._run_attempts(job, placed)
        except SeamholdError as error:
            self._close(job)
            raise self._caller_error(job, error, guard_begun) from error
        except BaseException:
            self._close(job)
            raise

    def _permit(self, job: Job, patience: float) -> None:
        """Wait at most `patience` seconds for permission to run, normally or as a trial.

        Raises RequestQuarantined or RequestOnTrial if the call must not run; then nothing
        is sent to an engine.
        """
        identity = job.identity
        self._trials.catch_up()
        if not self._trials.needs_permission(identity):
            return
        seconds = self._remaining(job)
        run = TrialRun(job.call.id, job.call.service, seconds)
        job.tried_for = self._trials.request_permission(
            identity, run, min(patience, seconds), job.cancellation
        )
        if job.tried_for:
            # If it ends its engine, the one with the fewest calls loses the fewest.
            job.call = replace(job.call, sticky=False)

    def _recheck_permission(self, job: Job) -> None:
        """Check the permission again before an attempt.

        While the call was queued or refused by engines, other engines may have ended under
        copies of it.  It does not wait here: it already has a placement, and suspects must
        not keep one that other calls could use.
        """
        if job.tried_for:
            self._trials.check_quarantine(job.identity)
        else:
            self._permit(job, 0.0)

    def _caller_error(self, job: Job, error: SeamholdError, guard_begun: bool) -> SeamholdError:
        """Return the caller's error, with `ran` set for all attempts, and end the guard."""
        if job.maybe_ran:
            error.ran = Ran.UNKNOWN
        if guard_begun and not job.maybe_ran:
            job.guard.not_run()
        elif guard_begun:
            job.guard.done()
        return error

    def _remaining(self, job: Job) -> float:
        return job.call.deadline - self._environment.monotonic()

    def _check_deadline(self, job: Job) -> None:
        # The process may have been suspended between the decision and this line.
        if self._remaining(job) <= 0:
            raise DeadlinePassed('the deadline passed before the call was sent')

    def _await_placement(self, job: Job, reply: Future) -> Placed:
        wait = max(0.0, self._remaining(job)) + DECIDER_SLACK_SECONDS
        job.cancellation.attach(lambda: self._decider.send(AbandonCall(job.call.id)))
        try:
            decision = reply.result(wait)
        except FutureTimeout as error:
            raise DeadlinePassed('the deadline passed while the call was queued') from error
        finally:
            job.cancellation.attach(None)
        if isinstance(decision, Refused):
            raise error_from(decision.code, decision.detail, decision.retry_after)
        return decision

    def _run_attempts(self, job: Job, placed: Placed) -> Answer:
        while True:
            try:
                return self._attempt(job, placed)
            except AttemptFailed as failure:
                try:
                    placed = self._retry_placement(job, placed, failure, streaming=False)
                except SeamholdError as error:
                    return self._engine_failure(job, placed, failure, error)

    def _engine_failure(
        self, job: Job, placed: Placed, failure: AttemptFailed, error: SeamholdError
    ) -> Answer:
        """Return the engine's own failure answer if there is one, else raise `error`."""
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
            stream = self._stream(job, placed, answer)
            return Answer(answer.status, dict(answer.headers), stream, placed)
        held: list[bytes] = []
        chunks = answer.chunks()
        try:
            is_whole = _read_ahead(chunks, held, HELD_MAX_BYTES)
            if not is_whole and not job.passes_on_large:
                held.append(whole_body(chunks, ANSWER_MAX_BYTES))
                is_whole = True
        except BaseException:
            answer.close()
            raise
        if not is_whole:
            body = self._pass_on(job, answer, held, chunks)
            return Answer(answer.status, dict(answer.headers), body, placed)
        answer.close()
        self._finish(job, Outcome.DONE)
        return Answer(answer.status, dict(answer.headers), b''.join(held), placed)

    def _pass_on(
        self, job: Job, answer: OpenAnswer, held: list[bytes], rest: Iterator[bytes]
    ) -> Iterator[bytes]:
        """Yield a large body as it arrives; an attempt that fails now is not repeated."""
        outcome = Outcome.CANCELLED
        try:
            yield from held
            held.clear()
            yield from rest
            outcome = Outcome.DONE
        except AttemptFailed as failure:
            outcome = failure.outcome
            job.maybe_ran = True
            self._record_attempt(job, outcome, failure.error.code)
            failure.error.ran = Ran.UNKNOWN
            raise failure.error from failure
        finally:
            answer.close()
            self._finish(job, outcome)

    def _open(self, job: Job, placed: Placed, request: EngineRequest) -> OpenAnswer:
        """Start one attempt and count it by whether it reached its server."""
        job.attempts.append(Attempt(placed, self._environment.monotonic()))
        try:
            self._reports.check_takes_work(placed)
            answer = self._engines.open(placed, request, self._remaining(job), job.cancellation)
        except AttemptFailed as failure:
            if failure.outcome not in UNSENT:
                job.sent += 1
            elif failure.outcome is Outcome.NOT_SENT and not failure.connection_refused:
                job.silent += 1
            self._reports.record_failure(job, placed, failure)
            raise
        job.sent += 1
        self._reports.record_answer(job, placed, answer)
        attempt = job.attempts[-1]
        attempt.answered_at = self._environment.monotonic()
        attempt.framing, attempt.carrier = answer.framing, answer.carrier
        self._decider.send(AnswerStarted(job.call.id))
        return answer

    def _retry_placement(
        self,
        job: Job,
        placed: Placed,
        failure: AttemptFailed,
        streaming: bool,
        can_resume: bool = True,
    ) -> Placed:
        """Return the placement for a retry; raises if the call must not be retried.

        `streaming` tells whether a part of the answer may already have been passed on, and
        `can_resume` whether another server can go on from there.
        """
        self._record_attempt(job, failure.outcome, failure.error.code)
        if failure.outcome not in NOT_RUN:
            job.maybe_ran = True
        if job.cancellation.cancelled:
            self._decider.send(AttemptEnded(job.call.id, Outcome.CANCELLED))
            raise CallerLeft('the caller closed its connection')
        retry_allowed = can_resume and self._may_retry(job, failure, streaming)
        if self._has_ended(placed, failure):
            ends = self._record_engine_end(job, placed, retry_allowed)
            # The call may be the cause of a second end: automatic retries would end engines
            # faster than the boxes learn of it.
            retry_allowed = retry_allowed and not job.tried_for and ends < SUSPECT_ENDS
        self._metrics.count(f'attempt_failed.{failure.error.code}')
        if not retry_allowed:
            self._decider.send(AttemptEnded(job.call.id, failure.outcome))
            raise failure.error
        if not self._within_budget(job, failure):
            self._metrics.count('retry.budget_spent')
            self._decider.send(AttemptEnded(job.call.id, failure.outcome))
            raise failure.error if job.maybe_ran else RetryBudgetSpent(failure.error.detail, 1.0)
        self._metrics.count(f'retry.{failure.outcome}')
        self._log.info(
            'call.retry',
            request_id=job.call.id,
            engine=placed.engine,
            outcome=failure.outcome,
            code=failure.error.code,
        )
        retry = RetryCall(job.call.id, placed.engine, failure.outcome, job.call.version)
        next_placed = self._await_placement(job, self._decider.query(retry))
        self._check_deadline(job)
        try:
            self._recheck_permission(job)
        except (RequestQuarantined, RequestOnTrial) as refusal:
            # The refusal says that the call did not run, which is wrong if it may have run.
            raise (failure.error if job.maybe_ran else refusal) from refusal
        return next_placed

    def _has_ended(self, placed: Placed, failure: AttemptFailed) -> bool:
        """Whether the engine's process ended under the call.

        A connection that is cut or an invalid answer may have another cause.
        """
        if failure.outcome not in ENGINE_END_OUTCOMES or isinstance(failure.error, AnswerTimeout):
            return False
        return self._engines.has_ended(placed)

    def _record_engine_end(self, job: Job, placed: Placed, count_needed: bool) -> int:
        """Report that an engine ended under a call; return the number of ends of its request.

        The number includes the ends that other boxes know only if `count_needed` is set.
        """
        self._metrics.count('engine_ended_under_call')
        attempt = job.attempts[-1]
        identity = job.identity
        ends = self._trials.record_engine_end(identity, placed, bool(job.tried_for), count_needed)
        self._log.warning(
            'engine.ended_under_call',
            request_id=job.call.id,
            digest=identity.digest,
            engine=placed.engine,
            service=job.call.service,
            workspace=job.call.workspace,
            begun=attempt.answered_at is not None,
            on_trial=bool(job.tried_for),
            ends=ends,
            seconds=round(attempt.seconds, 3),
        )
        return ends

    def _record_attempt(self, job: Job, outcome: Outcome, code: str = '') -> None:
        attempt = job.attempts[-1]
        attempt.outcome = outcome
        attempt.code = code
        attempt.seconds = self._environment.monotonic() - attempt.began_at

    @staticmethod
    def _may_retry(job: Job, failure: AttemptFailed, streaming: bool) -> bool:
        """Whether the route's retry rule allows another attempt."""
        if failure.outcome in UNSENT:
            return job.silent < SILENT_MAX and (not streaming or job.rule.repeatable)
        resumes = streaming and job.rule.repeatable
        return may_retry(job.rule, failure.outcome, job.sent, streaming and not resumes)

    def _within_budget(self, job: Job, failure: AttemptFailed) -> bool:
        """Whether the retry budget allows another attempt; a call that was not sent is free."""
        if failure.outcome in UNSENT:
            return True
        return self._budgets.take(job.call.service)

    def _stream(self, job: Job, placed: Placed, answer: OpenAnswer) -> Iterator[bytes]:
        """Yield the stream as it arrives, and resume it at another engine if allowed.

        The finally clause also runs when the caller disconnects: it cancels the call at
        the engine.
        """
        # Elsewhere a caller's last event means nothing: a server may begin anew.
        begun = job.request if job.rule.repeatable else replace(job.request, resume_after='')
        watch = self._engines.stream_check(begun, job.call.service)
        outcome = Outcome.CANCELLED
        try:
            while True:
                try:
                    for events in self._events(watch, answer):
                        self._bind(job, placed)
                        _record_events(job.attempts[-1], watch)
                        yield events
                    outcome = Outcome.DONE
                    return
                except AttemptFailed as failure:
                    outcome = failure.outcome
                    answer.close()
                    if not self._is_origin_certain(job):
                        raise failure.error from failure
                    placed = self._retry_placement(
                        job, placed, failure, streaming=True, can_resume=watch.can_resume
                    )
                    outcome = Outcome.CANCELLED
                    answer = self._resume(job, placed, watch)
        except SeamholdError as error:
            error.ran = Ran.UNKNOWN
            raise
        finally:
            answer.close()
            self._finish(job, outcome)

    def _bind(self, job: Job, placed: Placed) -> None:
        """Bind a stream to the software version that sends its first events."""
        if job.call.version is None:
            job.call = replace(job.call, version=placed.version)
        if job.stream_key and not job.origin_recorded and self._stream_records is not None:
            job.origin_recorded = True
            self._stream_records.record(job, placed)

    def _is_origin_certain(self, job: Job) -> bool:
        if not job.origin_recorded or self._stream_records is None:
            return True
        return self._stream_records.is_certain(job)

    def _resume(self, job: Job, placed: Placed, watch: StreamCheck) -> OpenAnswer:
        """Open the remainder of the stream at another engine."""
        watch.restart()
        request = job.request
        if watch.position:
            request = replace(job.request, resume_after=watch.position)
        while True:
            try:
                return self._open_rest(job, placed, request)
            except AttemptFailed as failure:
                placed = self._retry_placement(job, placed, failure, streaming=True)

    def _open_rest(self, job: Job, placed: Placed, request: EngineRequest) -> OpenAnswer:
        """Open an answer that goes on with a stream; raises AttemptFailed for any other."""
        answer = self._open(job, placed, request)
        if answer.status == HTTPStatus.OK:
            return answer
        answer.close()
        failed = EngineFailed(f'the server answered {answer.status} instead of the rest')
        raise AttemptFailed(Outcome.ANSWERED_FAILURE, failed)

    @staticmethod
    def _events(watch: StreamCheck, answer: OpenAnswer) -> Iterator[bytes]:
        for data in answer.chunks():
            ready = watch.feed(data)
            if ready:
                yield ready
            if watch.error is not None:
                raise AttemptFailed(Outcome.BROKEN, watch.error)
        if not watch.end():
            raise AttemptFailed(Outcome.BROKEN, AnswerCut('the stream ended early'))

    def _finish(self, job: Job, outcome: Outcome) -> None:
        if outcome in (Outcome.DONE, Outcome.CANCELLED):
            self._record_attempt(job, outcome)
        if outcome is Outcome.DONE:
            self._metrics.count(f'answer_ended.{job.attempts[-1].framing}')
        self._decider.send(AttemptEnded(job.call.id, outcome))
        job.guard.done()
        job.answered = outcome is Outcome.DONE
        self._close(job)

    def _close(self, job: Job) -> None:
        self._decider.send(CallClosed(job.call.id))
        if job.tried_for:
            result = TrialResult(
                job.tried_for, job.call.id, job.answered, job.identity.feature_digests
            )
            job.tried_for = ''
            self._trials.report_trial_end(job.call.workspace, result)
        if job.answered:
            self._trials.record_success(job.identity)


def _record_events(attempt: Attempt, watch: StreamCheck) -> None:
    attempt.events = watch.events
    attempt.first_event, attempt.last_event = watch.first, watch.position


def _read_ahead(chunks: Iterator[bytes], held: list[bytes], max_bytes: int) -> bool:
    """Add a body's parts to `held` up to `max_bytes`; return whether that is all of it."""
    size = 0
    for data in chunks:
        held.append(data)
        size += len(data)
        if size > max_bytes:
            return False
    return True
