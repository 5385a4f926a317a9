"""Why a listed engine gets no new work."""

from collections import Counter
from collections.abc import Iterable
from enum import StrEnum

from msgspec import Struct


class UnusedReason(StrEnum):
    """Why an engine gets no new work; where several apply, the first in this order.

    `RESTING`: it refused a call of this box and asked for rest.  `UNREACHABLE`: its process
    refuses connections.  `FAILING`: this box's own calls to it failed.  `OUTLIER`: it fails far
    more often than the other engines of its service.  `REPORTED`: several other boxes suspect it.
    """

    LEAVING = 'leaving'
    EVACUATED = 'evacuated'
    RESTING = 'resting'
    UNREACHABLE = 'unreachable'
    FAILING = 'failing'
    OUTLIER = 'outlier'
    REPORTED = 'reported'


class ServiceUse(Struct, frozen=True):
    """How many of a service's listed engines get new work, and how many do not, by reason.

    `concurrency_limit` is the sum of this box's concurrency limits at them in calls, 0 if none
    is used.  `speeds` counts the engines that lately reported a speed; `oldest_speed` is the age
    in seconds of the oldest of these speeds, 0 if there is none.
    """

    service: str
    used: int
    unused: dict[UnusedReason, int]
    concurrency_limit: float = 0.0
    speeds: int = 0
    oldest_speed: float = 0.0

    @property
    def unused_share(self) -> float:
        """The share of the listed engines that get no new work, from 0 to 1."""
        unused = sum(self.unused.values())
        return unused / (self.used + unused) if unused else 0.0


def service_use(service: str, used: int, reasons: Iterable[UnusedReason]) -> ServiceUse:
    """Return the use of a service, with its unused engines counted by reason."""
    return ServiceUse(service, used, dict(sorted(Counter(reasons).items())))
