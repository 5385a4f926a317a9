"""Finds the backend servers that fail far more often than their siblings.

A server may fail a part of its calls while its health check is good, and one
box sees too few of them to tell.  So boxes tell each other how many calls
failed at each server lately, and a server is an outlier if its failures, from
all boxes, stand out from those of the others: the outlier detection of the
service meshes, over a whole fleet's calls.  Where all fail alike none is one.
"""

from collections import Counter, deque
from collections.abc import Collection

#: Failures of the last seconds count.
WINDOW_SECONDS = 3.0
#: What a peer told is dropped if it is not told again.
TOLD_SECONDS = 3.0
#: An outlier has so many failures, and so many times the mean of the others
#: and some more.
FAILURES_MIN = 5
TIMES_OTHERS = 3.0
MORE_THAN_OTHERS = 3.0
#: No more than this part of a service's servers is avoided at a time.
OUTLIERS_MAX = 1 / 3
#: Servers that one message tells of at most: those with most failures.
TELL_MAX = 16


class FailureCounts:
    """Failed calls by server: this box's own of late, and what peers told."""

    def __init__(self):
        self._own: deque[tuple[float, str]] = deque()
        self._peers: dict[str, tuple[float, dict[str, int]]] = {}

    def failed(self, server: str, now: float) -> None:
        """One of this box's calls failed there, or is far too slow."""
        self._own.append((now, server))

    def told(self, box: str, failures: dict[str, int], now: float) -> None:
        """What a peer counted in its last seconds; replaces what it told before."""
        if failures:
            self._peers[box] = (now, failures)
        else:
            self._peers.pop(box, None)

    def own(self, now: float) -> dict[str, int]:
        """What this box tells its peers."""
        while self._own and self._own[0][0] <= now - WINDOW_SECONDS:
            self._own.popleft()
        return dict(Counter(server for _, server in self._own).most_common(TELL_MAX))

    def totals(self, now: float) -> Counter[str]:
        """Failures by server, of all boxes."""
        totals = Counter(self.own(now))
        for at, failures in self._peers.values():
            if now < at + TOLD_SECONDS:
                totals.update(failures)
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
