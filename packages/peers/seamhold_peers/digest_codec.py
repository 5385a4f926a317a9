"""Digests to bytes and back, in MessagePack.

Names of engines and workspaces travel as 32-bit hashes; both sides know the
names from the platform's list and the settings.  A hash that is not known
yet is left out: the entry comes again with the next full digest.
"""

import math
import struct
from collections.abc import Iterable, Iterator

import msgspec
from msgspec import Struct

from seamhold_membership import Digest, Event, EventKind
from seamhold_messages.hashing import hash32
from seamhold_messages.work import (
    FailureReport,
    Holding,
    LoadReading,
    Usage,
    WatchWord,
    Work,
)

#: Bytes around one datagram: UDP 8 and IP 20.
MESSAGE_OVERHEAD_BYTES = 28
#: Bits of an incarnation's hash that a short digest carries.
START_BITS = 14
TENTHS = 10
KEY_BYTES = 4
#: Ages travel in steps of 20 ms, rounded up: a byte each up to 2.5 s.
AGE_STEPS_PER_SECOND = 50
AGE_STEPS_MAX = 2**15 - 1


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
    """Work and demand, workspace by workspace; keys are packed."""

    workspaces: bytes
    requests: list[int]
    tokens: list[int]
    demand_tenths: list[int]


class ReadingColumns(Struct, frozen=True, array_like=True):
    """What engines told of their load; keys are packed."""

    engines: bytes
    requests: list[int]
    ages: list[int]


class ReportColumns(Struct, frozen=True, array_like=True):
    """What boxes' calls met at engines that fail; keys are packed."""

    origins: bytes
    engines: bytes
    counts: list[int]
    stamps: bytes
    incarnations: bytes
    ages: list[int]


class KeyPairs(Struct, frozen=True, array_like=True):
    """Pairs of 32-bit hashes, packed."""

    firsts: bytes
    seconds: bytes


class WatchColumns(Struct, frozen=True, array_like=True):
    """Boxes that watch the platform's store; keys are packed."""

    boxes: bytes
    ages: list[int]


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
    held: KeyPairs | None = None
    learned: int = 0
    readings: ReadingColumns | None = None
    reports: ReportColumns | None = None
    store_age: int | None = None
    watchers: WatchColumns | None = None


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


def encode_digest(digest: Digest) -> bytes:
    """A digest as it travels."""
    full = digest.full
    return _ENCODER.encode(
        DigestPart(
            digest.box if full else NameTable.key(digest.box),
            digest.incarnation if full else start_key(digest.incarnation),
            digest.seq,
            digest.base,
            digest.ack,
            digest.leaving,
            digest.store_lost,
            digest.settings_total,
            digest.settings_print,
            digest.engines_version,
            digest.boxes_version,
            _load_columns(digest.loads),
            _usage_columns(digest.usage),
            _event_parts(digest.events),
            _pairs((item.chat, NameTable.key(item.engine)) for item in digest.held),
            digest.learned,
            _reading_columns(digest.readings),
            _report_columns(digest.reports),
            None if digest.store_age is None else _age_steps(digest.store_age),
            _watch_columns(digest.watchers),
        )
    )


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(DigestPart)


def _pack(keys: Iterable[int]) -> bytes:
    numbers = list(keys)
    return struct.pack(f'<{len(numbers)}I', *numbers)


def _unpack(data: bytes) -> tuple[int, ...]:
    return struct.unpack(f'<{len(data) // KEY_BYTES}I', data)


def _pack_names(names: Iterable[str]) -> bytes:
    return _pack(map(NameTable.key, names))


def _load_columns(loads: dict[str, Work]) -> LoadColumns | None:
    if not loads:
        return None
    works = loads.values()
    return LoadColumns(
        _pack_names(loads),
        [work.requests for work in works],
        [work.tokens for work in works],
    )


def _usage_columns(usage: dict[str, Usage]) -> UsageColumns | None:
    if not usage:
        return None
    told = usage.values()
    return UsageColumns(
        _pack_names(usage),
        [one.work.requests for one in told],
        [one.work.tokens for one in told],
        [round(one.demand * TENTHS) for one in told],
    )


def _event_parts(events: list[Event]) -> list[EventPart] | None:
    return [
        EventPart(event.kind, event.subject, event.incarnation, event.origin) for event in events
    ] or None


def _age_steps(seconds: float) -> int:
    # At least one: what is passed on must not look as new as what it came from.
    return min(AGE_STEPS_MAX, 1 + math.floor(seconds * AGE_STEPS_PER_SECOND))


def _reading_columns(readings: Iterable[LoadReading]) -> ReadingColumns | None:
    found = list(readings)
    if not found:
        return None
    return ReadingColumns(
        _pack_names(reading.engine for reading in found),
        [reading.requests for reading in found],
        [_age_steps(reading.age) for reading in found],
    )


def _report_columns(reports: Iterable[FailureReport]) -> ReportColumns | None:
    found = list(reports)
    if not found:
        return None
    return ReportColumns(
        _pack_names(report.origin for report in found),
        _pack_names(report.engine for report in found),
        [report.count for report in found],
        _pack(report.stamp for report in found),
        _pack(report.incarnation_key for report in found),
        [_age_steps(report.age) for report in found],
    )


def _pairs(pairs: Iterable[tuple[int, int]]) -> KeyPairs | None:
    found = list(pairs)
    if not found:
        return None
    firsts, seconds = zip(*found, strict=True)
    return KeyPairs(_pack(firsts), _pack(seconds))


def _watch_columns(words: Iterable[WatchWord]) -> WatchColumns | None:
    found = list(words)
    if not found:
        return None
    return WatchColumns(
        _pack_names(word.box for word in found), [_age_steps(word.age) for word in found]
    )


class DigestReader:
    """Reads digests, and knows who sends by the full ones."""

    def __init__(self, names: NameTable):
        self._names = names
        self._starts: dict[int, tuple[str, str]] = {}

    def read(self, data: bytes) -> Digest | None:
        """A digest, or None if it cannot be read or its sender is not known."""
        try:
            part = _DECODER.decode(data)
            box, incarnation = self._sender(part)
            return self._decode(part, box, incarnation) if box else None
        except (msgspec.MsgspecError, struct.error):
            return None

    def _sender(self, part: DigestPart) -> tuple[str, str]:
        """The box and its incarnation, '' if they are not known."""
        if isinstance(part.box, str):
            sender = (part.box, str(part.start))
            self._starts[NameTable.key(part.box)] = sender
            return sender
        box, incarnation = self._starts.get(part.box, ('', ''))
        if not box or start_key(incarnation) != part.start:
            return ('', '')
        return (box, incarnation)

    def _decode(self, part: DigestPart, box: str, incarnation: str) -> Digest:
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
            tuple(self._held(part.held)),
            part.engines_version,
            part.boxes_version,
            part.store_lost,
            part.learned,
            tuple(self._readings(part.readings)),
            tuple(self._reports(part.reports)),
            None if part.store_age is None else part.store_age / AGE_STEPS_PER_SECOND,
            tuple(self._watchers(part.watchers)),
        )

    def _loads(self, part: LoadColumns | None) -> dict[str, Work]:
        if part is None:
            return {}
        rows = zip(_unpack(part.engines), part.requests, part.tokens, strict=False)
        return {
            name: Work(requests, tokens)
            for key, requests, tokens in rows
            if (name := self._names.name(key))
        }

    def _usage(self, part: UsageColumns | None) -> dict[str, Usage]:
        if part is None:
            return {}
        keys = _unpack(part.workspaces)
        rows = zip(keys, part.requests, part.tokens, part.demand_tenths, strict=False)
        return {
            name: Usage(Work(requests, tokens), tenths / TENTHS)
            for key, requests, tokens, tenths in rows
            if (name := self._names.name(key))
        }

    def _held(self, part: KeyPairs | None) -> Iterator[Holding]:
        for chat, key in _unpacked_pairs(part):
            if name := self._names.name(key):
                yield Holding(chat, name)

    def _readings(self, part: ReadingColumns | None) -> Iterator[LoadReading]:
        if part is None:
            return
        rows = zip(_unpack(part.engines), part.requests, part.ages, strict=False)
        for key, requests, steps in rows:
            if name := self._names.name(key):
                yield LoadReading(name, requests, steps / AGE_STEPS_PER_SECOND)

    def _watchers(self, part: WatchColumns | None) -> Iterator[WatchWord]:
        if part is None:
            return
        for key, steps in zip(_unpack(part.boxes), part.ages, strict=False):
            if name := self._names.name(key):
                yield WatchWord(name, steps / AGE_STEPS_PER_SECOND)

    def _reports(self, part: ReportColumns | None) -> Iterator[FailureReport]:
        if part is None:
            return
        rows = zip(
            _unpack(part.origins),
            _unpack(part.engines),
            part.counts,
            _unpack(part.stamps),
            _unpack(part.incarnations),
            part.ages,
            strict=False,
        )
        for origin, engine, count, stamp, incarnation_key, steps in rows:
            box, name = self._names.name(origin), self._names.name(engine)
            if box and name:
                age = steps / AGE_STEPS_PER_SECOND
                yield FailureReport(box, name, count, stamp, incarnation_key, age)


def _unpacked_pairs(part: KeyPairs | None) -> Iterator[tuple[int, int]]:
    if part is None:
        return iter(())
    return zip(_unpack(part.firsts), _unpack(part.seconds), strict=False)


def _event(part: EventPart) -> Event:
    return Event(EventKind(part.kind), part.subject, part.incarnation, part.origin)
