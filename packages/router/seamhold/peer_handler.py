"""What this box does with what its peers send."""

import asyncio
import threading
from collections.abc import AsyncIterator, Callable, Iterator
from concurrent.futures import ThreadPoolExecutor

from msgspec.structs import replace

from seamhold_attempts.claims import ClaimState
from seamhold_messages.work import Holding
from seamhold_peers import AnswerPart, ClaimRequest, FleetLists, RelayedCall
from seamhold_settings import Candidate

from .case_answers import CaseAnswers
from .claims import ClaimWriter, WantClaim
from .decider import Decider
from .decisions import WantLearned, WantLists
from .keeper import SettingsKeeper, WantNewer
from .logs import logger
from .peering import Peering

RELAY_THREADS = 32
#: Parts of a relayed answer that wait for a slow caller.
RELAY_BUFFER_PARTS = 32
#: Put behind the last part of an answer.
END = object()


class BoxPeerHandler(CaseAnswers):
    """The handler of the peer port; it runs on the peering task's loop."""

    def __init__(
        self,
        peering: Peering,
        decider: Decider,
        keeper: SettingsKeeper,
        claims: ClaimWriter,
        serve: Callable[[RelayedCall], Iterator[AnswerPart]],
    ):
        super().__init__(decider)
        self._peering = peering
        self._keeper = keeper
        self._claims = claims
        self._serve = serve
        self._log = logger('peer-handler')
        self._pool = ThreadPoolExecutor(RELAY_THREADS, thread_name_prefix='relay')

    async def newer_settings(self, known: dict[str, int]) -> list[Candidate]:
        """Objects in force here that are ahead of `known`."""
        return await asyncio.wrap_future(self._keeper.ask(WantNewer(known)))

    async def lists(self, holdings: bool) -> FleetLists:
        """The platform's lists as this box last saw them."""
        lists = await asyncio.wrap_future(self._decider.ask(WantLists(holdings)))
        return replace(lists, held_complete=self._peering.holdings.complete)

    async def learned(self) -> tuple[Holding, ...]:
        """What engines told this box at its start."""
        return await asyncio.wrap_future(self._decider.ask(WantLearned()))

    async def claim(self, ask: ClaimRequest) -> ClaimState:
        """Write a claim for a peer."""
        return await asyncio.wrap_future(self._claims.ask(WantClaim(ask)))

    async def relayed(self, call: RelayedCall) -> AsyncIterator[AnswerPart]:
        """Run a call whose ticket this box holds, on a thread of the pool."""
        parts: asyncio.Queue = asyncio.Queue(RELAY_BUFFER_PARTS)
        gone = threading.Event()
        self._pool.submit(self._run_relayed, call, parts, gone)
        try:
            while (part := await parts.get()) is not END:
                yield part
        finally:
            # The thread sees it at the next part and cancels at the engine.
            gone.set()

    def _run_relayed(self, call: RelayedCall, parts: asyncio.Queue, gone: threading.Event) -> None:
        answer = self._serve(call)
        try:
            for part in answer:
                if gone.is_set():
                    return
                self._peering.submit(parts.put(part)).result(call.remaining)
        except Exception:
            self._log.exception('relay.error', request_id=call.request_id)
        finally:
            answer.close()
            self._peering.submit(parts.put(END))

    def stop(self) -> None:
        """Take no more relayed calls."""
        self._pool.shutdown(wait=False, cancel_futures=True)
