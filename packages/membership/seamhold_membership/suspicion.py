"""What calls say against one start of an engine, and how long it is avoided for that."""

import math

from msgspec import Struct, field

from .unused import UnusedReason

#: Evidence that makes an engine suspect: each failed call adds a part.
EVIDENCE_MAX = 1.0
#: Times in a row that double how long a suspect is avoided.
FLAPS_MAX = 5
#: The same for an outlier, and after what time in service it is taken as healed.
EJECTIONS_MAX = 3
OUTLIER_MEMORY_SECONDS = 10.0
REPORTERS_FOR_SUSPECT = 3
REPORT_SECONDS = 5.0
#: How long a suspicion is told with what more fails.
TELL_SECONDS = 3.0


class Suspicion(Struct):
    """One engine's failures as this box met them, compared them, and heard of them.

    `evidence` is of the calls since its last whole answer; `unreachable` tells that it
    refused the last connection.  Times are in seconds on the box's clock.
    """

    since: float = -math.inf
    until: float = 0.0
    flaps: int = 0
    evidence: float = 0.0
    unreachable: bool = False
    reporters: dict[str, float] = field(default_factory=dict)
    outlier_until: float = -math.inf
    ejections: int = 0

    def failed(self, now: float, evidence: float, answered: bool, seconds: float) -> bool:
        """A call failed; True if the engine is avoided for it, for `seconds` at least."""
        self.evidence += evidence
        self.unreachable = evidence >= EVIDENCE_MAX and not answered
        if self.evidence < EVIDENCE_MAX:
            return False
        self.flaps = min(self.flaps + 1, FLAPS_MAX)
        self.since = now
        self.until = now + seconds * 2 ** (self.flaps - 1)
        return True

    def answered(self) -> bool:
        """A call was answered whole; True if that takes a suspicion back."""
        self.evidence = 0.0
        self.unreachable = False
        if not self.flaps and not self.reporters:
            return False
        self.flaps = 0
        self.since = -math.inf
        self.until = 0.0
        self.reporters.clear()
        return True

    def eject(self, now: float, seconds: float) -> bool:
        """It fails far more than its siblings; True if that is new.  Answers do not clear it."""
        if now < self.outlier_until:
            return False
        if now > self.outlier_until + OUTLIER_MEMORY_SECONDS:
            self.ejections = 0
        self.outlier_until = now + seconds * 2**self.ejections
        self.ejections = min(self.ejections + 1, EJECTIONS_MAX)
        return True

    def reported(self, box: str, now: float) -> bool:
        """Another box's calls made it suspect there; True if that is new."""
        is_new = self.reporters.get(box, -math.inf) <= now
        self.reporters[box] = now + REPORT_SECONDS
        return is_new

    def is_told(self, now: float) -> bool:
        """Whether this box's own calls made it suspect so lately that peers are told."""
        return now < self.since + TELL_SECONDS

    def reason(self, now: float) -> UnusedReason | None:
        """Why it is avoided, None if it is not."""
        if now < self.until:
            return UnusedReason.UNREACHABLE if self.unreachable else UnusedReason.FAILING
        if now < self.outlier_until:
            return UnusedReason.OUTLIER
        if sum(now < until for until in self.reporters.values()) >= REPORTERS_FOR_SUSPECT:
            return UnusedReason.REPORTED
        return None

    @property
    def ends(self) -> list[float]:
        """When time alone takes back a part of it."""
        return [self.until, self.outlier_until, *self.reporters.values()]
