"""Fleet-wide limits of workspaces, of which every box enforces its share.

A box admits a call if it fits within the box's share of the limit, which follows demand (see
`grants`), and within what the peers leave free. A peer may hold more than its share, because
shares move before the work that was admitted under them has ended. Each box reports how much it
holds above its share; other boxes cannot compute it, since they may assume a larger share for it.

Boxes report and store usage by the hash of the workspace's name: a box may acknowledge a report
before its settings name the workspace.
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

#: Half-life of the demand of refused calls, in seconds.
DEMAND_HALF_LIFE = 1.0
#: Retry-after that callers get when a limit on work in flight is reached.
IN_FLIGHT_RETRY_SECONDS = 1.0
#: Size of a box's token bucket, in seconds of its rate.
RATE_BURST_SECONDS = 1.0
#: Demand up to this, in calls, is left out of digests to save bytes.
MIN_REPORTED_DEMAND = 0.05
#: Number of parts into which a rate is divided to compute shares.
RATE_SCALE = 10_000


class WorkspaceCaps(Struct, frozen=True):
    """A workspace's fleet-wide limits; None is no limit."""

    requests_in_flight: int | None = None
    tokens_in_flight: int | None = None
    requests_per_second: float | None = None


NO_CAPS = WorkspaceCaps()


class _PeerWork(Struct, frozen=True):
    """The work that a peer reported, and the part of it above the peer's share."""

    work: int = 0
    over: int = 0

    def max_held(self, share: int) -> int:
        """Return the most that the peer may hold if its share is `share` in this box's view."""
        return max(self.work, share + self.over)


NO_PEER_WORK = _PeerWork()


class _WorkspaceState(Struct):
    """A workspace's work at this box, its recently refused demand and the peers' usage."""

    work: Work = NO_WORK
    refused: float = 0.0
    refused_at: float = 0.0
    bucket: TokenBucket | None = None
    peers: dict[str, Usage] = field(default_factory=dict)

    def demand(self, now: float) -> float:
        age = max(0.0, now - self.refused_at)
        return self.work.requests + self.refused * 0.5 ** (age / DEMAND_HALF_LIFE)

    def record_refusal(self, now: float) -> None:
        self.refused = self.demand(now) - self.work.requests + 1.0
        self.refused_at = now


class WorkspaceLimits:
    """Enforces one box's shares of all workspaces' limits."""

    def __init__(self, me: str):
        self.me = me
        #: Both by the hash of the workspace's name.
        self._caps: dict[int, WorkspaceCaps] = {}
        self._states: dict[int, _WorkspaceState] = defaultdict(_WorkspaceState)
        self._boxes: list[str] = [me]
        self._grants = DemandGrants()

    def set_caps(self, caps: dict[str, WorkspaceCaps]) -> None:
        """Replace the limits; work in flight is kept."""
        self._caps = {hash32(name): limits for name, limits in caps.items()}

    def set_boxes(self, boxes: list[str], leaving: Iterable[str] = ()) -> None:
        """Set the live boxes, including this one, which get shares.

        Boxes that are `leaving` get none, but their remaining work still counts.
        """
        self._boxes = list(boxes)
        self._grants.set_peers({box for box in boxes if box != self.me})
        kept = {*boxes, *leaving}
        for state in self._states.values():
            state.peers = {name: usage for name, usage in state.peers.items() if name in kept}

    def set_peer(self, box: str, usage: dict[int, Usage], ack: int) -> None:
        """Replace the usage that peer `box` reported, by the hash of the workspaces' names.

        `ack` is the last of this box's messages that the peer had received by then.
        """
        self._grants.record_ack(box, ack)
        for key, state in self._states.items():
            if key not in usage:
                state.peers.pop(box, None)
        for key, reported in usage.items():
            self._states[key].peers[box] = reported

    def usage(self, now: float) -> dict[int, Usage]:
        """Return the usage that this box reports to its peers, of workspaces with a limit only."""
        usage = {}
        for key, state in self._states.items():
            if self._caps_of(key) == NO_CAPS:
                continue
            demand = state.demand(now)
            if demand > MIN_REPORTED_DEMAND or state.work.requests:
                usage[key] = Usage(state.work, demand, self._excess(key, state, now))
        return usage

    def _excess(self, key: int, state: _WorkspaceState, now: float) -> Work:
        """Return the part of a workspace's work that is above this box's shares."""
        if state.work == NO_WORK:
            return NO_WORK
        caps = self._caps_of(key)
        return Work(
            self._above_share(key, caps.requests_in_flight, state.work.requests, now),
            self._above_share(key, caps.tokens_in_flight, state.work.tokens, now),
        )

    def _above_share(self, key: int, limit: int | None, held: int, now: float) -> int:
        if not limit or not held or holds_within_share(limit, held, self._demands(key, now)):
            return 0
        return max(0, held - self._shares(key, limit, now)[self.me])

    def _demands(self, key: int, now: float) -> Demands:
        state = self._states[key]
        sharing = set(self._boxes)
        reported = tuple(usage.demand for box, usage in state.peers.items() if box in sharing)
        own = self._grants.demand(key, state.demand(now))
        return Demands(own, reported, len(self._boxes) - 1 - len(reported))

    def admit(self, workspace: str, work: Work, now: float) -> None:
        """Count `work` as in flight, or raise WorkspaceLimit if it exceeds a limit."""
        key = hash32(workspace)
        state = self._states[key]
        try:
            self._check_requests(key, state, work, now)
            self._check_tokens(key, state, work, now)
            self._check_rate(key, state, work, now)
        except WorkspaceLimit:
            state.record_refusal(now)
            raise
        state.work += work

    def digest_sent(self, peer: str, seq: int, usage: dict[int, Usage]) -> None:
        """Record that all of `usage` was sent to a peer in message `seq`."""
        demands = {key: sent.demand for key, sent in usage.items()}
        self._grants.record_sent(peer, seq, demands)

    def reset_peer(self, peer: str) -> None:
        """Record that a peer restarted and knows nothing of this box."""
        self._grants.reset_peer(peer)

    def release(self, workspace: str, work: Work) -> None:
        """Remove admitted work that has ended."""
        self._states[hash32(workspace)].work -= work

    def _caps_of(self, key: int) -> WorkspaceCaps:
        return self._caps.get(key, NO_CAPS)

    def _check_requests(self, key: int, state: _WorkspaceState, work: Work, now: float) -> None:
        limit = self._caps_of(key).requests_in_flight
        if limit is None:
            return
        held = {
            box: _PeerWork(usage.work.requests, usage.excess.requests)
            for box, usage in state.peers.items()
        }
        after = state.work.requests + work.requests
        if not self._fits(key, limit, after, work.requests, held, now):
            raise WorkspaceLimit(
                f'the limit of {limit} calls in flight is reached', IN_FLIGHT_RETRY_SECONDS
            )

    def _check_tokens(self, key: int, state: _WorkspaceState, work: Work, now: float) -> None:
        limit = self._caps_of(key).tokens_in_flight
        if limit is None:
            return
        held = {
            box: _PeerWork(usage.work.tokens, usage.excess.tokens)
            for box, usage in state.peers.items()
        }
        after = state.work.tokens + work.tokens
        if not self._fits(key, limit, after, work.tokens, held, now):
            raise WorkspaceLimit(
                f'the limit of {limit} tokens in flight is reached', IN_FLIGHT_RETRY_SECONDS
            )

    def _fits(
        self, key: int, limit: int, after: int, added: int, held: dict[str, _PeerWork], now: float
    ) -> bool:
        """Return whether this box may hold `after`, of which `added` is new.

        `held` is the work of the peers.
        """
        if added > limit:
            # A call larger than the whole limit may still run alone.
            return after == added and not any(peer.work for peer in held.values())
        shares = self._shares(key, limit, now)
        others = sum(
            held.get(box, NO_PEER_WORK).max_held(shares[box]) for box in shares if box != self.me
        )
        # Leaving boxes have no share, but their remaining work counts until it ends.
        others += sum(peer.work for box, peer in held.items() if box not in shares)
        return after <= min(shares[self.me], limit - others)

    def _shares(self, key: int, limit: int, now: float) -> dict[str, int]:
        state = self._states[key]
        demands = {box: state.peers.get(box, Usage()).demand for box in self._boxes}
        demands[self.me] = self._grants.demand(key, state.demand(now))
        return split_limit(limit, demands)

    def _check_rate(self, key: int, state: _WorkspaceState, work: Work, now: float) -> None:
        limit = self._caps_of(key).requests_per_second
        if limit is None:
            return
        share = limit * self._shares(key, RATE_SCALE, now)[self.me] / RATE_SCALE
        burst = max(1.0, share * RATE_BURST_SECONDS)
        if state.bucket is None:
            state.bucket = TokenBucket(share, burst, now)
        state.bucket.rate = share
        state.bucket.burst = burst
        if not state.bucket.take(work.requests, now):
            wait = state.bucket.wait(work.requests, now)
            raise WorkspaceLimit(f'the limit of {limit:g} calls per second is reached', wait)
