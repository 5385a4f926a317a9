"""The updates that a box relays in its digests, and how many of each kind one digest holds."""

from typing import Generic, TypeVar

from msgspec import Struct
from msgspec.structs import replace

from seamhold_membership import Digest, GossipBuffer
from seamhold_messages.work import FailureReport, Holding, LoadReading, WatcherHeartbeat

#: Maximum number of engine load readings in one digest, 7 bytes each and 1 to 5 more
#: with speeds.  At 8 KB a second, 28 digests of this size without speeds carry the load of each of
#: 112 engines 8 times a second.
READINGS_PER_DIGEST = 32
#: Maximum number of failure reports in one digest, 19 bytes each.
REPORTS_PER_DIGEST = 12
#: Maximum number of watcher heartbeats in one digest, 5 bytes each.
WATCHERS_PER_DIGEST = 8
#: Maximum number of holdings in one digest, 8 bytes each.
HOLDINGS_PER_DIGEST = 40

#: Updates older than this are not relayed.  Boxes that had them have dropped them by then
#: and would accept them as new each time they arrive again.
MAX_UPDATE_AGE_SECONDS = 3.0

Update = TypeVar('Update', LoadReading, FailureReport, WatcherHeartbeat)


class _Dated(Struct, Generic[Update], frozen=True):
    """An update and the time at which its age was correct."""

    update: Update
    at: float

    def aged(self, now: float) -> Update:
        """Return the update with its age at `now`."""
        return replace(self.update, age=self.update.age + now - self.at)


class GossipRelay:
    """The updates that wait to be relayed, from this box and from others."""

    def __init__(self):
        self._readings: GossipBuffer[str, _Dated[LoadReading]] = GossipBuffer()
        self._reports: GossipBuffer[tuple[str, str], _Dated[FailureReport]] = GossipBuffer()
        self._heartbeats: GossipBuffer[str, _Dated[WatcherHeartbeat]] = GossipBuffer()
        self._holdings: GossipBuffer[Holding, Holding] = GossipBuffer()

    def put_reading(self, reading: LoadReading, now: float) -> None:
        """Relay an engine's load reading."""
        self._readings.put(reading.engine, _Dated(reading, now))

    def put_report(self, report: FailureReport, now: float) -> None:
        """Relay a box's report of failures at an engine."""
        self._reports.put((report.origin, report.engine), _Dated(report, now))

    def put_heartbeat(self, heartbeat: WatcherHeartbeat, now: float) -> None:
        """Relay that a box watches the platform's store."""
        self._heartbeats.put(heartbeat.box, _Dated(heartbeat, now))

    def put_holding(self, holding: Holding) -> None:
        """Relay which engine holds a chat."""
        self._holdings.put(holding, holding)

    def attach_to(self, message: Digest, now: float) -> Digest:
        """Return the message with waiting updates attached, which then count as sent once."""
        return replace(
            message,
            held=tuple(self._holdings.take(HOLDINGS_PER_DIGEST)),
            readings=_fresh(self._readings.take(READINGS_PER_DIGEST), now),
            reports=_fresh(self._reports.take(REPORTS_PER_DIGEST), now),
            watchers=_fresh(self._heartbeats.take(WATCHERS_PER_DIGEST), now),
        )


def _fresh(taken: list[_Dated[Update]], now: float) -> tuple[Update, ...]:
    updates = (dated.aged(now) for dated in taken)
    return tuple(update for update in updates if update.age <= MAX_UPDATE_AGE_SECONDS)
