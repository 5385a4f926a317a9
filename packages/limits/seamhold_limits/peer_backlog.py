"""Calls that wait at other boxes, and how long a new arrival is held back for them.

Counts from peers are up to some seconds old.  They only ever lengthen predictions (see `backlog`),
or hold back an arrival for some hundredths of a second, so a wrong count wastes little room.
"""

import math
from collections.abc import Iterable

from msgspec import Struct

from seamhold_messages.work import Call, WaitingCalls

from .backlog import Elsewhere

#: Reported counts are used for predictions for this long.  With 84 boxes, of which each sends
#: digests to 12 others every 0.25 s, a box receives a digest of each other every 1.75 s.
REPORT_SECONDS = 2.0
#: Maximum number of rows of a report that are kept, one for each service and rank.
ROWS_MAX = 256
#: An arrival is held back only for calls that a peer reported at most this long ago.
RECENT_SECONDS = 0.5
#: A call waits for long if it has waited for this long: twice the interval at which boxes check
#: their queues, within which a call that finds room is placed.
LONG_WAIT_SECONDS = 0.1
#: An arrival is held back for at most this long, and for at most this share of its objective;
#: 1/8 is what may pass before holding a call has a cost.
HOLD_SECONDS = 0.05
HOLD_OBJECTIVE_SHARE = 0.125
#: Time from the end of one hold to the next.  It doubles each time the room was still unused
#: after a hold, so wrong counts waste room for at most 0.05 s in 5.05 s in the long run.
MIN_PAUSE_SECONDS = 0.2
MAX_PAUSE_SECONDS = 5.0


class _Report(Struct, frozen=True):
    at: float
    waiting: tuple[WaitingCalls, ...]


class PeerBacklogs:
    """What each peer last reported of its waiting calls."""

    def __init__(self):
        self._reports: dict[str, _Report] = {}

    def set_peer(self, box: str, waiting: tuple[WaitingCalls, ...], now: float) -> None:
        """Replace what peer `box` reported."""
        self._reports = {
            name: report
            for name, report in self._reports.items()
            if now - report.at <= REPORT_SECONDS
        }
        if waiting:
            self._reports[box] = _Report(now, waiting[:ROWS_MAX])
        else:
            self._reports.pop(box, None)

    def drop_peer(self, box: str) -> None:
        """Drop what a silent box reported."""
        self._reports.pop(box, None)

    def ahead(self, service_key: int, max_per_box: int, rank: int, now: float) -> Elsewhere:
        """Return how many calls of this rank or a more urgent one wait at other boxes.

        At most `max_per_box` are counted for each.
        """
        calls = boxes = 0
        for report in self._reports.values():
            if now - report.at > REPORT_SECONDS:
                continue
            here = sum(one.calls for one in _up_to(report.waiting, service_key, rank))
            calls += min(here, max_per_box)
            boxes += here > 0
        return Elsewhere(calls, boxes)

    def wait_for_long(self, service_key: int, rank: int, now: float) -> bool:
        """Whether calls of this rank or a more urgent one wait elsewhere for long."""
        return any(
            one.oldest >= LONG_WAIT_SECONDS
            for report in self._reports.values()
            if now - report.at <= RECENT_SECONDS
            for one in _up_to(report.waiting, service_key, rank)
        )


def _up_to(
    waiting: tuple[WaitingCalls, ...], service_key: int, rank: int
) -> Iterable[WaitingCalls]:
    return (one for one in waiting if one.service_key == service_key and one.rank <= rank)


class Hold:
    """Decides for how long the arrivals of one service are held back, and how often."""

    def __init__(self):
        self.until = -math.inf
        self._next_at = -math.inf
        self._pause = MIN_PAUSE_SECONDS
        self._unchecked = False

    def begin(self, call: Call, now: float) -> bool:
        """Hold `call` back if the last hold is long enough ago; return whether it is held."""
        if now < self._next_at:
            return False
        seconds = HOLD_SECONDS
        if call.objective is not None:
            seconds = min(seconds, HOLD_OBJECTIVE_SHARE * call.objective)
        self.until = now + seconds
        self._next_at = self.until + self._pause
        self._unchecked = True
        return True

    def active(self, now: float) -> bool:
        """Whether calls are held back now."""
        return now < self.until

    def end(self) -> None:
        """End the hold: no calls that it is for wait any longer."""
        self.until = -math.inf
        self._unchecked = False

    def record_room(self, is_left: bool) -> None:
        """Record whether there is still room after a hold: it was of use if there is none."""
        if not self._unchecked:
            return
        self._unchecked = False
        pause = self._pause
        self._pause = min(MAX_PAUSE_SECONDS, 2 * pause) if is_left else MIN_PAUSE_SECONDS
        self._next_at += self._pause - pause
