"""Pulls from peers, after a box has started, the records of the streams that it owns.

A box that was killed and is back is an owner again, with no records.
"""

from collections.abc import Callable, Iterable, Mapping, Sequence

from msgspec import Struct, field

from seamhold_attempts.streams import GROUPS, StreamPage
from seamhold_peers import PeerClient, StreamRecordsQuery
from seamhold_peers.client import PEER_ERRORS

from .logs import logger
from .metrics import Metrics
from .peering import Peering
from .stream_records import BATCH_MAX, OUTBOX_MAX, OWNER_COUNT, StreamRecordStore

#: Boxes of a group that are asked: those that own it, and those that did while owners were away.
HOLDER_COUNT = OWNER_COUNT + 2
#: Seconds after its start in which a box pulls records.
START_SECONDS = 10.0
#: Peers take this box for an owner again at most this long after its start, in seconds.
SEEN_SECONDS = 3.0
#: Time between two pulls from a peer, in seconds.
REPEAT_SECONDS = 1.0
#: Pages of one pull; the next pull goes on after them.
PAGES_MAX = OUTBOX_MAX // BATCH_MAX


class PeerProgress(Struct):
    """What was pulled from one start of a peer.

    `last` has the number of the last record received by group; `asked_at` is on the box's clock.
    """

    incarnation: str = ''
    last: dict[int, int] = field(default_factory=dict)
    asked_at: float | None = None
    done: bool = False
    running: bool = False


class StreamRecordsPull:
    """Pulls from each holder of a group until no record can be missing there.

    Used on the loop of the peer connections only.
    """

    def __init__(
        self,
        box: str,
        peering: Peering,
        records: StreamRecordStore,
        clock: Callable[[], float],
        metrics: Metrics,
    ):
        self._box = box
        self._peering = peering
        self._records = records
        self._clock = clock
        self._metrics = metrics
        self._log = logger('stream-records')
        self._started_at = clock()
        self._progress: dict[str, PeerProgress] = {}

    @property
    def settled(self) -> bool:
        """Whether this box has pulled what peers had when they took it for an owner again."""
        up_seconds = self._clock() - self._started_at
        running = any(progress.running for progress in self._progress.values())
        return up_seconds > START_SECONDS or (up_seconds > SEEN_SECONDS and not running)

    def roster_updated(self) -> None:
        """Start the pulls that are due."""
        now = self._clock()
        if now - self._started_at > START_SECONDS:
            return
        holders = held_groups(self._box, map(self._records.ranked, range(GROUPS)))
        for box in self._peering.roster.boxes:
            if box.name not in holders:
                continue
            progress = self._progress.get(box.name)
            if progress is None or is_other_start(progress.incarnation, box.incarnation):
                progress = self._progress[box.name] = PeerProgress()
            progress.incarnation = box.incarnation or progress.incarnation
            if is_due(progress, holders[box.name], now):
                progress.running, progress.asked_at = True, now
                self._peering.start_task(self._pull(box.name, progress, holders[box.name]))

    async def _pull(self, name: str, progress: PeerProgress, groups: Iterable[int]) -> None:
        wanted = {group: progress.last.get(group, 0) for group in groups}
        count = 0
        try:
            client: PeerClient | None = await self._peering.connect_to(name)
            if client is None:
                return
            asked_at = self._clock()
            for _ in range(PAGES_MAX):
                page: StreamPage = await client.pull_streams(StreamRecordsQuery(wanted))
                self._records.keep(page.records)
                count += len(page.records)
                wanted = {group: max(after, page.last) for group, after in wanted.items()}
                progress.last |= wanted
                if not page.more:
                    seen = asked_at - self._started_at > SEEN_SECONDS
                    progress.done = page.settled and seen
                    break
        except PEER_ERRORS as error:
            # It is asked again; a peer of an older release refuses the call each time.
            self._metrics.count('streams.pull_failed')
            self._log.info('records.pull_failed', peer=name, error=type(error).__name__)
        finally:
            progress.running = False
            if count:
                self._metrics.count('streams.records_pulled', count)
                self._log.info('records.pulled', peer=name, records=count)


def held_groups(box: str, ranked: Iterable[Sequence[str]]) -> Mapping[str, list[int]]:
    """Return the groups that `box` owns, by each other box that may hold their records.

    `ranked` has the boxes of each group by rank.
    """
    holders: dict[str, list[int]] = {}
    for group, boxes in enumerate(ranked):
        if box in boxes[:OWNER_COUNT]:
            for holder in boxes[:HOLDER_COUNT]:
                if holder != box:
                    holders.setdefault(holder, []).append(group)
    return holders


def is_other_start(incarnation: str, reported: str) -> bool:
    """Whether a peer has restarted; an incarnation is '' before its first digest."""
    return bool(incarnation and reported) and incarnation != reported


def is_due(progress: PeerProgress, groups: Iterable[int], now: float) -> bool:
    """Whether a peer is to be asked now for records of these groups."""
    if progress.running:
        return False
    if progress.done and progress.last.keys() >= set(groups):
        return False
    return progress.asked_at is None or now - progress.asked_at >= REPEAT_SECONDS
