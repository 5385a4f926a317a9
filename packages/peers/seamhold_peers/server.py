"""The peer port of a box."""

from collections.abc import AsyncIterator
from typing import Protocol

from grpclib.const import Cardinality, Handler, Status
from grpclib.exceptions import GRPCError
from grpclib.server import Server

from seamhold_attempts.claims import ClaimState
from seamhold_messages.errors import SeamholdError
from seamhold_messages.work import Holding
from seamhold_quarantine import Case, EndReport, Permission, TrialRequest, TrialResult
from seamhold_settings.versions import Candidate

from . import codec
from .calls import AnswerPart, ClaimAsk, FleetLists, RelayedCall
from .service import Path


class PeerHandler(Protocol):
    """What a box does with what its peers send."""

    async def newer_settings(self, known: dict[str, int]) -> list[Candidate]:
        """Objects in force here that are ahead of `known`."""

    async def lists(self, holdings: bool) -> FleetLists:
        """The platform's lists as this box last saw them, with holdings if wanted."""

    async def learned(self) -> tuple[Holding, ...]:
        """What engines told this box at its start of the chats that they hold."""

    def relayed(self, call: RelayedCall) -> AsyncIterator[AnswerPart]:
        """A call whose ticket this box may hold."""

    async def claim(self, ask: ClaimAsk) -> ClaimState:
        """A key to be written to a bucket; raises SeamholdError."""

    async def cases(self) -> codec.CasesPage:
        """What this box knows of requests that end engines."""

    async def hear_cases(self, cases: tuple[Case, ...]) -> None:
        """A peer tells of requests that end engines."""

    async def engine_ended(self, report: EndReport) -> codec.EndsKnown:
        """An engine ended under a request; what this box knows of it."""

    async def ask_trial(self, ask: TrialRequest) -> Permission:
        """Whether a suspect may run now."""

    async def end_trial(self, over: TrialResult) -> None:
        """A suspect's run is over."""


class PeerService:
    """The calls, answered by a handler."""

    def __init__(self, handler: PeerHandler):
        self._handler = handler
        #: What was encoded last: after a change many peers pull the same.
        self._objects: dict[str, tuple[Candidate, codec.SettingsObjectPart]] = {}
        self._lists: tuple[FleetLists, codec.PackedLists] | None = None

    def _encoded(self, candidate: Candidate) -> codec.SettingsObjectPart:
        kept = self._objects.get(candidate.name)
        if kept is None or kept[0] is not candidate:
            kept = self._objects[candidate.name] = (candidate, codec.encode_candidate(candidate))
        return kept[1]

    def _encoded_lists(self, lists: FleetLists) -> codec.PackedLists:
        if lists.held:
            return codec.encode_lists(lists)
        if self._lists is None or self._lists[0] != lists:
            self._lists = (lists, codec.encode_lists(lists))
        return self._lists[1]

    def __mapping__(self) -> dict[str, Handler]:
        """Who answers which call, as grpclib asks for it."""
        one, many = Cardinality.UNARY_UNARY, Cardinality.UNARY_STREAM
        return {
            Path.PULL_SETTINGS: Handler(
                self.pull_settings, one, codec.SettingsKnown, codec.SettingsPage
            ),
            Path.PULL_LISTS: Handler(self.pull_lists, one, codec.ListsWanted, codec.PackedLists),
            Path.PULL_LEARNED: Handler(
                self.pull_learned, one, codec.LearnedWanted, codec.PackedHoldings
            ),
            Path.DISPATCH: Handler(self.dispatch, many, RelayedCall, codec.AnswerMessage),
            Path.CLAIM: Handler(self.claim, one, ClaimAsk, codec.ClaimReply),
            Path.PULL_CASES: Handler(self.pull_cases, one, codec.CasesWanted, codec.CasesPage),
            Path.TELL_CASES: Handler(self.tell_cases, one, codec.CasesPage, codec.Heard),
            Path.ENGINE_ENDED: Handler(self.engine_ended, one, EndReport, codec.EndsKnown),
            Path.ASK_TRIAL: Handler(self.ask_trial, one, TrialRequest, Permission),
            Path.END_TRIAL: Handler(self.end_trial, one, TrialResult, codec.Heard),
        }

    async def pull_settings(self, stream) -> None:
        """Objects that are newer here."""
        known = await stream.recv_message()
        newer = await self._handler.newer_settings(known.revisions)
        page = codec.SettingsPage([self._encoded(item) for item in newer])
        await stream.send_message(page)

    async def pull_lists(self, stream) -> None:
        """The lists, for a box that cannot read them itself."""
        wanted = await stream.recv_message()
        lists = await self._handler.lists(wanted.holdings)
        await stream.send_message(self._encoded_lists(lists))

    async def pull_learned(self, stream) -> None:
        """What engines told this box, for one that starts too."""
        await stream.recv_message()
        await stream.send_message(codec.encode_holdings(await self._handler.learned()))

    async def dispatch(self, stream) -> None:
        """Run a ticketed call and pass its answer back as it comes."""
        call = await stream.recv_message()
        async for part in self._handler.relayed(call):
            await stream.send_message(codec.encode_answer(part))

    async def claim(self, stream) -> None:
        """Write a claim, together with others of its bucket."""
        ask = await stream.recv_message()
        try:
            state = await self._handler.claim(ask)
        except SeamholdError as error:
            raise GRPCError(Status.UNAVAILABLE, error.code) from error
        await stream.send_message(codec.ClaimReply(state))

    async def pull_cases(self, stream) -> None:
        """What is known here of requests that end engines."""
        await stream.recv_message()
        await stream.send_message(await self._handler.cases())

    async def tell_cases(self, stream) -> None:
        """Take over what a peer just learned."""
        page = await stream.recv_message()
        await self._handler.hear_cases(page.cases)
        await stream.send_message(codec.Heard())

    async def engine_ended(self, stream) -> None:
        """Join what a peer met with what others did."""
        report = await stream.recv_message()
        await stream.send_message(await self._handler.engine_ended(report))

    async def ask_trial(self, stream) -> None:
        """Say whether a suspect may run."""
        await stream.send_message(await self._handler.ask_trial(await stream.recv_message()))

    async def end_trial(self, stream) -> None:
        """Take note of how a suspect's run ended."""
        await self._handler.end_trial(await stream.recv_message())
        await stream.send_message(codec.Heard())


class PeerServer:
    """Listens for peers on one address."""

    def __init__(self, handler: PeerHandler):
        self._server = Server([PeerService(handler)], codec=codec.MessageCodec())

    async def start(self, host: str, port: int) -> None:
        """Begin to listen."""
        await self._server.start(host, port)

    async def stop(self) -> None:
        """Stop listening and end the streams."""
        self._server.close()
        await self._server.wait_closed()
