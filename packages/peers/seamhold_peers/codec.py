"""Digests and calls to protocol buffers and back.

Names of engines and workspaces travel as 32-bit hashes; both sides know the
names from the platform's list and the settings.  A hash that is not known
yet is left out: the entry comes again with the next full digest.
"""

import json
import zlib
from collections.abc import Iterable

from google.protobuf.message import DecodeError

from seamhold_membership import Digest, Event, EventKind
from seamhold_messages.errors import error_from
from seamhold_messages.fleet import Box, Engine, Phase
from seamhold_messages.hashing import hash32
from seamhold_messages.work import Holding, Suspect, Usage, Work
from seamhold_settings.versions import Candidate

from .calls import (
    AnswerEnd,
    AnswerHead,
    AnswerPart,
    ClaimAsk,
    FleetLists,
    Header,
    RelayedCall,
)
from .generated import peers_pb2 as pb

#: Bytes around one datagram: UDP 8 and IP 20.
MESSAGE_OVERHEAD_BYTES = 28
#: Bits of an incarnation's hash that a short digest carries.
START_BITS = 14
TENTHS = 10
#: What a peer sends packed must not unpack to more.
UNPACKED_MAX_BYTES = 64 * 1024 * 1024


class UnreadablePart(ValueError):
    """A packed part of a message that cannot be unpacked, or to too much."""


class NameTable:
    """Names by their 32-bit hash."""

    def __init__(self):
        self._names: dict[int, str] = {}

    def add(self, names: Iterable[str]) -> None:
        """Make these names readable."""
        for name in names:
            self._names[self.key(name)] = name

    @staticmethod
    def key(name: str) -> int:
        """The hash that a name travels as."""
        return hash32(name)

    def name(self, key: int) -> str | None:
        """The name behind a hash, if it is known here."""
        return self._names.get(key)


def start_key(incarnation: str) -> int:
    """A few bits that tell one start of a box from another."""
    return hash32(incarnation) % 2**START_BITS


def encode_digest(digest: Digest) -> pb.DigestPart:
    """A digest as it travels; only a full one spells its box out."""
    part = pb.DigestPart(
        leaving=digest.leaving,
        settings_total=digest.settings_total,
        settings_print=digest.settings_print,
        seq=digest.seq,
        base=digest.base,
        ack=digest.ack,
        engines_version=digest.engines_version,
        boxes_version=digest.boxes_version,
        store_lost=digest.store_lost,
    )
    if digest.full:
        part.box = digest.box
        part.incarnation = digest.incarnation
    else:
        part.box_key = NameTable.key(digest.box)
        part.start_key = start_key(digest.incarnation)
    for name, work in digest.loads.items():
        part.engines.append(NameTable.key(name))
        part.engine_requests.append(work.requests)
        part.engine_tokens.append(work.tokens)
    for name, usage in digest.usage.items():
        part.workspaces.append(NameTable.key(name))
        part.workspace_requests.append(usage.work.requests)
        part.workspace_tokens.append(usage.work.tokens)
        part.workspace_demand_tenths.append(round(usage.demand * TENTHS))
    for event in digest.events:
        part.events.add(
            kind=event.kind,
            subject=event.subject,
            incarnation=event.incarnation,
            origin=event.origin,
        )
    for holding in digest.held:
        part.held_chats.append(holding.chat)
        part.held_engines.append(NameTable.key(holding.engine))
    for name, count in digest.failures.items():
        part.failing_engines.append(NameTable.key(name))
        part.failed_calls.append(count)
    for suspect in digest.suspects:
        part.suspect_engines.append(NameTable.key(suspect.engine))
        part.suspect_incarnations.append(suspect.incarnation_key)
    return part


class DigestReader:
    """Reads digests, and knows who sends by the full ones."""

    def __init__(self, names: NameTable):
        self._names = names
        self._starts: dict[int, tuple[str, str]] = {}

    def read(self, data: bytes) -> Digest | None:
        """A digest, or None if it cannot be read or its sender is not known."""
        try:
            part = pb.DigestPart.FromString(data)
        except DecodeError:
            return None
        if part.box:
            self._starts[NameTable.key(part.box)] = (part.box, part.incarnation)
            return decode_digest(part, part.box, part.incarnation, self._names)
        box, incarnation = self._starts.get(part.box_key, ('', ''))
        if not box or start_key(incarnation) != part.start_key:
            return None
        return decode_digest(part, box, incarnation, self._names)


def decode_digest(part: pb.DigestPart, box: str, incarnation: str, names: NameTable) -> Digest:
    """A digest as it was meant by `box`."""
    loads = zip(part.engines, part.engine_requests, part.engine_tokens, strict=False)
    usage = zip(
        part.workspaces,
        part.workspace_requests,
        part.workspace_tokens,
        part.workspace_demand_tenths,
        strict=False,
    )
    return Digest(
        box,
        incarnation,
        part.leaving,
        {
            name: Work(requests, tokens)
            for key, requests, tokens in loads
            if (name := names.name(key))
        },
        {
            name: Usage(Work(requests, tokens), tenths / TENTHS)
            for key, requests, tokens, tenths in usage
            if (name := names.name(key))
        },
        part.settings_total,
        part.settings_print,
        [_decode_event(event) for event in part.events if event.kind in list(EventKind)],
        part.seq,
        part.base,
        part.ack,
        tuple(
            Holding(chat, name)
            for chat, key in zip(part.held_chats, part.held_engines, strict=False)
            if (name := names.name(key))
        ),
        part.engines_version,
        part.boxes_version,
        part.store_lost,
        {
            name: count
            for key, count in zip(part.failing_engines, part.failed_calls, strict=False)
            if (name := names.name(key))
        },
        tuple(
            Suspect(name, incarnation_key)
            for key, incarnation_key in zip(
                part.suspect_engines, part.suspect_incarnations, strict=False
            )
            if (name := names.name(key))
        ),
    )


def _decode_event(event: pb.EventPart) -> Event:
    return Event(EventKind(event.kind), event.subject, event.incarnation, event.origin)


def _unpack(data: bytes) -> bytes:
    unpacker = zlib.decompressobj()
    try:
        unpacked = unpacker.decompress(data, UNPACKED_MAX_BYTES)
    except zlib.error as error:
        raise UnreadablePart(str(error)) from error
    if not unpacker.eof:
        raise UnreadablePart(f'cut, or more than {UNPACKED_MAX_BYTES} bytes')
    return unpacked


def encode_candidate(candidate: Candidate) -> pb.SettingsObject:
    """A settings object as it travels."""
    return pb.SettingsObject(
        name=candidate.name,
        revision=candidate.revision,
        edit_id=candidate.edit_id,
        spec_packed=zlib.compress(json.dumps(candidate.spec).encode()),
        deleted=candidate.deleted,
        ancestors=candidate.ancestors,
    )


def decode_candidate(item: pb.SettingsObject) -> Candidate:
    """A settings object as a peer has it in force."""
    spec = json.loads(_unpack(item.spec_packed))
    ancestors = tuple(item.ancestors)
    return Candidate(item.name, item.revision, item.edit_id, spec, item.deleted, ancestors)


def encode_lists(lists: FleetLists) -> pb.PackedLists:
    """The platform's lists as they travel."""
    return pb.PackedLists(lists=zlib.compress(_plain_lists(lists).SerializeToString()))


def _plain_lists(lists: FleetLists) -> pb.Lists:
    names = sorted({holding.engine for holding in lists.held})
    places = {name: place for place, name in enumerate(names)}
    return pb.Lists(
        engines=[
            pb.ListedEngine(
                name=engine.name,
                service=engine.service,
                address=engine.address,
                failure_domain=engine.failure_domain,
                incarnation=engine.incarnation,
                slots=engine.slots,
                weight=engine.weight,
                phase=engine.phase,
            )
            for engine in lists.engines
        ],
        boxes=[
            pb.ListedBox(
                name=box.name,
                peer_address=box.peer_address,
                failure_domain=box.failure_domain,
                phase=box.phase,
            )
            for box in lists.boxes
        ],
        engines_version=lists.engines_version,
        boxes_version=lists.boxes_version,
        held_chats=[holding.chat for holding in lists.held],
        held_engines=names,
        held_by=[places[holding.engine] for holding in lists.held],
    )


def decode_lists(packed: pb.PackedLists) -> FleetLists:
    """The platform's lists as a peer saw them."""
    lists = pb.Lists.FromString(_unpack(packed.lists))
    engines = [
        Engine(
            item.name,
            item.service,
            item.address,
            item.failure_domain,
            item.incarnation,
            item.slots,
            item.weight,
            Phase(item.phase),
        )
        for item in lists.engines
    ]
    boxes = [
        Box(item.name, item.peer_address, item.failure_domain, '', Phase(item.phase))
        for item in lists.boxes
    ]
    names = list(lists.held_engines)
    held = tuple(
        Holding(chat, names[place])
        for chat, place in zip(lists.held_chats, lists.held_by, strict=False)
        if place < len(names)
    )
    return FleetLists(engines, boxes, lists.engines_version, lists.boxes_version, held)


def encode_headers(headers: Iterable[Header]) -> list[pb.Header]:
    """HTTP headers as they travel."""
    return [pb.Header(name=header.name, value=header.value) for header in headers]


def decode_headers(headers: Iterable[pb.Header]) -> tuple[Header, ...]:
    """HTTP headers as they were."""
    return tuple(Header(header.name, header.value) for header in headers)


def encode_call(call: RelayedCall) -> pb.TicketedCall:
    """A relayed call as it travels."""
    return pb.TicketedCall(
        request_id=call.request_id,
        workspace=call.workspace,
        ticket=call.ticket,
        method=call.method,
        path=call.path,
        headers=encode_headers(call.headers),
        body=call.body,
        remaining_seconds=call.remaining,
    )


def decode_call(part: pb.TicketedCall) -> RelayedCall:
    """A relayed call as the box that holds its ticket sees it."""
    return RelayedCall(
        part.request_id,
        part.workspace,
        part.ticket,
        part.method,
        part.path,
        decode_headers(part.headers),
        part.body,
        part.remaining_seconds,
    )


def encode_answer(part: AnswerPart) -> pb.AnswerPart:
    """A part of a relayed answer as it travels."""
    if isinstance(part, bytes):
        return pb.AnswerPart(data=part)
    if isinstance(part, AnswerHead):
        head = pb.AnswerHead(status=part.status, headers=encode_headers(part.headers))
        return pb.AnswerPart(head=head)
    if part.error is None:
        return pb.AnswerPart(whole=True)
    error = part.error
    return pb.AnswerPart(
        error=pb.AnswerError(
            code=error.code, detail=error.detail, retry_after=error.retry_after or 0.0
        )
    )


def decode_answer(part: pb.AnswerPart) -> AnswerPart:
    """A part of a relayed answer as the first box passes it on."""
    kind = part.WhichOneof('part')
    if kind == 'data':
        return part.data
    if kind == 'head':
        return AnswerHead(part.head.status, decode_headers(part.head.headers))
    if kind == 'whole':
        return AnswerEnd()
    error = part.error
    return AnswerEnd(error_from(error.code, error.detail, error.retry_after or None))


def encode_claim(ask: ClaimAsk) -> pb.ClaimRequest:
    """A claim as it travels to the box that writes its bucket."""
    return pb.ClaimRequest(
        bucket=ask.bucket,
        key=ask.key,
        owner=ask.owner,
        body_hash=ask.body_hash,
        wait_seconds=ask.wait,
    )


def decode_claim(part: pb.ClaimRequest) -> ClaimAsk:
    """A claim as the box that writes its bucket sees it."""
    return ClaimAsk(part.bucket, part.key, part.owner, part.body_hash, part.wait_seconds)
