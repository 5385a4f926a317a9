"""The failures of one start of an engine, and how long the engine is avoided for them."""

import math

from msgspec import Struct, field

from .unused import UnusedReason

#: Total evidence at which an engine becomes suspect; each failed call adds a part.
EVIDENCE_FOR_SUSPECT = 1.0
#: Number of suspicions in a row after which the time that the engine is avoided stops doubling.
FLAPS_MAX = 5
#: Maximum number of doublings of the time that an outlier is avoided, one per ejection in a row.
EJECTIONS_MAX = 3
#: An outlier that stays in service for this time counts as recovered.
OUTLIER_MEMORY_SECONDS = 10.0
#: Number of other boxes whose reports together make an engine suspect.
REPORTERS_FOR_SUSPECT = 3
#: How long a report from another box counts.
REPORT_SECONDS = 5.0
#: Failure reports that this box sends within this time of a suspicion carry it to its peers.
SUSPICION_REPORT_SECONDS = 3.0


class Suspicion(Struct):
    """One engine's failures: from own calls, from outlier detection and from other boxes.

    `evidence` is the sum over the failed calls since the last complete answer.  `unreachable`
    is set if the engine refused the last connection.  `reporters` holds, by box, when its
    report expires.  Times are in seconds on the box's clock.
    """

    since: float = -math.inf
    until: float = 0.0
    flaps: int = 0
    evidence: float = 0.0
    unreachable: bool = False
    reporters: dict[str, float] = field(default_factory=dict)
    outlier_until: float = -math.inf
    ejections: int = 0

    def record_failure(self, now: float, evidence: float, answered: bool, seconds: float) -> bool:
        """Record a failed call; True if the engine is now avoided, for at least `seconds`."""
        self.evidence += evidence
        self.unreachable = evidence >= EVIDENCE_FOR_SUSPECT and not answered
        if self.evidence < EVIDENCE_FOR_SUSPECT:
            return False
        self.flaps = min(self.flaps + 1, FLAPS_MAX)
        self.since = now
        self.until = now + seconds * 2 ** (self.flaps - 1)
        return True

    def record_answer(self) -> bool:
        """Record a complete answer; True if it withdrew a suspicion or reports."""
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
        """Avoid the engine as an outlier; False if it already is.

        Complete answers do not end the ejection.
        """
        if now < self.outlier_until:
            return False
        if now > self.outlier_until + OUTLIER_MEMORY_SECONDS:
            self.ejections = 0
        self.outlier_until = now + seconds * 2**self.ejections
        self.ejections = min(self.ejections + 1, EJECTIONS_MAX)
        return True

    def record_report(self, box: str, now: float) -> bool:
        """Record that `box` suspects the engine; False if its last report is still valid."""
        is_new = self.reporters.get(box, -math.inf) <= now
        self.reporters[box] = now + REPORT_SECONDS
        return is_new

    def is_reported(self, now: float) -> bool:
        """Return whether own calls made the engine suspect recently enough to report it."""
        return now < self.since + SUSPICION_REPORT_SECONDS

    def reason(self, now: float) -> UnusedReason | None:
        """Return why the engine is avoided, None if it is not."""
        if now < self.until:
            return UnusedReason.UNREACHABLE if self.unreachable else UnusedReason.FAILING
        if now < self.outlier_until:
            return UnusedReason.OUTLIER
        if sum(now < until for until in self.reporters.values()) >= REPORTERS_FOR_SUSPECT:
            return UnusedReason.REPORTED
        return None

    @property
    def expiry_times(self) -> list[float]:
        """The times at which parts of the suspicion expire."""
        return [self.until, self.outlier_until, *self.reporters.values()]
