"""What a box passes on of what others told it, within the size of a digest."""

from typing import Generic, TypeVar

from msgspec import Struct
from msgspec.structs import replace

from seamhold_membership import Digest, GossipBuffer
from seamhold_messages.work import FailureReport, Holding, LoadReading, WatcherHeartbeat

#: Readings of engines' load that one digest carries at most, 7 bytes each: at 8 KB a
#: second 28 digests with as many reach each of 112 engines 8 times a second.
READINGS_PER_DIGEST = 32
#: Reports of failing engines that one digest carries at most, 19 bytes each.
REPORTS_PER_DIGEST = 12
#: Boxes that watch the platform that one digest tells of at most, 5 bytes each.
WATCHERS_PER_DIGEST = 8
#: Holdings that one digest carries at most, 8 bytes each.
HOLDINGS_PER_DIGEST = 40

#: What is older, in seconds, is no news: it was forgotten where it was known, and would
#: be taken for new each time that it comes round.
NEWS_SECONDS = 3.0

News = TypeVar('News', LoadReading, FailureReport, WatcherHeartbeat)


class _Dated(Struct, Generic[News], frozen=True):
    """A piece of news and since when it is so old as it says."""

    news: News
    at: float

    def now(self, now: float) -> News:
        """The news with its age now."""
        return replace(self.news, age=self.news.age + now - self.at)


class Relaying:
    """The news that waits to be passed on, whichever box it came from."""

    def __init__(self):
        self._readings: GossipBuffer[str, _Dated[LoadReading]] = GossipBuffer()
        self._reports: GossipBuffer[tuple[str, str], _Dated[FailureReport]] = GossipBuffer()
        self._heartbeats: GossipBuffer[str, _Dated[WatcherHeartbeat]] = GossipBuffer()
        self._holdings: GossipBuffer[Holding, Holding] = GossipBuffer()

    def put_reading(self, reading: LoadReading, now: float) -> None:
        """Pass on what an engine told."""
        self._readings.put(reading.engine, _Dated(reading, now))

    def put_report(self, report: FailureReport, now: float) -> None:
        """Pass on what a box met at an engine."""
        self._reports.put((report.origin, report.engine), _Dated(report, now))

    def put_heartbeat(self, heartbeat: WatcherHeartbeat, now: float) -> None:
        """Pass on that a box watches the platform's store."""
        self._heartbeats.put(heartbeat.box, _Dated(heartbeat, now))

    def put_holding(self, holding: Holding) -> None:
        """Pass on who holds a chat."""
        self._holdings.put(holding, holding)

    def attached_to(self, message: Digest, now: float) -> Digest:
        """The message with what it passes on, which counts as told."""
        return replace(
            message,
            held=tuple(self._holdings.take(HOLDINGS_PER_DIGEST)),
            readings=_fresh(self._readings.take(READINGS_PER_DIGEST), now),
            reports=_fresh(self._reports.take(REPORTS_PER_DIGEST), now),
            watchers=_fresh(self._heartbeats.take(WATCHERS_PER_DIGEST), now),
        )


def _fresh(taken: list[_Dated[News]], now: float) -> tuple[News, ...]:
    aged = (dated.now(now) for dated in taken)
    return tuple(news for news in aged if news.age <= NEWS_SECONDS)
