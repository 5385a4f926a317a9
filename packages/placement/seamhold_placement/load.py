"""Estimates the work on each engine as one box knows it.

Some engines report with each answer how many calls run and wait there. Such an engine's load is
its newest reading, whichever box received it, plus this box's own calls since. The size of
this state depends on the number of engines and not on the number of boxes. When 195 boxes each
received digests of own work from 14 others, they knew 7 percent of the load, and 36 of 1,045
calls in five seconds without disturbances exceeded the guaranteed bound.

For an engine that reports nothing, a box knows its own work exactly and that of its peers from
digests that are a few hundred milliseconds old.

Work that peers have sent since the last report, the engine's or their own, is unreported. A box
assumes that each peer sent as much as it did itself, scaled by `peer_growth`. The older its
knowledge, the less room it sees, so boxes share the room left at an engine without a message
per call. With 8 boxes, up to 5 of 14 engines leaving, a hot prompt and 0.05 to 0.1 s of delay
each way, 45 of 657 calls in five seconds exceeded the guaranteed bound with a `peer_growth` of
0.25, 22 with 0.5 and 24 with 1. On a run without disturbances 0.062, 0.066 and 0.075 of the
calls reached an engine that had to process their prompt, and with 65 boxes 0.083, 0.077 and
0.074 (routers without processes or network, two seeds).

An engine that does not answer ends no calls either. Its reading does not fade, and the work that
peers may have sent there counts in full.

The sums over the engines of a service are updated with every change, so a decision takes the
same time for any number of engines.
"""

from collections import defaultdict, deque
from collections.abc import Iterable

from msgspec import Struct

from seamhold_messages.work import NO_WORK, LoadReading, Work

from .answering import PendingAnswers
from .speeds import SpeedTable

#: Maximum age of a reading, in seconds. A working engine reports several times per second, so
#: one without a reading for this long is idle or stuck.
READING_SECONDS = 2.0
#: Age from which a reading fades, in seconds: some of the calls that it counted have ended, and
#: nothing reports that. Without fading, an engine that was full and is avoided for it seems full
#: to all boxes until its reading expires, and all calls go to the few others. With 65 boxes, 56
#: engines of 12 slots and calls for 0.93 of the slots, 62 of 100 calls in the worst second
#: exceeded the guaranteed bound and 53 reached engines that had to process their prompt; with
#: fading 3 and 23 (routers without processes or network, one seed).
FADING_FROM_SECONDS = 0.25
#: Weight of the newest call in the smoothed number of tokens per call.
TOKENS_SMOOTHING = 0.1


class _Reading(Struct, frozen=True):
    requests: int
    at: float


class _Change(Struct, frozen=True):
    at: float
    work: Work


class LoadTable:
    """Work in flight per engine: this box's own and what engines and peers reported."""

    def __init__(self, peer_growth: float = 0.0):
        self._peer_growth = peer_growth
        self._own: dict[str, Work] = {}
        self._known: dict[str, Work] = {}
        self._own_since_report: dict[str, Work] = {}
        #: Work that peers are assumed to have sent since the last report.
        self._unreported: dict[str, Work] = {}
        self._peers: dict[str, dict[str, Work]] = {}
        self._readings: dict[str, _Reading] = {}
        #: This box's recent starts and ends, to be added to readings that are older.
        self._changes: dict[str, deque[_Change]] = defaultdict(deque)
        # Whether an engine answers makes no difference before its reading fades.
        self._pending = PendingAnswers(FADING_FROM_SECONDS)
        self._tokens_per_call = 0.0
        #: The newest speed that each engine reported to any box.
        self.speeds = SpeedTable()
        self._group_of: dict[str, str] = {}
        self._group_known: dict[str, Work] = defaultdict(lambda: NO_WORK)
        self._group_unreported: dict[str, Work] = defaultdict(lambda: NO_WORK)
        #: Number of this box's own calls, by group.
        self._group_own: dict[str, int] = defaultdict(int)

    @property
    def peer_growth(self) -> float:
        """Work assumed to be sent by each peer since a report, as a fraction of this box's own."""
        return self._peer_growth

    @peer_growth.setter
    def peer_growth(self, fraction: float) -> None:
        self._peer_growth = fraction
        self._estimate_all_unreported()

    # Updates.

    def start(self, engine: str, work: Work, now: float = 0.0) -> None:
        """Record that this box sends `work` to `engine`."""
        self._add_own(engine, work)
        self._pending.record_sent(engine, now)
        self._add_known(engine, work)
        self._record_change(engine, work, now)
        self._tokens_per_call += TOKENS_SMOOTHING * (work.tokens - self._tokens_per_call)
        self._add_own_since_report(engine, work)

    def record_answer(self, engine: str, sent_at: float, now: float) -> None:
        """Record that `engine` starts to answer the call that this box sent at `sent_at`."""
        self._pending.record_answer(engine, self._group_of.get(engine, ''), sent_at, now)

    def finish(
        self, engine: str, work: Work, now: float = 0.0, sent_at: float | None = None
    ) -> None:
        """Record the end of work that this box sent to `engine`.

        `sent_at` is given if its answer did not start.
        """
        if sent_at is not None:
            self._pending.record_end(engine, sent_at)
        self._add_own(engine, NO_WORK - work)
        # The newest reading may already exclude it.
        if engine not in self._readings or self._known.get(engine, NO_WORK).requests > 0:
            self._add_known(engine, NO_WORK - work)
        self._record_change(engine, NO_WORK - work, now)
        # Each reading removes the calls that it counts, so they are not removed again here.
        if engine in self._own_since_report and engine not in self._readings:
            self._add_own_since_report(engine, NO_WORK - work)

    def _add_own(self, engine: str, change: Work) -> None:
        before = self._own.get(engine, NO_WORK)
        after = before + change
        if after.requests > 0:
            self._own[engine] = after
        else:
            self._own.pop(engine, None)
        group = self._group_of.get(engine)
        if group is not None:
            self._group_own[group] += max(0, after.requests) - before.requests

    def _record_change(self, engine: str, work: Work, now: float) -> None:
        changes = self._changes[engine]
        changes.append(_Change(now, work))
        while changes[0].at < now - READING_SECONDS:
            changes.popleft()

    def apply_reading(self, reading: LoadReading, now: float, newer_by: float = 0.0) -> bool:
        """Apply a reading that this box or another received from an engine.

        Return False, and ignore the reading, if it has expired or is not newer than the current
        one by more than `newer_by` seconds.
        """
        at = now - reading.age
        current = self._readings.get(reading.engine)
        if reading.age > READING_SECONDS:
            return False
        if current is not None and at <= current.at + newer_by:
            return False
        self._readings[reading.engine] = _Reading(reading.requests, at)
        if reading.slowness is not None:
            self.speeds.record(reading.engine, reading.slowness, at)
        changes = [
            change.work for change in self._changes.get(reading.engine, ()) if change.at > at
        ]
        own = self._own.get(reading.engine, NO_WORK).requests
        requests = max(own, reading.requests + sum(change.requests for change in changes))
        self._set_known(reading.engine, Work(requests, round(requests * self._tokens_per_call)))
        started = sum((change for change in changes if change.requests > 0), NO_WORK)
        self._add_own_since_report(
            reading.engine, started - self._own_since_report.get(reading.engine, NO_WORK)
        )
        return True

    def expire(self, now: float) -> None:
        """Fade old readings, and replace expired ones by what boxes report of their own work.

        Readings of engines that do not answer are kept: none of their calls has ended.
        """
        for engine, reading in list(self._readings.items()):
            age = now - reading.at
            if self.silent(engine, now):
                continue
            if age > READING_SECONDS:
                del self._readings[engine]
                self._set_known(engine, self._reported_by_boxes(engine))
            elif age >= FADING_FROM_SECONDS:
                self._fade(engine, reading, age)
        for engine, changes in list(self._changes.items()):
            if changes[-1].at < now - READING_SECONDS:
                del self._changes[engine]
        self.speeds.expire(now)

    def _reported_by_boxes(self, engine: str) -> Work:
        """Return the work on `engine` that boxes report as their own, this box included."""
        reported = (loads.get(engine, NO_WORK) for loads in self._peers.values())
        return sum(reported, self._own.get(engine, NO_WORK))

    def _fade(self, engine: str, reading: _Reading, age: float) -> None:
        """Assume that calls counted only in an old reading have ended, more of them with age."""
        reported = self._reported_by_boxes(engine).requests
        counted = reading.requests + sum(
            change.work.requests
            for change in self._changes.get(engine, ())
            if change.at > reading.at
        )
        left = max(0, counted - reported) * (1 - age / READING_SECONDS)
        requests = reported + round(left)
        if requests < self.known_load(engine).requests:
            self._set_known(engine, Work(requests, round(requests * self._tokens_per_call)))

    def digest_sent(self) -> None:
        """Record that peers received this box's loads; only later work counts as unreported.

        Engines that report their load are skipped: digests leave them out, and the work since
        their last reading stays unreported until the next one.
        """
        for engine in [name for name in self._own_since_report if name not in self._readings]:
            self._add_own_since_report(engine, NO_WORK - self._own_since_report[engine])

    def set_peer(self, box: str, loads: dict[str, Work]) -> None:
        """Replace the work that peer `box` reports as its own."""
        before = self._peers.get(box, {})
        for engine in before.keys() | loads.keys():
            change = loads.get(engine, NO_WORK) - before.get(engine, NO_WORK)
            if change != NO_WORK and engine not in self._readings:
                self._add_known(engine, change)
        if box not in self._peers:
            self._peers[box] = loads
            self._estimate_all_unreported()
        self._peers[box] = loads

    def drop_peer(self, box: str) -> None:
        """Remove a peer that is gone."""
        if box in self._peers:
            self.set_peer(box, {})
            del self._peers[box]
            self._estimate_all_unreported()

    def set_group(self, group: str, engines: Iterable[str]) -> None:
        """Set the engines that belong to `group`, and recompute its sums."""
        self._group_of = {name: other for name, other in self._group_of.items() if other != group}
        known = unreported = NO_WORK
        own = 0
        for engine in engines:
            self._group_of[engine] = group
            own += self.own_calls(engine)
            known += self.known_load(engine)
            unreported += self.unreported(engine)
        self._group_known[group] = known
        self._group_unreported[group] = unreported
        self._group_own[group] = own

    def _set_known(self, engine: str, work: Work) -> None:
        change = work - self._known.get(engine, NO_WORK)
        if change != NO_WORK:
            self._add_known(engine, change)

    def _add_known(self, engine: str, change: Work) -> None:
        after = self._known.get(engine, NO_WORK) + change
        self._known[engine] = after
        if after == NO_WORK:
            del self._known[engine]
        group = self._group_of.get(engine)
        if group is not None:
            self._group_known[group] += change
        self._estimate_unreported(engine)

    def _add_own_since_report(self, engine: str, change: Work) -> None:
        after = self._own_since_report.get(engine, NO_WORK) + change
        if after.requests <= 0:
            self._own_since_report.pop(engine, None)
        else:
            self._own_since_report[engine] = after
        self._estimate_unreported(engine)

    def _estimate_all_unreported(self) -> None:
        for engine in list(self._own_since_report):
            self._estimate_unreported(engine)

    def _estimate_unreported(self, engine: str) -> None:
        """Recompute the work that peers may have sent to `engine` since the last report."""
        before = self.unreported(engine)
        after = self._assumed_at_peers(engine)
        if after == before:
            return
        self._unreported[engine] = after
        if after == NO_WORK:
            del self._unreported[engine]
        group = self._group_of.get(engine)
        if group is not None:
            self._group_unreported[group] += after - before

    def _assumed_at_peers(self, engine: str) -> Work:
        """Return this box's own work since the last report, scaled to all its peers."""
        own = self._own_since_report.get(engine)
        factor = self._peer_growth * len(self._peers)
        if own is None or not factor:
            return NO_WORK
        return Work(round(own.requests * factor), round(own.tokens * factor))

    # Queries.

    def own_loads(self) -> dict[str, Work]:
        """Return this box's work at engines without a reading, which is sent in digests."""
        return {name: work for name, work in self._own.items() if name not in self._readings}

    def known_load(self, engine: str) -> Work:
        """Return the reported work on `engine` plus this box's own since."""
        return self._known.get(engine, NO_WORK)

    def own_calls(self, engine: str) -> int:
        """Return the number of calls that this box has at `engine`."""
        return self._own.get(engine, NO_WORK).requests

    def own_total(self, group: str) -> int:
        """Return the number of calls that this box has at the engines of `group`."""
        return self._group_own[group]

    def unreported(self, engine: str) -> Work:
        """Return the work that peers are assumed to have sent to `engine` since its last report."""
        return self._unreported.get(engine, NO_WORK)

    def silent(self, engine: str, now: float) -> bool:
        """Return whether `engine` does not answer this box; then none of its calls ends either."""
        return self._pending.silent(engine, self._group_of.get(engine, ''), now)

    def unreported_at_silent(self, engine: str) -> Work:
        """Return the work that peers are assumed to have sent to an engine that does not answer.

        It is not scaled by `peer_growth`, because no calls end there to compensate for new ones.
        """
        peers = len(self._peers)
        own = self._own_since_report.get(engine, NO_WORK)
        return Work(own.requests * peers, own.tokens * peers)

    def estimate(self, engine: str) -> Work:
        """Return the estimate of all work on `engine` now."""
        return self.known_load(engine) + self.unreported(engine)

    def reading_age(self, engine: str, now: float) -> float | None:
        """Return the age of the engine's reading in seconds, None if it has no valid reading."""
        reading = self._readings.get(engine)
        return None if reading is None else now - reading.at

    def reading_ages(self, now: float) -> list[float]:
        """Return the age of each engine's reading, in seconds."""
        return [now - reading.at for reading in self._readings.values()]

    def total(self, group: str) -> Work:
        """Return the estimate of all work on the engines of `group` now."""
        return self._group_known[group] + self._group_unreported[group]
