"""Finds out what a stream that a caller takes up is bound to.

The box that began a stream may be gone by then, so other boxes keep records as well: while a
service has engines of several software versions, its owners learn of each stream before the
caller gets the first event.  With one version there is nothing to choose, and nothing is sent,
unless a route leads, or was moved, from one service to another.
"""

import asyncio
import threading
from collections import deque
from collections.abc import Callable, Iterable, Sequence
from concurrent.futures import TimeoutError as FutureTimeout

from msgspec.structs import replace

from seamhold_attempts.streams import (
    UNCERTAIN,
    StreamOrigin,
    StreamRecord,
    StreamTable,
    stream_key,
)
from seamhold_membership import KnownVersions, ServiceVersions, UnknownReason, sole_version
from seamhold_membership.versions import REMEMBERED_SECONDS
from seamhold_messages.errors import StreamOriginUnknown
from seamhold_messages.hashing import hash32
from seamhold_messages.work import Placed
from seamhold_peers import PeerClient, StreamQuery, StreamReply
from seamhold_peers.client import FIND_STREAM_SECONDS, PEER_ERRORS
from seamhold_placement.rank import owners

from .job import Job
from .linked_services import LinkedServices
from .logs import logger
from .metrics import Metrics
from .peering import Peering

#: Number of boxes that keep a record besides the box that began the stream.
OWNER_COUNT = 3
#: Number of boxes that are asked if the owners have no record, for example after a restart.
ASKED_MAX = 8
#: Streams are divided into so many groups, each with its own owners.  This bounds the boxes
#: that one box sends records to, and the records that one message holds are more.
GROUPS = 256
#: A record is kept for so long after the caller's time has passed, in seconds.
KEPT_AFTER_SECONDS = 10.0
#: The list of engines is at most this late, in seconds, where a box is in touch with its peers.
LIST_LAG_SECONDS = 3.0
#: Limits on the records that wait for a peer, and on those in one message.
OUTBOX_MAX = 16_384
BATCH_MAX = 1_024
#: When a caller may come back whose stream's owners did not answer, in seconds.
RETRY_AFTER_SECONDS = 0.5
#: Time for a reply to pass from one thread to another, in seconds.
SLACK_SECONDS = 0.1


class StreamOrigins:
    """Records which service and software version began each stream, here and at peers."""

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
        self._started_at = clock()
        self._metrics = metrics
        self._log = logger('stream-origins')
        self._table = StreamTable()
        #: Streams that began here lately: when, at which engine, and their records.
        self._begun: deque[tuple[float, str, StreamRecord]] = deque()
        self._lock = threading.Lock()
        #: Records that wait for the message to a peer, by its name.  Used on the loop only.
        self._outboxes: dict[str, list[StreamRecord]] = {}
        #: The owners of each group, for the boxes that they were ranked from.
        self._ranked: tuple[tuple[str, ...], dict[int, list[str]]] = ((), {})

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
        with self._lock:
            origin = self._table.find(job.stream_key, self._clock())
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
            records = self._table.of_services(services, self._clock())
        self._log.info('versions.mixed', services=sorted(services), records=len(records))
        self._send(records)

    def _send(self, records: Iterable[StreamRecord]) -> None:
        for record in records:
            for name in self._owners(record.key)[:OWNER_COUNT]:
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

    # Streams that callers take up.

    def find(self, workspace: str, host: str, request_id: str, service: str) -> StreamOrigin:
        """Return the origin of a stream that a caller takes up at `service`.

        `request_id` is the request that brought the first event, '' if the caller named none.
        Raises StreamOriginUnknown if the stream may have begun at another version than it
        would go on at.
        """
        key = stream_key(workspace, host, request_id)
        if request_id:
            with self._lock:
                origin = self._table.find(key, self._clock())
        else:
            origin = None
        if origin is not None:
            self._log_found(key, origin, 'own_record')
        else:
            origin = self._ask_peers(StreamQuery(key, service))
        if not origin.is_certain:
            raise self._unknown('its engine changed its version')
        return origin

    def _ask_peers(self, query: StreamQuery) -> StreamOrigin:
        names = [name for name in self._owners(query.key) if name != self._box]
        known = [self._known(query.service)]
        answered = 0
        for group in (names[:OWNER_COUNT], names[OWNER_COUNT:]):
            replies = self._replies(query, group)
            found = next((reply.origin for reply in replies if reply.origin is not None), None)
            if found is not None:
                self._log_found(query.key, found, 'peer_record')
                return found
            answered += len(replies)
            known += [
                KnownVersions(reply.versions, reply.known_seconds, reply.other_services)
                for reply in replies
            ]
            sole = sole_version(known)
            if answered and sole.unknown is None:
                break
        has_peers = any(box.name != self._box for box in self._peering.roster.boxes)
        if has_peers and not answered:
            raise self._unknown('no other box answered', RETRY_AFTER_SECONDS, known)
        if sole.unknown is not None:
            several = sole.unknown in (UnknownReason.SEVERAL, UnknownReason.SERVICES)
            raise self._unknown(sole.unknown, None if several else RETRY_AFTER_SECONDS, known)
        origin = StreamOrigin(query.service, sole.version)
        self._log_found(query.key, origin, 'only_version', known)
        return origin

    def _known(self, service: str) -> KnownVersions:
        versions = self._versions.known.get(service, frozenset())
        now = self._clock()
        known_seconds = min(self._versions.known_seconds(now), self._links.known_seconds(now))
        return KnownVersions(versions, known_seconds, self._links.others(service))

    def _log_found(
        self,
        key: str,
        origin: StreamOrigin,
        source: str,
        known: Sequence[KnownVersions] = (),
    ) -> None:
        """Log what decided at which version a stream goes on."""
        self._log.info(
            'stream.origin_found',
            stream=key,
            source=source,
            version=origin.version,
            up_seconds=round(self._clock() - self._started_at, 3),
            known_seconds=_rounded_seconds(known),
        )

    def _unknown(
        self,
        detail: str,
        retry_after: float | None = None,
        known: Sequence[KnownVersions] = (),
    ) -> StreamOriginUnknown:
        self._metrics.count('streams.origin_unknown')
        versions: frozenset[str] = frozenset().union(*(one.versions for one in known))
        self._log.warning(
            'stream.origin_unknown',
            detail=detail,
            versions=sorted(versions),
            known_seconds=_rounded_seconds(known),
        )
        return StreamOriginUnknown(f'this stream cannot be taken up: {detail}', retry_after)

    def _replies(self, query: StreamQuery, names: list[str]) -> list[StreamReply]:
        """Return the replies of these boxes, the first one with an origin at once."""
        if not names:
            return []
        asking = self._peering.submit(self._ask(query, names))
        try:
            return asking.result(FIND_STREAM_SECONDS + SLACK_SECONDS)
        except FutureTimeout:
            asking.cancel()
            self._metrics.count('streams.owner_unreachable')
            return []

    async def _ask(self, query: StreamQuery, names: list[str]) -> list[StreamReply]:
        replies: list[StreamReply] = []
        tasks = [asyncio.ensure_future(self._ask_one(query, name)) for name in names]
        try:
            for task in asyncio.as_completed(tasks):
                reply = await task
                if reply is None:
                    continue
                replies.append(reply)
                if reply.origin is not None:
                    break
        finally:
            for task in tasks:
                task.cancel()
        return replies

    async def _ask_one(self, query: StreamQuery, name: str) -> StreamReply | None:
        try:
            client: PeerClient | None = await self._peering.connect_to(name)
            return await client.find_stream(query) if client is not None else None
        except PEER_ERRORS:
            self._metrics.count('streams.owner_unreachable')
            return None

    # Requests of peers.

    def keep(self, records: Iterable[StreamRecord]) -> None:
        """Keep records of streams."""
        now = self._clock()
        with self._lock:
            for record in records:
                self._table.record(record, now)

    def reply(self, query: StreamQuery) -> StreamReply:
        """Return what this box knows of a stream's origin."""
        with self._lock:
            origin = self._table.find(query.key, self._clock())
        known = self._known(query.service)
        return StreamReply(origin, known.versions, known.known_seconds, known.other_services)

    def _owners(self, key: str) -> list[str]:
        """Return the boxes that are asked about a stream, its owners first."""
        boxes = tuple(self._peering.roster.responsive_boxes)
        group = int(key[:4], 16) % GROUPS
        if self._ranked[0] != boxes:
            self._ranked = (boxes, {})
        ranked = self._ranked[1]
        if group not in ranked:
            ranked[group] = owners(f'streams-{group}', boxes, ASKED_MAX)
        return ranked[group]


def _rounded_seconds(known: Sequence[KnownVersions]) -> list[float]:
    """Return for how long each box has seen the versions, this one first, as far as it matters."""
    return [round(min(one.known_seconds, REMEMBERED_SECONDS), 1) for one in known]
