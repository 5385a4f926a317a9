"""Answers the requests of peers at a forwarding box."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import AbstractAsyncContextManager

from msgspec.structs import replace

from seamhold_attempts.claims import ClaimState
from seamhold_attempts.streams import StreamPage, StreamRecord
from seamhold_messages.errors import ClaimsUnavailable, TicketUnknown
from seamhold_messages.work import BoxRetries, Holding
from seamhold_peers import (
    AnswerEnd,
    AnswerPart,
    ClaimRequest,
    FleetLists,
    LivenessQuery,
    LivenessReply,
    RelayedCall,
    StreamQuery,
    StreamRecordsQuery,
    StreamReply,
    TunnelRequest,
)
from seamhold_peers.tunnel import Connection
from seamhold_settings import Candidate

from ..case_answers import CaseAnswers
from ..decider import Decider
from ..decisions import GetLearnedHoldings, GetLists, GetRetriesBefore
from ..holdings_pull import HoldingsPull
from ..settings_task import GetNewerSettings, SettingsTask
from ..stream_origins import StreamOrigins
from ..stream_records import StreamRecordStore
from ..stream_records_pull import StreamRecordsPull
from .carrier import Carrier


class ForwardingPeerHandler(CaseAnswers):
    """Sends settings, lists and holdings, and carries connections to engines.

    Forwarding has no tickets and no claims.
    """

    def __init__(
        self,
        decider: Decider,
        settings_task: SettingsTask,
        holdings: HoldingsPull,
        carrier: Carrier,
        records: StreamRecordStore,
        records_pull: StreamRecordsPull,
        origins: StreamOrigins,
    ):
        super().__init__(decider)
        self._records = records
        self._records_pull = records_pull
        self._origins = origins
        self._carrier = carrier
        self._settings_task = settings_task
        self._holdings = holdings

    async def newer_settings(self, revisions: dict[str, int]) -> list[Candidate]:
        """Return the active settings objects that are newer than these revisions, by name."""
        return await asyncio.wrap_future(self._settings_task.query(GetNewerSettings(revisions)))

    async def lists(self, holdings: bool) -> FleetLists:
        """Return the platform's lists as this box last received them."""
        lists = await asyncio.wrap_future(self._decider.query(GetLists(holdings)))
        return replace(lists, held_complete=self._holdings.complete)

    async def retries_before(self, box: str, incarnation: str) -> BoxRetries:
        """Return what a peer spent of its retry budgets before it started as `incarnation`."""
        query = GetRetriesBefore(box, incarnation)
        return await asyncio.wrap_future(self._decider.query(query))

    async def learned(self) -> tuple[Holding, ...]:
        """Return the holdings that engines reported to this box at its start."""
        return await asyncio.wrap_future(self._decider.query(GetLearnedHoldings()))

    def carry(self, request: TunnelRequest) -> AbstractAsyncContextManager[Connection]:
        """Connect to an engine for a peer; raises TunnelFailed."""
        return self._carrier.connect(request)

    async def find_liveness(self, query: LivenessQuery) -> LivenessReply:
        """Find out whether an engine is alive, also while this box stops."""
        return await self._carrier.find_liveness(query)

    async def record_streams(self, records: tuple[StreamRecord, ...]) -> None:
        """Keep records of streams that began at a peer."""
        self._records.keep(records)

    async def stream_page(self, query: StreamRecordsQuery) -> StreamPage:
        """Return records of streams for a peer that has restarted."""
        return replace(self._records.page(query.groups), settled=self._records_pull.settled)

    async def find_stream(self, query: StreamQuery) -> StreamReply:
        """Return what this box knows of a stream's origin."""
        return self._origins.reply(query)

    async def claim(self, request: ClaimRequest) -> ClaimState:
        """Refuse: a forwarding box stores no claims."""
        raise ClaimsUnavailable('this box stores no claims')

    async def relayed(self, call: RelayedCall) -> AsyncIterator[AnswerPart]:
        """Refuse: a forwarding box issues no tickets."""
        yield AnswerEnd(TicketUnknown('this box issues no tickets'))
