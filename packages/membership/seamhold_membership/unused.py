"""Why an engine that the platform lists gets no new work."""

from collections import Counter
from collections.abc import Iterable
from enum import StrEnum

from msgspec import Struct


class UnusedReason(StrEnum):
    """The first that holds, in this order.

    `UNREACHABLE`: its process refuses connections.  `FAILING`: this box's own calls failed
    there.  `OUTLIER`: it fails far more than its siblings.  `REPORTED`: several other boxes
    suspect it.
    """

    LEAVING = 'leaving'
    EVACUATED = 'evacuated'
    UNREACHABLE = 'unreachable'
    FAILING = 'failing'
    OUTLIER = 'outlier'
    REPORTED = 'reported'


class ServiceUse(Struct, frozen=True):
    """How many of a service's listed engines get new work, and how many do not, by reason."""

    service: str
    used: int
    unused: dict[UnusedReason, int]

    @property
    def unused_share(self) -> float:
        """The part of the listed engines that gets no new work."""
        out = sum(self.unused.values())
        return out / (self.used + out) if out else 0.0


def service_use(service: str, used: int, reasons: Iterable[UnusedReason]) -> ServiceUse:
    """Count the reasons of a service's unused engines."""
    return ServiceUse(service, used, dict(sorted(Counter(reasons).items())))
