"""Encode and decode digests as MessagePack.

Names of engines are sent as 32-bit hashes; both sides know the names from the platform's
list.  An entry whose hash is not known yet is left out until the entry changes.
Workspaces are also identified by their hashes, which need no resolving.
"""

import math
import struct

import msgspec
from msgspec import Struct
from msgspec.structs import astuple

from seamhold_membership import Digest, Event, EventKind
from seamhold_messages.hashing import hash32
from seamhold_messages.work import (
    NO_WORK,
    RANKS,
    RetryCount,
    SlotDemand,
    SlotReport,
    Usage,
    WaitingCalls,
    Work,
)

from .names import NameTable, pack, pack_names, unpack
from .update_codec import (
    HeartbeatColumns,
    HoldingColumns,
    ReadingColumnsWithSlowness,
    ReportColumns,
    UpdateReader,
    age_seconds,
    age_steps,
    heartbeat_columns,
    holding_columns,
    reading_columns,
    report_columns,
)

#: Header bytes of one datagram: UDP 8 and IP 20.
MESSAGE_OVERHEAD_BYTES = 28
#: Bits of the hash of the sender's incarnation in a digest that is not full.
START_BITS = 14
TENTHS = 10
HUNDREDTHS = 100


class EventPart(Struct, frozen=True, array_like=True):
    """An event; `kind` may be unknown to this version."""

    kind: int
    subject: str
    incarnation: str
    origin: str


class LoadColumns(Struct, frozen=True, array_like=True):
    """Work in flight per engine; keys are packed."""

    engines: bytes
    requests: list[int]
    tokens: list[int]


class UsageColumns(Struct, frozen=True, array_like=True):
    """Work in flight and demand per workspace; the hashes of their names are packed."""

    workspaces: bytes
    requests: list[int]
    tokens: list[int]
    demand_tenths: list[int]
    #: Work above the sender's share; None if there is none, which is the usual case.
    excess_requests: list[int] | None = None
    excess_tokens: list[int] | None = None


class RetryColumns(Struct, frozen=True, array_like=True):
    """Retries and first attempts per service; the hashes of their names are packed."""

    services: bytes
    retries: list[int]
    first_attempts: list[int]


class WaitingColumns(Struct, frozen=True, array_like=True):
    """Waiting calls per service and rank; the hashes of the services' names are packed.

    `oldest_hundredths` is how long the oldest of them has waited, in hundredths of a second.
    """

    services: bytes
    ranks: list[int]
    calls: list[int]
    oldest_hundredths: list[int]


class SlotColumns(Struct, frozen=True, array_like=True):
    """Demand for slots per brittle service; the hashes of names are packed.

    `engines` and `excess` have one item per service, and a value per engine in it.
    """

    receiver_start: int
    services: bytes
    demand_tenths: list[int]
    brittle_tenths: list[int]
    engines: list[bytes]
    excess: list[list[int]]


class DigestPart(Struct, frozen=True, array_like=True):
    """The wire format of a digest.

    Only a full digest names its sender in text; others give the hash of the box's name
    and START_BITS bits of the hash of its incarnation.  An empty part is None, which
    takes one byte.
    """

    box: str | int
    start: str | int
    seq: int
    base: int
    ack: int
    leaving: bool
    store_lost: bool
    settings_total: int
    settings_fingerprint: int
    engines_version: int
    boxes_version: int
    loads: LoadColumns | None = None
    usage: UsageColumns | None = None
    events: list[EventPart] | None = None
    held: HoldingColumns | None = None
    learned: int = 0
    readings: ReadingColumnsWithSlowness | None = None
    reports: ReportColumns | None = None
    store_age: int | None = None
    watchers: HeartbeatColumns | None = None


class DigestPartWithEvacuations(DigestPart, frozen=True, array_like=True):
    """A digest of a box that follows evacuations; other digests save the byte."""

    evacuations_version: int = 0


class DigestPartWithCases(DigestPartWithEvacuations, frozen=True, array_like=True):
    """A digest of a box that has cases of requests under which engines ended."""

    cases_fingerprint: int = 0


class DigestPartWithRetries(DigestPartWithCases, frozen=True, array_like=True):
    """A digest of a box that made retries lately."""

    retries: RetryColumns | None = None


class DigestPartWithWaiting(DigestPartWithRetries, frozen=True, array_like=True):
    """A digest of a box at which calls wait."""

    waiting: WaitingColumns | None = None


class DigestPartWithSlots(DigestPartWithWaiting, frozen=True, array_like=True):
    """A digest of a box that knows of a brittle service."""

    slots: SlotColumns | None = None


def start_key(incarnation: str) -> int:
    """Return START_BITS bits that distinguish one start of a box from another."""
    return hash32(incarnation) % 2**START_BITS


def encode_digest(digest: Digest) -> bytes:
    """Encode a digest for the wire."""
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
    # Each field is encoded only with all that precede it.
    has_waiting = bool(digest.waiting or digest.slots)
    has_retries = bool(digest.retries or has_waiting)
    if has_retries or digest.cases_fingerprint:
        fields = (*astuple(part), digest.evacuations_version, digest.cases_fingerprint)
        part = DigestPartWithCases(*fields)
    elif digest.evacuations_version:
        fields = (*astuple(part), digest.evacuations_version)
        part = DigestPartWithEvacuations(*fields)
    if has_retries:
        part = DigestPartWithRetries(*astuple(part), _retry_columns(digest.retries))
    if has_waiting:
        waiting = _waiting_columns(digest.waiting) if digest.waiting else None
        part = DigestPartWithWaiting(*astuple(part), waiting)
    if digest.slots:
        part = DigestPartWithSlots(*astuple(part), _slot_columns(digest.slots))
    return _ENCODER.encode(part)


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(DigestPartWithSlots)


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
    usages = usage.values()
    has_excess = any(one.excess != NO_WORK for one in usages)
    return UsageColumns(
        pack(usage),
        [one.work.requests for one in usages],
        [one.work.tokens for one in usages],
        # Rounded up: peers must not assume a lower demand than the box itself counts on.
        [math.ceil(one.demand * TENTHS) for one in usages],
        [one.excess.requests for one in usages] if has_excess else None,
        [one.excess.tokens for one in usages] if has_excess else None,
    )


def _retry_columns(counts: tuple[RetryCount, ...]) -> RetryColumns | None:
    if not counts:
        return None
    return RetryColumns(
        pack(count.service_key for count in counts),
        [count.retries for count in counts],
        [count.first_attempts for count in counts],
    )


def _waiting_columns(waiting: tuple[WaitingCalls, ...]) -> WaitingColumns:
    return WaitingColumns(
        pack(one.service_key for one in waiting),
        [one.rank for one in waiting],
        [one.calls for one in waiting],
        [int(one.oldest * HUNDREDTHS) for one in waiting],
    )


def _slot_columns(report: SlotReport) -> SlotColumns:
    demands = report.demands
    return SlotColumns(
        report.receiver_start,
        pack(one.service_key for one in demands),
        [one.demand_tenths for one in demands],
        # Rounded down, so that a sign that boxes relay to each other expires.
        [int(one.brittle_seconds * TENTHS) for one in demands],
        [pack(one.excess) for one in demands],
        [list(one.excess.values()) for one in demands],
    )


def _event_parts(events: list[Event]) -> list[EventPart] | None:
    return [
        EventPart(event.kind, event.subject, event.incarnation, event.origin) for event in events
    ] or None


class DigestReader:
    """Decodes digests; learns the senders from their full digests."""

    def __init__(self, names: NameTable):
        self._names = names
        self._updates = UpdateReader(names)
        self._starts: dict[int, tuple[str, str]] = {}

    def read(self, data: bytes) -> Digest | None:
        """Return a digest, or None if it is unreadable or its sender is unknown."""
        try:
            part = _DECODER.decode(data)
            box, incarnation = self._sender(part)
            return self._decode(part, box, incarnation) if box else None
        except (msgspec.MsgspecError, struct.error, RecursionError):
            return None

    def _sender(self, part: DigestPartWithSlots) -> tuple[str, str]:
        """Return the box and its incarnation, '' each if they are unknown."""
        if isinstance(part.box, str):
            sender = (part.box, str(part.start))
            self._starts[NameTable.key(part.box)] = sender
            return sender
        box, incarnation = self._starts.get(part.box, ('', ''))
        if not box or start_key(incarnation) != part.start:
            return ('', '')
        return (box, incarnation)

    def _decode(self, part: DigestPartWithSlots, box: str, incarnation: str) -> Digest:
        return Digest(
            box,
            incarnation,
            part.leaving,
            self._loads(part.loads),
            self._usage(part.usage),
            part.settings_total,
            part.settings_fingerprint,
            [_event(event) for event in part.events or () if event.kind in list(EventKind)],
            part.seq,
            part.base,
            part.ack,
            tuple(self._updates.held(part.held)),
            part.engines_version,
            part.boxes_version,
            part.store_lost,
            part.learned,
            tuple(self._updates.readings(part.readings)),
            tuple(self._updates.reports(part.reports)),
            None if part.store_age is None else age_seconds(part.store_age),
            tuple(self._updates.watchers(part.watchers)),
            part.evacuations_version,
            part.cases_fingerprint,
            self._retries(part.retries),
            self._waiting(part.waiting),
            self._slots(part.slots),
        )

    @staticmethod
    def _slots(part: SlotColumns | None) -> SlotReport | None:
        if part is None:
            return None
        rows = zip(
            unpack(part.services),
            part.demand_tenths,
            part.brittle_tenths,
            part.engines,
            part.excess,
            strict=False,
        )
        return SlotReport(
            part.receiver_start,
            tuple(
                SlotDemand(
                    key,
                    max(0, demand),
                    brittle / TENTHS,
                    dict(zip(unpack(engines), excess, strict=False)),
                )
                for key, demand, brittle, engines, excess in rows
            ),
        )

    @staticmethod
    def _retries(part: RetryColumns | None) -> tuple[RetryCount, ...]:
        if part is None:
            return ()
        rows = zip(unpack(part.services), part.retries, part.first_attempts, strict=False)
        return tuple(RetryCount(*row) for row in rows)

    @staticmethod
    def _waiting(part: WaitingColumns | None) -> tuple[WaitingCalls, ...]:
        """Return the waiting calls without the rows that no box can mean."""
        if part is None:
            return ()
        keys = unpack(part.services)
        rows = zip(keys, part.ranks, part.calls, part.oldest_hundredths, strict=False)
        return tuple(
            WaitingCalls(key, rank, calls, oldest / HUNDREDTHS)
            for key, rank, calls, oldest in rows
            if 0 <= rank < RANKS and calls > 0 and oldest >= 0
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
        excess = map(Work, part.excess_requests or none, part.excess_tokens or none)
        rows = zip(keys, part.requests, part.tokens, part.demand_tenths, excess, strict=False)
        return {
            key: Usage(Work(requests, tokens), tenths / TENTHS, above_share)
            for key, requests, tokens, tenths, above_share in rows
        }


def _event(part: EventPart) -> Event:
    return Event(EventKind(part.kind), part.subject, part.incarnation, part.origin)
