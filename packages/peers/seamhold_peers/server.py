"""The peer port of a box."""

from collections.abc import AsyncIterator
from typing import Protocol

from grpclib.const import Status
from grpclib.exceptions import GRPCError
from grpclib.server import Server

from seamhold_attempts.claims import ClaimState
from seamhold_messages.errors import SeamholdError
from seamhold_settings.versions import Candidate

from . import codec
from .calls import AnswerPart, ClaimAsk, FleetLists, RelayedCall
from .generated import peers_pb2 as pb
from .generated.peers_grpc import PeersBase


class PeerHandler(Protocol):
    """What a box does with what its peers send."""

    async def newer_settings(self, known: dict[str, int]) -> list[Candidate]:
        """Objects in force here that are ahead of `known`."""

    async def lists(self, holdings: bool) -> FleetLists:
        """The platform's lists as this box last saw them, with holdings if wanted."""

    def relayed(self, call: RelayedCall) -> AsyncIterator[AnswerPart]:
        """A call whose ticket this box may hold."""

    async def claim(self, ask: ClaimAsk) -> ClaimState:
        """A key to be written to a bucket; raises SeamholdError."""


class PeerService(PeersBase):
    """The generated service, bound to a handler."""

    def __init__(self, handler: PeerHandler):
        self._handler = handler
        #: What was encoded last: after a change many peers pull the same.
        self._objects: dict[str, tuple[Candidate, pb.SettingsObject]] = {}
        self._lists: tuple[tuple[int, int], pb.PackedLists] | None = None

    def _encoded(self, candidate: Candidate) -> pb.SettingsObject:
        kept = self._objects.get(candidate.name)
        if kept is None or kept[0] is not candidate:
            kept = self._objects[candidate.name] = (candidate, codec.encode_candidate(candidate))
        return kept[1]

    def _encoded_lists(self, lists: FleetLists) -> pb.PackedLists:
        versions = (lists.engines_version, lists.boxes_version)
        if lists.held or not all(versions):
            return codec.encode_lists(lists)
        if self._lists is None or self._lists[0] != versions:
            self._lists = (versions, codec.encode_lists(lists))
        return self._lists[1]

    async def PullSettings(self, stream) -> None:
        """Objects that are newer here."""
        known = await stream.recv_message()
        newer = await self._handler.newer_settings(dict(known.revisions))
        page = pb.SettingsPage(objects=[self._encoded(item) for item in newer])
        await stream.send_message(page)

    async def PullLists(self, stream) -> None:
        """The lists, for a box that cannot read them itself."""
        wanted = await stream.recv_message()
        lists = await self._handler.lists(wanted.holdings)
        await stream.send_message(self._encoded_lists(lists))

    async def Dispatch(self, stream) -> None:
        """Run a ticketed call and pass its answer back as it comes."""
        call = codec.decode_call(await stream.recv_message())
        async for part in self._handler.relayed(call):
            await stream.send_message(codec.encode_answer(part))

    async def Claim(self, stream) -> None:
        """Write a claim, together with others of its bucket."""
        ask = codec.decode_claim(await stream.recv_message())
        try:
            state = await self._handler.claim(ask)
        except SeamholdError as error:
            raise GRPCError(Status.UNAVAILABLE, error.code) from error
        await stream.send_message(pb.ClaimReply(state=state))


class PeerServer:
    """Listens for peers on one address."""

    def __init__(self, handler: PeerHandler):
        self._server = Server([PeerService(handler)])

    async def start(self, host: str, port: int) -> None:
        """Begin to listen."""
        await self._server.start(host, port)

    async def stop(self) -> None:
        """Stop listening and end the streams."""
        self._server.close()
        await self._server.wait_closed()
