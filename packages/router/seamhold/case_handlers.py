"""The decider's handlers of messages about requests that end engines."""

import threading
from collections.abc import Callable

from msgspec.structs import replace

from seamhold_messages.hashing import hash64
from seamhold_peers import EndReportsReply
from seamhold_quarantine import (
    SUSPECT_ENDS,
    Case,
    EndReport,
    EngineEnd,
    Permission,
    Standing,
    Verdict,
)
from seamhold_routing import Router

from .decisions import (
    CaseReport,
    EndsCounted,
    EndTrial,
    EngineEnded,
    GetCase,
    GetCases,
    GetStanding,
    LiftCase,
    ReceiveCases,
    ReceiveEnds,
    RequestTrial,
)

#: The verdict of a box on its own, by the standing of a request.
VERDICTS = {
    Standing.CLEAR: Verdict.RUN,
    Standing.SUSPECT: Verdict.ASK,
    Standing.QUARANTINED: Verdict.REFUSE,
}


class CaseHandlers:
    """Handlers of the decider's messages about requests that end engines.

    `notify` is called when peers should receive a change.
    """

    def __init__(self, router: Router, clock: Callable[[], float], log, notify: Callable[[], None]):
        self._router = router
        self._quarantine = router.quarantine
        self._clock = clock
        self._log = log
        self._notify = notify
        #: Called with the digest of a request whose case an end or a run changed here.
        self.on_case_changed: Callable[[str], None] | None = None
        #: Called with the case of such a request, to be sent to peers immediately.
        self.on_push: Callable[[Case], None] | None = None
        #: Set when the cases were loaded at the start, or the wait for them was given up.
        self.loaded = threading.Event()
        self.loaded.set()
        self.handlers = {
            EngineEnded: self._engine_ended,
            ReceiveEnds: self._receive_ends,
            RequestTrial: lambda message: self._quarantine.request_trial(
                message.trial, self._clock()
            ),
            EndTrial: self._end_trial,
            GetStanding: self._standing,
            GetCase: lambda message: self._quarantine.case(message.request, self._clock()),
            GetCases: lambda _: self._quarantine.shared_cases(self._clock()),
            ReceiveCases: self._receive_cases,
            LiftCase: self._lift_case,
        }

    @property
    def scopes(self) -> frozenset[int]:
        """Scopes of the requests that need permission to run; any thread may read it."""
        return self._quarantine.scopes

    @property
    def fingerprint(self) -> int:
        """Fingerprint of the shared cases of this box; any thread may read it."""
        return self._quarantine.fingerprint

    def reports(self, now: float) -> tuple[CaseReport, ...]:
        """Return the entries of the status page."""
        quarantine = self._quarantine
        return tuple(
            CaseReport(
                case.request,
                case.part,
                case.workspace,
                quarantine.standing(case.request, now),
                len(case.ends),
                round(quarantine.rest(case.request, now), 1),
            )
            for case in quarantine.shared_cases(now)
        )

    def _engine_ended(self, message: EngineEnded) -> EndsCounted:
        now = self._clock()
        names = frozenset(feature.digest for feature in message.features)
        blamed = self._quarantine.most_suspect(names, now) if message.on_trial else ()
        reports = []
        for feature in message.features:
            on_trial = feature.digest in blamed
            partners = frozenset(blamed) - {feature.digest} if on_trial else frozenset()
            end = EngineEnd(hash64(message.engine.name), on_trial, partners=partners)
            reports.append(
                EndReport(feature.digest, feature.scope, message.workspace, end, feature.part)
            )
        ended = self._router.engine_ended(message.engine, reports[0], now)
        self._notify()
        if ended is None:
            return EndsCounted()
        counted = tuple(
            replace(report, end=replace(report.end, engine=ended.end.engine))
            for report, feature in zip(reports, message.features, strict=True)
            if report.end.on_trial or feature not in message.excused
        )
        return EndsCounted(self._record_ends(counted, now), counted)

    def _receive_ends(self, message: ReceiveEnds) -> EndReportsReply:
        now = self._clock()
        ends = self._record_ends(message.reports, now)
        cases = (self._quarantine.shared_case(one.request, now) for one in message.reports)
        return EndReportsReply(ends, tuple(case for case in cases if case is not None))

    def _record_ends(self, reports: tuple[EndReport, ...], now: float) -> int:
        """Record an engine's end against features; return the most ends of one of them."""
        most = 0
        for report in reports:
            ends = self._quarantine.record_end(report, now)
            self._publish_if_suspect(report.request, ends)
            most = max(most, ends)
        return most

    def _publish_if_suspect(self, request: str, ends: int) -> None:
        if ends >= SUSPECT_ENDS:
            self._publish_case(request)

    def _publish_case(self, request: str) -> None:
        """Log the standing of a request, and send its case to peers and the store."""
        now = self._clock()
        case = self._quarantine.shared_case(request, now)
        if case is None:
            return
        self._log.warning(
            'request.standing',
            digest=request,
            part=case.part,
            workspace=case.workspace,
            standing=self._quarantine.standing(request, now),
            engines_ended=len(case.ends),
            clears=case.clears,
        )
        if self.on_case_changed is not None:
            self.on_case_changed(request)
        if self.on_push is not None:
            self.on_push(case)
        self._notify()

    def _end_trial(self, message: EndTrial) -> None:
        result = message.result
        self._quarantine.record_trial_result(result, self._clock())
        if result.well:
            self._publish_case(result.request)

    def _standing(self, message: GetStanding) -> Permission:
        now = self._clock()
        blamed = self._quarantine.most_suspect(message.features, now)
        if not blamed:
            return Permission(Verdict.RUN)
        request = blamed[0]
        standing = self._quarantine.standing(request, now, message.features)
        if standing is Standing.SUSPECT and not self._may_risk(request, message.service, now):
            return Permission(Verdict.WAIT, request=request)
        rest = self._quarantine.rest(request, now)
        return Permission(VERDICTS[standing], rest, request)

    def _may_risk(self, request: str, service: str, now: float) -> bool:
        ended = self._quarantine.recently_ended(request, now)
        return self._router.may_risk_engine(service, ended, now)

    def _receive_cases(self, message: ReceiveCases) -> None:
        if self._quarantine.merge(message.cases, self._clock()):
            self._notify()

    def _lift_case(self, message: LiftCase) -> bool:
        existed = self._quarantine.lift(message.request, self._clock())
        if existed:
            self._publish_case(message.request)
        return existed
