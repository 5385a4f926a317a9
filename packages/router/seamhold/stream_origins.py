"""Finds out which service and software version began a stream that a caller takes up.

The box that began the stream may be gone by then: the owners of its record are asked, and further
boxes if they do not know.
"""

import asyncio
import math
from collections.abc import Callable, Sequence
from concurrent.futures import TimeoutError as FutureTimeout

from seamhold_attempts.streams import StreamOrigin, stream_group, stream_key
from seamhold_membership import KnownVersions, ServiceVersions, UnknownReason, sole_version
from seamhold_membership.versions import REMEMBERED_SECONDS
from seamhold_messages.errors import StreamOriginUnknown
from seamhold_peers import PeerClient, StreamQuery, StreamReply
from seamhold_peers.client import FIND_STREAM_SECONDS, PEER_ERRORS

from .linked_services import LinkedServices
from .logs import logger
from .metrics import Metrics
from .peering import Peering
from .stream_records import OWNER_COUNT, StreamRecordStore

#: While an owner has not answered for so long, the further boxes are asked, too, in seconds.
ASK_NEXT_SECONDS = 0.1
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
        links: LinkedServices,
        clock: Callable[[], float],
        metrics: Metrics,
    ):
        self._box = box
        self._peering = peering
        self._records = records
        self._versions = versions
        self._links = links
        self._clock = clock
        self._started_at = clock()
        self._metrics = metrics
        self._log = logger('stream-origins')

    def find(
        self,
        workspace: str,
        host: str,
        request_id: str,
        service: str,
        seconds: float = math.inf,
    ) -> StreamOrigin:
        """Return the origin of a stream that a caller takes up at `service`.

        `request_id` is the request that brought the first event, '' if the caller named none.
        Peers are given at most `seconds`, which the caller still waits.
        Raises StreamOriginUnknown if the stream may have begun at another version than it
        would go on at.
        """
        key = stream_key(workspace, host, request_id)
        origin = self._records.find(key) if request_id else None
        if origin is not None:
            self._log_found(key, origin, 'own_record')
        else:
            origin = self._ask_peers(StreamQuery(key, service), seconds)
        if not origin.is_certain:
            raise self._unknown('its engine changed its version')
        return origin

    def _ask_peers(self, query: StreamQuery, seconds: float) -> StreamOrigin:
        ranked = self._records.ranked(stream_group(query.key))
        names = [name for name in ranked if name != self._box]
        groups = [group for group in (names[:OWNER_COUNT], names[OWNER_COUNT:]) if group]
        replies = self._replies(query, groups, seconds)
        found = next((reply.origin for reply in replies if reply.origin is not None), None)
        if found is not None:
            self._log_found(query.key, found, 'peer_record')
            return found
        known = self._all_known(query, replies)
        sole = sole_version(known)
        has_peers = any(box.name != self._box for box in self._peering.roster.boxes)
        if has_peers and not replies:
            raise self._unknown('no other box answered', RETRY_AFTER_SECONDS, known)
        if sole.unknown is not None:
            several = sole.unknown in (UnknownReason.SEVERAL, UnknownReason.SERVICES)
            raise self._unknown(sole.unknown, None if several else RETRY_AFTER_SECONDS, known)
        origin = StreamOrigin(query.service, sole.version)
        self._log_found(query.key, origin, 'only_version', known)
        return origin

    def _all_known(self, query: StreamQuery, replies: Sequence[StreamReply]) -> list[KnownVersions]:
        """Return what this box and those that replied know of the service's versions."""
        known = [
            KnownVersions(reply.versions, reply.known_seconds, reply.other_services)
            for reply in replies
        ]
        return [self._known(query.service), *known]

    def _known(self, service: str) -> KnownVersions:
        known_seconds = self._versions.known_seconds(self._clock())
        versions = self._versions.known.get(service, frozenset())
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

    def _replies(
        self, query: StreamQuery, groups: Sequence[Sequence[str]], seconds: float
    ) -> list[StreamReply]:
        """Return the replies of these boxes within `seconds`, the first one with an origin at once.

        A group is asked only if those before it do not settle the question.
        """
        replies: list[StreamReply] = []
        limit = len(groups) * ASK_NEXT_SECONDS + FIND_STREAM_SECONDS + SLACK_SECONDS
        asking = self._peering.submit(self._ask(query, groups, replies))
        try:
            asking.result(min(limit, seconds))
        except FutureTimeout:
            asking.cancel()
            self._metrics.count('streams.owner_unreachable')
        return replies.copy()

    async def _ask(
        self, query: StreamQuery, groups: Sequence[Sequence[str]], replies: list[StreamReply]
    ) -> None:
        """Add the replies of these boxes to `replies` as they come."""
        pending: set[asyncio.Task[StreamReply | None]] = set()
        try:
            for group in groups:
                pending |= {asyncio.ensure_future(self._ask_one(query, name)) for name in group}
                is_last = group is groups[-1]
                pending = await self._collect(
                    pending, replies, None if is_last else ASK_NEXT_SECONDS
                )
                if any(reply.origin is not None for reply in replies):
                    break
                known = self._all_known(query, replies)
                if not pending and replies and sole_version(known).unknown is None:
                    break
        finally:
            for task in pending:
                task.cancel()

    @staticmethod
    async def _collect(
        pending: set[asyncio.Task[StreamReply | None]],
        replies: list[StreamReply],
        seconds: float | None,
    ) -> set[asyncio.Task[StreamReply | None]]:
        """Add replies until one has an origin or `seconds` have passed; return what is pending."""
        loop = asyncio.get_running_loop()
        deadline = math.inf if seconds is None else loop.time() + seconds
        while pending and loop.time() < deadline:
            left = None if seconds is None else deadline - loop.time()
            done, pending = await asyncio.wait(
                pending, timeout=left, return_when=asyncio.FIRST_COMPLETED
            )
            results = (task.result() for task in done)
            replies += [reply for reply in results if reply is not None]
            if any(reply.origin is not None for reply in replies):
                break
        return pending

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
        return StreamReply(origin, known.versions, known.known_seconds, known.other_services)


def _rounded_seconds(known: Sequence[KnownVersions]) -> list[float]:
    """Return for how long each box has seen the versions, this one first, as far as it matters."""
    return [round(min(one.known_seconds, REMEMBERED_SECONDS), 1) for one in known]
