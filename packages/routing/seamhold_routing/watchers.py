"""Which boxes watch the platform's store for all, and when the store is away."""

import math
from collections.abc import Collection, Iterator

from seamhold_membership import BoxView
from seamhold_placement import Ranking
from seamhold_settings.schema import Control

#: Boxes of the whole fleet that watch the platform's store.  As many among each box's
#: neighbours were 50 at 195 boxes, whose 6,572 calls a day cost 0.13 of its worth.
WATCHERS = 4
WATCHERS_KEY = 'store-watchers'
#: A watcher of whom nothing is heard for so long is taken to watch no more, in
#: seconds; longer where a heartbeat takes longer to all boxes, by so many times that.
SILENT_SECONDS = 1.0
SILENT_SPREADS = 1.6
#: After what silence what a neighbour told is void, in seconds, and in times that it
#: takes to tell each neighbour.
BOX_SILENT_SECONDS = 4.0
BOX_SILENT_TELLINGS = 2.2
#: What a usual digest takes of a box's bytes a second.
DIGEST_BYTES = 110
#: Watchers read the list of boxes every 3 s, and news of that takes a second to all: if
#: no box had an answer for so long, in seconds, the store is away.
UNSEEN_SECONDS = 4.0


def telling_seconds(boxes: BoxView, control: Control) -> float:
    """How long it takes a box to tell each of its neighbours once."""
    peers = len(boxes.neighbours())
    rounds = math.ceil(peers / control.digest_peers)
    by_bytes = peers * DIGEST_BYTES / control.control_bytes_per_second
    return max(control.digest_seconds * max(1, rounds), by_bytes)


def spread_seconds(boxes: BoxView, control: Control) -> float:
    """How long news takes to all boxes that each tell `digest_peers` a round."""
    count = len(boxes.peers()) + 1
    rounds = math.ceil(math.log(max(2, count)) / math.log(1 + control.digest_peers))
    return control.digest_seconds * rounds


def box_silent_seconds(boxes: BoxView, control: Control) -> float:
    """After what silence a neighbour is taken to be gone."""
    return max(BOX_SILENT_SECONDS, BOX_SILENT_TELLINGS * telling_seconds(boxes, control))


def box_missing_seconds(boxes: BoxView, control: Control) -> float:
    """After what silence a neighbour may be cut off; what it told holds for longer."""
    return max(SILENT_SECONDS, BOX_SILENT_TELLINGS * telling_seconds(boxes, control))


def watcher_silent_seconds(boxes: BoxView, control: Control) -> float:
    """After what silence a watcher of the store is taken to watch no more."""
    return max(SILENT_SECONDS, SILENT_SPREADS * spread_seconds(boxes, control))


class WatcherSelection:
    """Whose turn it is to watch the store for all.

    The boxes that rank first for it watch, and send heartbeats that all pass on.  One
    whose heartbeats stay out, or that the store turns away, is passed over, and the
    next in rank has its turn.
    """

    def __init__(self, me: str):
        self._me = me
        self._ranking = Ranking()
        #: When each watcher last said that it watches, and since when it should.
        self._heard: dict[str, float] = {}
        self._expected: dict[str, float] = {}
        #: Those that were expected at the first look should have watched since then.
        self._began: float | None = None
        self._looked = False

    def begin(self, now: float) -> None:
        """The boxes are known from now on; once is enough."""
        if self._began is None:
            self._began = now

    def heard(self, box: str, at: float) -> bool:
        """A box said then that it watches; False if that is no news."""
        if at <= self._heard.get(box, -math.inf):
            return False
        self._heard[box] = at
        return True

    def heard_at(self, box: str) -> float:
        """When the box last said that it watches, minus infinity for never."""
        return self._heard.get(box, -math.inf)

    def watches(
        self, live: Collection[str], lost: Collection[str], silent_seconds: float, now: float
    ) -> bool:
        """Whether this box is one of the watchers.

        `live` are the boxes that are taken to live, this one among them; `lost` those
        that the store turns away, by their own word.
        """
        self._ranking.set_weights(dict.fromkeys(live, 1.0))
        expected, self._expected = self._expected, {}
        first_seen = now if self._looked or self._began is None else self._began
        self._looked = True
        watching = 0
        for name in self._in_rank():
            if watching >= WATCHERS:
                break
            if name in lost:
                continue
            if name == self._me:
                return True
            since = expected.get(name, first_seen)
            self._expected[name] = since
            if now <= max(since, self.heard_at(name)) + silent_seconds:
                watching += 1
        self._heard = {name: at for name, at in self._heard.items() if name in self._expected}
        return False

    def _in_rank(self) -> Iterator[str]:
        """All boxes in rank; the first few, which are kept at hand, nearly always do."""
        first = self._ranking.first(WATCHERS_KEY)
        yield from first
        yield from self._ranking.order(WATCHERS_KEY)[len(first) :]


def store_away(
    lost: bool, boxes: BoxView, control: Control, seen_at: float | None, now: float
) -> bool:
    """Whether most boxes lost the store, and not just this one, which `lost` tells.

    So it is as well if no box had an answer since `seen_at`, for long.
    """
    losses = [*boxes.store_losses(now, box_silent_seconds(boxes, control)), lost]
    if 2 * sum(losses) > len(losses):
        return True
    return seen_at is not None and now >= seen_at + UNSEEN_SECONDS
