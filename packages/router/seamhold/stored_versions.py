"""How the history of software versions is stored, and what has to be written to it.

Times of day of two machines differ by some seconds.  An error in them makes a version count for
longer, and the history go back less far, never the other way round.
"""

import math
from typing import Annotated, Any

import msgspec
from msgspec import Meta, Struct

from seamhold_membership import ListedVersion, VersionHistory
from seamhold_membership.versions import REMEMBERED_SECONDS
from seamhold_messages.names import NAME_MAX_CHARS, is_label
from seamhold_platform import PlatformObject

#: The name of the only object.
HISTORY_NAME = 'history'
#: Two machines' times of day differ by less than this, together with their lists' lag, in seconds.
SLACK_SECONDS = 10.0
#: Stored times that are off by less than this stay as they are, in seconds: a box that has read
#: a time and one that has seen the change itself need not correct each other.
TOLERANCE_SECONDS = 2 * SLACK_SECONDS
#: A version that the store has as listed is written as gone after this time, in seconds.
SETTLED_SECONDS = 10.0
#: Limits of a valid history, far above what a fleet has.
VERSIONS_MAX = 1_000
SERVICES_MAX = 1_000

Name = Annotated[str, Meta(max_length=NAME_MAX_CHARS)]
UnixTime = Annotated[float, Meta(ge=0)]


class StoredVersion(Struct, frozen=True):
    """A version, and when its last engine left the list; None while one is listed."""

    version: Name
    left_unix_time: UnixTime | None = None


class _StoredHistory(Struct, frozen=True):
    """The whole object; each service's entry is decoded by itself.

    The first field has no default: an object without it must not claim to know everything.
    """

    complete_since_unix_time: UnixTime | None
    services: Annotated[dict[str, Any], Meta(max_length=SERVICES_MAX)]


class _ServiceEntry(Struct, frozen=True):
    """The versions of one service."""

    versions: Annotated[tuple[StoredVersion, ...], Meta(max_length=VERSIONS_MAX)]


class StoredVersions(Struct, frozen=True):
    """The history of all services' versions, as it is in the store.

    `complete_since` is the Unix time in seconds since when no version is missing: -inf if since
    the first start of the fleet, inf if nothing is known.  `left_at` is when the last engine of
    each service's version left the list, inf while one is listed.  `unreadable` are the services
    whose entries could not be decoded, with the reason.
    """

    complete_since: float = math.inf
    left_at: dict[tuple[str, str], float] = {}
    unreadable: dict[str, str] = {}

    def history(self, unix_time: float) -> VersionHistory:
        """Return what a box may conclude at `unix_time`."""
        versions = tuple(
            ListedVersion(service, version, _seconds_since(left_at, unix_time))
            for (service, version), left_at in sorted(self.left_at.items())
        )
        known_seconds = 0.0 if self.unreadable else _seconds_since(self.complete_since, unix_time)
        return VersionHistory(known_seconds, versions)


def _seconds_since(at: float, unix_time: float) -> float:
    return max(0.0, unix_time - at - SLACK_SECONDS)


def from_object(item: PlatformObject) -> StoredVersions:
    """Return the history in an object; raises ValueError or ValidationError if it is invalid."""
    if item.unreadable:
        raise ValueError(item.unreadable)
    stored = msgspec.convert(item.spec, _StoredHistory)
    left_at: dict[tuple[str, str], float] = {}
    unreadable = {}
    for service, entry in stored.services.items():
        try:
            left_at |= _left_by_version(service, entry)
        except (ValueError, msgspec.ValidationError) as error:
            unreadable[service] = str(error)
    since = _time(stored.complete_since_unix_time, -math.inf)
    return StoredVersions(since, left_at, unreadable)


def _left_by_version(service: str, entry: object) -> dict[tuple[str, str], float]:
    versions = msgspec.convert(entry, _ServiceEntry).versions
    for name in (service, *(one.version for one in versions if one.version)):
        if not is_label(name):
            raise ValueError(f'{name[:NAME_MAX_CHARS]!a} is not a name')
    left_at: dict[tuple[str, str], float] = {}
    for one in versions:
        left = _time(one.left_unix_time, math.inf)
        left_at[service, one.version] = max(left, left_at.get((service, one.version), left))
    return left_at


def _time(at: float | None, absent: float) -> float:
    if at is None:
        return absent
    if not math.isfinite(at):
        raise ValueError(f'{at} is not a time')
    return at


def to_object(stored: StoredVersions, version: str = '') -> PlatformObject:
    """Return the history as an object of the store, in place of the one at `version`."""
    services: dict[str, dict] = {}
    for (service, name), left_at in sorted(stored.left_at.items()):
        one = StoredVersion(name, None if left_at == math.inf else left_at)
        versions = services.setdefault(service, {'versions': []})['versions']
        versions.append(msgspec.to_builtins(one))
    since = None if stored.complete_since == -math.inf else stored.complete_since
    spec = {'complete_since_unix_time': since, 'services': services}
    return PlatformObject(HISTORY_NAME, spec, version)


def merge_into(stored: StoredVersions, own: VersionHistory, unix_time: float) -> StoredVersions:
    """Return what the store should contain, given what it contains and what a box knows.

    The result equals `stored` if nothing has to be written.
    """
    left_at = dict(stored.left_at)
    for one in own.versions:
        key = (one.service, one.version)
        left_at[key] = _left_at(left_at.get(key, -math.inf), one.gone_seconds, unix_time)
    # A time in the future is of a wrong clock, and would keep its version for good.
    left_at = {
        version: left if left == math.inf else min(left, unix_time + SLACK_SECONDS)
        for version, left in left_at.items()
    }
    oldest = unix_time - REMEMBERED_SECONDS - SLACK_SECONDS
    kept = {version: left for version, left in left_at.items() if left > oldest}
    # What could not be read is overwritten, and only this box's own knowledge is left of it.
    since = math.inf if stored.unreadable else stored.complete_since
    own_since = unix_time - own.known_seconds
    # A little more is not worth a write.
    since = own_since if own_since < since - TOLERANCE_SECONDS else since
    if len(kept) > VERSIONS_MAX:
        newest = sorted(kept, key=lambda version: (-kept[version], version))[:VERSIONS_MAX]
        kept = {version: kept[version] for version in newest}
        since = unix_time
    return StoredVersions(since, kept)


def _left_at(stored: float, gone_seconds: float, unix_time: float) -> float:
    """Return when a version left, in the box's view unless that hardly differs."""
    if not gone_seconds:
        return math.inf
    if stored == math.inf:
        # The list of this box may be late, and the version have just come.
        return unix_time - gone_seconds if gone_seconds >= SETTLED_SECONDS else stored
    own = unix_time - gone_seconds
    return own if own > stored + TOLERANCE_SECONDS else stored


def is_unsettled(stored: StoredVersions, own: VersionHistory) -> bool:
    """Whether a version left so recently that the store still has it as listed."""
    return any(
        one.gone_seconds and stored.left_at.get((one.service, one.version)) == math.inf
        for one in own.versions
    )


def missing_versions(read: VersionHistory, own: VersionHistory) -> VersionHistory:
    """Return what a box does not know yet of a history that it read.

    What it has seen itself is more exact than what is stored.
    """
    known = {(one.service, one.version) for one in own.versions}
    versions = tuple(one for one in read.versions if (one.service, one.version) not in known)
    return VersionHistory(read.known_seconds, versions)
