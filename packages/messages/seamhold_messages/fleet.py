"""Descriptions of boxes and engines."""

from enum import StrEnum

from msgspec import Struct
from msgspec.structs import replace


class Phase(StrEnum):
    """State of a box or an engine; it decides whether new work may be sent there."""

    LIVE = 'live'
    SUSPECT = 'suspect'
    LEAVING = 'leaving'
    EVACUATED = 'evacuated'
    GONE = 'gone'


class Engine(Struct, frozen=True):
    """One backend server as listed by the platform.

    `name` identifies one start of the engine: a restarted engine keeps no state, so
    beliefs about an engine are stored under this name.  `incarnation` is the value
    that calls to the engine state as the expected instance, `slots` its maximum number
    of concurrent calls, `weight` its share relative to the service's other engines.
    `cold_seconds` is how much longer it expects to be slow after its start, and `started`
    the time of the start in milliseconds since 1970, 0 if the engine does not report it.
    `version` is of its software, '' if unknown; versions have no order.
    """

    name: str
    service: str
    address: str
    failure_domain: str = ''
    incarnation: str = ''
    slots: int = 64
    weight: float = 1.0
    phase: Phase = Phase.LIVE
    cold_seconds: float = 0.0
    started: int = 0
    version: str = ''


def is_update_for_engine(before: Engine | None, after: Engine | None) -> bool:
    """Whether an engine's entry changed in more than its remaining cold time.

    A cold engine reports its remaining cold time with each heartbeat; if that counted
    as a change of the list, all boxes would pull the list each time.
    """
    if before is None or after is None or not 0 < after.cold_seconds <= before.cold_seconds:
        return before != after
    return replace(after, cold_seconds=before.cold_seconds) != before


class Evacuation(Struct, frozen=True):
    """An operators' request that engines in the failure domain `name` get no new work."""

    name: str


class Box(Struct, frozen=True):
    """One router box; `peer_address` is `ip:port` of its peer server."""

    name: str
    peer_address: str
    failure_domain: str = ''
    incarnation: str = ''
    phase: Phase = Phase.LIVE
