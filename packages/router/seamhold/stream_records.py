"""Keeps records of which service and software version began each stream, here and at peers.

The box that began a stream may be gone when a caller takes it up, so other boxes keep a record as
well: while a service has engines of several software versions, it is sent to a stream's owners
before the caller gets the first event.  With one version there is nothing to choose, and nothing
is sent, unless a route leads, or was moved, from one service to another.
"""

import threading
from collections import deque
from collections.abc import Callable, Iterable, Mapping

from msgspec.structs import replace

from seamhold_attempts.streams import (
    UNCERTAIN,
    StreamOrigin,
    StreamPage,
    StreamRecord,
    StreamTable,
    stream_group,
)
from seamhold_membership import ServiceVersions
from seamhold_messages.hashing import hash32
from seamhold_messages.work import Placed
from seamhold_peers.client import PEER_ERRORS
from seamhold_placement.rank import Ranking

from .job import Job
from .linked_services import LinkedServices
from .logs import logger
from .metrics import Metrics
from .peering import Peering

#: Number of boxes that keep a record besides the box that began the stream.
OWNER_COUNT = 3
#: Number of boxes that are asked if the owners have no record, for example after a restart.
ASKED_MAX = 8
#: A record is kept for so long after the caller's time has passed, in seconds.
KEPT_AFTER_SECONDS = 10.0
#: The list of engines is at most this late, in seconds, where a box is in touch with its peers.
LIST_LAG_SECONDS = 3.0
#: Limits on the records that wait for a peer, and on those in one message.
OUTBOX_MAX = 16_384
BATCH_MAX = 1_024


class StreamRecordStore:
    """The records that this box holds; sends those of mixed services to their owners."""

    def __init__(
        self,
        box: str,
        peering: Peering,
        versions: ServiceVersions,
        links: LinkedServices,
        clock: Callable[[], float],
        metrics: Metrics,
    ):
        self._box = box
        self._peering = peering
        self._versions = versions
        self._links = links
        self._clock = clock
        self._metrics = metrics
        self._log = logger('stream-records')
        self.table = StreamTable()
        #: Streams that began here lately: when, at which engine, and their records.
        self._begun: deque[tuple[float, str, StreamRecord]] = deque()
        self._lock = threading.Lock()
        #: Records that wait for the message to a peer, by its name.  Used on the loop only.
        self._outboxes: dict[str, list[StreamRecord]] = {}
        #: The boxes that groups are ranked from, and their ranking.  Replaced as a whole.
        self._ranking: tuple[tuple[str, ...], Ranking] = ((), Ranking())

    def keep(self, records: Iterable[StreamRecord]) -> None:
        """Keep records of streams."""
        now = self._clock()
        with self._lock:
            for record in records:
                self.table.record(record, now)

    def find(self, key: str) -> StreamOrigin | None:
        """Return the origin of a stream, None if this box has no record of it."""
        with self._lock:
            return self.table.find(key, self._clock())

    def page(self, groups: Mapping[int, int]) -> StreamPage:
        """Return the next records of mixed services for a peer that has restarted.

        `groups` has, by group, the number after which its records are wanted.
        """
        mixed = self._versions.mixed | self._links.linked
        if not mixed:
            return StreamPage()
        with self._lock:
            return self.table.page(mixed, groups, BATCH_MAX, self._clock())

    def ranked(self, group: int) -> list[str]:
        """Return the boxes that are asked about the streams of a group, its owners first."""
        boxes = tuple(self._peering.roster.responsive_boxes)
        ranked_boxes, ranking = self._ranking
        if ranked_boxes != boxes:
            ranking = Ranking()
            ranking.set_weights(dict.fromkeys(boxes, 1.0))
            self._ranking = (boxes, ranking)
        return ranking.first(f'streams-{group}')[:ASKED_MAX]

    # Streams that begin at this box.

    def record(self, job: Job, placed: Placed) -> None:
        """Record the origin of a stream before its first event is passed on."""
        call = job.call
        now = self._clock()
        seconds = max(0.0, job.caller_waits_until - now) + KEPT_AFTER_SECONDS
        origin = StreamOrigin(call.service, placed.version)
        record = StreamRecord(job.stream_key, hash32(call.workspace), origin, seconds)
        with self._lock:
            self._begun.append((now, placed.engine, record))
            while self._begun[0][0] < now - LIST_LAG_SECONDS:
                self._begun.popleft()
        self.keep((record,))
        if call.service in self._versions.mixed or self._links.is_linked(call.service):
            self._send((record,))

    def is_certain(self, job: Job) -> bool:
        """Whether the version of a stream that this box runs is still known."""
        origin = self.find(job.stream_key)
        return origin is None or origin.is_certain

    def engines_changed(self, names: frozenset[str]) -> None:
        """Forget the version of streams that just began at engines whose version changed.

        A server may start again under its id with another version, and the list of servers is a
        little late: such a stream may have begun at either.
        """
        since = self._clock() - LIST_LAG_SECONDS
        with self._lock:
            begun = [one for at, engine, one in self._begun if at >= since and engine in names]
        records = [
            replace(record, origin=StreamOrigin(record.origin.service, UNCERTAIN))
            for record in begun
        ]
        self._log.info('versions.changed', engines=sorted(names), records=len(records))
        self.keep(records)
        self._send(records)

    def services_mixed(self, services: frozenset[str]) -> None:
        """Send the records of streams that began while these services had one version.

        Services that share a route, or were moved between, count as one with several versions.
        """
        with self._lock:
            records = self.table.of_services(services, self._clock())
        self._log.info('versions.mixed', services=sorted(services), records=len(records))
        self._send(records)

    def _send(self, records: Iterable[StreamRecord]) -> None:
        for record in records:
            for name in self.ranked(stream_group(record.key))[:OWNER_COUNT]:
                if name != self._box:
                    self._peering.call_soon(self._put, name, record)

    def _put(self, name: str, record: StreamRecord) -> None:
        """Add a record to a peer's outbox; start sending unless a message is on its way."""
        outbox = self._outboxes.get(name)
        if outbox is None:
            self._outboxes[name] = [record]
            self._peering.start_task(self._empty_outbox(name))
        elif len(outbox) < OUTBOX_MAX:
            outbox.append(record)
        else:
            self._metrics.count('streams.records_dropped')

    async def _empty_outbox(self, name: str) -> None:
        outbox = self._outboxes[name]
        try:
            client = await self._peering.connect_to(name)
            while outbox and client is not None:
                batch, outbox[:] = outbox[:BATCH_MAX], outbox[BATCH_MAX:]
                await client.record_streams(tuple(batch))
        except PEER_ERRORS:
            # The other owners keep the records, too.
            self._metrics.count('streams.owner_unreachable')
        finally:
            del self._outboxes[name]
