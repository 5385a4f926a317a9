"""Predicts when waiting calls are placed, and which of them cannot be served in time.

Everything here is computed from times and counts that are passed in.  The pace of placement is
that of this box, measured only over the time in which calls waited here.  Times are in seconds on
the clock of the box.
"""

from collections import Counter, deque
from collections.abc import Callable, Sequence
from itertools import accumulate

from msgspec import Struct

from seamhold_messages.hashing import HASH32_SPAN, hash32
from seamhold_messages.work import RANKS, Call

#: The pace is measured over at most this many placed calls: its standard error is then 1 in 8.
WINDOW_CALLS = 64
#: Older placements are dropped while at least MIN_CALLS newer ones are left: engines' speeds and
#: the demand change within a few seconds.
WINDOW_SECONDS = 2.0
MIN_CALLS = 8
#: After no call has waited for this long, the pace is measured anew.
IDLE_SECONDS = 2.0
#: Calls that wait elsewhere make a predicted wait at most this many times as long: a box that
#: reports false counts must not make others reject calls that they can serve.
ELSEWHERE_MAX_FACTOR = 2.0
#: More urgent arrivals take at most this part of the room in a prediction, which makes it at most
#: five times as long.
MAX_OVERTAKEN = 0.8
#: Number of arrivals that are kept to measure that part.
ARRIVALS_MAX = 256
#: The predicted wait of a call that arrives is multiplied by this: the pace of 8 placements is off
#: by a third, and a call rejected on arrival was not held.  In trials (25 boxes, 1,200 calls a
#: second before 18 slots, four seeds) the share of calls held and then rejected fell from 0.081 to
#: 0.037 and the share served within the objective stayed at 0.38.
ARRIVAL_MARGIN = 1.5
#: Limits of the time after which a backlog is said to be drained.
MIN_DRAIN_SECONDS = 0.1
MAX_DRAIN_SECONDS = 30.0
#: Rejected callers return over at least this time.
MIN_SPREAD_SECONDS = 0.3
#: Number of rejections that are kept to find out whether they were needed.
REVIEWED_MAX = 64


class Pace(Struct, frozen=True):
    """Seconds between two placed calls while calls wait, and since the last one.

    `overtaken` is, by rank, the part of the room that more urgent calls take which arrive later.
    """

    interval: float = 0.0
    stall: float = 0.0
    overtaken: tuple[float, ...] = (0.0,) * RANKS


class Elsewhere(Struct, frozen=True):
    """Number of calls that wait at other boxes, and number of these boxes."""

    calls: int = 0
    boxes: int = 0


NOTHING_ELSEWHERE = Elsewhere()


class PlacementRate:
    """Measures the pace at which waiting calls of one service are placed."""

    def __init__(self):
        self._at: float | None = None
        #: Seconds in which calls waited; placements are dated on this clock.
        self._busy = 0.0
        self._idle = 0.0
        self._began = 0.0
        #: When there was last room for a call on arrival.
        self._room = 0.0
        self._placed: deque[float] = deque()
        #: Arrivals that were queued, with their ranks.
        self._arrivals: deque[tuple[float, int]] = deque(maxlen=ARRIVALS_MAX)

    def advance(self, waiting: bool, now: float) -> None:
        """Record whether any call was `waiting` since the last time this was called."""
        # Nothing is known of the time before the first call, in which the rate was not measured.
        before = now if self._at is None else self._at
        elapsed, self._at = max(0.0, now - before), max(before, now)
        if waiting:
            self._busy += elapsed
            self._idle = 0.0
            return
        self._idle += elapsed
        if self._idle > IDLE_SECONDS:
            self._placed.clear()
            self._arrivals.clear()
            self._began = self._busy

    def record_arrival(self, rank: int) -> None:
        """Record that a call was queued at the time of the last `advance`."""
        self._arrivals.append((self._busy, rank))

    def record_room(self) -> None:
        """Record that a call was placed on arrival, which ends a stall."""
        self._room = self._busy

    def record_placed(self) -> None:
        """Record that a waiting call was placed at the time of the last `advance`."""
        self._placed.append(self._busy)
        while len(self._placed) > WINDOW_CALLS or (
            len(self._placed) > MIN_CALLS and self._placed[0] < self._busy - WINDOW_SECONDS
        ):
            self._began = self._placed.popleft()
        while self._arrivals and self._arrivals[0][0] < self._began:
            self._arrivals.popleft()

    @property
    def pace(self) -> Pace:
        """The pace as of the last `advance`.

        At least MIN_CALLS placements are assumed: slots come free several at a time, and a short
        wait before the first one says little about the pace.
        """
        interval = (self._busy - self._began) / max(MIN_CALLS, len(self._placed) + 1)
        last = self._placed[-1] if self._placed else self._began
        return Pace(interval, self._busy - max(last, self._room), self._overtaken())

    def _overtaken(self) -> tuple[float, ...]:
        if len(self._placed) < MIN_CALLS:
            return (0.0,) * RANKS
        by_rank = Counter(rank for _, rank in self._arrivals)
        more_urgent = [0, *accumulate(by_rank[rank] for rank in range(RANKS - 1))]
        return tuple(min(MAX_OVERTAKEN, calls / len(self._placed)) for calls in more_urgent)


def seconds_until_start(
    ahead: int, pace: Pace, elsewhere: Elsewhere = NOTHING_ELSEWHERE, rank: int = 0
) -> float:
    """Return the predicted seconds until a call is placed that has `ahead` calls before it here.

    `elsewhere` counts calls of its own or a more urgent rank at other boxes.  Boxes where calls
    wait are assumed to find room as often as this one.  A stall is expected to last as long again
    as it has lasted.  Calls of a more urgent rank that arrive meanwhile take their part of the room
    (Cobham, Priority Assignment in Waiting Line Problems, 1954).
    """
    here = max(0.0, pace.stall - pace.interval) + (ahead + 1) * pace.interval
    fleet = (ahead + 1 + elsewhere.calls) * pace.interval / (1 + elsewhere.boxes)
    return min(max(here, fleet), ELSEWHERE_MAX_FACTOR * here) / (1.0 - pace.overtaken[rank])


class Expectation(Struct, frozen=True):
    """What the prediction needs to know of a waiting call.

    An `exempt` call is not rejected.  `latest_start` is its deadline, or an earlier time after
    which it is of no use.  A call that `arrives` has not waited yet.
    """

    rank: int
    latest_start: float
    exempt: bool = False
    arrives: bool = False


def unservable(
    waiting: Sequence[Expectation],
    pace: Pace,
    elsewhere: Callable[[int], Elsewhere],
    now: float,
) -> list[int]:
    """Return the positions of the calls whose predicted start is past their latest one.

    `waiting` is in the order of placement, `elsewhere` gives the calls ahead by rank.  A call
    that is rejected does not count for those behind it, so the fewest possible are rejected: the
    last ones in order, and those whose deadlines are too early for their place.
    """
    rejected = []
    ahead = 0
    by_rank: dict[int, Elsewhere] = {}
    for position, call in enumerate(waiting):
        if call.rank not in by_rank:
            by_rank[call.rank] = elsewhere(call.rank)
        wait = seconds_until_start(ahead, pace, by_rank[call.rank], call.rank)
        if call.arrives:
            wait *= ARRIVAL_MARGIN
        if now + wait > call.latest_start and not call.exempt:
            rejected.append(position)
        else:
            ahead += 1
    return rejected


def return_seconds(call: Call, drain: float) -> float:
    """Return after how many seconds the caller of a rejected call should return.

    `drain` is the time in which the backlog drains.  Callers are spread over as much time again,
    more urgent ones first: calls that were rejected over the time of one drain then return no
    faster than they came.
    """
    drain = min(max(drain, MIN_DRAIN_SECONDS), MAX_DRAIN_SECONDS)
    place = (call.rank + hash32(call.id) / HASH32_SPAN) / RANKS
    return drain + max(MIN_SPREAD_SECONDS, drain) * place


class _Rejection(Struct, frozen=True):
    rank: int
    latest_start: float
    at: float


class RejectionReview:
    """Finds rejections that were not needed: room came before the call's latest start."""

    def __init__(self):
        self._rejections: deque[_Rejection] = deque(maxlen=REVIEWED_MAX)

    def record_rejection(self, rank: int, latest_start: float, now: float) -> None:
        """Record that a call was rejected because of its predicted start."""
        self._rejections.append(_Rejection(rank, latest_start, now))

    def record_placed(self, call: Call, arrived_at: float, now: float) -> bool:
        """Return whether a rejected call could have had the room of one that is placed now.

        That is so if it could still have started in time, it was at least as urgent, and it was
        rejected before the other arrived.  Each placed call accounts for one rejection.
        """
        for rejection in self._rejections:
            if rejection.at <= arrived_at and rejection.rank <= call.rank:
                if rejection.latest_start > now:
                    self._rejections.remove(rejection)
                    return True
        return False
