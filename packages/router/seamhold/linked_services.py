"""Holds which services a box's routes link, now and in the time remembered."""

import threading
from collections.abc import Callable

from seamhold_membership import ServiceLinks
from seamhold_routing.route_moves import moved_pairs, split_pairs
from seamhold_settings.forwarding import RouteTable

from .logs import logger

#: Interval at which links that ended long ago are dropped, in seconds.
FORGET_SECONDS = 60.0


class LinkedServices:
    """The links between services; any thread may use it."""

    def __init__(self, clock: Callable[[], float]):
        self._clock = clock
        self._links = ServiceLinks()
        self._table: RouteTable | None = None
        self._lock = threading.Lock()
        self._forget_at = clock() + FORGET_SECONDS
        self._log = logger('linked-services')
        #: Called with the services that became linked.
        self.on_linked: Callable[[frozenset[str]], None] | None = None

    def set_table(self, table: RouteTable) -> None:
        """Link the services that the routes lead to together, or were moved between."""
        moved = moved_pairs(self._table, table) if self._table is not None else frozenset()
        self._table = table
        with self._lock:
            linked_before = self._links.linked
            self._links.set_routes(split_pairs(table), moved, self._clock())
        newly_linked = self._links.linked - linked_before
        if newly_linked:
            self._log.info('services.linked', services=sorted(newly_linked))
            if self.on_linked is not None:
                self.on_linked(newly_linked)

    @property
    def linked(self) -> frozenset[str]:
        """All services that are linked to others."""
        return self._links.linked

    def is_linked(self, service: str) -> bool:
        """Whether streams of a service may be taken up at another one, or the reverse."""
        now = self._clock()
        if now >= self._forget_at:
            with self._lock:
                self._forget_at = now + FORGET_SECONDS
                self._links.forget(now)
        return service in self._links.linked

    def others(self, service: str) -> frozenset[str]:
        """Return the other services that may have begun a stream taken up at `service`."""
        with self._lock:
            return self._links.others(service)
