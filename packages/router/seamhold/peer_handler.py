"""Handles the requests that peers send to this box."""

import asyncio
import threading
from collections.abc import AsyncIterator, Callable, Iterator
from concurrent.futures import ThreadPoolExecutor
from contextlib import asynccontextmanager

from msgspec.structs import replace

from seamhold_attempts.claims import ClaimState
from seamhold_attempts.streams import StreamPage, StreamRecord
from seamhold_messages.work import BoxRetries, Holding
from seamhold_peers import (
    AnswerPart,
    ClaimRequest,
    FleetLists,
    LivenessQuery,
    LivenessReply,
    RelayedCall,
    StreamQuery,
    StreamRecordsQuery,
    StreamReply,
    TunnelFailed,
    TunnelReply,
    TunnelRequest,
)
from seamhold_peers.tunnel import Connection
from seamhold_settings import Candidate

from .case_answers import CaseAnswers
from .claims import AcquireClaim, ClaimWriter
from .decider import Decider
from .decisions import GetLearnedHoldings, GetLists, GetRetriesBefore
from .logs import logger
from .peering import Peering
from .settings_task import GetNewerSettings, SettingsTask

RELAY_THREADS = 32
#: Parts of a relayed answer buffered for a slow caller.
RELAY_BUFFER_PARTS = 32
#: Queued after the last part of an answer.
END_OF_ANSWER = object()


class BoxPeerHandler(CaseAnswers):
    """Serves the peer port, on the peering task's loop."""

    def __init__(
        self,
        peering: Peering,
        decider: Decider,
        settings_task: SettingsTask,
        claims: ClaimWriter,
        serve: Callable[[RelayedCall], Iterator[AnswerPart]],
    ):
        super().__init__(decider)
        self._peering = peering
        self._settings_task = settings_task
        self._claims = claims
        self._serve = serve
        self._log = logger('peer-handler')
        self._pool = ThreadPoolExecutor(RELAY_THREADS, thread_name_prefix='relay')

    async def newer_settings(self, revisions: dict[str, int]) -> list[Candidate]:
        """Return the settings objects in force here that are newer than `revisions`, by name."""
        return await asyncio.wrap_future(self._settings_task.query(GetNewerSettings(revisions)))

    async def lists(self, holdings: bool) -> FleetLists:
        """Return the platform's lists as this box last received them."""
        lists = await asyncio.wrap_future(self._decider.query(GetLists(holdings)))
        return replace(lists, held_complete=self._peering.holdings.complete)

    async def retries_before(self, box: str, incarnation: str) -> BoxRetries:
        """Return what a peer spent of its retry budgets before it started as `incarnation`."""
        query = GetRetriesBefore(box, incarnation)
        return await asyncio.wrap_future(self._decider.query(query))

    async def learned(self) -> tuple[Holding, ...]:
        """Return the holdings that engines reported to this box at its start."""
        return await asyncio.wrap_future(self._decider.query(GetLearnedHoldings()))

    @asynccontextmanager
    async def carry(self, request: TunnelRequest) -> AsyncIterator[Connection]:
        """Refuse: boxes of this dialect call engines directly only."""
        raise TunnelFailed(TunnelReply('this box carries no connections'))
        yield

    async def find_liveness(self, query: LivenessQuery) -> LivenessReply:
        """Return that nothing is known: boxes of this dialect reach engines directly."""
        return LivenessReply()

    async def record_streams(self, records: tuple[StreamRecord, ...]) -> None:
        """Keep nothing: callers of this dialect cannot take up a stream."""

    async def stream_page(self, query: StreamRecordsQuery) -> StreamPage:
        """Return no records: callers of this dialect cannot take up a stream."""
        return StreamPage()

    async def find_stream(self, query: StreamQuery) -> StreamReply:
        """Return that nothing is known of any stream."""
        return StreamReply()

    async def claim(self, request: ClaimRequest) -> ClaimState:
        """Write a claim for a peer."""
        return await asyncio.wrap_future(self._claims.query(AcquireClaim(request)))

    async def relayed(self, call: RelayedCall) -> AsyncIterator[AnswerPart]:
        """Run a call whose ticket this box holds, on a thread of the pool."""
        parts: asyncio.Queue = asyncio.Queue(RELAY_BUFFER_PARTS)
        cancelled = threading.Event()
        self._pool.submit(self._run_relayed, call, parts, cancelled)
        try:
            while (part := await parts.get()) is not END_OF_ANSWER:
                yield part
        finally:
            # The thread checks this at the next part and cancels the call at the engine.
            cancelled.set()

    def _run_relayed(
        self, call: RelayedCall, parts: asyncio.Queue, cancelled: threading.Event
    ) -> None:
        answer = self._serve(call)
        try:
            for part in answer:
                if cancelled.is_set():
                    return
                self._peering.submit(parts.put(part)).result(call.remaining)
        except Exception:
            self._log.exception('relay.error', request_id=call.request_id)
        finally:
            answer.close()
            self._peering.submit(parts.put(END_OF_ANSWER))

    def stop(self) -> None:
        """Accept no more relayed calls."""
        self._pool.shutdown(wait=False, cancel_futures=True)
