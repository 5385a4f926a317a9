"""The software versions of each service's engines, now and shortly before.

Versions have no order; they are only compared for equality.
"""

import math
from collections.abc import Iterable, Mapping

from seamhold_messages.fleet import Engine

#: How long a version counts after its last engine left the list, in seconds: streams that it
#: began may still be taken up.
REMEMBERED_SECONDS = 300.0


class ServiceVersions:
    """The versions that each service's engines have or had within the time remembered."""

    def __init__(self):
        #: When the last engine of a version left the list, by service and version.
        self._left_at: dict[tuple[str, str], float] = {}
        #: The versions by service.  Replaced as a whole, so any thread may read it.
        self.known: Mapping[str, frozenset[str]] = {}
        #: The services with several versions.
        self.mixed: frozenset[str] = frozenset()

    def set_list(self, engines: Iterable[Engine], now: float) -> None:
        """Apply the platform's list of engines."""
        listed = {(engine.service, engine.version) for engine in engines}
        for version, left_at in self._left_at.items():
            if version not in listed and left_at == math.inf:
                self._left_at[version] = now
        self._left_at |= dict.fromkeys(listed, math.inf)
        self.forget(now)

    def forget(self, now: float) -> None:
        """Drop the versions whose engines left long ago."""
        oldest = now - REMEMBERED_SECONDS
        self._left_at = {
            version: left_at for version, left_at in self._left_at.items() if left_at > oldest
        }
        known: dict[str, set[str]] = {}
        for service, version in self._left_at:
            known.setdefault(service, set()).add(version)
        self.known = {service: frozenset(versions) for service, versions in known.items()}
        self.mixed = frozenset(service for service, found in known.items() if len(found) > 1)


def changed_versions(before: Iterable[Engine], after: Iterable[Engine]) -> frozenset[str]:
    """Return the names, as listed before, of engines whose version changed under their id."""
    now_at = {engine.incarnation: engine.version for engine in after if engine.incarnation}
    return frozenset(
        engine.name
        for engine in before
        if now_at.get(engine.incarnation, engine.version) != engine.version
    )
