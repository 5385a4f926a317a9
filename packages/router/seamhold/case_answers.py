"""What a box answers its peers about requests that end engines."""

import asyncio

from seamhold_peers import CasesPage, EndsKnown
from seamhold_quarantine import Case, EndReport, Permission, TrialAsk, TrialOver

from .background import result_of
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

    async def hear_cases(self, cases: tuple[Case, ...]) -> None:
        """A peer tells what it just learned."""
        await result_of(self._decider.ask(HearCases(cases)))

    async def engine_ended(self, report: EndReport) -> EndsKnown:
        """An engine ended at a peer; what this box knows of the request."""
        return await asyncio.wrap_future(self._decider.ask(HearEnd(report)))

    async def ask_trial(self, ask: TrialAsk) -> Permission:
        """Whether a suspect may run now at a peer."""
        return await asyncio.wrap_future(self._decider.ask(AskTrial(ask)))

    async def end_trial(self, over: TrialOver) -> None:
        """A suspect's run at a peer is over."""
        self._decider.send(EndTrial(over))
