"""Encode and decode the messages of gRPC calls between boxes as MessagePack.

MessagePack by msgspec instead of protocol buffers: the messages are the typed
structs themselves, and the library is loaded in any case.
"""

import json
import zlib
from typing import Any

import msgspec
from grpclib.encoding.base import CodecBase
from msgspec import Struct, structs

from seamhold_attempts.streams import StreamRecord
from seamhold_messages.errors import error_from
from seamhold_messages.work import Holding
from seamhold_quarantine import Case, EndReport
from seamhold_settings.versions import Candidate

from .calls import AnswerEnd, AnswerHead, AnswerPart, FleetLists

#: Limit on the decompressed size of a message from a peer.
UNPACKED_MAX_BYTES = 64 * 1024 * 1024


#: What msgspec and json raise for a value that has no encoding.
ENCODING_ERRORS = (ValueError, OverflowError, TypeError, RecursionError)


class UnreadablePart(ValueError):
    """A message, or a compressed part of one, cannot be decoded."""


class UnencodableMessage(ValueError):
    """A message has a value that MessagePack cannot carry."""


class MessageCodec(CodecBase):
    """grpclib codec that encodes messages as MessagePack."""

    __content_subtype__ = 'msgpack'

    def encode(self, message: object, message_type: type) -> bytes:
        """Return the encoded `message`; raises UnencodableMessage."""
        return _encode(message)

    def decode(self, data: bytes, message_type: type) -> object:
        """Return a `message_type`; raises UnreadablePart."""
        return _decode(data, message_type)


def _encode(message: object) -> bytes:
    try:
        return msgspec.msgpack.encode(message)
    except ENCODING_ERRORS as error:
        raise UnencodableMessage(f'{type(error).__name__}: {error}') from error


def _decode(data: bytes, kind: type):
    try:
        return msgspec.msgpack.decode(data, type=kind)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise UnreadablePart(str(error)) from error


def split_encodable(message: Any) -> tuple[Any, list[object]]:
    """Return a message without the items of its lists that have no encoding, and these items.

    `message` is a struct, or a tuple of items.
    """
    left_out: list[object] = []
    if isinstance(message, tuple):
        return _encodable_items(message, left_out), left_out
    lists = {
        name: _encodable_items(value, left_out)
        for name, value in structs.asdict(message).items()
        if isinstance(value, list | tuple)
    }
    return structs.replace(message, **lists), left_out


def _encodable_items(items: list | tuple, left_out: list[object]) -> list | tuple:
    kept = []
    for item in items:
        try:
            _encode(item)
            kept.append(item)
        except UnencodableMessage:
            left_out.append(item)
    return type(items)(kept)


class SettingsRequest(Struct, frozen=True):
    """Request for newer settings, with the revision of each object active at the sender."""

    revisions: dict[str, int]


class SettingsObjectPart(Struct, frozen=True):
    """A settings object; its spec is zlib-compressed JSON.

    Settings are repetitive and compress well, and bandwidth between boxes is scarce.
    """

    name: str
    revision: int
    edit_id: str
    spec_packed: bytes
    deleted: bool
    ancestors: tuple[str, ...]


class SettingsPage(Struct, frozen=True):
    """Reply with the settings objects that are newer at the peer."""

    objects: list[SettingsObjectPart]


class ListsRequest(Struct, frozen=True):
    """Request for the platform's lists.

    With `holdings`, which a starting box sets, the reply includes which engines
    cache which chats.
    """

    holdings: bool


class PackedLists(Struct, frozen=True):
    """zlib-compressed FleetLists."""

    lists: bytes


class LearnedRequest(Struct, frozen=True):
    """Request of a starting box for the holdings that engines reported to the peer."""


class PackedHoldings(Struct, frozen=True):
    """zlib-compressed holdings."""

    holdings: bytes


class AnswerData(Struct, frozen=True, tag='data'):
    """A chunk of a relayed answer's body."""

    data: bytes


class AnswerClosed(Struct, frozen=True, tag='closed'):
    """The end of a relayed answer: complete if `code` is empty, else failed with this code."""

    code: str = ''
    detail: str = ''
    retry_after: float | None = None


#: A relayed answer is a stream of one head, any number of data parts and one end.
AnswerMessage = AnswerHead | AnswerData | AnswerClosed


class ClaimReply(Struct, frozen=True):
    """Result of a claim; `state` is the value of a ClaimState."""

    state: str


class EndReports(Struct, frozen=True):
    """Reports that one engine ended, one for each feature of the request that it ran."""

    reports: tuple[EndReport, ...]


class EndReportsReply(Struct, frozen=True):
    """Reply to EndReports: the most engine ends that the peer knows of one of the features.

    `cases` are those cases of the features that are to be shared with all boxes.
    """

    ends: int
    cases: tuple[Case, ...] = ()


class RetriesRequest(Struct, frozen=True):
    """Request for what the box spent of its retry budgets before it started."""

    box: str
    incarnation: str


class StreamRecords(Struct, frozen=True):
    """Records of streams that began at the sender."""

    records: tuple[StreamRecord, ...]


class CasesRequest(Struct, frozen=True):
    """Request for the peer's cases of requests that end engines."""


class CasesPage(Struct, frozen=True):
    """Cases of requests under which engines ended, as known to the sender.

    `complete` states that the sender has itself pulled its peers' cases since its start.
    """

    cases: tuple[Case, ...]
    complete: bool = False


class Acknowledgement(Struct, frozen=True):
    """Empty reply that acknowledges a message."""


def _unpack(data: bytes) -> bytes:
    unpacker = zlib.decompressobj()
    try:
        unpacked = unpacker.decompress(data, UNPACKED_MAX_BYTES)
    except zlib.error as error:
        raise UnreadablePart(str(error)) from error
    if not unpacker.eof:
        raise UnreadablePart(f'truncated, or larger than {UNPACKED_MAX_BYTES} bytes unpacked')
    return unpacked


def encode_candidate(candidate: Candidate) -> SettingsObjectPart:
    """Encode a settings object for the wire; raises UnencodableMessage."""
    try:
        spec = json.dumps(candidate.spec).encode()
    except ENCODING_ERRORS as error:
        raise UnencodableMessage(f'{type(error).__name__}: {error}') from error
    part = SettingsObjectPart(
        candidate.name,
        candidate.revision,
        candidate.edit_id,
        zlib.compress(spec),
        candidate.deleted,
        candidate.ancestors,
    )
    _encode(part)
    return part


def decode_candidate(part: SettingsObjectPart) -> Candidate:
    """Decode a settings object from a peer; raises UnreadablePart."""
    try:
        spec = json.loads(_unpack(part.spec_packed))
    except (ValueError, RecursionError) as error:
        raise UnreadablePart(f'{part.name}: {error}') from error
    if not isinstance(spec, dict):
        raise UnreadablePart(f'{part.name}: not a settings object')
    return Candidate(part.name, part.revision, part.edit_id, spec, part.deleted, part.ancestors)


def encode_lists(lists: FleetLists) -> PackedLists:
    """Encode the platform's lists for the wire; raises UnencodableMessage."""
    return PackedLists(zlib.compress(_encode(lists)))


def decode_lists(packed: PackedLists) -> FleetLists:
    """Decode the platform's lists from a peer; raises UnreadablePart."""
    return _decode(_unpack(packed.lists), FleetLists)


def encode_holdings(holdings: tuple[Holding, ...]) -> PackedHoldings:
    """Encode holdings for the wire; raises UnencodableMessage."""
    return PackedHoldings(zlib.compress(_encode(holdings)))


def decode_holdings(packed: PackedHoldings) -> tuple[Holding, ...]:
    """Decode holdings from a peer; raises UnreadablePart."""
    return _decode(_unpack(packed.holdings), tuple[Holding, ...])


def encode_answer(part: AnswerPart) -> AnswerMessage:
    """Encode a part of a relayed answer for the wire."""
    if isinstance(part, bytes):
        return AnswerData(part)
    if isinstance(part, AnswerHead):
        return part
    if part.error is None:
        return AnswerClosed()
    return AnswerClosed(part.error.code, part.error.detail, part.error.retry_after)


def decode_answer(message: AnswerMessage) -> AnswerPart:
    """Decode a part of a relayed answer; an unknown error code becomes EngineFailed."""
    if isinstance(message, AnswerData):
        return message.data
    if isinstance(message, AnswerHead):
        return message
    if not message.code:
        return AnswerEnd()
    return AnswerEnd(error_from(message.code, message.detail, message.retry_after))
