"""Asks, for request threads, whether a request may run that engines ended under.

Where nothing has ended this costs a look into an empty set.  The two boxes that rank first
for a request among those that are heard decide: it runs alone by the word of both, so that
boxes of which each knows another one less ask a box in common.  While one of them does not
answer the request waits, for its patience.  What the platform's store tells stands in for boxes
that are missing.
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

from .background import answer_of
from .case_store import CaseStore
from .context import Environment
from .decider import Decider
from .decisions import AskTrial, EndTrial, EngineEnded, HearCases, WantStanding
from .metrics import Metrics
from .peering import Peering
from .ports import Cancellation

#: Boxes that are told of an engine's end, and decide together whether a suspect runs.
OWNERS = 2
#: Slack for an answer on its way from one thread to another, in seconds.
SLACK_SECONDS = 0.1
#: A copy waits so long for the run that goes on elsewhere, looking so often.  In seconds.
WAIT_SECONDS = 1.0
LOOK_SECONDS = 0.05
#: A caller that was told that its request runs elsewhere may ask again after this.
RETRY_AFTER_SECONDS = 1.0


class Trials:
    """What request threads ask and tell about requests that end engines."""

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

    def ended_well(self, identity: RequestIdentity) -> None:
        """An engine answered a request."""
        now = self._environment.monotonic()
        with self._lock:
            self._recent.record_success(identity, now)
        if self.is_watched(identity):
            self._clear(identity.digest)

    def _clear(self, request: str) -> None:
        """A run that began before its request was a suspect ended well."""
        here = self._decider.ask(WantStanding(request, '')).result()
        if here.verdict is not Verdict.RUN:
            self.over(request, '', well=True)

    def _is_excused(self, identity: RequestIdentity) -> bool:
        now = self._environment.monotonic()
        with self._lock:
            return self._recent.excuses(identity, now)

    def catch_up(self) -> None:
        """Hear what others met while this box was held up, before anything runs."""
        self._peering.catching_up.wait()

    def is_watched(self, identity: RequestIdentity) -> bool:
        """Whether requests of this scope may not simply run."""
        scopes = self._decider.cases.scopes
        return bool(scopes) and identity.scope in scopes

    def permit(
        self, ask: TrialRequest, service: str, patience: float, cancellation: Cancellation
    ) -> bool:
        """Whether a request that may run runs alone; waits `patience` seconds for its turn.

        Raises RequestQuarantined, RequestOnTrial or CallerLeft where it may not run.
        """
        ends = self._environment.monotonic() + patience
        if self._cases.misses_boxes():
            self._cases.join(ask.request)
        while True:
            is_late = self._environment.monotonic() >= ends
            permission = self._permission(ask, service, is_late)
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
                    'it may only run alone, and does or cannot now', RETRY_AFTER_SECONDS
                )
            self._environment.sleep(LOOK_SECONDS)

    def _permission(self, ask: TrialRequest, service: str, is_late: bool) -> Permission:
        here = self._decider.ask(WantStanding(ask.request, service)).result()
        if here.verdict is not Verdict.ASK:
            return here
        granted = False
        for client in self._owners(ask.request):
            answer = self._owner_says(client, ask)
            if answer is None and is_late:
                continue
            if answer is None or answer.verdict is not Verdict.RUN_ALONE:
                if granted:
                    self.over(ask.request, ask.run, well=False)
                return answer or Permission(Verdict.WAIT)
            granted = True
        if granted:
            return Permission(Verdict.RUN_ALONE)
        return self._decider.ask(AskTrial(ask)).result()

    def _owner_says(self, client: PeerClient | None, ask: TrialRequest) -> Permission | None:
        """What one of the boxes that decide says, None where that tells nothing.

        One that is slow may have let another run begin, and one that has not heard of the ends
        yet cannot know who runs it: to pass them over at once ended an engine more at each box.
        """
        if client is None:
            return self._decider.ask(AskTrial(ask)).result()
        answer = self._answer(client.request_trial(ask), TRIAL_REQUEST_SECONDS)
        return None if answer is None or answer.verdict is Verdict.RUN else answer

    def check_proof(self, request: str) -> None:
        """Raise RequestQuarantined where another end has proven a request by now."""
        here = self._decider.ask(WantStanding(request, '')).result()
        if here.verdict is Verdict.REFUSE:
            raise RequestQuarantined('engines ended under it', here.rest)

    def ended(self, identity: RequestIdentity, placed: Placed, on_trial: bool, wanted: bool) -> int:
        """An engine ended under a call; how many have under its request.

        Where the number is not `wanted` nobody waits for the box that joins them.
        """
        excused = not on_trial and self._is_excused(identity)
        if excused:
            self._metrics.count('engine_ended.excused')
        engine = Engine(placed.engine, '', placed.address, incarnation=placed.incarnation)
        met = EndReport(
            identity.digest,
            identity.scope,
            identity.workspace,
            EngineEnd(hash64(placed.engine), on_trial),
        )
        counted = self._decider.ask(EngineEnded(engine, met, excused)).result()
        report = counted.report
        if report is None:
            return 0
        told = self._tell_owners(report, wanted)
        if told is None or self._cases.misses_boxes():
            self._cases.join(report.request)
            return max(counted.ends, told or 0, self._suspect_ends(report.request))
        return max(counted.ends, told)

    def _tell_owners(self, report: EndReport, wanted: bool) -> int | None:
        """How many ends the first box that can be reached knows; None if one could not be.

        It is waited for where the number is `wanted`, else 0 stands for it.  The other is
        told as well: where it cannot be reached the store tells what that side knows.
        """
        told = None if wanted else 0
        missed = False
        for client in self._owners(report.request):
            if client is None:
                told = told or 0
            elif told is None:
                told = self._answer(self._tell_end(client, report), REPORT_SECONDS)
                missed = missed or told is None
            else:
                self._peering.submit(self._tell_or_join(client, report))
        return None if missed else told

    async def _tell_or_join(self, client: PeerClient, report: EndReport) -> None:
        try:
            await self._tell_end(client, report)
        except PEER_ERRORS:
            self._metrics.count('trials.owner_unreachable')
            self._cases.join_soon(report.request)

    def _suspect_ends(self, request: str) -> int:
        """So many ends as make a suspect, where the request is one by now, else none."""
        here = self._decider.ask(WantStanding(request, '')).result()
        return 0 if here.verdict is Verdict.RUN else SUSPECT_ENDS

    async def _tell_end(self, client: PeerClient, report: EndReport) -> int:
        """Tell of an end, and take over at once what others met before.

        Until it hears by digests this box would let copies run that others know of.
        """
        known = await client.engine_ended(report)
        if known.case is not None:
            await answer_of(self._decider.ask(HearCases((known.case,))))
        return known.ends

    def over(self, request: str, run: str, well: bool) -> None:
        """A run that was alone is over; `well` tells that its engine answered it."""
        over = TrialResult(request, run, well)
        self._decider.send(EndTrial(over))
        for client in self._owners(request):
            if client is not None:
                self._peering.submit(self._tell(client.end_trial(over)))

    def _owners(self, request: str) -> Iterator[PeerClient | None]:
        """The boxes that decide on a request, in their order; None for this one."""
        for name in owners(request, self._peering.roster.heard_boxes, OWNERS):
            client = None if name == self._box else self._peering.client(name)
            if client is not None or name == self._box:
                yield client

    def _answer(self, work: Coroutine, seconds: float) -> object | None:
        """What a peer answers, None if it does not within `seconds`."""
        future: Future = self._peering.submit(work)
        try:
            return future.result(seconds + SLACK_SECONDS)
        except (*PEER_ERRORS, FutureTimeout):
            future.cancel()
            self._metrics.count('trials.owner_unreachable')
            return None

    async def _tell(self, work: Coroutine) -> None:
        """Tell a peer; one that is away hears of it from the others."""
        try:
            await work
        except PEER_ERRORS:
            self._metrics.count('trials.owner_unreachable')
