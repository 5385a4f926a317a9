"""When a box may count on its own growing demand for a larger share.

Every box works out its share from the demands that all have told.  If a box
used its newest demand at once, others would still be using shares that were
worked out without it, and together they would pass the limit.  So a demand
counts only once every live peer has told something after it could have heard
of that demand: by then each has shrunk to make room, and what it told of its
work in flight is the most it will hold.  A demand that falls counts at once.
"""

#: More than the time a message takes between two boxes, in seconds.
MARGIN_SECONDS = 0.1


class DemandGrants:
    """This box's demand by workspace, as far as its peers have made room."""

    def __init__(self):
        self._peers: set[str] = set()
        self._told: dict[str, dict[str, float]] = {}
        self._heard: dict[str, float] = {}
        self._agreed: dict[str, float] = {}
        self._proposed: dict[str, float] = {}
        self._proposed_at = 0.0

    def set_peers(self, peers: set[str]) -> None:
        """The live peers, which all have to make room."""
        self._peers = peers
        self._told = {peer: told for peer, told in self._told.items() if peer in peers}

    def told(self, peer: str, demands: dict[str, float], now: float) -> None:
        """A peer was told this box's demands."""
        self._told[peer] = demands
        # From here on this peer may take the room that a fallen demand left.
        for name, agreed in self._agreed.items():
            self._agreed[name] = min(agreed, demands.get(name, 0.0))
        if not self._proposed:
            self._propose(now)

    def heard(self, peer: str, now: float) -> None:
        """A peer told its own state."""
        self._heard[peer] = now
        answered = all(
            self._heard.get(name, 0.0) > self._proposed_at + MARGIN_SECONDS for name in self._peers
        )
        if answered and self._proposed:
            lowest = self._lowest_told()
            self._agreed = {
                name: min(demand, lowest.get(name, 0.0)) for name, demand in self._proposed.items()
            }
            self._propose(now)

    def _propose(self, now: float) -> None:
        self._proposed = self._lowest_told()
        self._proposed_at = now

    def _lowest_told(self) -> dict[str, float]:
        """By workspace, the demand that every peer knows of at least."""
        told = [self._told.get(peer, {}) for peer in self._peers]
        names = {name for demands in told for name in demands}
        return {name: min(demands.get(name, 0.0) for demands in told) for name in names}

    def demand(self, workspace: str, current: float) -> float:
        """The demand that this box may count on for its share."""
        if not self._peers:
            return current
        return self._agreed.get(workspace, 0.0)
