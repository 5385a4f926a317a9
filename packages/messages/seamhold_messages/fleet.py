"""What the parts say about boxes and engines."""

from enum import StrEnum

from msgspec import Struct
from msgspec.structs import replace


class Phase(StrEnum):
    """How far a box or an engine may be given new work."""

    LIVE = 'live'
    SUSPECT = 'suspect'
    LEAVING = 'leaving'
    EVACUATED = 'evacuated'
    GONE = 'gone'


class Engine(Struct, frozen=True):
    """One back end as the platform's list names it.

    `name` is of one start of the engine: another start holds and knows nothing of this
    one, so each belief about an engine is held by its name.  `incarnation` is what it
    is told to be expected as, `slots` is how many calls it takes at once, `weight` its
    share relative to its siblings.  `cold_seconds` is how much longer it is slow from
    its start, by its own word, and `started` when that was, in milliseconds since 1970,
    0 if it does not tell.
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


def is_news_of_engine(before: Engine | None, after: Engine | None) -> bool:
    """Whether an engine's entry tells more than that time passed.

    One that is cold says how long it still is with each heartbeat; each time that the
    list was handed on for that, all boxes pulled it.
    """
    if before is None or after is None or not 0 < after.cold_seconds <= before.cold_seconds:
        return before != after
    return replace(after, cold_seconds=before.cold_seconds) != before


class Evacuation(Struct, frozen=True):
    """The operators ask that engines in a failure domain, `name`, get no new work."""

    name: str


class Box(Struct, frozen=True):
    """One router box; `peer_address` is `ip:port` of its peer server."""

    name: str
    peer_address: str
    failure_domain: str = ''
    incarnation: str = ''
    phase: Phase = Phase.LIVE
