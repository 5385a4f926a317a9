"""Each workspace's limits, fleet-wide, held by every box for its share.

A box admits a call within its own share of the limit, which follows demand
(see `grants`), as long as no peer holds more than its share: a share moves
before the work that was admitted under it has ended.  How much that is each
box tells itself: another may believe its share to be larger than it is.

Boxes tell each other of workspaces by the hash of their names, and what they tell is
kept by it: a box acknowledges it before its settings may have named the workspace.
"""

from collections import defaultdict
from collections.abc import Iterable

from msgspec import Struct, field

from seamhold_messages.errors import WorkspaceLimit
from seamhold_messages.hashing import hash32
from seamhold_messages.work import NO_WORK, Usage, Work

from .grants import DemandGrants
from .rate import TokenBucket
from .share import Demands, holds_within_share, split_limit

#: How fast remembered demand fades, per second.
DEMAND_HALF_LIFE = 1.0
#: What a caller is told to wait when the limit is on work in flight.
IN_FLIGHT_RETRY_SECONDS = 1.0
#: Seconds of its rate that a box's bucket saves up.
RATE_BURST_SECONDS = 1.0
#: Demand below this is not worth a byte in a digest.
IDLE_TELL = 0.05
#: Resolution of a box's share of a rate.
RATE_SCALE = 10_000


class WorkspaceCaps(Struct, frozen=True):
    """A workspace's fleet-wide caps; None is no cap."""

    requests_in_flight: int | None = None
    tokens_in_flight: int | None = None
    requests_per_second: float | None = None


NO_CAPS = WorkspaceCaps()


class _Held(Struct, frozen=True):
    """What a peer told of its work, and of the part that is above its share."""

    work: int = 0
    over: int = 0

    def at_most(self, share: int) -> int:
        """What it may hold, by this box's view of its share."""
        return max(self.work, share + self.over)


NOTHING_HELD = _Held()


class _Space(Struct):
    work: Work = NO_WORK
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
        #: By the hash of the workspace's name, as the next.
        self._caps: dict[int, WorkspaceCaps] = {}
        self._spaces: dict[int, _Space] = defaultdict(_Space)
        self._boxes: list[str] = [me]
        self._grants = DemandGrants()

    def set_caps(self, caps: dict[str, WorkspaceCaps]) -> None:
        """Replace the limits; work in flight is kept."""
        self._caps = {hash32(name): held for name, held in caps.items()}

    def set_boxes(self, boxes: list[str], leaving: Iterable[str] = ()) -> None:
        """The live boxes, this one among them, that hold shares.

        Those that are `leaving` hold none, and end what they have.
        """
        self._boxes = list(boxes)
        self._grants.set_peers({box for box in boxes if box != self.me})
        kept = {*boxes, *leaving}
        for space in self._spaces.values():
            space.peers = {name: told for name, told in space.peers.items() if name in kept}

    def set_peer(self, box: str, usage: dict[int, Usage], ack: int) -> None:
        """Replace what peer `box` told of all workspaces, by the hash of their names.

        `ack` is the last of this box's messages that it had heard by then.
        """
        self._grants.heard(box, ack)
        for key, space in self._spaces.items():
            if key not in usage:
                space.peers.pop(box, None)
        for key, told in usage.items():
            self._spaces[key].peers[box] = told

    def usage(self, now: float) -> dict[int, Usage]:
        """What this box tells its peers: only of workspaces with a limit."""
        found = {}
        for key, space in self._spaces.items():
            if self._caps_of(key) == NO_CAPS:
                continue
            demand = space.demand(now)
            if demand > IDLE_TELL or space.work.requests:
                found[key] = Usage(space.work, demand, self._over(key, space, now))
        return found

    def _over(self, key: int, space: _Space, now: float) -> Work:
        """The part of a workspace's work that is above this box's shares."""
        if space.work == NO_WORK:
            return NO_WORK
        caps = self._caps_of(key)
        return Work(
            self._above(key, caps.requests_in_flight, space.work.requests, now),
            self._above(key, caps.tokens_in_flight, space.work.tokens, now),
        )

    def _above(self, key: int, limit: int | None, held: int, now: float) -> int:
        if not limit or not held or holds_within_share(limit, held, self._demands(key, now)):
            return 0
        return max(0, held - self._shares(key, limit, now)[self.me])

    def _demands(self, key: int, now: float) -> Demands:
        space = self._spaces[key]
        sharing = set(self._boxes)
        told = tuple(usage.demand for box, usage in space.peers.items() if box in sharing)
        own = self._grants.demand(key, space.demand(now))
        return Demands(own, told, len(self._boxes) - 1 - len(told))

    def admit(self, workspace: str, work: Work, now: float) -> None:
        """Count `work` as in flight, or raise WorkspaceLimit."""
        key = hash32(workspace)
        space = self._spaces[key]
        try:
            self._check_requests(key, space, work, now)
            self._check_tokens(key, space, work, now)
            self._check_rate(key, space, work, now)
        except WorkspaceLimit:
            space.note_refusal(now)
            raise
        space.work += work

    def digest_sent(self, peer: str, seq: int, usage: dict[int, Usage]) -> None:
        """A peer was told all of `usage`, in message `seq`."""
        demands = {key: told.demand for key, told in usage.items()}
        self._grants.told(peer, seq, demands)

    def peer_forgot(self, peer: str) -> None:
        """A peer started anew and knows nothing of this box."""
        self._grants.forgotten(peer)

    def release(self, workspace: str, work: Work) -> None:
        """Work that was admitted has ended."""
        self._spaces[hash32(workspace)].work -= work

    def _caps_of(self, key: int) -> WorkspaceCaps:
        return self._caps.get(key, NO_CAPS)

    def _check_requests(self, key: int, space: _Space, work: Work, now: float) -> None:
        limit = self._caps_of(key).requests_in_flight
        if limit is None:
            return
        held = {
            box: _Held(told.work.requests, told.over.requests) for box, told in space.peers.items()
        }
        after = space.work.requests + work.requests
        if not self._fits(key, limit, after, work.requests, held, now):
            raise WorkspaceLimit(f'at {limit} calls in flight', IN_FLIGHT_RETRY_SECONDS)

    def _check_tokens(self, key: int, space: _Space, work: Work, now: float) -> None:
        limit = self._caps_of(key).tokens_in_flight
        if limit is None:
            return
        held = {box: _Held(told.work.tokens, told.over.tokens) for box, told in space.peers.items()}
        after = space.work.tokens + work.tokens
        if not self._fits(key, limit, after, work.tokens, held, now):
            raise WorkspaceLimit(f'at {limit} tokens in flight', IN_FLIGHT_RETRY_SECONDS)

    def _fits(
        self, key: int, limit: int, after: int, asked: int, held: dict[str, _Held], now: float
    ) -> bool:
        """Whether this box may hold `after`, while peers hold `held`."""
        if asked > limit:
            # A call larger than the whole limit may still run alone.
            return after == asked and not any(told.work for told in held.values())
        shares = self._shares(key, limit, now)
        others = sum(
            held.get(box, NOTHING_HELD).at_most(shares[box]) for box in shares if box != self.me
        )
        # What boxes that leave still run has no share, and is work of the limit until it ends.
        others += sum(told.work for box, told in held.items() if box not in shares)
        return after <= min(shares[self.me], limit - others)

    def _shares(self, key: int, limit: int, now: float) -> dict[str, int]:
        space = self._spaces[key]
        demands = {box: space.peers.get(box, Usage()).demand for box in self._boxes}
        demands[self.me] = self._grants.demand(key, space.demand(now))
        return split_limit(limit, demands)

    def _check_rate(self, key: int, space: _Space, work: Work, now: float) -> None:
        limit = self._caps_of(key).requests_per_second
        if limit is None:
            return
        share = limit * self._shares(key, RATE_SCALE, now)[self.me] / RATE_SCALE
        burst = max(1.0, share * RATE_BURST_SECONDS)
        if space.bucket is None:
            space.bucket = TokenBucket(share, burst, now)
        space.bucket.rate = share
        space.bucket.burst = burst
        if not space.bucket.take(work.requests, now):
            wait = space.bucket.wait(work.requests, now)
            raise WorkspaceLimit(f'at {limit:g} calls a second', wait)
