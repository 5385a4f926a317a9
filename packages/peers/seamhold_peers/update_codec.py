"""Encode and decode the updates that digests pass on, as columns.

Ages are sent in whole steps; a row with an unknown name is left out.
"""

import math
from collections.abc import Iterable, Iterator
from itertools import chain, repeat

from msgspec import Struct
from msgspec.structs import astuple

from seamhold_messages.work import FailureReport, Holding, LoadReading, WatcherHeartbeat

from .names import NameTable, pack, pack_names, unpack

#: Ages are sent in steps of 20 ms, rounded up: one byte each up to 2.5 s.
AGE_STEPS_PER_SECOND = 50
AGE_STEPS_MAX = 2**15 - 1
#: Speeds are sent in hundredths of the usual time, as engines report them.
HUNDREDTHS = 100
SLOWNESS_HUNDREDTHS_MAX = 10**9 - 1


class ReadingColumns(Struct, frozen=True, array_like=True):
    """Load reported by engines; keys are packed."""

    engines: bytes
    requests: list[int]
    ages: list[int]


class ReadingColumnsWithSlowness(ReadingColumns, frozen=True, array_like=True):
    """Load readings of which some have a speed; other readings save the byte.

    `slowness` is in hundredths of the usual time, 0 for none.  Older versions ignore it.
    """

    slowness: list[int] | None = None


class ReportColumns(Struct, frozen=True, array_like=True):
    """Boxes' reports of failed calls to engines; keys are packed."""

    origins: bytes
    engines: bytes
    counts: list[int]
    stamps: bytes
    incarnations: bytes
    ages: list[int]


class HeartbeatColumns(Struct, frozen=True, array_like=True):
    """Heartbeats of boxes that watch the platform's store; keys are packed."""

    boxes: bytes
    ages: list[int]


class HoldingColumns(Struct, frozen=True, array_like=True):
    """Chats and the engines that cache them; keys are packed."""

    chats: bytes
    engines: bytes


def age_steps(seconds: float) -> int:
    """Return an age in wire steps, at least 1 and at most AGE_STEPS_MAX."""
    # At least 1: passed-on state must not look as fresh as its source.
    return min(AGE_STEPS_MAX, 1 + math.floor(seconds * AGE_STEPS_PER_SECOND))


def age_seconds(steps: int) -> float:
    """Return an age from the wire in seconds."""
    return steps / AGE_STEPS_PER_SECOND


def holding_columns(held: Iterable[Holding]) -> HoldingColumns | None:
    """Return the columns of holdings, None if there are none."""
    found = list(held)
    if not found:
        return None
    return HoldingColumns(
        pack(holding.chat for holding in found), pack_names(holding.engine for holding in found)
    )


def reading_columns(readings: Iterable[LoadReading]) -> ReadingColumns | None:
    """Return the columns of load readings, None if there are none."""
    found = list(readings)
    if not found:
        return None
    columns = ReadingColumns(
        pack_names(reading.engine for reading in found),
        [reading.requests for reading in found],
        [age_steps(reading.age) for reading in found],
    )
    if all(reading.slowness is None for reading in found):
        return columns
    return ReadingColumnsWithSlowness(
        *astuple(columns), [_slowness_hundredths(reading.slowness) for reading in found]
    )


def _slowness_hundredths(slowness: float | None) -> int:
    if slowness is None:
        return 0
    return max(1, min(SLOWNESS_HUNDREDTHS_MAX, round(slowness * HUNDREDTHS)))


def _slowness(hundredths: int) -> float | None:
    if not 0 < hundredths <= SLOWNESS_HUNDREDTHS_MAX:
        return None
    return hundredths / HUNDREDTHS


def report_columns(reports: Iterable[FailureReport]) -> ReportColumns | None:
    """Return the columns of failure reports, None if there are none."""
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
    """Return the columns of watcher heartbeats, None if there are none."""
    found = list(heartbeats)
    if not found:
        return None
    return HeartbeatColumns(
        pack_names(heartbeat.box for heartbeat in found),
        [age_steps(heartbeat.age) for heartbeat in found],
    )


class UpdateReader:
    """Decodes columns; leaves out rows whose names are unknown."""

    def __init__(self, names: NameTable):
        self._names = names

    def held(self, part: HoldingColumns | None) -> Iterator[Holding]:
        """Yield the holdings."""
        if part is None:
            return
        for chat, key in zip(unpack(part.chats), unpack(part.engines), strict=False):
            if name := self._names.name(key):
                yield Holding(chat, name)

    def readings(self, part: ReadingColumnsWithSlowness | None) -> Iterator[LoadReading]:
        """Yield the engines' load readings."""
        if part is None:
            return
        # A column that is absent or too short leaves readings without a speed.
        speeds = chain(part.slowness or (), repeat(0))
        rows = zip(unpack(part.engines), part.requests, part.ages, speeds, strict=False)
        for key, requests, steps, hundredths in rows:
            if name := self._names.name(key):
                yield LoadReading(name, requests, age_seconds(steps), _slowness(hundredths))

    def watchers(self, part: HeartbeatColumns | None) -> Iterator[WatcherHeartbeat]:
        """Yield the heartbeats of boxes that watch the platform."""
        if part is None:
            return
        for key, steps in zip(unpack(part.boxes), part.ages, strict=False):
            if name := self._names.name(key):
                yield WatcherHeartbeat(name, age_seconds(steps))

    def reports(self, part: ReportColumns | None) -> Iterator[FailureReport]:
        """Yield the boxes' failure reports."""
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
