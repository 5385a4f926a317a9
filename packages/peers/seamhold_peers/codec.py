"""What boxes ask of one another to bytes and back, in MessagePack.

MessagePack by msgspec in place of protocol buffers: the messages are the
typed structs themselves, and a box has its library loaded anyway.
"""

import json
import zlib

import msgspec
from grpclib.encoding.base import CodecBase
from msgspec import Struct

from seamhold_messages.errors import error_from
from seamhold_messages.work import Holding
from seamhold_quarantine import Case
from seamhold_settings.versions import Candidate

from .calls import AnswerEnd, AnswerHead, AnswerPart, FleetLists

#: What a peer sends packed must not unpack to more.
UNPACKED_MAX_BYTES = 64 * 1024 * 1024


class UnreadablePart(ValueError):
    """A message, or a packed part of one, that cannot be read."""


class MessageCodec(CodecBase):
    """The messages of a gRPC call as MessagePack."""

    __content_subtype__ = 'msgpack'

    def encode(self, message: object, message_type: type) -> bytes:
        """The bytes of `message`."""
        return msgspec.msgpack.encode(message)

    def decode(self, data: bytes, message_type: type) -> object:
        """A `message_type`; raises UnreadablePart."""
        return _decode(data, message_type)


def _decode(data: bytes, kind: type):
    try:
        return msgspec.msgpack.decode(data, type=kind)
    except msgspec.MsgspecError as error:
        raise UnreadablePart(str(error)) from error


class SettingsKnown(Struct, frozen=True):
    """The revision of each settings object that the asker has in force."""

    revisions: dict[str, int]


class SettingsObjectPart(Struct, frozen=True):
    """A settings object; its spec is JSON in zlib's format.

    A tree is mostly repeated words, and links are thin.
    """

    name: str
    revision: int
    edit_id: str
    spec_packed: bytes
    deleted: bool
    ancestors: tuple[str, ...]


class SettingsPage(Struct, frozen=True):
    """Settings objects that are newer at the peer that was asked."""

    objects: list[SettingsObjectPart]


class ListsWanted(Struct, frozen=True):
    """The asker wants the lists.

    With `holdings`, when it has just started, also which engines have read
    which chats.
    """

    holdings: bool


class PackedLists(Struct, frozen=True):
    """FleetLists in zlib's format."""

    lists: bytes


class LearnedWanted(Struct, frozen=True):
    """The asker, which has just started, wants what engines told the peer."""


class PackedHoldings(Struct, frozen=True):
    """Holdings in zlib's format."""

    holdings: bytes


class AnswerData(Struct, frozen=True, tag='data'):
    """Bytes of a relayed answer's body."""

    data: bytes


class AnswerClosed(Struct, frozen=True, tag='closed'):
    """The end of a relayed answer: whole, or with the code of a failure."""

    code: str = ''
    detail: str = ''
    retry_after: float | None = None


#: A relayed answer travels as its head, then data, then how it ended.
AnswerMessage = AnswerHead | AnswerData | AnswerClosed


class ClaimReply(Struct, frozen=True):
    """What became of a claim, a ClaimState."""

    state: str


class EndsKnown(Struct, frozen=True):
    """How many engines ended under a request, as far as the peer knows.

    `case` is what all boxes should know of it, None for nothing.
    """

    ends: int
    case: Case | None = None


class CasesWanted(Struct, frozen=True):
    """The asker wants what the peer knows of requests that end engines."""


class CasesPage(Struct, frozen=True):
    """Requests under which engines ended, as the peer knows them.

    `complete` tells that it has asked itself, at its start, what others know.
    """

    cases: tuple[Case, ...]
    complete: bool = False


class Heard(Struct, frozen=True):
    """The peer has heard what it was told."""


def _unpack(data: bytes) -> bytes:
    unpacker = zlib.decompressobj()
    try:
        unpacked = unpacker.decompress(data, UNPACKED_MAX_BYTES)
    except zlib.error as error:
        raise UnreadablePart(str(error)) from error
    if not unpacker.eof:
        raise UnreadablePart(f'cut, or more than {UNPACKED_MAX_BYTES} bytes')
    return unpacked


def encode_candidate(candidate: Candidate) -> SettingsObjectPart:
    """A settings object as it travels."""
    return SettingsObjectPart(
        candidate.name,
        candidate.revision,
        candidate.edit_id,
        zlib.compress(json.dumps(candidate.spec).encode()),
        candidate.deleted,
        candidate.ancestors,
    )


def decode_candidate(part: SettingsObjectPart) -> Candidate:
    """A settings object as a peer has it in force."""
    spec = json.loads(_unpack(part.spec_packed))
    return Candidate(part.name, part.revision, part.edit_id, spec, part.deleted, part.ancestors)


def encode_lists(lists: FleetLists) -> PackedLists:
    """The platform's lists as they travel."""
    return PackedLists(zlib.compress(msgspec.msgpack.encode(lists)))


def decode_lists(packed: PackedLists) -> FleetLists:
    """The platform's lists as a peer saw them."""
    return _decode(_unpack(packed.lists), FleetLists)


def encode_holdings(holdings: tuple[Holding, ...]) -> PackedHoldings:
    """Holdings as they travel."""
    return PackedHoldings(zlib.compress(msgspec.msgpack.encode(holdings)))


def decode_holdings(packed: PackedHoldings) -> tuple[Holding, ...]:
    """Holdings as a peer knows them."""
    return _decode(_unpack(packed.holdings), tuple[Holding, ...])


def encode_answer(part: AnswerPart) -> AnswerMessage:
    """A part of a relayed answer as it travels."""
    if isinstance(part, bytes):
        return AnswerData(part)
    if isinstance(part, AnswerHead):
        return part
    if part.error is None:
        return AnswerClosed()
    return AnswerClosed(part.error.code, part.error.detail, part.error.retry_after)


def decode_answer(message: AnswerMessage) -> AnswerPart:
    """A part of a relayed answer as the first box passes it on."""
    if isinstance(message, AnswerData):
        return message.data
    if isinstance(message, AnswerHead):
        return message
    if not message.code:
        return AnswerEnd()
    return AnswerEnd(error_from(message.code, message.detail, message.retry_after))
