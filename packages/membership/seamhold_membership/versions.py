"""The software versions of each service's engines, now and in the time remembered.

Versions have no order; they are only compared for equality.  A version that a box has not
seen proves nothing by itself: a history therefore states for how long it is complete.
"""

import math
from collections.abc import Iterable, Mapping

from msgspec import Struct

from seamhold_messages.fleet import Engine

from .remembered import REMEMBERED_SECONDS


class ListedVersion(Struct, frozen=True):
    """A version of a service, whose last engine left the list `gone_seconds` ago.

    `gone_seconds` is 0 while an engine is listed.
    """

    service: str
    version: str
    gone_seconds: float = 0.0


class VersionHistory(Struct, frozen=True):
    """All versions that engines had in the last `known_seconds`, of all services.

    `known_seconds` is infinite if the history goes back to the first start of the fleet.
    """

    known_seconds: float = 0.0
    versions: tuple[ListedVersion, ...] = ()

    @property
    def is_complete(self) -> bool:
        """Whether no version is missing whose streams may still be taken up."""
        return self.known_seconds >= REMEMBERED_SECONDS


class ServiceVersions:
    """The versions that each service's engines have or had within the time remembered."""

    def __init__(self):
        #: When the last engine of a version left the list, by service and version.
        self._left_at: dict[tuple[str, str], float] = {}
        #: Since when no version was missed, on the box's clock; infinite before the first list.
        self.known_since = math.inf
        #: Counts the versions that came and left.
        self.changes = 0
        #: The versions by service.  Replaced as a whole, so any thread may read it.
        self.known: Mapping[str, frozenset[str]] = {}
        #: The services with several versions.
        self.mixed: frozenset[str] = frozenset()

    def set_list(self, engines: Iterable[Engine], now: float) -> None:
        """Apply the platform's list of engines."""
        listed = {(engine.service, engine.version) for engine in engines}
        listed_before = {
            version for version, left_at in self._left_at.items() if left_at == math.inf
        }
        self._left_at |= dict.fromkeys(listed_before - listed, now)
        self._left_at |= dict.fromkeys(listed, math.inf)
        self.changes += len(listed ^ listed_before)
        self.known_since = min(self.known_since, now)
        self.forget(now)

    def merge(self, history: VersionHistory, now: float) -> None:
        """Add what the store or another box knows of the time before this box started."""
        for one in history.versions:
            version = (one.service, one.version)
            left_at = now - max(0.0, one.gone_seconds)
            self._left_at[version] = max(left_at, self._left_at.get(version, left_at))
        self.forget(now)
        # Other threads read these: the versions must be there before they count as complete.
        self.known_since = min(self.known_since, now - history.known_seconds)

    def history(self, now: float) -> VersionHistory:
        """Return what this box knows, for the store or another box."""
        versions = tuple(
            ListedVersion(service, version, 0.0 if left_at == math.inf else now - left_at)
            for (service, version), left_at in sorted(self._left_at.items())
        )
        return VersionHistory(self.known_seconds(now), versions)

    def known_seconds(self, now: float) -> float:
        """Return for how long no version was missed; any thread may call it."""
        return max(0.0, now - self.known_since)

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
