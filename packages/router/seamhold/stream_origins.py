"""Finds out which service and software version began a stream that a caller takes up.

The box that began the stream may be gone by then: the owners of its record are asked, and further
boxes if they do not know.
"""

import asyncio
from collections.abc import Callable, Sequence
from concurrent.futures import TimeoutError as FutureTimeout

from seamhold_attempts.streams import StreamOrigin, stream_group, stream_key
from seamhold_membership import KnownVersions, ServiceVersions, UnknownReason, sole_version
from seamhold_membership.versions import REMEMBERED_SECONDS
from seamhold_messages.errors import StreamOriginUnknown
from seamhold_peers import PeerClient, StreamQuery, StreamReply
from seamhold_peers.client import FIND_STREAM_SECONDS, PEER_ERRORS

from .logs import logger
from .metrics import Metrics
from .peering import Peering
from .stream_records import OWNER_COUNT, StreamRecordStore

#: When a caller may come back whose stream's owners did not answer, in seconds.
RETRY_AFTER_SECONDS = 0.5
#: Time for a reply to pass from one thread to another, in seconds.
SLACK_SECONDS = 0.1


class StreamOrigins:
    """Finds the origins of streams, in this box's records or at peers."""

    def __init__(
        self,
        box: str,
        peering: Peering,
        records: StreamRecordStore,
        versions: ServiceVersions,
        clock: Callable[[], float],
        metrics: Metrics,
    ):
        self._box = box
        self._peering = peering
        self._records = records
        self._versions = versions
        self._clock = clock
        self._started_at = clock()
        self._metrics = metrics
        self._log = logger('stream-origins')

    def find(self, workspace: str, host: str, request_id: str, service: str) -> StreamOrigin:
        """Return the origin of a stream that a caller takes up at `service`.

        `request_id` is the request that brought the first event, '' if the caller named none.
        Raises StreamOriginUnknown if the stream may have begun at another version than it
        would go on at.
        """
        key = stream_key(workspace, host, request_id)
        origin = self._records.find(key) if request_id else None
        if origin is not None:
            self._log_found(key, origin, 'own_record')
        else:
            origin = self._ask_peers(StreamQuery(key, service))
        if not origin.is_certain:
            raise self._unknown('its engine changed its version')
        return origin

    def _ask_peers(self, query: StreamQuery) -> StreamOrigin:
        ranked = self._records.ranked(stream_group(query.key))
        names = [name for name in ranked if name != self._box]
        known = [self._known(query.service)]
        answered = 0
        for group in (names[:OWNER_COUNT], names[OWNER_COUNT:]):
            replies = self._replies(query, group)
            found = next((reply.origin for reply in replies if reply.origin is not None), None)
            if found is not None:
                self._log_found(query.key, found, 'peer_record')
                return found
            answered += len(replies)
            known += [KnownVersions(reply.versions, reply.known_seconds) for reply in replies]
            sole = sole_version(known)
            if answered and sole.unknown is None:
                break
        has_peers = any(box.name != self._box for box in self._peering.roster.boxes)
        if has_peers and not answered:
            raise self._unknown('no other box answered', RETRY_AFTER_SECONDS, known)
        if sole.unknown is not None:
            several = sole.unknown is UnknownReason.SEVERAL
            raise self._unknown(sole.unknown, None if several else RETRY_AFTER_SECONDS, known)
        origin = StreamOrigin(query.service, sole.version)
        self._log_found(query.key, origin, 'only_version', known)
        return origin

    def _known(self, service: str) -> KnownVersions:
        versions = self._versions.known.get(service, frozenset())
        return KnownVersions(versions, self._versions.known_seconds(self._clock()))

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

    def reply(self, query: StreamQuery) -> StreamReply:
        """Return what this box knows of a stream's origin."""
        origin = self._records.find(query.key)
        known = self._known(query.service)
        return StreamReply(origin, known.versions, known.known_seconds)


def _rounded_seconds(known: Sequence[KnownVersions]) -> list[float]:
    """Return for how long each box has seen the versions, this one first, as far as it matters."""
    return [round(min(one.known_seconds, REMEMBERED_SECONDS), 1) for one in known]
