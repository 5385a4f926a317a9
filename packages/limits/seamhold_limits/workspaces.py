"""Each workspace's limits, fleet-wide, held by every box for its share.

A box admits a call when it stays within its own share of the limit, which
follows demand, and when all the work it knows of stays within the whole.
The first keeps boxes that cannot see each other's newest work from adding up
beyond the limit; the second covers the time in which shares move.

While the workspace uses little of its limit, shares do not bind: a box that
had no demand yet must be able to begin.  What the box took since it last told
its peers then counts once for every box, as each may have done the same.
"""

from collections import defaultdict
from dataclasses import dataclass, field

from seamhold_messages.errors import WorkspaceLimit
from seamhold_messages.work import NO_WORK, Usage, Work

from .rate import TokenBucket
from .share import split_limit

#: How fast remembered demand fades, per second.
DEMAND_HALF_LIFE = 1.0
#: What a caller is told to wait when the limit is on work in flight.
IN_FLIGHT_RETRY_SECONDS = 1.0
#: Seconds of its rate that a box's bucket saves up.
RATE_BURST_SECONDS = 1.0
#: Part of a limit below which shares do not bind.
EASY_FRACTION = 0.5
#: Demand below this is not worth a byte in a digest.
IDLE_TELL = 0.05
#: Resolution of a box's share of a rate.
RATE_SCALE = 10_000


@dataclass(frozen=True, slots=True)
class WorkspaceCaps:
    """A workspace's fleet-wide caps; None is no cap."""

    requests_in_flight: int | None = None
    tokens_in_flight: int | None = None
    requests_per_second: float | None = None


@dataclass(frozen=True, slots=True)
class _Use:
    """One dimension of a workspace's use, in calls or in tokens.

    `known` is what peers told and what is asked, `unsent` what this box took
    since it last told them.
    """

    own: int
    known: int
    unsent: int
    asked: int


@dataclass(slots=True)
class _Space:
    work: Work = NO_WORK
    unsent: Work = NO_WORK
    refused: float = 0.0
    refused_at: float = 0.0
    bucket: TokenBucket | None = None
    peers: dict[str, Usage] = field(default_factory=dict)

    def demand(self, now: float) -> float:
        age = max(0.0, now - self.refused_at)
        return self.work.requests + self.refused * 0.5 ** (age / DEMAND_HALF_LIFE)

    def note_refusal(self, now: float) -> None:
        self.refused = self.demand(now) - self.work.requests + 1.0
        self.refused_at = now


class WorkspaceLimits:
    """One box's part in holding all workspaces to their limits."""

    def __init__(self, me: str):
        self.me = me
        self._caps: dict[str, WorkspaceCaps] = {}
        self._spaces: dict[str, _Space] = defaultdict(_Space)
        self._boxes: list[str] = [me]

    def set_caps(self, caps: dict[str, WorkspaceCaps]) -> None:
        """Replace the limits; work in flight is kept."""
        self._caps = dict(caps)

    def set_boxes(self, boxes: list[str]) -> None:
        """The live boxes, this one among them, that hold shares."""
        self._boxes = list(boxes)
        for space in self._spaces.values():
            space.peers = {name: told for name, told in space.peers.items() if name in boxes}

    def set_peer(self, box: str, usage: dict[str, Usage]) -> None:
        """Replace what peer `box` told of all workspaces."""
        for name, space in self._spaces.items():
            if name not in usage:
                space.peers.pop(box, None)
        for name, told in usage.items():
            self._spaces[name].peers[box] = told

    def usage(self, now: float) -> dict[str, Usage]:
        """What this box tells its peers."""
        found = {}
        for name, space in self._spaces.items():
            demand = space.demand(now)
            if demand > IDLE_TELL or space.work.requests:
                found[name] = Usage(space.work, demand)
        return found

    def admit(self, workspace: str, work: Work, now: float) -> None:
        """Count `work` as in flight, or raise WorkspaceLimit."""
        caps = self._caps.get(workspace, WorkspaceCaps())
        space = self._spaces[workspace]
        try:
            self._check_requests(caps, space, work, now)
            self._check_tokens(caps, space, work, now)
            self._check_rate(caps, space, work, now)
        except WorkspaceLimit:
            space.note_refusal(now)
            raise
        space.work += work
        space.unsent += work

    def digest_sent(self) -> None:
        """Peers are told; from here on only new work counts as unsent."""
        for space in self._spaces.values():
            space.unsent = NO_WORK

    def release(self, workspace: str, work: Work) -> None:
        """Work that was admitted has ended."""
        self._spaces[workspace].work -= work

    def _fraction(self, space: _Space, limit: int, now: float) -> int:
        demands = {box: space.peers.get(box, Usage()).demand for box in self._boxes}
        demands[self.me] = space.demand(now)
        return split_limit(limit, demands)[self.me]

    def _check_requests(self, caps: WorkspaceCaps, space: _Space, work: Work, now: float):
        limit = caps.requests_in_flight
        if limit is None:
            return
        known = work.requests + sum(told.work.requests for told in space.peers.values())
        use = _Use(space.work.requests, known, space.unsent.requests, work.requests)
        if not self._fits(limit, use, space, now):
            raise WorkspaceLimit(f'at {limit} calls in flight', IN_FLIGHT_RETRY_SECONDS)

    def _check_tokens(self, caps: WorkspaceCaps, space: _Space, work: Work, now: float):
        limit = caps.tokens_in_flight
        if limit is None:
            return
        known = work.tokens + sum(told.work.tokens for told in space.peers.values())
        use = _Use(space.work.tokens, known, space.unsent.tokens, work.tokens)
        if not self._fits(limit, use, space, now):
            raise WorkspaceLimit(f'at {limit} tokens in flight', IN_FLIGHT_RETRY_SECONDS)

    def _fits(self, limit: int, use: _Use, space: _Space, now: float) -> bool:
        after = use.own + use.known
        if after > limit:
            # A call larger than the whole limit may still run alone.
            return use.own == 0 and use.known == use.asked
        if after + use.unsent * (len(self._boxes) - 1) <= max(use.asked, limit * EASY_FRACTION):
            return True
        return use.own + use.asked <= self._fraction(space, limit, now)

    def _check_rate(self, caps: WorkspaceCaps, space: _Space, work: Work, now: float):
        limit = caps.requests_per_second
        if limit is None:
            return
        share = limit * self._fraction(space, RATE_SCALE, now) / RATE_SCALE
        burst = max(1.0, share * RATE_BURST_SECONDS)
        if space.bucket is None:
            space.bucket = TokenBucket(share, burst, now)
        space.bucket.rate = share
        space.bucket.burst = burst
        if not space.bucket.take(work.requests, now):
            wait = space.bucket.wait(work.requests, now)
            raise WorkspaceLimit(f'at {limit:g} calls a second', wait)
