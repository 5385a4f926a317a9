"""Handlers of the peer calls about requests that end engines."""

import asyncio

from seamhold_peers import CasesPage, EndReportsReply
from seamhold_quarantine import Case, EndReport, Permission, TrialRequest, TrialResult

from .background import result_of
from .decider import Decider
from .decisions import EndTrial, GetCases, ReceiveCases, ReceiveEnds, RequestTrial


class CaseAnswers:
    """The part of the peer port's handler that all dialects share."""

    def __init__(self, decider: Decider):
        self._decider = decider

    async def cases(self) -> CasesPage:
        """Return the cases that this box shares, and whether it has loaded all."""
        complete = self._decider.cases.loaded.is_set()
        cases = await asyncio.wrap_future(self._decider.query(GetCases()))
        return CasesPage(cases, complete)

    async def receive_cases(self, cases: tuple[Case, ...]) -> None:
        """Merge cases that a peer sends."""
        await result_of(self._decider.query(ReceiveCases(cases)))

    async def engine_ended(self, reports: tuple[EndReport, ...]) -> EndReportsReply:
        """Record an engine's end at a peer; return what this box knows of the request."""
        return await asyncio.wrap_future(self._decider.query(ReceiveEnds(reports)))

    async def request_trial(self, trial: TrialRequest) -> Permission:
        """Return whether a suspect request may run now at a peer."""
        return await asyncio.wrap_future(self._decider.query(RequestTrial(trial)))

    async def end_trial(self, result: TrialResult) -> None:
        """Record the end of a suspect request's run at a peer."""
        self._decider.send(EndTrial(result))
