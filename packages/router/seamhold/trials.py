"""Decides, for request threads, whether a request that ended engines may run.

If no engine has ended this only checks an empty set.  The owners of a request, the two
boxes that rank first for its workspace among the responsive ones, decide: it runs alone only
if both grant it, because boxes that each miss a different peer still share one owner.  While
an owner does not answer the request waits, up to its patience.  The platform's store replaces
boxes that are missing.
"""

import threading
from collections.abc import Coroutine, Iterator
from concurrent.futures import Future
from concurrent.futures import TimeoutError as FutureTimeout

from msgspec import Struct
from msgspec.structs import replace

from seamhold_messages.errors import CallerLeft, RequestOnTrial, RequestQuarantined
from seamhold_messages.fleet import Engine
from seamhold_messages.work import Placed
from seamhold_peers import PeerClient
from seamhold_peers.client import PEER_ERRORS, REPORT_SECONDS, TRIAL_REQUEST_SECONDS
from seamhold_placement.rank import owners
from seamhold_quarantine import (
    SUSPECT_ENDS,
    EndReport,
    Feature,
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
#: Prefix of the key that ranks the owners of a workspace's requests.
OWNERS_KEY = 'quarantine-'
#: Time for a reply to pass from one thread to another, in seconds.
SLACK_SECONDS = 0.1
#: Maximum wait of a copy for a run at another box, in seconds.
TRIAL_WAIT_SECONDS = 1.0
#: Interval between the checks while a copy waits, in seconds.
POLL_SECONDS = 0.05
#: When a caller whose request runs elsewhere may retry, in seconds.
RETRY_AFTER_SECONDS = 1.0


class TrialRun(Struct, frozen=True):
    """A run that asks for permission: its call, its service and how long it may last."""

    id: str
    service: str
    seconds: float


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
            self._clear(identity)

    def _clear(self, identity: RequestIdentity) -> None:
        """Clear the suspect features of a request of which a run that began earlier succeeded."""
        features = identity.feature_digests
        for feature in features:
            own = self._decider.query(GetStanding(frozenset((feature,)), '')).result()
            if own.verdict is not Verdict.RUN:
                result = TrialResult(feature, '', True, features)
                self.report_trial_end(identity.workspace, result)

    def _excused_features(self, identity: RequestIdentity) -> tuple[Feature, ...]:
        now = self._environment.monotonic()
        with self._lock:
            return tuple(self._recent.excused_features(identity, now))

    def catch_up(self) -> None:
        """Receive the peers' cases first if this box was suspended, before anything runs."""
        self._peering.catch_up.wait()

    def needs_permission(self, identity: RequestIdentity) -> bool:
        """Whether a feature's scope contains requests that need permission to run."""
        scopes = self._decider.cases.scopes
        return bool(scopes) and not scopes.isdisjoint(identity.scopes)

    def request_permission(
        self,
        identity: RequestIdentity,
        run: TrialRun,
        patience: float,
        cancellation: Cancellation,
    ) -> str:
        """Wait at most `patience` seconds for permission to run.

        Returns the feature that a request on trial is tried for, '' if it may run beside others.
        Raises RequestQuarantined, RequestOnTrial or CallerLeft if it may not run.
        """
        ends_at = self._environment.monotonic() + patience
        features = identity.feature_digests
        if self._cases.has_missing_boxes():
            for feature in features:
                self._cases.synchronize(feature)
        while True:
            is_late = self._environment.monotonic() >= ends_at
            permission = self._get_permission(identity.workspace, features, run, is_late)
            if permission.verdict is Verdict.RUN:
                return ''
            if permission.verdict is Verdict.RUN_ALONE:
                return permission.request
            if permission.verdict is Verdict.REFUSE:
                raise _quarantined(permission)
            if cancellation.cancelled:
                raise CallerLeft('the caller closed its connection')
            if is_late:
                raise RequestOnTrial(
                    'the request may only run alone, and it already runs or cannot run now',
                    RETRY_AFTER_SECONDS,
                )
            self._environment.sleep(POLL_SECONDS)

    def _get_permission(
        self, workspace: str, features: frozenset[str], run: TrialRun, is_late: bool
    ) -> Permission:
        own = self._decider.query(GetStanding(features, run.service)).result()
        if own.verdict is not Verdict.ASK:
            return own
        trial = TrialRequest(own.request, run.id, run.seconds, features)
        granted = False
        for client in self._owners(workspace):
            answer = self._owner_permission(client, trial)
            if answer is None and is_late:
                continue
            if answer is None or answer.verdict is not Verdict.RUN_ALONE:
                if granted:
                    result = TrialResult(trial.request, trial.run, False, features)
                    self.report_trial_end(workspace, result)
                return answer or Permission(Verdict.WAIT)
            granted = True
        if granted:
            return Permission(Verdict.RUN_ALONE, request=trial.request)
        alone = self._decider.query(RequestTrial(trial)).result()
        return replace(alone, request=trial.request)

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

    def check_quarantine(self, identity: RequestIdentity) -> None:
        """Raise RequestQuarantined if the request is quarantined by now."""
        own = self._decider.query(GetStanding(identity.feature_digests, '')).result()
        if own.verdict is Verdict.REFUSE:
            raise _quarantined(own)

    def record_engine_end(
        self, identity: RequestIdentity, placed: Placed, on_trial: bool, count_needed: bool
    ) -> int:
        """Record that an engine ended under a call; return how many ended under its request.

        The number is that of the feature with the most.  If `count_needed` is not set this does
        not wait for the owners.
        """
        excused = self._excused_features(identity)
        if excused:
            self._metrics.count('engine_ended.excused', len(excused))
        engine = Engine(placed.engine, '', placed.address, incarnation=placed.incarnation)
        ended = EngineEnded(engine, identity.workspace, identity.features, excused, on_trial)
        counted = self._decider.query(ended).result()
        if not counted.reports:
            return 0
        known_ends = self._report_to_owners(counted.reports, count_needed)
        if known_ends is None or self._cases.has_missing_boxes():
            requests = [report.request for report in counted.reports]
            for request in requests:
                self._cases.synchronize(request)
            return max(counted.ends, known_ends or 0, self._suspect_ends(requests))
        return max(counted.ends, known_ends)

    def _report_to_owners(self, reports: tuple[EndReport, ...], count_needed: bool) -> int | None:
        """Send an end to the owners; return the number of ends that the first one knows.

        Returns None if an owner before the first one that answered could not be reached.
        Waits for a number only if `count_needed` is set, else returns 0.  The other owner
        receives the end in the background; if it cannot be reached, the store has what its
        side knows.
        """
        known_ends = None if count_needed else 0
        missed = False
        for client in self._owners(reports[0].workspace):
            if client is None:
                known_ends = known_ends or 0
            elif known_ends is None:
                known_ends = self._answer(self._send_ends(client, reports), REPORT_SECONDS)
                missed = missed or known_ends is None
            else:
                self._peering.submit(self._send_ends_or_sync(client, reports))
        return None if missed else known_ends

    async def _send_ends_or_sync(self, client: PeerClient, reports: tuple[EndReport, ...]) -> None:
        try:
            await self._send_ends(client, reports)
        except PEER_ERRORS:
            self._metrics.count('trials.owner_unreachable')
            for report in reports:
                self._cases.synchronize_soon(report.request)

    def _suspect_ends(self, requests: list[str]) -> int:
        """Return SUSPECT_ENDS if one of the features is suspect or quarantined by now, else 0."""
        own = self._decider.query(GetStanding(frozenset(requests), '')).result()
        return 0 if own.verdict is Verdict.RUN else SUSPECT_ENDS

    async def _send_ends(self, client: PeerClient, reports: tuple[EndReport, ...]) -> int:
        """Send an end to a peer, merge the peer's cases, and return the peer's number of ends.

        With digests alone this box would let copies run until the next digest arrives.
        """
        reply = await client.engine_ended(reports)
        if reply.cases:
            await result_of(self._decider.query(ReceiveCases(reply.cases)))
        return reply.ends

    def report_trial_end(self, workspace: str, result: TrialResult) -> None:
        """Report the end of a run to the owners."""
        self._decider.send(EndTrial(result))
        for client in self._owners(workspace):
            if client is not None:
                self._peering.submit(self._send(client.end_trial(result)))

    def _owners(self, workspace: str) -> Iterator[PeerClient | None]:
        """Yield the owners of a workspace's requests in rank order; None stands for this box.

        All features of a request have the same owners, so that one message reports its end.
        """
        for name in owners(
            OWNERS_KEY + workspace, self._peering.roster.responsive_boxes, OWNER_COUNT
        ):
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


def _quarantined(permission: Permission) -> RequestQuarantined:
    return RequestQuarantined(
        f'engines ended under this request: {permission.request}', permission.rest
    )
