"""Decides whether only one software version can have begun a stream of unknown origin."""

from collections.abc import Iterable
from enum import StrEnum

from msgspec import Struct

from .versions import REMEMBERED_SECONDS


class KnownVersions(Struct, frozen=True):
    """A service's versions as one box knows them; none of the last `known_seconds` is missing.

    `other_services` may have begun a stream that is taken up at the service, as far as the box
    has seen routes change.
    """

    versions: frozenset[str] = frozenset()
    known_seconds: float = 0.0
    other_services: frozenset[str] = frozenset()


class UnknownReason(StrEnum):
    """Why the version that began a stream cannot be told."""

    SEVERAL = 'no box that answered knows its version'
    SERVICES = 'no box that answered knows its service'
    NONE = 'its service has no version'
    TOO_RECENT = 'no box that answered has seen the versions of its service for long enough'


class SoleVersion(Struct, frozen=True):
    """The only version that a stream can have begun at, or else why there is none."""

    version: str = ''
    unknown: UnknownReason | None = None


def sole_version(
    known: Iterable[KnownVersions], needed_seconds: float = REMEMBERED_SECONDS
) -> SoleVersion:
    """Return the only version of a service in the last `needed_seconds`.

    What one box has missed another may have seen, so together the boxes of `known` miss no more
    than the one that has seen the versions for the longest time.
    """
    known = tuple(known)
    versions: frozenset[str] = frozenset().union(*(one.versions for one in known))
    if any(one.other_services for one in known):
        return SoleVersion(unknown=UnknownReason.SERVICES)
    if len(versions) > 1:
        return SoleVersion(unknown=UnknownReason.SEVERAL)
    if not versions:
        return SoleVersion(unknown=UnknownReason.NONE)
    if max(one.known_seconds for one in known) < needed_seconds:
        return SoleVersion(unknown=UnknownReason.TOO_RECENT)
    return SoleVersion(next(iter(versions)))
