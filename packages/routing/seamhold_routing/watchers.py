"""Selection of the boxes that watch the platform's store, and detection of its outages."""

import math
from collections.abc import Collection, Iterator

from msgspec import Struct

from seamhold_membership import BoxView
from seamhold_placement import Ranking
from seamhold_settings.schema import Control

#: Number of boxes in the whole fleet that watch the platform's store.  With as many in each
#: box's neighbourhood, 50 of 195 boxes watched, and their 6,572 calls a day cost the platform
#: too much.
WATCHERS = 4
WATCHERS_KEY = 'store-watchers'
#: Interval at which some box of the fleet begins a watch of each kind, in seconds.  An open
#: watch does not show that the store still answers it; a new one does.
WATCH_INTERVAL_SECONDS = 1.0
#: A watch is no shorter than this, in seconds.
MIN_WATCH_SECONDS = 0.1
#: A watcher is assumed to have stopped when no heartbeat of it arrives for this long, or for
#: this many times the time that an update takes to reach all boxes, whichever is longer.
SILENT_SECONDS = 1.0
SILENT_GOSSIP_TIMES = 1.6
#: A neighbour's reports are dropped when no message of it arrives for this long, or for this
#: many times the time that a box takes to send to each neighbour once, whichever is longer.
BOX_SILENT_SECONDS = 4.0
BOX_SILENT_ROUNDS = 2.2
#: Bytes that a typical digest takes from a box's control budget.
DIGEST_BYTES = 110
#: The store counts as unavailable if no box had an answer from it for this long.  Watchers
#: read the list of boxes every 3 s, and an update of that takes a second to reach all boxes.
STORE_UNAVAILABLE_SECONDS = 4.0


def send_round_seconds(boxes: BoxView, control: Control) -> float:
    """Return how long a box takes to send a digest to each of its neighbours once."""
    peers = len(boxes.neighbours())
    rounds = math.ceil(peers / control.digest_peers)
    by_bytes = peers * DIGEST_BYTES / control.control_bytes_per_second
    return max(control.digest_seconds * max(1, rounds), by_bytes)


def gossip_seconds(boxes: BoxView, control: Control) -> float:
    """Return how long an update takes to reach all boxes, at `digest_peers` peers a round."""
    count = len(boxes.peers()) + 1
    rounds = math.ceil(math.log(max(2, count)) / math.log(1 + control.digest_peers))
    return control.digest_seconds * rounds


def box_silent_seconds(boxes: BoxView, control: Control) -> float:
    """Return after how many seconds without a message a neighbour is assumed to be gone."""
    return max(BOX_SILENT_SECONDS, BOX_SILENT_ROUNDS * send_round_seconds(boxes, control))


def box_missing_seconds(boxes: BoxView, control: Control) -> float:
    """Return after how many seconds without a message a neighbour may be cut off.

    What it reported stays valid until `box_silent_seconds`.
    """
    return max(SILENT_SECONDS, BOX_SILENT_ROUNDS * send_round_seconds(boxes, control))


def watcher_silent_seconds(boxes: BoxView, control: Control) -> float:
    """Return after how many seconds without a heartbeat a watcher is assumed to have stopped."""
    return max(SILENT_SECONDS, SILENT_GOSSIP_TIMES * gossip_seconds(boxes, control))


class WatchTurn(Struct, frozen=True):
    """A watcher's position among the watchers, from 0, and their number."""

    position: int = 0
    watchers: int = 1

    def seconds(self, unix_time: float) -> float:
        """Return how long a watch that begins at `unix_time` may wait for a change.

        It ends at the next turn of this watcher.  Turns go by the wall clock, which boxes share:
        a change ends the watches of all watchers at once, and a fault those of some.
        """
        round_seconds = WATCH_INTERVAL_SECONDS * self.watchers
        until_turn = (WATCH_INTERVAL_SECONDS * self.position - unix_time) % round_seconds
        if until_turn < MIN_WATCH_SECONDS:
            # A watch that was answered a little early must not be followed by a very short one.
            return until_turn + round_seconds
        return until_turn


class WatcherSelection:
    """Decides whether this box watches the store for the fleet.

    The boxes that rank first by rendezvous hashing watch, and send heartbeats that all boxes
    relay.  A box whose heartbeats stop, or that has lost access to the store, is skipped, and
    the next in rank takes its place.  So is one whose watch was not answered, until its next
    heartbeat; at most WATCHERS at a time, as a slow store answers no box in time.
    """

    def __init__(self, me: str):
        self._me = me
        self._ranking = Ranking()
        #: When each watcher sent its last heartbeat, and since when heartbeats are expected.
        self._heartbeats: dict[str, float] = {}
        self._expected: dict[str, float] = {}
        #: When boxes reported that a watch was not answered.
        self._unanswered: dict[str, float] = {}
        #: Start of the selection: the watchers of the first check are expected since then.
        self._began: float | None = None
        self._checked = False
        #: This box's turn, valid while it is a watcher.
        self.turn = WatchTurn()

    def begin(self, now: float) -> None:
        """Start the selection once the list of boxes is available; later calls do nothing."""
        if self._began is None:
            self._began = now

    def record_heartbeat(self, box: str, at: float) -> bool:
        """Record a heartbeat that a watcher sent at time `at`; return False if it is not new."""
        if at <= self._heartbeats.get(box, -math.inf):
            return False
        self._heartbeats[box] = at
        if at > self._unanswered.get(box, -math.inf):
            self._unanswered.pop(box, None)
        return True

    def record_unanswered(self, box: str, at: float) -> None:
        """Record that a watcher reported at time `at` that its watch was not answered."""
        self._unanswered[box] = at

    def last_heartbeat_at(self, box: str) -> float:
        """Return when the box sent its last heartbeat, minus infinity for never."""
        return self._heartbeats.get(box, -math.inf)

    def watches(
        self, live: Collection[str], lost: Collection[str], silent_seconds: float, now: float
    ) -> bool:
        """Return whether this box is one of the watchers.

        `live` are the boxes assumed to be live, this one included; `lost` those that report
        that they have lost access to the store.
        """
        self._ranking.set_weights(dict.fromkeys(live, 1.0))
        expected, self._expected = self._expected, {}
        expected_since = now if self._checked or self._began is None else self._began
        self._checked = True
        watchers = skipped = 0
        for name in self._in_rank():
            if watchers >= WATCHERS:
                break
            if name in lost:
                continue
            if name == self._me:
                able = sum(box not in lost for box in live)
                self.turn = WatchTurn(watchers, min(WATCHERS, able))
                return True
            since = expected.get(name, expected_since)
            self._expected[name] = since
            if name in self._unanswered and skipped < WATCHERS:
                skipped += 1
                continue
            if now <= max(since, self.last_heartbeat_at(name)) + silent_seconds:
                watchers += 1
        self._heartbeats = {
            name: at for name, at in self._heartbeats.items() if name in self._expected
        }
        self._unanswered = {
            name: at for name, at in self._unanswered.items() if name in self._expected
        }
        return False

    def _in_rank(self) -> Iterator[str]:
        """Yield all boxes in rank order.

        The first few are cached by the ranking and nearly always suffice.
        """
        first = self._ranking.first(WATCHERS_KEY)
        yield from first
        yield from self._ranking.order(WATCHERS_KEY)[len(first) :]


def store_unavailable(
    lost: bool, boxes: BoxView, control: Control, answered_at: float | None, now: float
) -> bool:
    """Return whether the store is unavailable to the fleet, and not only to this box.

    That is the case if most boxes have lost it, `lost` standing for this one, or if the last
    answer that any box had, at `answered_at`, is too old.
    """
    losses = [*boxes.store_losses(now, box_silent_seconds(boxes, control)), lost]
    if 2 * sum(losses) > len(losses):
        return True
    return answered_at is not None and now >= answered_at + STORE_UNAVAILABLE_SECONDS
