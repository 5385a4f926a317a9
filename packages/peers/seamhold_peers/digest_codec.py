"""Digests to bytes and back, in MessagePack.

Names of engines travel as 32-bit hashes; both sides know the names from the platform's
list.  A hash that is not known yet is left out until its entry changes.  Workspaces are
told by such hashes, too, and need no name.
"""

import math
import struct

import msgspec
from msgspec import Struct
from msgspec.structs import astuple

from seamhold_membership import Digest, Event, EventKind
from seamhold_messages.hashing import hash32
from seamhold_messages.work import NO_WORK, Usage, Work

from .names import NameTable, pack, pack_names, unpack
from .news_codec import (
    HeartbeatColumns,
    HoldingColumns,
    NewsReader,
    ReadingColumns,
    ReportColumns,
    age_seconds,
    age_steps,
    heartbeat_columns,
    holding_columns,
    reading_columns,
    report_columns,
)

#: Bytes around one datagram: UDP 8 and IP 20.
MESSAGE_OVERHEAD_BYTES = 28
#: Bits of an incarnation's hash that a short digest carries.
START_BITS = 14
TENTHS = 10


class EventPart(Struct, frozen=True, array_like=True):
    """An event; `kind` may be one that this version does not know."""

    kind: int
    subject: str
    incarnation: str
    origin: str


class LoadColumns(Struct, frozen=True, array_like=True):
    """Work in flight, engine by engine; keys are packed."""

    engines: bytes
    requests: list[int]
    tokens: list[int]


class UsageColumns(Struct, frozen=True, array_like=True):
    """Work and demand, workspace by workspace; the hashes of their names are packed."""

    workspaces: bytes
    requests: list[int]
    tokens: list[int]
    demand_tenths: list[int]
    #: Work above the sender's share; None where there is none, as mostly.
    over_requests: list[int] | None = None
    over_tokens: list[int] | None = None


class DigestPart(Struct, frozen=True, array_like=True):
    """A digest as it travels.

    Only a full one spells its sender out; the others name the box by its hash
    and its start by some bits of one.  What there is none of is None, a byte.
    """

    box: str | int
    start: str | int
    seq: int
    base: int
    ack: int
    leaving: bool
    store_lost: bool
    settings_total: int
    settings_print: int
    engines_version: int
    boxes_version: int
    loads: LoadColumns | None = None
    usage: UsageColumns | None = None
    events: list[EventPart] | None = None
    held: HoldingColumns | None = None
    learned: int = 0
    readings: ReadingColumns | None = None
    reports: ReportColumns | None = None
    store_age: int | None = None
    watchers: HeartbeatColumns | None = None


class LongDigestPart(DigestPart, frozen=True, array_like=True):
    """A digest where evacuations are followed; others are spared the byte."""

    evacuations_version: int = 0


class LongestDigestPart(LongDigestPart, frozen=True, array_like=True):
    """A digest where engines ended under requests."""

    cases_print: int = 0


def start_key(incarnation: str) -> int:
    """A few bits that tell one start of a box from another."""
    return hash32(incarnation) % 2**START_BITS


def encode_digest(digest: Digest) -> bytes:
    """A digest as it travels."""
    full = digest.full
    part = DigestPart(
        digest.box if full else NameTable.key(digest.box),
        digest.incarnation if full else start_key(digest.incarnation),
        digest.seq,
        digest.base,
        digest.ack,
        digest.leaving,
        digest.store_lost,
        digest.settings_total,
        digest.settings_fingerprint,
        digest.engines_version,
        digest.boxes_version,
        _load_columns(digest.loads),
        _usage_columns(digest.usage),
        _event_parts(digest.events),
        holding_columns(digest.held),
        digest.learned,
        reading_columns(digest.readings),
        report_columns(digest.reports),
        None if digest.store_age is None else age_steps(digest.store_age),
        heartbeat_columns(digest.watchers),
    )
    if digest.cases_fingerprint:
        longest = (digest.evacuations_version, digest.cases_fingerprint)
        part = LongestDigestPart(*astuple(part), *longest)
    elif digest.evacuations_version:
        part = LongDigestPart(*astuple(part), digest.evacuations_version)
    return _ENCODER.encode(part)


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(LongestDigestPart)


def _load_columns(loads: dict[str, Work]) -> LoadColumns | None:
    if not loads:
        return None
    works = loads.values()
    return LoadColumns(
        pack_names(loads),
        [work.requests for work in works],
        [work.tokens for work in works],
    )


def _usage_columns(usage: dict[int, Usage]) -> UsageColumns | None:
    if not usage:
        return None
    told = usage.values()
    over = any(one.over != NO_WORK for one in told)
    return UsageColumns(
        pack(usage),
        [one.work.requests for one in told],
        [one.work.tokens for one in told],
        # Not down: a box counts on no more than others believe that it asked for.
        [math.ceil(one.demand * TENTHS) for one in told],
        [one.over.requests for one in told] if over else None,
        [one.over.tokens for one in told] if over else None,
    )


def _event_parts(events: list[Event]) -> list[EventPart] | None:
    return [
        EventPart(event.kind, event.subject, event.incarnation, event.origin) for event in events
    ] or None


class DigestReader:
    """Reads digests, and knows who sends by the full ones."""

    def __init__(self, names: NameTable):
        self._names = names
        self._news = NewsReader(names)
        self._starts: dict[int, tuple[str, str]] = {}

    def read(self, data: bytes) -> Digest | None:
        """A digest, or None if it cannot be read or its sender is not known."""
        try:
            part = _DECODER.decode(data)
            box, incarnation = self._sender(part)
            return self._decode(part, box, incarnation) if box else None
        except (msgspec.MsgspecError, struct.error):
            return None

    def _sender(self, part: LongestDigestPart) -> tuple[str, str]:
        """The box and its incarnation, '' if they are not known."""
        if isinstance(part.box, str):
            sender = (part.box, str(part.start))
            self._starts[NameTable.key(part.box)] = sender
            return sender
        box, incarnation = self._starts.get(part.box, ('', ''))
        if not box or start_key(incarnation) != part.start:
            return ('', '')
        return (box, incarnation)

    def _decode(self, part: LongestDigestPart, box: str, incarnation: str) -> Digest:
        return Digest(
            box,
            incarnation,
            part.leaving,
            self._loads(part.loads),
            self._usage(part.usage),
            part.settings_total,
            part.settings_print,
            [_event(event) for event in part.events or () if event.kind in list(EventKind)],
            part.seq,
            part.base,
            part.ack,
            tuple(self._news.held(part.held)),
            part.engines_version,
            part.boxes_version,
            part.store_lost,
            part.learned,
            tuple(self._news.readings(part.readings)),
            tuple(self._news.reports(part.reports)),
            None if part.store_age is None else age_seconds(part.store_age),
            tuple(self._news.watchers(part.watchers)),
            part.evacuations_version,
            part.cases_print,
        )

    def _loads(self, part: LoadColumns | None) -> dict[str, Work]:
        if part is None:
            return {}
        rows = zip(unpack(part.engines), part.requests, part.tokens, strict=False)
        return {
            name: Work(requests, tokens)
            for key, requests, tokens in rows
            if (name := self._names.name(key))
        }

    @staticmethod
    def _usage(part: UsageColumns | None) -> dict[int, Usage]:
        if part is None:
            return {}
        keys = unpack(part.workspaces)
        none = [0] * len(keys)
        over = map(Work, part.over_requests or none, part.over_tokens or none)
        rows = zip(keys, part.requests, part.tokens, part.demand_tenths, over, strict=False)
        return {
            key: Usage(Work(requests, tokens), tenths / TENTHS, above)
            for key, requests, tokens, tenths, above in rows
        }


def _event(part: EventPart) -> Event:
    return Event(EventKind(part.kind), part.subject, part.incarnation, part.origin)
