"""Detects engines that fail far more often than the other engines of their service.

An engine may fail a part of its calls while its health check passes, and one box sees too few
of its calls to detect it.  Boxes report to each other how many calls failed recently at each
engine, and an engine is an outlier if its failures over all boxes stand out from those of the
others: the outlier detection of service meshes, applied to the calls of the whole fleet.  Where
all engines fail alike, none is an outlier.
"""

from collections import Counter, deque
from collections.abc import Collection

from msgspec import Struct

from seamhold_messages.work import FailureReport

#: Failures within this window count.
WINDOW_SECONDS = 3.0
#: Time after which a box's report expires unless the box sends a newer one.
FAILURE_REPORT_SECONDS = 3.0
#: Minimum number of failures of an outlier.
FAILURES_MIN = 5
#: An outlier has at least this multiple of the other engines' mean failures, plus the excess.
MEAN_MULTIPLE_MIN = 3.0
MEAN_EXCESS_MIN = 3.0
#: Largest share of a service's engines that are outliers at a time.
OUTLIER_SHARE_MAX = 1 / 3
#: Resolution of a report's stamp.
STAMPS_PER_SECOND = 1000
STAMP_SPAN = 2**32


class _PeerReport(Struct, frozen=True):
    at: float
    count: int
    stamp: int


class FailureCounts:
    """Failed calls by engine: recent ones of this box, and those that other boxes reported."""

    def __init__(self):
        self._own: deque[tuple[float, str]] = deque()
        self._reports: dict[tuple[str, str], _PeerReport] = {}

    def record_failure(self, engine: str, now: float) -> None:
        """Record that one of this box's calls failed at `engine`, or is far too slow there."""
        self._own.append((now, engine))

    def report(self, box: str, engine: str, now: float, incarnation_key: int = 0) -> FailureReport:
        """Return the report on `engine` that this box, `box`, sends to its peers."""
        stamp = int(now * STAMPS_PER_SECOND) % STAMP_SPAN
        return FailureReport(box, engine, self.own(now)[engine], stamp, incarnation_key)

    def record_report(self, report: FailureReport, now: float) -> bool:
        """Record another box's report, which may be relayed; False if it is not new.

        A report that is too old to count is not new: this box has dropped it already and would
        otherwise accept it again each time that it is relayed.
        """
        if report.age >= FAILURE_REPORT_SECONDS:
            return False
        key = (report.origin, report.engine)
        previous = self._reports.get(key)
        if previous is not None and (report.stamp - previous.stamp) % STAMP_SPAN >= STAMP_SPAN // 2:
            return False
        if previous is not None and report.stamp == previous.stamp:
            return False
        self._reports[key] = _PeerReport(now - report.age, report.count, report.stamp)
        return True

    def own(self, now: float) -> Counter[str]:
        """Return this box's own failures by engine."""
        while self._own and self._own[0][0] <= now - WINDOW_SECONDS:
            self._own.popleft()
        return Counter(engine for _, engine in self._own)

    def totals(self, now: float) -> Counter[str]:
        """Return the failures by engine over all boxes."""
        totals = self.own(now)
        for key, report in list(self._reports.items()):
            if now >= report.at + FAILURE_REPORT_SECONDS:
                del self._reports[key]
            else:
                totals[key[1]] += report.count
        return totals


def outliers(engines: Collection[str], failures: Counter[str]) -> list[str]:
    """Return the engines of one service that fail far more often than the others, worst first."""
    suspects = sorted(engines, key=lambda engine: -failures[engine])
    total = sum(failures[engine] for engine in engines)
    found = []
    for engine in suspects[: int(len(engines) * OUTLIER_SHARE_MAX)]:
        count = failures[engine]
        total -= count
        others = len(engines) - len(found) - 1
        if count < max(FAILURES_MIN, MEAN_MULTIPLE_MIN * total / others + MEAN_EXCESS_MIN):
            break
        found.append(engine)
    return found
