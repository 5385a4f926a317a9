"""Decides, for request threads, whether a request may run under which engines ended.

If no engine has ended this only checks an empty set.  The owners of a request, the two
boxes that rank first for it among the responsive ones, decide: it runs alone only if both
grant it, because boxes that each miss a different peer still share one owner.  While an
owner does not answer the request waits, up to its patience.  The platform's store replaces
boxes that are missing.
"""

import threading
from collections.abc import Coroutine, Iterator
from concurrent.futures import Future
from concurrent.futures import TimeoutError as FutureTimeout

from seamhold_messages.errors import CallerLeft, RequestOnTrial, RequestQuarantined
from seamhold_messages.fleet import Engine
from seamhold_messages.hashing import hash64
from seamhold_messages.work import Placed
from seamhold_peers import PeerClient
from seamhold_peers.client import PEER_ERRORS, REPORT_SECONDS, TRIAL_REQUEST_SECONDS
from seamhold_placement.rank import owners
from seamhold_quarantine import (
    SUSPECT_ENDS,
    EndReport,
    EngineEnd,
    Permission,
    RecentRuns,
    RequestIdentity,
    TrialRequest,
    TrialResult,
    Verdict,
)

from .background import result_of
from .case_store import CaseStore
from .context import Environment
from .decider import Decider
from .decisions import EndTrial, EngineEnded, GetStanding, ReceiveCases, RequestTrial
from .metrics import Metrics
from .peering import Peering
from .ports import Cancellation

#: Number of boxes that receive an engine's end and decide together whether a suspect runs.
OWNER_COUNT = 2
#: Time for a reply to pass from one thread to another, in seconds.
SLACK_SECONDS = 0.1
#: Maximum wait of a copy for a run at another box, in seconds.
TRIAL_WAIT_SECONDS = 1.0
#: Interval between the checks while a copy waits, in seconds.
POLL_SECONDS = 0.05
#: When a caller whose request runs elsewhere may retry, in seconds.
RETRY_AFTER_SECONDS = 1.0


class Trials:
    """The interface of request threads to the quarantine of requests that end engines."""

    def __init__(
        self,
        box: str,
        decider: Decider,
        peering: Peering,
        cases: CaseStore,
        environment: Environment,
        metrics: Metrics,
    ):
        self._box = box
        self._decider = decider
        self._peering = peering
        self._cases = cases
        self._environment = environment
        self._metrics = metrics
        self._recent = RecentRuns()
        self._lock = threading.Lock()

    def record_success(self, identity: RequestIdentity) -> None:
        """Record that an engine answered a request."""
        now = self._environment.monotonic()
        with self._lock:
            self._recent.record_success(identity, now)
        if self.needs_permission(identity):
            self._clear(identity.digest)

    def _clear(self, request: str) -> None:
        """Clear a suspect request of which a run that began earlier has succeeded."""
        own = self._decider.query(GetStanding(request, '')).result()
        if own.verdict is not Verdict.RUN:
            self.report_trial_end(request, '', well=True)

    def _is_excused(self, identity: RequestIdentity) -> bool:
        now = self._environment.monotonic()
        with self._lock:
            return self._recent.excuses(identity, now)

    def catch_up(self) -> None:
        """Receive the peers' cases first if this box was suspended, before anything runs."""
        self._peering.catch_up.wait()

    def needs_permission(self, identity: RequestIdentity) -> bool:
        """Whether this request's scope contains requests that need permission to run."""
        scopes = self._decider.cases.scopes
        return bool(scopes) and identity.scope in scopes

    def request_permission(
        self, trial: TrialRequest, service: str, patience: float, cancellation: Cancellation
    ) -> bool:
        """Wait at most `patience` seconds for permission; return whether the request runs alone.

        Raises RequestQuarantined, RequestOnTrial or CallerLeft if it may not run.
        """
        ends_at = self._environment.monotonic() + patience
        if self._cases.has_missing_boxes():
            self._cases.synchronize(trial.request)
        while True:
            is_late = self._environment.monotonic() >= ends_at
            permission = self._get_permission(trial, service, is_late)
            if permission.verdict is Verdict.RUN:
                return False
            if permission.verdict is Verdict.RUN_ALONE:
                return True
            if permission.verdict is Verdict.REFUSE:
                raise RequestQuarantined('engines ended under it', permission.rest)
            if cancellation.cancelled:
                raise CallerLeft('the caller closed its connection')
            if is_late:
                raise RequestOnTrial(
                    'it may only run alone, and already runs or cannot run now',
                    RETRY_AFTER_SECONDS,
                )
            self._environment.sleep(POLL_SECONDS)

    def _get_permission(self, trial: TrialRequest, service: str, is_late: bool) -> Permission:
        own = self._decider.query(GetStanding(trial.request, service)).result()
        if own.verdict is not Verdict.ASK:
            return own
        granted = False
        for client in self._owners(trial.request):
            answer = self._owner_permission(client, trial)
            if answer is None and is_late:
                continue
            if answer is None or answer.verdict is not Verdict.RUN_ALONE:
                if granted:
                    self.report_trial_end(trial.request, trial.run, well=False)
                return answer or Permission(Verdict.WAIT)
            granted = True
        if granted:
            return Permission(Verdict.RUN_ALONE)
        return self._decider.query(RequestTrial(trial)).result()

    def _owner_permission(
        self, client: PeerClient | None, trial: TrialRequest
    ) -> Permission | None:
        """Return the permission of one owner, None if the owner cannot decide.

        An owner that is slow may have granted another run, and one that has not received
        the ends yet does not know of a run.  Skipping these owners at once let each box
        end one more engine.
        """
        if client is None:
            return self._decider.query(RequestTrial(trial)).result()
        answer = self._answer(client.request_trial(trial), TRIAL_REQUEST_SECONDS)
        return None if answer is None or answer.verdict is Verdict.RUN else answer

    def check_quarantine(self, request: str) -> None:
        """Raise RequestQuarantined if the request is quarantined by now."""
        own = self._decider.query(GetStanding(request, '')).result()
        if own.verdict is Verdict.REFUSE:
            raise RequestQuarantined('engines ended under it', own.rest)

    def record_engine_end(
        self, identity: RequestIdentity, placed: Placed, on_trial: bool, count_needed: bool
    ) -> int:
        """Record that an engine ended under a call; return the number of ends of its request.

        If `count_needed` is not set this does not wait for the owners.
        """
        excused = not on_trial and self._is_excused(identity)
        if excused:
            self._metrics.count('engine_ended.excused')
        engine = Engine(placed.engine, '', placed.address, incarnation=placed.incarnation)
        end_report = EndReport(
            identity.digest,
            identity.scope,
            identity.workspace,
            EngineEnd(hash64(placed.engine), on_trial),
        )
        counted = self._decider.query(EngineEnded(engine, end_report, excused)).result()
        report = counted.report
        if report is None:
            return 0
        known_ends = self._report_to_owners(report, count_needed)
        if known_ends is None or self._cases.has_missing_boxes():
            self._cases.synchronize(report.request)
            return max(counted.ends, known_ends or 0, self._suspect_ends(report.request))
        return max(counted.ends, known_ends)

    def _report_to_owners(self, report: EndReport, count_needed: bool) -> int | None:
        """Send an end to the owners; return the number of ends that the first one knows.

        Returns None if an owner before the first one that answered could not be reached.
        Waits for a number only if `count_needed` is set, else returns 0.  The other owner
        receives the end in the background; if it cannot be reached, the store has what its
        side knows.
        """
        known_ends = None if count_needed else 0
        missed = False
        for client in self._owners(report.request):
            if client is None:
                known_ends = known_ends or 0
            elif known_ends is None:
                known_ends = self._answer(self._send_end(client, report), REPORT_SECONDS)
                missed = missed or known_ends is None
            else:
                self._peering.submit(self._send_end_or_sync(client, report))
        return None if missed else known_ends

    async def _send_end_or_sync(self, client: PeerClient, report: EndReport) -> None:
        try:
            await self._send_end(client, report)
        except PEER_ERRORS:
            self._metrics.count('trials.owner_unreachable')
            self._cases.synchronize_soon(report.request)

    def _suspect_ends(self, request: str) -> int:
        """Return SUSPECT_ENDS if the request is a suspect or quarantined by now, else 0."""
        own = self._decider.query(GetStanding(request, '')).result()
        return 0 if own.verdict is Verdict.RUN else SUSPECT_ENDS

    async def _send_end(self, client: PeerClient, report: EndReport) -> int:
        """Send an end to a peer, merge the peer's case, and return the peer's number of ends.

        With digests alone this box would let copies run until the next digest arrives.
        """
        known = await client.engine_ended(report)
        if known.case is not None:
            await result_of(self._decider.query(ReceiveCases((known.case,))))
        return known.ends

    def report_trial_end(self, request: str, run: str, well: bool) -> None:
        """Report the end of a run to the owners; `well` means that an engine answered it."""
        result = TrialResult(request, run, well)
        self._decider.send(EndTrial(result))
        for client in self._owners(request):
            if client is not None:
                self._peering.submit(self._send(client.end_trial(result)))

    def _owners(self, request: str) -> Iterator[PeerClient | None]:
        """Yield the owners of a request in rank order; None stands for this box."""
        for name in owners(request, self._peering.roster.responsive_boxes, OWNER_COUNT):
            client = None if name == self._box else self._peering.client(name)
            if client is not None or name == self._box:
                yield client

    def _answer(self, work: Coroutine, seconds: float) -> object | None:
        """Return a peer's reply, None if there is none within `seconds`."""
        future: Future = self._peering.submit(work)
        try:
            return future.result(seconds + SLACK_SECONDS)
        except (*PEER_ERRORS, FutureTimeout):
            future.cancel()
            self._metrics.count('trials.owner_unreachable')
            return None

    async def _send(self, work: Coroutine) -> None:
        """Await a message to a peer; an unreachable peer learns of it from the others."""
        try:
            await work
        except PEER_ERRORS:
            self._metrics.count('trials.owner_unreachable')
