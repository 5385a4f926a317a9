"""A short queue for calls that found every slot taken.

Calls are ordered by priority, then by start-time fair queueing (Goyal, Vin and Cheng) over the
workspaces and their weights. A call moves up one priority for each `aging_seconds` that it waits,
so that none starves. When the queue is full, the workspace with the most calls loses its newest
call to a workspace with fewer.

A call that cannot be served before its deadline is refused on arrival. One whose deadline passes
while it waits is removed and refused as not run.
"""

from collections import defaultdict

from msgspec import Struct

from seamhold_messages.errors import DeadlinePassed, DeadlineUnmeetable, FleetFull
from seamhold_messages.work import Call, Refused

#: Share of a call's objective after which it counts as late: the rest is for its response.
LATE_SHARE = 0.5
#: Weight of the newest interval between two placed calls in the smoothed interval.
INTERVAL_SMOOTHING = 0.2


class _Waiting(Struct):
    """A waiting call, its time of arrival and its start tag in virtual time."""

    call: Call
    at: float
    start: float


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

    def __len__(self) -> int:
        return len(self._waiting)

    def expected_wait(self) -> float:
        """Return the expected seconds until a call that arrives now is placed."""
        if self._interval is None:
            return 0.0
        return self._interval * (len(self._waiting) + 1)

    def offer(self, call: Call, now: float, weight: float = 1.0) -> list[Refused]:
        """Queue `call`; return a refusal of it or of the call that it displaced, if any."""
        if not self._waiting:
            # The estimate belongs to one busy period. Kept for the next one, an estimate above the
            # deadline would refuse every call, and nothing could correct it.
            self._interval = None
        wait = self.expected_wait()
        if now + wait > call.deadline:
            detail = f'the expected wait of {wait:.1f} s exceeds the time left'
            return [_refusal(call, DeadlineUnmeetable, detail, wait)]
        refused: list[Refused] = []
        if len(self._waiting) >= self.size:
            displaced = self._displaced_by(call)
            if displaced is None:
                detail = f'the queue is full, its limit is {self.size} calls'
                return [_refusal(call, FleetFull, detail, max(1.0, wait))]
            self._waiting.remove(displaced)
            refused.append(_refusal(displaced.call, FleetFull, 'displaced from a full queue', wait))
        start = max(self._virtual_time, self._finish_tags[call.workspace])
        self._finish_tags[call.workspace] = start + max(1, call.work.tokens) / weight
        self._waiting.append(_Waiting(call, now, start))
        return refused

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
        self._waiting = [waiting for waiting in self._waiting if waiting.call.deadline > now]
        return [
            _refusal(waiting.call, DeadlinePassed, 'the deadline passed in the queue')
            for waiting in expired
        ]

    def peek(self, now: float) -> list[Call]:
        """Return the waiting calls in order, the next one first."""

        def order(waiting: _Waiting):
            promoted = int((now - waiting.at) / self.aging_seconds)
            priority = max(0, waiting.call.priority - promoted)
            return (self._is_late(waiting, now), priority, waiting.start, waiting.at)

        return [waiting.call for waiting in sorted(self._waiting, key=order)]

    def _is_late(self, waiting: _Waiting, now: float) -> bool:
        objective = waiting.call.objective
        if not self.late_last or objective is None:
            return False
        return now - waiting.at > LATE_SHARE * objective

    def remove(self, call_id: str, now: float | None = None) -> bool:
        """Remove a call: placed at `now`, or cancelled if `now` is None."""
        for position, waiting in enumerate(self._waiting):
            if waiting.call.id == call_id:
                del self._waiting[position]
                if now is not None:
                    self._virtual_time = max(self._virtual_time, waiting.start)
                    self._record_release(now)
                return True
        return False

    def _record_release(self, now: float) -> None:
        if self._last_release is not None:
            interval = now - self._last_release
            old = interval if self._interval is None else self._interval
            self._interval = (1 - INTERVAL_SMOOTHING) * old + INTERVAL_SMOOTHING * interval
        self._last_release = now
        if not self._waiting:
            self._last_release = None
