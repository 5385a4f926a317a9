"""Finds the backend servers that fail far more often than their siblings.

A server may fail a part of its calls while its health check is good, and one
box sees too few of them to tell.  So boxes tell each other how many calls
failed at each server lately, and a server is an outlier if its failures, from
all boxes, stand out from those of the others: the outlier detection of the
service meshes, over a whole fleet's calls.  Where all fail alike none is one.
"""

from collections import Counter, deque
from collections.abc import Collection

from msgspec import Struct

from seamhold_messages.work import FailureReport

#: Failures of the last seconds count.
WINDOW_SECONDS = 3.0
#: What a box reported is dropped if it reports nothing more.
TOLD_SECONDS = 3.0
#: An outlier has so many failures, and so many times the mean of the others
#: and some more.
FAILURES_MIN = 5
TIMES_OTHERS = 3.0
MORE_THAN_OTHERS = 3.0
#: No more than this part of a service's servers is avoided at a time.
OUTLIERS_MAX = 1 / 3
#: Steps of a report's stamp in a second.
STAMPS_PER_SECOND = 1000
STAMP_SPAN = 2**32


class _Told(Struct, frozen=True):
    at: float
    count: int
    stamp: int


class FailureCounts:
    """Failed calls by server: this box's own of late, and what others reported."""

    def __init__(self):
        self._own: deque[tuple[float, str]] = deque()
        self._told: dict[tuple[str, str], _Told] = {}

    def failed(self, server: str, now: float) -> None:
        """One of this box's calls failed there, or is far too slow."""
        self._own.append((now, server))

    def report(self, box: str, server: str, now: float, incarnation_key: int = 0) -> FailureReport:
        """What this box, `box`, tells of a server now."""
        stamp = int(now * STAMPS_PER_SECOND) % STAMP_SPAN
        return FailureReport(box, server, self.own(now)[server], stamp, incarnation_key)

    def heard(self, report: FailureReport, now: float) -> bool:
        """Another box's report, maybe passed on; False if it is not news.

        One that is too old to count is none: it was forgotten here, and would be
        taken for news each time that it comes round.
        """
        if report.age >= TOLD_SECONDS:
            return False
        key = (report.origin, report.engine)
        held = self._told.get(key)
        if held is not None and (report.stamp - held.stamp) % STAMP_SPAN >= STAMP_SPAN // 2:
            return False
        if held is not None and report.stamp == held.stamp:
            return False
        self._told[key] = _Told(now - report.age, report.count, report.stamp)
        return True

    def own(self, now: float) -> Counter[str]:
        """This box's failures by server."""
        while self._own and self._own[0][0] <= now - WINDOW_SECONDS:
            self._own.popleft()
        return Counter(server for _, server in self._own)

    def totals(self, now: float) -> Counter[str]:
        """Failures by server, of all boxes."""
        totals = self.own(now)
        for key, told in list(self._told.items()):
            if now >= told.at + TOLD_SECONDS:
                del self._told[key]
            else:
                totals[key[1]] += told.count
        return totals


def outliers(servers: Collection[str], failures: Counter[str]) -> list[str]:
    """Those of a service's `servers` that fail far more than the others, worst first."""
    suspects = sorted(servers, key=lambda server: -failures[server])
    total = sum(failures[server] for server in servers)
    found = []
    for server in suspects[: int(len(servers) * OUTLIERS_MAX)]:
        count = failures[server]
        total -= count
        others = len(servers) - len(found) - 1
        if count < max(FAILURES_MIN, TIMES_OTHERS * total / others + MORE_THAN_OTHERS):
            break
        found.append(server)
    return found
