"""What one box knows of the work on each engine.

A box sees its own work exactly and its peers' by digests that are some
hundred milliseconds old.  Between two digests it assumes that each peer
sends as much as it does itself, scaled by `peer_growth`: that is how the
headroom left at an engine is shared without a message per call.
"""

from collections import defaultdict

from seamhold_messages.work import NO_WORK, Work


class LoadTable:
    """Work in flight per engine: this box's own and what peers told."""

    def __init__(self, peer_growth: float = 0.0):
        self.peer_growth = peer_growth
        self._own: dict[str, Work] = defaultdict(lambda: NO_WORK)
        self._unsent: dict[str, Work] = defaultdict(lambda: NO_WORK)
        self._peers: dict[str, dict[str, Work]] = {}
        self._remote: dict[str, Work] = defaultdict(lambda: NO_WORK)

    def start(self, engine: str, work: Work) -> None:
        """This box sends `work` to `engine`."""
        self._own[engine] += work
        self._unsent[engine] += work

    def finish(self, engine: str, work: Work) -> None:
        """Work that this box sent to `engine` has ended."""
        self._own[engine] -= work
        if self._own[engine].requests <= 0:
            del self._own[engine]
        unsent = self._unsent.pop(engine, NO_WORK) - work
        if unsent.requests > 0:
            self._unsent[engine] = unsent

    def own(self) -> dict[str, Work]:
        """This box's work in flight by engine: what a digest carries."""
        return dict(self._own)

    def digest_sent(self) -> None:
        """Peers are told; from here on only new work counts as unsent."""
        self._unsent.clear()

    def set_peer(self, box: str, loads: dict[str, Work]) -> None:
        """Replace what peer `box` told of its own work."""
        self.drop_peer(box)
        self._peers[box] = loads
        for engine, work in loads.items():
            self._remote[engine] += work

    def drop_peer(self, box: str) -> None:
        """Forget a peer that is gone."""
        for engine, work in self._peers.pop(box, {}).items():
            self._remote[engine] -= work

    def estimate(self, engine: str) -> Work:
        """The best guess of all work on `engine` now."""
        known = self._own.get(engine, NO_WORK) + self._remote.get(engine, NO_WORK)
        unsent = self._unsent.get(engine)
        if not self.peer_growth or unsent is None:
            return known
        factor = self.peer_growth * len(self._peers)
        growth = Work(round(unsent.requests * factor), round(unsent.tokens * factor))
        return known + growth
