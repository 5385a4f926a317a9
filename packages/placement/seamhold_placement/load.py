"""What one box knows of the work on each engine.

A box sees its own work exactly and its peers' by digests that are some
hundred milliseconds old.  Between two digests it assumes that each peer
sends as much as it does itself, scaled by `peer_growth`: that is how the
headroom left at an engine is shared without a message per call.

Sums over the engines of a service are kept up with every change, so that a
decision costs the same however many engines there are.
"""

from collections import defaultdict
from collections.abc import Iterable

from seamhold_messages.work import NO_WORK, Work


class LoadTable:
    """Work in flight per engine: this box's own and what peers told."""

    def __init__(self, peer_growth: float = 0.0):
        self.peer_growth = peer_growth
        self._own: dict[str, Work] = {}
        self._known: dict[str, Work] = {}
        self._unsent: dict[str, Work] = {}
        self._peers: dict[str, dict[str, Work]] = {}
        self._group_of: dict[str, str] = {}
        self._group_known: dict[str, Work] = defaultdict(lambda: NO_WORK)
        self._group_unsent: dict[str, Work] = defaultdict(lambda: NO_WORK)

    # Changes.

    def start(self, engine: str, work: Work) -> None:
        """This box sends `work` to `engine`."""
        self._own[engine] = self._own.get(engine, NO_WORK) + work
        self._shift_known(engine, work)
        self._shift_unsent(engine, work)

    def finish(self, engine: str, work: Work) -> None:
        """Work that this box sent to `engine` has ended."""
        left = self._own.get(engine, NO_WORK) - work
        self._own[engine] = left
        if left.requests <= 0:
            del self._own[engine]
        self._shift_known(engine, NO_WORK - work)
        if engine in self._unsent:
            self._shift_unsent(engine, NO_WORK - work)

    def digest_sent(self) -> None:
        """Peers are told; from here on only new work counts as unsent."""
        self._unsent.clear()
        self._group_unsent.clear()

    def set_peer(self, box: str, loads: dict[str, Work]) -> None:
        """Replace what peer `box` told of its own work."""
        before = self._peers.get(box, {})
        for engine in before.keys() | loads.keys():
            change = loads.get(engine, NO_WORK) - before.get(engine, NO_WORK)
            if change != NO_WORK:
                self._shift_known(engine, change)
        self._peers[box] = loads

    def drop_peer(self, box: str) -> None:
        """Forget a peer that is gone."""
        if box in self._peers:
            self.set_peer(box, {})
            del self._peers[box]

    def set_group(self, group: str, engines: Iterable[str]) -> None:
        """Name the engines whose sums `total` gives for `group`."""
        self._group_of = {name: held for name, held in self._group_of.items() if held != group}
        known = unsent = NO_WORK
        for engine in engines:
            self._group_of[engine] = group
            known += self._known.get(engine, NO_WORK)
            unsent += self._unsent.get(engine, NO_WORK)
        self._group_known[group] = known
        self._group_unsent[group] = unsent

    def _shift_known(self, engine: str, change: Work) -> None:
        after = self._known.get(engine, NO_WORK) + change
        self._known[engine] = after
        if after == NO_WORK:
            del self._known[engine]
        group = self._group_of.get(engine)
        if group is not None:
            self._group_known[group] += change

    def _shift_unsent(self, engine: str, change: Work) -> None:
        before = self._unsent.get(engine, NO_WORK)
        after = before + change
        if after.requests <= 0:
            change = NO_WORK - before
            self._unsent.pop(engine, None)
        else:
            self._unsent[engine] = after
        group = self._group_of.get(engine)
        if group is not None:
            self._group_unsent[group] += change

    # What is known.

    def own(self) -> dict[str, Work]:
        """This box's work in flight by engine: what a digest carries."""
        return dict(self._own)

    def estimate(self, engine: str) -> Work:
        """The best guess of all work on `engine` now."""
        known = self._known.get(engine, NO_WORK)
        unsent = self._unsent.get(engine)
        return known if unsent is None else known + self._growth(unsent)

    def total(self, group: str) -> Work:
        """The best guess of all work on the engines of `group` now."""
        return self._group_known[group] + self._growth(self._group_unsent[group])

    def _growth(self, unsent: Work) -> Work:
        factor = self.peer_growth * len(self._peers)
        if not factor:
            return NO_WORK
        return Work(round(unsent.requests * factor), round(unsent.tokens * factor))
