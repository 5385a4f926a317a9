"""What a box answers its peers about requests that end engines."""

import asyncio

from seamhold_peers import CasesPage, EndReportReply
from seamhold_quarantine import Case, EndReport, Permission, TrialRequest, TrialResult

from .background import answer_of
from .decider import Decider
from .decisions import AskTrial, EndTrial, HearCases, HearEnd, WantCases


class CaseAnswers:
    """The part of a peer port's handler that is the same in all dialects."""

    def __init__(self, decider: Decider):
        self._decider = decider

    async def cases(self) -> CasesPage:
        """What this box knows of them."""
        complete = self._decider.cases.known.is_set()
        cases = await asyncio.wrap_future(self._decider.ask(WantCases()))
        return CasesPage(cases, complete)

    async def receive_cases(self, cases: tuple[Case, ...]) -> None:
        """A peer tells what it just learned."""
        await answer_of(self._decider.ask(HearCases(cases)))

    async def engine_ended(self, report: EndReport) -> EndReportReply:
        """An engine ended at a peer; what this box knows of the request."""
        return await asyncio.wrap_future(self._decider.ask(HearEnd(report)))

    async def request_trial(self, ask: TrialRequest) -> Permission:
        """Whether a suspect may run now at a peer."""
        return await asyncio.wrap_future(self._decider.ask(AskTrial(ask)))

    async def end_trial(self, over: TrialResult) -> None:
        """A suspect's run at a peer is over."""
        self._decider.send(EndTrial(over))
