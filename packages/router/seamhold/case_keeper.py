"""What the decider does with what is told and asked of requests that end engines."""

import threading
from collections.abc import Callable

from seamhold_peers import EndReportReply
from seamhold_quarantine import SUSPECT_ENDS, Case, Permission, Standing, Verdict
from seamhold_routing import Router

from .decisions import (
    AskTrial,
    CaseReport,
    EndCounted,
    EndTrial,
    EngineEnded,
    HearCases,
    HearEnd,
    LiftCase,
    WantCase,
    WantCases,
    WantStanding,
)

#: What a box by itself may say of a request that stands so.
VERDICTS = {
    Standing.CLEAR: Verdict.RUN,
    Standing.SUSPECT: Verdict.ASK,
    Standing.QUARANTINED: Verdict.REFUSE,
}


class CaseKeeper:
    """Handlers of the decider's messages about requests that end engines.

    `tell` is called when peers should hear of what changed.
    """

    def __init__(self, router: Router, clock: Callable[[], float], log, tell: Callable[[], None]):
        self._router = router
        self._quarantine = router.quarantine
        self._clock = clock
        self._log = log
        self._tell = tell
        #: Told of the requests that this box learned more of by an end or a run.
        self.on_case: Callable[[str], None] | None = None
        #: Told at once what peers should hear of such a request.
        self.on_push: Callable[[Case], None] | None = None
        #: Set when what is known was asked for at the start.
        self.known = threading.Event()
        self.known.set()
        self.handlers = {
            EngineEnded: self._engine_ended,
            HearEnd: self._hear_end,
            AskTrial: lambda message: self._quarantine.request_trial(message.ask, self._clock()),
            EndTrial: self._end_trial,
            WantStanding: self._standing,
            WantCase: lambda message: self._quarantine.case(message.request, self._clock()),
            WantCases: lambda _: self._quarantine.shared_cases(self._clock()),
            HearCases: self._hear_cases,
            LiftCase: self._lift_case,
        }

    @property
    def scopes(self) -> frozenset[int]:
        """Scopes of the requests that may not simply run; read by any thread."""
        return self._quarantine.scopes

    @property
    def fingerprint(self) -> int:
        """Tells apart what this box knows; read by any thread."""
        return self._quarantine.fingerprint

    def reports(self, now: float) -> tuple[CaseReport, ...]:
        """What operators see."""
        quarantine = self._quarantine
        return tuple(
            CaseReport(
                case.request,
                case.workspace,
                quarantine.standing(case.request, now),
                len(case.ends),
                round(quarantine.rest(case.request, now), 1),
            )
            for case in quarantine.shared_cases(now)
        )

    def _engine_ended(self, message: EngineEnded) -> EndCounted:
        now = self._clock()
        report = self._router.engine_ended(message.engine, message.report, now)
        self._tell()
        if report is None or message.excused:
            return EndCounted()
        ends = self._quarantine.record_end(report, now)
        self._note(report.request, ends)
        return EndCounted(ends, report)

    def _hear_end(self, message: HearEnd) -> EndReportReply:
        request = message.report.request
        ends = self._quarantine.record_end(message.report, self._clock())
        self._note(request, ends)
        return EndReportReply(ends, self._quarantine.shared_case(request, self._clock()))

    def _note(self, request: str, ends: int) -> None:
        if ends >= SUSPECT_ENDS:
            self._tell_case(request)

    def _tell_case(self, request: str) -> None:
        """Tell peers, the store and the logs how a request stands."""
        now = self._clock()
        case = self._quarantine.shared_case(request, now)
        if case is None:
            return
        self._log.warning(
            'request.standing',
            digest=request,
            workspace=case.workspace,
            standing=self._quarantine.standing(request, now),
            engines_ended=len(case.ends),
            clears=case.clears,
        )
        if self.on_case is not None:
            self.on_case(request)
        if self.on_push is not None:
            self.on_push(case)
        self._tell()

    def _end_trial(self, message: EndTrial) -> None:
        over = message.over
        self._quarantine.record_trial_result(over, self._clock())
        if over.well:
            self._tell_case(over.request)

    def _standing(self, message: WantStanding) -> Permission:
        now = self._clock()
        standing = self._quarantine.standing(message.request, now)
        if standing is Standing.SUSPECT and not self._may_risk(message, now):
            return Permission(Verdict.WAIT)
        return Permission(VERDICTS[standing], self._quarantine.rest(message.request, now))

    def _may_risk(self, message: WantStanding, now: float) -> bool:
        ended = self._quarantine.recently_ended(message.request, now)
        return self._router.may_risk_engine(message.service, ended, now)

    def _hear_cases(self, message: HearCases) -> None:
        if self._quarantine.merge(message.cases, self._clock()):
            self._tell()

    def _lift_case(self, message: LiftCase) -> bool:
        known = self._quarantine.lift(message.request, self._clock())
        if known:
            self._tell_case(message.request)
        return known
