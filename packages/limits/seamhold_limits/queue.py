"""A short queue for calls that found every slot taken.

Calls are ordered by priority, then by start-time fair queueing (Goyal, Vin and Cheng) over the
workspaces and their weights. A call moves up one priority for each `aging_seconds` that it waits,
so that none starves. When the queue is full, the workspace with the most calls loses its newest
call to a workspace with fewer.

A call that cannot be served before its deadline is refused on arrival. One whose deadline passes
while it waits is removed and refused as not run.

With `predictive` the order is by rank, in which the workspace's priority precedes the route's, and
fair queueing is within a rank.  Each time the queue grows or is checked, the calls whose predicted
start is past their deadline are rejected (see `backlog`), and a full queue loses its last call.
"""

import math
from collections import Counter, defaultdict
from collections.abc import Callable
from itertools import groupby

from msgspec import Struct

from seamhold_messages.errors import DeadlinePassed, DeadlineUnmeetable, FleetFull
from seamhold_messages.work import Call, Refused, WaitingCalls

from .backlog import (
    NOTHING_ELSEWHERE,
    Elsewhere,
    Expectation,
    PlacementRate,
    RejectionReview,
    return_seconds,
    seconds_until_start,
    unservable,
)

#: Share of a call's objective after which it counts as late: the rest is for its response.
LATE_SHARE = 0.5
#: Weight of the newest interval between two placed calls in the smoothed interval.
INTERVAL_SMOOTHING = 0.2
#: A call that ends unserved counts as held if it waited for more than this share of its objective.
HELD_OBJECTIVE_SHARE = 0.125


class _Waiting(Struct):
    """A waiting call, its time of arrival and its start tag in virtual time."""

    call: Call
    at: float
    start: float
    #: Until then it is not rejected by prediction or displaced.
    exempt_until: float = -math.inf


def _nothing_elsewhere(rank: int, now: float) -> Elsewhere:
    return NOTHING_ELSEWHERE


def _refusal(call: Call, error, detail: str, retry_after: float | None = None) -> Refused:
    return Refused(call.id, error.code, detail, retry_after)


class WaitQueue:
    """The calls of one service that wait on one box, at most `size` of them."""

    def __init__(self, size: int = 64, aging_seconds: float = 5.0):
        self.size = size
        self.aging_seconds = aging_seconds
        #: Whether calls that can no longer meet their objective go last.  Under overload a queue in
        #: order of arrival makes every call late; this one answers most of them in time.
        self.late_last = False
        self._waiting: list[_Waiting] = []
        self._virtual_time = 0.0
        self._finish_tags: dict[str, float] = defaultdict(float)
        self._interval: float | None = None
        self._last_release: float | None = None
        self.predictive = False
        #: Whether a call has to start within its objective, not only before its deadline.
        self.within_objective = False
        #: Returns the calls of a rank or a more urgent one that wait at other boxes.
        self.elsewhere: Callable[[int, float], Elsewhere] = _nothing_elsewhere
        #: Rejections by reason, rejections that were not needed, and calls held but not served.
        self.counts: Counter[str] = Counter()
        self._rate = PlacementRate()
        self._review = RejectionReview()
        #: Virtual times and finish tags by rank; used if `predictive`.
        self._rank_times: dict[int, float] = defaultdict(float)
        self._rank_tags: dict[tuple[int, str], float] = defaultdict(float)

    def __len__(self) -> int:
        return len(self._waiting)

    def expected_wait(self) -> float:
        """Return the expected seconds until a call that arrives now is placed."""
        if self._interval is None:
            return 0.0
        return self._interval * (len(self._waiting) + 1)

    def offer(
        self, call: Call, now: float, weight: float = 1.0, exempt_until: float = -math.inf
    ) -> list[Refused]:
        """Queue `call`; return the refusals of it or of calls that it displaced, if any.

        Until `exempt_until` it is not rejected by prediction or displaced: it was sent before and
        may have run, or there was room for it.
        """
        if self.predictive:
            return self._offer_by_rank(call, now, weight, exempt_until)
        if not self._waiting:
            # The estimate belongs to one busy period. Kept for the next one, an estimate above the
            # deadline would refuse every call, and nothing could correct it.
            self._interval = None
        wait = self.expected_wait()
        if now + wait > call.deadline:
            self.counts['rejected.predicted_on_arrival'] += 1
            detail = f'the expected wait of {wait:.1f} s exceeds the time left'
            return [_refusal(call, DeadlineUnmeetable, detail, wait)]
        refused: list[Refused] = []
        if len(self._waiting) >= self.size:
            displaced = self._displaced_by(call)
            if displaced is None:
                self.counts['rejected.queue_full'] += 1
                detail = f'the queue is full, its limit is {self.size} calls'
                return [_refusal(call, FleetFull, detail, max(1.0, wait))]
            self._waiting.remove(displaced)
            self._count_unserved('rejected.displaced', displaced, now)
            refused.append(_refusal(displaced.call, FleetFull, 'displaced from a full queue', wait))
        start = max(self._virtual_time, self._finish_tags[call.workspace])
        self._finish_tags[call.workspace] = start + max(1, call.work.tokens) / weight
        self._waiting.append(_Waiting(call, now, start))
        return refused

    def _offer_by_rank(
        self, call: Call, now: float, weight: float, exempt_until: float
    ) -> list[Refused]:
        self._rate.advance(self._is_busy(now), now)
        tag = (call.rank, call.workspace)
        start = max(self._rank_times[call.rank], self._rank_tags[tag])
        arrival = _Waiting(call, now, start, exempt_until)
        self._waiting.append(arrival)
        rejected = self._unservable(now, arrival)
        refused = [self._reject(waiting, arrival, now) for waiting in rejected]
        if len(self._waiting) > self.size:
            refused += self._reject_last(arrival, now)
        if arrival in self._waiting:
            self._rate.record_arrival(call.rank)
            self._rank_tags[tag] = start + max(1, call.work.tokens) / weight
        return refused

    def _reject_last(self, arrival: _Waiting, now: float) -> list[Refused]:
        """Remove the last call in order that is not exempt, because the queue is full.

        Returns its refusal.  Where all are exempt, the queue exceeds its size.
        """
        may_go = [waiting for waiting in self._in_order(now) if waiting.exempt_until < now]
        if not may_go:
            return []
        last = may_go[-1]
        self._waiting.remove(last)
        reason = 'rejected.queue_full' if last is arrival else 'rejected.displaced'
        self._count_unserved(reason, last, now)
        detail = f'the queue is full, its limit is {self.size} calls'
        return [_refusal(last.call, FleetFull, detail, self._return_seconds(last.call, now))]

    def reject_unservable(self, now: float) -> list[Refused]:
        """Remove the calls that cannot start before their deadline and return their refusals."""
        if not self.predictive:
            return []
        self._rate.advance(self._is_busy(now), now)
        return [self._reject(waiting, None, now) for waiting in self._unservable(now)]

    def _unservable(self, now: float, arrival: _Waiting | None = None) -> list[_Waiting]:
        in_order = self._in_order(now)
        expected = [
            Expectation(
                waiting.call.rank,
                self._latest_start(waiting),
                now <= waiting.exempt_until,
                waiting is arrival,
            )
            for waiting in in_order
        ]
        positions = unservable(
            expected, self._rate.pace, lambda rank: self.elsewhere(rank, now), now
        )
        return [in_order[position] for position in positions]

    def _latest_start(self, waiting: _Waiting) -> float:
        call = waiting.call
        if not self.within_objective or call.objective is None:
            return call.deadline
        return min(call.deadline, waiting.at + call.objective)

    def _reject(self, waiting: _Waiting, arrival: _Waiting | None, now: float) -> Refused:
        """Remove a call whose predicted start is too late and return its refusal."""
        self._waiting.remove(waiting)
        latest_start = self._latest_start(waiting)
        self._review.record_rejection(waiting.call.rank, latest_start, now)
        when = 'on_arrival' if waiting is arrival else 'while_waiting'
        self._count_unserved(f'rejected.predicted_{when}', waiting, now)
        left = max(0.0, latest_start - now)
        detail = f'the predicted start is later than the {left:.2f} s left'
        retry_after = self._return_seconds(waiting.call, now)
        return _refusal(waiting.call, DeadlineUnmeetable, detail, retry_after)

    def _return_seconds(self, call: Call, now: float) -> float:
        """Return after how many seconds the caller of a rejected call should return."""
        ahead = sum(waiting.call.rank <= call.rank for waiting in self._waiting)
        elsewhere = self.elsewhere(call.rank, now)
        drain = seconds_until_start(ahead, self._rate.pace, elsewhere, call.rank)
        return return_seconds(call, drain)

    def _count_unserved(self, reason: str, waiting: _Waiting, now: float) -> None:
        if reason:
            self.counts[reason] += 1
        objective = waiting.call.objective
        if objective is not None and now - waiting.at > HELD_OBJECTIVE_SHARE * objective:
            self.counts['held.unserved'] += 1

    def record_direct(self, call: Call, now: float) -> None:
        """Record that a call was placed on arrival, without waiting."""
        if not self.predictive:
            return
        self._rate.record_room()
        if self._review.record_placed(call, now, now):
            self.counts['rejected.unneeded'] += 1

    def waiting_calls(self, service_key: int, now: float) -> list[WaitingCalls]:
        """Return the number of calls that wait by rank, with the longest wait of each."""
        by_rank = sorted(self._waiting, key=lambda waiting: waiting.call.rank)
        reported = []
        for rank, group in groupby(by_rank, key=lambda waiting: waiting.call.rank):
            arrivals = [waiting.at for waiting in group]
            oldest = max(0.0, now - min(arrivals))
            reported.append(WaitingCalls(service_key, rank, len(arrivals), oldest))
        return reported

    def _displaced_by(self, call: Call) -> _Waiting | None:
        counts: dict[str, int] = defaultdict(int)
        for waiting in self._waiting:
            counts[waiting.call.workspace] += 1
        if not counts:
            return None
        largest = max(counts, key=lambda name: (counts[name], name))
        if counts[largest] <= counts.get(call.workspace, 0) + 1:
            return None
        return max(
            (waiting for waiting in self._waiting if waiting.call.workspace == largest),
            key=lambda waiting: waiting.at,
        )

    def expire(self, now: float) -> list[Refused]:
        """Remove the calls whose deadline has passed and return their refusals."""
        expired = [waiting for waiting in self._waiting if waiting.call.deadline <= now]
        if not expired:
            return []
        for waiting in expired:
            self._count_unserved('rejected.deadline_passed', waiting, now)
        if self.predictive:
            self._rate.advance(True, now)
        self._waiting = [waiting for waiting in self._waiting if waiting.call.deadline > now]
        return [
            _refusal(waiting.call, DeadlinePassed, 'the deadline passed in the queue')
            for waiting in expired
        ]

    def peek(self, now: float) -> list[Call]:
        """Return the waiting calls in order, the next one first."""
        return [waiting.call for waiting in self._in_order(now)]

    def _in_order(self, now: float) -> list[_Waiting]:
        def order(waiting: _Waiting):
            promoted = int((now - waiting.at) / self.aging_seconds)
            priority = max(0, waiting.call.priority - promoted)
            return (self._is_late(waiting, now), priority, waiting.start, waiting.at)

        def order_by_rank(waiting: _Waiting):
            # Start tags of different ranks do not compare; a call that moved up has waited longer
            # than those of the rank that it moved to.
            promoted = int((now - waiting.at) / self.aging_seconds)
            rank = max(0, waiting.call.rank - promoted)
            moved = rank < waiting.call.rank
            return (rank, not moved, waiting.at if moved else waiting.start, waiting.at)

        return sorted(self._waiting, key=order_by_rank if self.predictive else order)

    def _is_busy(self, now: float) -> bool:
        """Whether calls wait that any room would start.

        A retry may wait for one engine while others have room, which is no stall of the service.
        """
        return any(waiting.exempt_until < now for waiting in self._waiting)

    def _is_late(self, waiting: _Waiting, now: float) -> bool:
        objective = waiting.call.objective
        if not self.late_last or objective is None:
            return False
        return now - waiting.at > LATE_SHARE * objective

    def remove(
        self, call_id: str, now: float | None = None, cancelled_at: float | None = None
    ) -> bool:
        """Remove a call: placed at `now`, or cancelled if `now` is None.

        `cancelled_at` is when it was cancelled; without it, it does not count as held unserved.
        """
        for position, waiting in enumerate(self._waiting):
            if waiting.call.id == call_id:
                at = cancelled_at if now is None else now
                if self.predictive and at is not None:
                    self._rate.advance(True, at)
                del self._waiting[position]
                if now is not None:
                    self._record_placed(waiting, now)
                elif cancelled_at is not None:
                    self._count_unserved('', waiting, cancelled_at)
                return True
        return False

    def _record_placed(self, waiting: _Waiting, now: float) -> None:
        self._virtual_time = max(self._virtual_time, waiting.start)
        self._record_release(now)
        if self.predictive:
            rank = waiting.call.rank
            self._rank_times[rank] = max(self._rank_times[rank], waiting.start)
            self._rate.record_placed()
            if self._review.record_placed(waiting.call, waiting.at, now):
                self.counts['rejected.unneeded'] += 1

    def _record_release(self, now: float) -> None:
        if self._last_release is not None:
            interval = now - self._last_release
            old = interval if self._interval is None else self._interval
            self._interval = (1 - INTERVAL_SMOOTHING) * old + INTERVAL_SMOOTHING * interval
        self._last_release = now
        if not self._waiting:
            self._last_release = None
