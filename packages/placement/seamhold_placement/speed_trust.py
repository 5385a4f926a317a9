"""How much the speed that an engine reported is worth, by its age; learned for each service.

A speed that changes every 600 ms says little after a second, and one that changes every minute
says much. The weight of a speed is therefore learned for each range of ages: the regression of
later reports on earlier ones of the same engine, both relative to the service's mean (the best
linear prediction, as in James and Stein's shrinkage towards the mean). A second weight compares
this box's own response times with what the reported speeds made it expect, so that speeds which
are consistent but false lose their weight too.
"""

from bisect import bisect_left, bisect_right

#: Upper ends of the ranges of ages, in seconds. Older speeds have no weight.
AGE_LIMITS = (0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2)
#: Pairs of reports from which a range of ages has a weight. Fewer are dominated by one engine.
MIN_PAIRS = 40
#: At this number the sums are halved, so that the weights follow what engines report now.
MAX_PAIRS = 1000
#: Reports closer together than this are one report that was relayed, in seconds.
MIN_PAIR_SECONDS = 0.02
#: Variance of slowness below which all engines count as equally fast; reports have steps of 0.01.
MIN_VARIANCE = 1e-4
#: Weight of the newest report in the mean of the service.
USUAL_GAIN = 0.01
#: Weight of the assumption that speeds are true, as a sum of squared deviations: about as much
#: as eight responses of engines that take 2.5 times as long.
TRUE_PRIOR = 16.0
#: Responses count at most as this multiple of the expected time: a call may wait for other reasons.
MAX_RATIO = 5.0


class Regression:
    """The slope of a line through the origin, from sums that are halved when they get old."""

    def __init__(self, prior: float = 0.0):
        self._prior = prior
        self.pairs = 0.0
        self._squares = 0.0
        self._products = 0.0

    def record(self, x: float, y: float) -> None:
        """Add a pair of values."""
        self.pairs += 1
        self._squares += x * x
        self._products += x * y
        if self.pairs > MAX_PAIRS:
            self.pairs /= 2
            self._squares /= 2
            self._products /= 2

    @property
    def variance(self) -> float:
        """The mean square of x."""
        return self._squares / self.pairs if self.pairs else 0.0

    @property
    def slope(self) -> float:
        """The slope within 0 to 1; the prior pulls it towards 1."""
        squares = self._squares + self._prior
        return min(1.0, max(0.0, (self._products + self._prior) / squares)) if squares else 0.0


class SpeedTrust:
    """Learns the weights of the speeds of one service's engines.

    A slowness is a multiple of the usual time, ages and times are in seconds on the box's clock.
    """

    def __init__(self):
        #: Mean slowness of the service's reports. An engine without a usable speed counts as this.
        self.usual = 1.0
        self._is_first = True
        self._ranges = [Regression() for _ in AGE_LIMITS]
        self._responses = Regression(TRUE_PRIOR)
        self._mean_ratio = 1.0
        #: The reports of the last seconds by engine, each with its time, oldest first.
        self._recent: dict[str, list[tuple[float, float]]] = {}

    def record_report(self, engine: str, slowness: float, at: float) -> None:
        """Record that `engine` reported `slowness` at time `at`; older ones are ignored."""
        gain = 1.0 if self._is_first else USUAL_GAIN
        self._is_first = False
        if engine not in self._recent:
            self._forget_gone(at)
        recent = self._recent.setdefault(engine, [])
        if recent and at < recent[-1][0] + MIN_PAIR_SECONDS:
            return
        self.usual += gain * (slowness - self.usual)
        self._record_pairs(recent, slowness - self.usual, at)
        recent.append((at, slowness))
        if at - recent[0][0] > 2 * AGE_LIMITS[-1]:
            del recent[: bisect_left(recent, (at - AGE_LIMITS[-1],))]

    def _forget_gone(self, now: float) -> None:
        """Forget engines whose reports are too old to be compared with others."""
        for name, reports in list(self._recent.items()):
            if now - reports[-1][0] > AGE_LIMITS[-1]:
                del self._recent[name]

    def _record_pairs(self, recent: list[tuple[float, float]], deviation: float, at: float) -> None:
        """Compare a report with the newest earlier one of each range of ages."""
        shortest = 0.0
        for longest, pairs in zip(AGE_LIMITS, self._ranges, strict=True):
            position = bisect_right(recent, (at - shortest,)) - 1
            if position < 0:
                return
            earlier_at, earlier = recent[position]
            if at - earlier_at <= longest:
                pairs.record(earlier - self.usual, deviation)
            shortest = longest

    def weight(self, age: float) -> float:
        """Return the weight from 0 to 1 of a speed of this age.

        A range with too few pairs has the weight of the next one: an older speed is worth less.
        """
        for position in range(bisect_left(AGE_LIMITS, age), len(AGE_LIMITS)):
            pairs = self._ranges[position]
            if pairs.pairs >= MIN_PAIRS:
                return pairs.slope if pairs.variance >= MIN_VARIANCE else 0.0
        return 0.0

    @property
    def truth(self) -> float:
        """The weight from 0 to 1 of speeds in general, from this box's response times."""
        return self._responses.slope

    def believed(self, slowness: float, age: float) -> float:
        """Return the slowness to expect now of an engine that reported `slowness` `age` ago."""
        return self.usual + self.truth * self.weight(age) * (slowness - self.usual)

    def record_response(self, slowness: float, age: float, ratio: float) -> None:
        """Record a response at an engine that had reported `slowness` `age` before it was sent.

        `ratio` is its time divided by the time predicted for a slowness of 1.
        """
        ratio = min(ratio, MAX_RATIO)
        self._mean_ratio += USUAL_GAIN * (ratio - self._mean_ratio)
        deviation = self.weight(age) * (slowness - self.usual)
        if deviation:
            self._responses.record(deviation, ratio - self._mean_ratio)
