"""Whether this box itself can connect to the engines of a service.

One engine that takes no connection has failed.  Where several do in a row, and none takes one in
between, the box has more likely lost its links: a peer may still reach them.
"""

import math
from collections.abc import Collection

#: So many engines of a service in a row show that the box is cut off from it, or all if it has
#: fewer.
CUT_ENGINES = 2


class EngineReach:
    """The results of this box's own connection attempts, by service."""

    def __init__(self):
        #: When an engine of any service last took a connection.
        self.reached_at = -math.inf
        self._unreachable: dict[str, set[str]] = {}

    def record_connected(self, service: str, now: float) -> None:
        """Record that an engine took a connection."""
        self.reached_at = max(self.reached_at, now)
        self._unreachable.pop(service, None)

    def record_unreachable(self, service: str, engine: str) -> None:
        """Record that an engine refused a connection or did not answer in time."""
        self._unreachable.setdefault(service, set()).add(engine)

    def is_cut_off(self, service: str, engines: int) -> bool:
        """Whether this box reaches none of a service's `engines`, as far as it has tried."""
        failed = len(self._unreachable.get(service, ()))
        return failed >= min(CUT_ENGINES, max(1, engines))

    def unreachable(self, service: str) -> Collection[str]:
        """Return the engines of a service that took no connection since one last did."""
        return self._unreachable.get(service, ())

    @property
    def suspects(self) -> list[str]:
        """The services of which the last connection attempts failed."""
        return sorted(self._unreachable)
