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
from seamhold_peers.client import ASK_SECONDS, BROKEN, TRIAL_SECONDS
from seamhold_placement.rank import owners
from seamhold_quarantine import (
    SUSPECT_ENDS,
    EndReport,
    EngineEnd,
    Permission,
    RecentRuns,
    RequestIdentity,
    TrialAsk,
    TrialOver,
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

#: Number of boxes that receive an engine's end and decide together whether a suspect runs.
OWNERS = 2
#: Time for a reply to pass from one thread to another, in seconds.
SLACK_SECONDS = 0.1
#: Maximum wait of a copy for a run at another box, in seconds.
WAIT_SECONDS = 1.0
#: Interval between the checks while a copy waits, in seconds.
LOOK_SECONDS = 0.05
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

    def ended_well(self, identity: RequestIdentity) -> None:
        """Record that an engine answered a request."""
        now = self._environment.monotonic()
        with self._lock:
            self._recent.ended_well(identity, now)
        if self.is_watched(identity):
            self._clear(identity.digest)

    def _clear(self, request: str) -> None:
        """Clear a suspect request of which a run that began earlier has succeeded."""
        here = self._decider.ask(WantStanding(request, '')).result()
        if here.verdict is not Verdict.RUN:
            self.over(request, '', well=True)

    def _is_excused(self, identity: RequestIdentity) -> bool:
        now = self._environment.monotonic()
        with self._lock:
            return self._recent.excuses(identity, now)

    def catch_up(self) -> None:
        """Receive the peers' cases first if this box was suspended, before anything runs."""
        self._peering.catching_up.wait()

    def is_watched(self, identity: RequestIdentity) -> bool:
        """Whether this request's scope contains requests that need permission to run."""
        scopes = self._decider.cases.scopes
        return bool(scopes) and identity.scope in scopes

    def permit(
        self, ask: TrialAsk, service: str, patience: float, cancellation: Cancellation
    ) -> bool:
        """Wait at most `patience` seconds for permission; return whether the request runs alone.

        Raises RequestQuarantined, RequestOnTrial or CallerLeft if it may not run.
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
                    'it may only run alone, and already runs or cannot run now',
                    RETRY_AFTER_SECONDS,
                )
            self._environment.sleep(LOOK_SECONDS)

    def _permission(self, ask: TrialAsk, service: str, is_late: bool) -> Permission:
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

    def _owner_says(self, client: PeerClient | None, ask: TrialAsk) -> Permission | None:
        """Return the permission of one owner, None if the owner cannot decide.

        An owner that is slow may have granted another run, and one that has not received
        the ends yet does not know of a run.  Skipping these owners at once let each box
        end one more engine.
        """
        if client is None:
            return self._decider.ask(AskTrial(ask)).result()
        answer = self._answer(client.ask_trial(ask), ASK_SECONDS)
        return None if answer is None or answer.verdict is Verdict.RUN else answer

    def check_proof(self, request: str) -> None:
        """Raise RequestQuarantined if the request is quarantined by now."""
        here = self._decider.ask(WantStanding(request, '')).result()
        if here.verdict is Verdict.REFUSE:
            raise RequestQuarantined('engines ended under it', here.rest)

    def ended(self, identity: RequestIdentity, placed: Placed, on_trial: bool, wanted: bool) -> int:
        """Record that an engine ended under a call; return the number of ends of its request.

        If the number is not `wanted` this does not wait for the owners.
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
        """Send an end to the owners; return the number of ends that the first one knows.

        Returns None if an owner before the first one that answered could not be reached.
        Waits for a number only if it is `wanted`, else returns 0.  The other owner receives
        the end in the background; if it cannot be reached, the store has what its side knows.
        """
        told = None if wanted else 0
        missed = False
        for client in self._owners(report.request):
            if client is None:
                told = told or 0
            elif told is None:
                told = self._answer(self._tell_end(client, report), TRIAL_SECONDS)
                missed = missed or told is None
            else:
                self._peering.submit(self._tell_or_join(client, report))
        return None if missed else told

    async def _tell_or_join(self, client: PeerClient, report: EndReport) -> None:
        try:
            await self._tell_end(client, report)
        except BROKEN:
            self._metrics.count('trials.owner_unreachable')
            self._cases.join_soon(report.request)

    def _suspect_ends(self, request: str) -> int:
        """Return SUSPECT_ENDS if the request is a suspect or quarantined by now, else 0."""
        here = self._decider.ask(WantStanding(request, '')).result()
        return 0 if here.verdict is Verdict.RUN else SUSPECT_ENDS

    async def _tell_end(self, client: PeerClient, report: EndReport) -> int:
        """Send an end to a peer, merge the peer's case, and return the peer's number of ends.

        With digests alone this box would let copies run until the next digest arrives.
        """
        known = await client.engine_ended(report)
        if known.case is not None:
            await answer_of(self._decider.ask(HearCases((known.case,))))
        return known.ends

    def over(self, request: str, run: str, well: bool) -> None:
        """Report the end of a run to the owners; `well` means that an engine answered it."""
        over = TrialOver(request, run, well)
        self._decider.send(EndTrial(over))
        for client in self._owners(request):
            if client is not None:
                self._peering.submit(self._tell(client.end_trial(over)))

    def _owners(self, request: str) -> Iterator[PeerClient | None]:
        """Yield the owners of a request in rank order; None stands for this box."""
        for name in owners(request, self._peering.roster.heard_boxes, OWNERS):
            client = None if name == self._box else self._peering.client(name)
            if client is not None or name == self._box:
                yield client

    def _answer(self, work: Coroutine, seconds: float) -> object | None:
        """Return a peer's reply, None if there is none within `seconds`."""
        future: Future = self._peering.submit(work)
        try:
            return future.result(seconds + SLACK_SECONDS)
        except (*BROKEN, FutureTimeout):
            future.cancel()
            self._metrics.count('trials.owner_unreachable')
            return None

    async def _tell(self, work: Coroutine) -> None:
        """Await a message to a peer; an unreachable peer learns of it from the others."""
        try:
            await work
        except BROKEN:
            self._metrics.count('trials.owner_unreachable')
