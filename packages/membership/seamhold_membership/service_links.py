"""Which services may have begun a stream that is taken up at another one.

Services are linked while they share a route, and for some time after a route was moved from one
to the other.  A box does not know the moves from before its start.
"""

import math
from collections.abc import Iterable
from heapq import heappop, heappush

from msgspec import Struct

from .remembered import REMEMBERED_SECONDS

#: The service at which streams began, and the one at which they may be taken up.
ServicePair = tuple[str, str]
#: Followed by a host, in place of a service: no streamed route leads anywhere.  No service's name
#: holds a space.
NO_ROUTE = 'no route of '


class _Times(Struct):
    """When a link began and ended, on the box's clock; `ended_at` is infinite while it lasts."""

    began_at: float
    ended_at: float


class ServiceLinks:
    """The links between services now and in the time remembered."""

    def __init__(self):
        self._links: dict[ServicePair, _Times] = {}
        #: The services that began a stream, by the one where it is taken up, as far as asked for.
        self._others: dict[str, frozenset[str]] = {}
        self._before: dict[str, list[tuple[str, _Times]]] = {}
        #: All linked services.
        self.linked: frozenset[str] = frozenset()

    def set_routes(
        self, shared: Iterable[ServicePair], moved: Iterable[ServicePair], now: float
    ) -> None:
        """Apply new routes.

        `shared` holds the pairs of services that share a route now, `moved` those that a route
        was just moved between.
        """
        shared = set(shared)
        for pair, times in self._links.items():
            if times.ended_at == math.inf and pair not in shared:
                times.ended_at = now
        for pair in moved:
            self._add(pair, now, now)
        for pair in shared:
            self._add(pair, now, math.inf)
        self.forget(now)

    def others(self, service: str) -> frozenset[str]:
        """Return the other services that may have begun a stream taken up at `service`."""
        if service not in self._others:
            self._others[service] = self._find_others(service)
        return self._others[service]

    def forget(self, now: float) -> None:
        """Drop the links that ended long ago."""
        oldest = now - REMEMBERED_SECONDS
        self._links = {
            pair: times for pair, times in self._links.items() if times.ended_at > oldest
        }
        self._before = {}
        for (before, after), times in self._links.items():
            self._before.setdefault(after, []).append((before, times))
        self._others = {}
        self.linked = self._find_linked()

    def _add(self, pair: ServicePair, began_at: float, ended_at: float) -> None:
        times = self._links.setdefault(pair, _Times(began_at, ended_at))
        times.began_at = min(times.began_at, began_at)
        times.ended_at = max(times.ended_at, ended_at)

    def _find_linked(self) -> frozenset[str]:
        linked: set[str] = set()
        #: By host: the services that routes were removed from, and those that routes were added to.
        removed: dict[str, dict[str, float]] = {}
        added: dict[str, dict[str, float]] = {}
        for (before, after), times in self._links.items():
            if after.startswith(NO_ROUTE):
                removed.setdefault(after, {})[before] = times.began_at
            elif before.startswith(NO_ROUTE):
                added.setdefault(before, {})[after] = times.ended_at
            else:
                linked |= {before, after}
        for host in removed.keys() & added.keys():
            latest = max(added[host].values())
            earliest = min(removed[host].values())
            linked |= {one for one, began_at in removed[host].items() if began_at <= latest}
            linked |= {one for one, ended_at in added[host].items() if ended_at >= earliest}
        return frozenset(linked)

    def _find_others(self, service: str) -> frozenset[str]:
        """Follow the links backwards; a link counts only if it began before the next one ended."""
        latest = {service: math.inf}
        waiting = [(-math.inf, service)]
        while waiting:
            until, after = heappop(waiting)
            for before, times in self._before.get(after, ()):
                began_until = min(times.ended_at, -until)
                if times.began_at <= -until and began_until > latest.get(before, -math.inf):
                    latest[before] = began_until
                    heappush(waiting, (-began_until, before))
        return frozenset(name for name in latest if not name.startswith(NO_ROUTE)) - {service}
