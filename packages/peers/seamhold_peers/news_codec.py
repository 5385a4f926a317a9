"""What digests pass on, to columns and back.

Ages travel in whole steps; a name that is not known here is left out.
"""

import math
from collections.abc import Iterable, Iterator

from msgspec import Struct

from seamhold_messages.work import FailureReport, Holding, LoadReading, WatcherHeartbeat

from .names import NameTable, pack, pack_names, unpack

#: Ages travel in steps of 20 ms, rounded up: a byte each up to 2.5 s.
AGE_STEPS_PER_SECOND = 50
AGE_STEPS_MAX = 2**15 - 1


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


class HeartbeatColumns(Struct, frozen=True, array_like=True):
    """Boxes that watch the platform's store; keys are packed."""

    boxes: bytes
    ages: list[int]


class HoldingColumns(Struct, frozen=True, array_like=True):
    """Chats and the engines that hold them; keys are packed."""

    chats: bytes
    engines: bytes


def age_steps(seconds: float) -> int:
    """An age as it travels."""
    # At least one: what is passed on must not look as new as what it came from.
    return min(AGE_STEPS_MAX, 1 + math.floor(seconds * AGE_STEPS_PER_SECOND))


def age_seconds(steps: int) -> float:
    """The age that travelled, in seconds."""
    return steps / AGE_STEPS_PER_SECOND


def holding_columns(held: Iterable[Holding]) -> HoldingColumns | None:
    """Who holds which chats, None if there is nothing."""
    found = list(held)
    if not found:
        return None
    return HoldingColumns(
        pack(holding.chat for holding in found), pack_names(holding.engine for holding in found)
    )


def reading_columns(readings: Iterable[LoadReading]) -> ReadingColumns | None:
    """What engines told of their load, None if there is nothing."""
    found = list(readings)
    if not found:
        return None
    return ReadingColumns(
        pack_names(reading.engine for reading in found),
        [reading.requests for reading in found],
        [age_steps(reading.age) for reading in found],
    )


def report_columns(reports: Iterable[FailureReport]) -> ReportColumns | None:
    """What boxes met at engines, None if there is nothing."""
    found = list(reports)
    if not found:
        return None
    return ReportColumns(
        pack_names(report.origin for report in found),
        pack_names(report.engine for report in found),
        [report.count for report in found],
        pack(report.stamp for report in found),
        pack(report.incarnation_key for report in found),
        [age_steps(report.age) for report in found],
    )


def heartbeat_columns(heartbeats: Iterable[WatcherHeartbeat]) -> HeartbeatColumns | None:
    """Which boxes watch the platform, None if there is nothing."""
    found = list(heartbeats)
    if not found:
        return None
    return HeartbeatColumns(
        pack_names(heartbeat.box for heartbeat in found),
        [age_steps(heartbeat.age) for heartbeat in found],
    )


class NewsReader:
    """Reads columns back, as far as their names are known."""

    def __init__(self, names: NameTable):
        self._names = names

    def held(self, part: HoldingColumns | None) -> Iterator[Holding]:
        """Who holds which chats."""
        if part is None:
            return
        for chat, key in zip(unpack(part.chats), unpack(part.engines), strict=False):
            if name := self._names.name(key):
                yield Holding(chat, name)

    def readings(self, part: ReadingColumns | None) -> Iterator[LoadReading]:
        """What engines told of their load."""
        if part is None:
            return
        rows = zip(unpack(part.engines), part.requests, part.ages, strict=False)
        for key, requests, steps in rows:
            if name := self._names.name(key):
                yield LoadReading(name, requests, age_seconds(steps))

    def watchers(self, part: HeartbeatColumns | None) -> Iterator[WatcherHeartbeat]:
        """Which boxes watch the platform."""
        if part is None:
            return
        for key, steps in zip(unpack(part.boxes), part.ages, strict=False):
            if name := self._names.name(key):
                yield WatcherHeartbeat(name, age_seconds(steps))

    def reports(self, part: ReportColumns | None) -> Iterator[FailureReport]:
        """What boxes met at engines."""
        if part is None:
            return
        rows = zip(
            unpack(part.origins),
            unpack(part.engines),
            part.counts,
            unpack(part.stamps),
            unpack(part.incarnations),
            part.ages,
            strict=False,
        )
        for origin, engine, count, stamp, incarnation_key, steps in rows:
            box, name = self._names.name(origin), self._names.name(engine)
            if box and name:
                age = age_seconds(steps)
                yield FailureReport(box, name, count, stamp, incarnation_key, age)
