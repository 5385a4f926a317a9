"""gRPC server for calls from peers."""

from collections.abc import AsyncIterator, Callable
from contextlib import AbstractAsyncContextManager
from typing import Protocol, TypeVar

from grpclib.const import Cardinality, Handler, Status
from grpclib.exceptions import GRPCError
from grpclib.server import Server

from seamhold_attempts.claims import ClaimState
from seamhold_attempts.streams import StreamPage, StreamRecord
from seamhold_messages.errors import SeamholdError
from seamhold_messages.work import BoxRetries, Holding
from seamhold_quarantine import Case, EndReport, Permission, TrialRequest, TrialResult
from seamhold_settings.versions import Candidate

from . import codec
from .calls import (
    AnswerPart,
    ClaimRequest,
    FleetLists,
    LivenessQuery,
    LivenessReply,
    RelayedCall,
    StreamQuery,
    StreamRecordsQuery,
    StreamReply,
)
from .service import Path
from .tunnel import Connection, TunnelMessage, TunnelRequest, serve_tunnel

Message = TypeVar('Message')
Packed = TypeVar('Packed')


class PeerHandler(Protocol):
    """Interface that a box implements to handle the calls of its peers."""

    async def newer_settings(self, revisions: dict[str, int]) -> list[Candidate]:
        """Return this box's active settings objects that are newer than `revisions`."""

    async def lists(self, holdings: bool) -> FleetLists:
        """Return the platform's lists as this box last received them, optionally with holdings."""

    async def learned(self) -> tuple[Holding, ...]:
        """Return the holdings that engines reported to this box at its start."""

    async def retries_before(self, box: str, incarnation: str) -> BoxRetries:
        """Return what a peer spent of its retry budgets before it started as `incarnation`."""

    def relayed(self, call: RelayedCall) -> AsyncIterator[AnswerPart]:
        """Run a relayed call whose ticket this box may hold; yield the parts of its answer."""

    async def claim(self, request: ClaimRequest) -> ClaimState:
        """Write a claim to its bucket; raises SeamholdError."""

    async def cases(self) -> codec.CasesPage:
        """Return this box's cases of requests that end engines."""

    async def receive_cases(self, cases: tuple[Case, ...]) -> None:
        """Apply cases of requests that end engines, received from a peer."""

    async def engine_ended(self, reports: tuple[EndReport, ...]) -> codec.EndReportsReply:
        """Record that an engine ended under a request; return this box's state of it."""

    async def request_trial(self, trial: TrialRequest) -> Permission:
        """Decide whether a suspect request may run now."""

    async def end_trial(self, result: TrialResult) -> None:
        """Record that a trial run has ended."""

    async def record_streams(self, records: tuple[StreamRecord, ...]) -> None:
        """Keep records of streams that began at a peer."""

    async def stream_page(self, query: StreamRecordsQuery) -> StreamPage:
        """Return records of streams for a box that has restarted."""

    async def find_stream(self, query: StreamQuery) -> StreamReply:
        """Return what this box knows of a stream's origin."""

    async def find_liveness(self, query: LivenessQuery) -> LivenessReply:
        """Find out whether an engine is alive, also while this box stops."""

    def carry(self, request: TunnelRequest) -> AbstractAsyncContextManager[Connection]:
        """Connect to an engine for a peer; raises TunnelFailed."""


class PeerService:
    """gRPC service that delegates each call to a PeerHandler.

    An item of a list that cannot be encoded is left out of the reply, which then holds the other
    items; `report_left_out` is called with all items left out.
    """

    def __init__(self, handler: PeerHandler, report_left_out: Callable[[list[object]], None]):
        self._handler = handler
        self._report_left_out = report_left_out
        #: Cache of the last encoded messages: after a change many peers pull the same ones.
        self._objects: dict[str, tuple[Candidate, codec.SettingsObjectPart]] = {}
        self._lists: tuple[FleetLists, codec.PackedLists] | None = None

    def _encoded(self, encode: Callable[[Message], Packed], message: Message) -> Packed:
        """Encode a message, without the items of its lists that have no encoding."""
        try:
            return encode(message)
        except codec.UnencodableMessage:
            return encode(self._without_unencodable(message))

    def _without_unencodable(self, message: Message) -> Message:
        encodable, left_out = codec.split_encodable(message)
        if left_out:
            self._report_left_out(left_out)
        return encodable

    def _encoded_objects(self, candidates: list[Candidate]) -> list[codec.SettingsObjectPart]:
        parts = []
        left_out: list[object] = []
        for candidate in candidates:
            try:
                parts.append(self._encoded_object(candidate))
            except codec.UnencodableMessage:
                left_out.append(candidate)
        if left_out:
            self._report_left_out(left_out)
        return parts

    def _encoded_object(self, candidate: Candidate) -> codec.SettingsObjectPart:
        cached = self._objects.get(candidate.name)
        if cached is None or cached[0] is not candidate:
            cached = self._objects[candidate.name] = (candidate, codec.encode_candidate(candidate))
        return cached[1]

    def _encoded_lists(self, lists: FleetLists) -> codec.PackedLists:
        if lists.held:
            return self._encoded(codec.encode_lists, lists)
        if self._lists is None or self._lists[0] != lists:
            self._lists = (lists, self._encoded(codec.encode_lists, lists))
        return self._lists[1]

    def __mapping__(self) -> dict[str, Handler]:
        """Map each path to its method and message types, as grpclib requires."""
        one, many = Cardinality.UNARY_UNARY, Cardinality.UNARY_STREAM
        return {
            Path.PULL_SETTINGS: Handler(
                self.pull_settings, one, codec.SettingsRequest, codec.SettingsPage
            ),
            Path.PULL_LISTS: Handler(self.pull_lists, one, codec.ListsRequest, codec.PackedLists),
            Path.PULL_LEARNED: Handler(
                self.pull_learned, one, codec.LearnedRequest, codec.PackedHoldings
            ),
            Path.PULL_RETRIES: Handler(self.pull_retries, one, codec.RetriesRequest, BoxRetries),
            Path.DISPATCH: Handler(self.dispatch, many, RelayedCall, codec.AnswerMessage),
            Path.CLAIM: Handler(self.claim, one, ClaimRequest, codec.ClaimReply),
            Path.PULL_CASES: Handler(self.pull_cases, one, codec.CasesRequest, codec.CasesPage),
            Path.TELL_CASES: Handler(
                self.receive_cases, one, codec.CasesPage, codec.Acknowledgement
            ),
            Path.ENGINE_ENDED: Handler(
                self.engine_ended, one, codec.EndReports, codec.EndReportsReply
            ),
            Path.ASK_TRIAL: Handler(self.request_trial, one, TrialRequest, Permission),
            Path.END_TRIAL: Handler(self.end_trial, one, TrialResult, codec.Acknowledgement),
            Path.RECORD_STREAMS: Handler(
                self.record_streams, one, codec.StreamRecords, codec.Acknowledgement
            ),
            Path.PULL_STREAMS: Handler(self.pull_streams, one, StreamRecordsQuery, StreamPage),
            Path.FIND_STREAM: Handler(self.find_stream, one, StreamQuery, StreamReply),
            Path.FIND_LIVENESS: Handler(self.find_liveness, one, LivenessQuery, LivenessReply),
            Path.TUNNEL: Handler(
                self.tunnel, Cardinality.STREAM_STREAM, TunnelMessage, TunnelMessage
            ),
        }

    async def pull_settings(self, stream) -> None:
        """Send the settings objects that are newer here."""
        request = await stream.recv_message()
        newer = await self._handler.newer_settings(request.revisions)
        await stream.send_message(codec.SettingsPage(self._encoded_objects(newer)))

    async def pull_lists(self, stream) -> None:
        """Send the lists to a box that cannot read them itself."""
        request = await stream.recv_message()
        lists = await self._handler.lists(request.holdings)
        await stream.send_message(self._encoded_lists(lists))

    async def pull_learned(self, stream) -> None:
        """Send the holdings reported by engines to a box that is also starting."""
        await stream.recv_message()
        holdings = await self._handler.learned()
        await stream.send_message(self._encoded(codec.encode_holdings, holdings))

    async def dispatch(self, stream) -> None:
        """Run a relayed call and stream its answer."""
        call = await stream.recv_message()
        async for part in self._handler.relayed(call):
            await stream.send_message(codec.encode_answer(part))

    async def claim(self, stream) -> None:
        """Write a claim, batched with others of its bucket."""
        request = await stream.recv_message()
        try:
            state = await self._handler.claim(request)
        except SeamholdError as error:
            raise GRPCError(Status.UNAVAILABLE, error.code) from error
        await stream.send_message(codec.ClaimReply(state))

    async def pull_retries(self, stream) -> None:
        """Send a box that has restarted what it spent of its retry budgets before."""
        request = await stream.recv_message()
        await stream.send_message(
            await self._handler.retries_before(request.box, request.incarnation)
        )

    async def pull_cases(self, stream) -> None:
        """Send this box's cases of requests that end engines."""
        await stream.recv_message()
        page = await self._handler.cases()
        cases = self._without_unencodable(page.cases)
        await stream.send_message(codec.CasesPage(cases, page.complete))

    async def receive_cases(self, stream) -> None:
        """Apply cases sent by a peer."""
        page = await stream.recv_message()
        await self._handler.receive_cases(page.cases)
        await stream.send_message(codec.Acknowledgement())

    async def engine_ended(self, stream) -> None:
        """Combine a peer's report of an ended engine with those of other boxes."""
        message = await stream.recv_message()
        reply = await self._handler.engine_ended(message.reports)
        await stream.send_message(self._encodable_reply(reply))

    def _encodable_reply(self, reply: codec.EndReportsReply) -> codec.EndReportsReply:
        return codec.EndReportsReply(reply.ends, self._without_unencodable(reply.cases))

    async def request_trial(self, stream) -> None:
        """Decide whether a suspect request may run."""
        await stream.send_message(await self._handler.request_trial(await stream.recv_message()))

    async def end_trial(self, stream) -> None:
        """Record the result of a trial run."""
        await self._handler.end_trial(await stream.recv_message())
        await stream.send_message(codec.Acknowledgement())

    async def record_streams(self, stream) -> None:
        """Keep records of a peer's streams."""
        message = await stream.recv_message()
        await self._handler.record_streams(message.records)
        await stream.send_message(codec.Acknowledgement())

    async def pull_streams(self, stream) -> None:
        """Send records of streams to a box that has restarted."""
        await stream.send_message(await self._handler.stream_page(await stream.recv_message()))

    async def find_stream(self, stream) -> None:
        """Send what this box knows of a stream's origin."""
        await stream.send_message(await self._handler.find_stream(await stream.recv_message()))

    async def find_liveness(self, stream) -> None:
        """Send whether an engine is alive."""
        await stream.send_message(await self._handler.find_liveness(await stream.recv_message()))

    async def tunnel(self, stream) -> None:
        """Carry a connection to an engine for a box that cannot reach it."""
        await serve_tunnel(stream, self._handler.carry)


class PeerServer:
    """Serves peers on one address."""

    def __init__(
        self,
        handler: PeerHandler,
        report_left_out: Callable[[list[object]], None] = lambda items: None,
    ):
        service = PeerService(handler, report_left_out)
        self._server = Server([service], codec=codec.MessageCodec())

    async def start(self, host: str, port: int) -> None:
        """Start listening."""
        await self._server.start(host, port)

    async def stop(self) -> None:
        """Stop listening and close all streams."""
        self._server.close()
        await self._server.wait_closed()
