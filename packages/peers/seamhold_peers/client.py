"""One box's connection to one peer."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from grpclib.client import Channel
from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError

from seamhold_attempts.claims import ClaimState
from seamhold_messages.errors import ClaimsUnavailable, TicketUnreachable
from seamhold_messages.work import Holding
from seamhold_quarantine import Case, EndReport, Permission, TrialRequest, TrialResult
from seamhold_settings.versions import Candidate

from . import codec
from .calls import AnswerPart, ClaimAsk, FleetLists, RelayedCall
from .service import PeerStub

#: What a broken or refused connection to a peer raises, or an answer that cannot be read.
BROKEN = (
    OSError,
    GRPCError,
    ProtocolError,
    StreamTerminatedError,
    asyncio.TimeoutError,
    codec.UnreadablePart,
)
PULL_SECONDS = 1.5
#: A peer answers within some round trips, of 16 ms between regions; callers wait for it.
TRIAL_SECONDS = 0.15
#: One that is slow to answer whether a suspect may run is not passed over: two boxes that each
#: let it run alone would end an engine each.
ASK_SECONDS = 0.5


class PeerClient:
    """Calls to the box at `address` (`ip:port`)."""

    def __init__(self, address: str):
        host, _, port = address.rpartition(':')
        self.address = address
        self._channel = Channel(host, int(port), codec=codec.MessageCodec())
        self._stub = PeerStub(self._channel)

    async def pull_settings(self, known: dict[str, int]) -> list[Candidate]:
        """Settings objects that the peer has newer; raises one of BROKEN."""
        async with self._answer_within(PULL_SECONDS):
            page = await self._stub.pull_settings(codec.SettingsKnown(known))
        return [codec.decode_candidate(item) for item in page.objects]

    async def pull_lists(self, holdings: bool = False) -> FleetLists:
        """The platform's lists as the peer saw them; raises one of BROKEN.

        With `holdings` also which engines the peer takes to hold which chats.
        """
        async with self._answer_within(PULL_SECONDS):
            return codec.decode_lists(await self._stub.pull_lists(codec.ListsWanted(holdings)))

    async def pull_learned(self) -> tuple[Holding, ...]:
        """What engines told the peer of the chats that they hold; raises one of BROKEN."""
        async with self._answer_within(PULL_SECONDS):
            return codec.decode_holdings(await self._stub.pull_learned(codec.LearnedWanted()))

    async def relay(self, call: RelayedCall) -> AsyncIterator[AnswerPart]:
        """Pass a call to the box that holds its ticket.

        Raises TicketUnreachable when the peer is not there or breaks off.
        """
        try:
            async with (
                asyncio.timeout(call.remaining),
                self._stub.dispatch.open() as stream,
            ):
                await stream.send_message(call, end=True)
                async for part in stream:
                    yield codec.decode_answer(part)
        except BROKEN as error:
            raise TicketUnreachable('the box that holds the ticket does not answer') from error

    async def claim(self, ask: ClaimAsk) -> ClaimState:
        """Have the peer write a claim; raises ClaimsUnavailable."""
        try:
            async with self._answer_within(ask.wait):
                reply = await self._stub.claim(ask)
        except BROKEN as error:
            raise ClaimsUnavailable(f'the box that writes the bucket: {error}') from error
        return ClaimState(reply.state)

    async def pull_cases(self) -> codec.CasesPage:
        """What the peer knows of requests that end engines; raises one of BROKEN."""
        async with self._answer_within(PULL_SECONDS):
            return await self._stub.pull_cases(codec.CasesWanted())

    async def tell_cases(self, cases: tuple[Case, ...]) -> None:
        """Tell of requests that end engines; raises one of BROKEN."""
        async with asyncio.timeout(TRIAL_SECONDS):
            await self._stub.tell_cases(codec.CasesPage(cases))

    async def engine_ended(self, report: EndReport) -> codec.EndsKnown:
        """Tell that an engine ended, and get what the peer knows; raises one of BROKEN."""
        async with asyncio.timeout(TRIAL_SECONDS):
            return await self._stub.engine_ended(report)

    async def ask_trial(self, ask: TrialRequest) -> Permission:
        """Ask whether a suspect may run now; raises one of BROKEN."""
        async with asyncio.timeout(ASK_SECONDS):
            return await self._stub.ask_trial(ask)

    async def end_trial(self, over: TrialResult) -> None:
        """Tell that a suspect's run is over; nobody waits for it; raises one of BROKEN."""
        async with asyncio.timeout(PULL_SECONDS):
            await self._stub.end_trial(over)

    @asynccontextmanager
    async def _answer_within(self, seconds: float) -> AsyncIterator[None]:
        """Wait no longer, and call the peer on a new connection after that.

        A connection may go silent without a reset: it would keep every later call
        from a peer that is there.
        """
        try:
            async with asyncio.timeout(seconds):
                yield
        except TimeoutError:
            self._channel.close()
            raise

    def close(self) -> None:
        """Drop the connection."""
        self._channel.close()
