"""What a forwarding box does with what its peers send."""

import asyncio
from collections.abc import AsyncIterator

from msgspec.structs import replace

from seamhold_attempts.claims import ClaimState
from seamhold_messages.errors import ClaimsUnavailable, TicketUnknown
from seamhold_messages.work import Holding
from seamhold_peers import AnswerEnd, AnswerPart, ClaimRequest, FleetLists, RelayedCall
from seamhold_settings import Candidate

from ..case_answers import CaseAnswers
from ..decider import Decider
from ..decisions import GetLearnedHoldings, GetLists
from ..holdings_pull import HoldingsPull
from ..settings_task import GetNewerSettings, SettingsTask


class ForwardingPeerHandler(CaseAnswers):
    """Tells settings and lists; tickets and claims are not of this dialect."""

    def __init__(self, decider: Decider, settings_task: SettingsTask, holdings: HoldingsPull):
        super().__init__(decider)
        self._settings_task = settings_task
        self._holdings = holdings

    async def newer_settings(self, known: dict[str, int]) -> list[Candidate]:
        """Objects in force here that are ahead of `known`."""
        return await asyncio.wrap_future(self._settings_task.query(GetNewerSettings(known)))

    async def lists(self, holdings: bool) -> FleetLists:
        """The platform's lists as this box last saw them."""
        lists = await asyncio.wrap_future(self._decider.query(GetLists(holdings)))
        return replace(lists, held_complete=self._holdings.complete)

    async def learned(self) -> tuple[Holding, ...]:
        """What engines told this box at its start."""
        return await asyncio.wrap_future(self._decider.query(GetLearnedHoldings()))

    async def claim(self, ask: ClaimRequest) -> ClaimState:
        """No keys are recorded here."""
        raise ClaimsUnavailable('this box keeps no claims')

    async def relayed(self, call: RelayedCall) -> AsyncIterator[AnswerPart]:
        """No tickets are given here."""
        yield AnswerEnd(TicketUnknown('this box gives no tickets'))
