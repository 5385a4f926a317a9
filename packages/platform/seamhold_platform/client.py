"""HTTP client of the platform's object API: list, get, conditional put, delete, watch.

The client never retries.  A write whose answer was lost raises PlatformUnavailable; it may
have been applied, and only the calling code knows how to check that.
"""

import math
from collections import Counter
from collections.abc import Callable, Iterator

import urllib3

from seamhold_messages.errors import (
    PlatformConflict,
    PlatformGone,
    PlatformNotFound,
    PlatformThrottled,
    PlatformUnavailable,
    PlatformUnreadable,
)

from .bounded_socket import AnswerTooLong, bounded_pools
from .json_parts import JsonUnreadable, decode, elements, members
from .objects import VERSION_FIELD, ObjectKind, Page, PlatformObject, WatchEvent, WatchKind
from .reader import ObjectReader, OnUnnamed

API_ROOT = '/apis/seamhold/v1'
CONNECT_SECONDS = 1.0
ANSWER_SECONDS = 3.0
WATCH_SECONDS = 20.0
#: A watch fails if nothing is received for this long beyond its own duration, in seconds.
WATCH_SLACK_SECONDS = 1.0
STATUS_ERRORS = {
    404: PlatformNotFound,
    409: PlatformConflict,
    410: PlatformGone,
    429: PlatformThrottled,
}
READ_CHUNK_BYTES = 64 * 1024
#: Limit on one answer, in bytes.
ANSWER_MAX_BYTES = 256 * 1024 * 1024
#: Type of the event that ends a watch from a version that is too old.
ERROR = 'ERROR'


class PlatformClient:
    """One box's client of the object API.

    `calls` counts calls by verb; a watch counts as one call.  `on_unnamed` is called for each
    object that is left out because it has no readable name.  `clock`, in seconds, limits the time
    of each whole answer; without one only each read is limited.
    """

    def __init__(
        self,
        url: str,
        pool_size: int = 4,
        on_unnamed: OnUnnamed = lambda text, error: None,
        clock: Callable[[], float] = lambda: 0.0,
    ):
        self.url = url.rstrip('/')
        self.calls: Counter[str] = Counter()
        self._reader = ObjectReader(VERSION_FIELD, on_unnamed)
        self._pool = bounded_pools(
            clock,
            ANSWER_MAX_BYTES,
            maxsize=pool_size,
            retries=False,
            timeout=urllib3.Timeout(connect=CONNECT_SECONDS, read=ANSWER_SECONDS),
        )

    def _path(self, kind: ObjectKind, name: str = '') -> str:
        path = f'{self.url}{API_ROOT}/{kind}'
        return f'{path}/{name}' if name else path

    def _call(self, verb: str, method: str, path: str, body: dict | None = None, **extra):
        self.calls[verb] += 1
        try:
            answer = self._pool.request(method, path, json=body, **extra)
        except (urllib3.exceptions.HTTPError, AnswerTooLong) as error:
            raise PlatformUnavailable(f'{verb}: {error}') from error
        if answer.status >= 400:
            raise self._error(verb, answer)
        return answer

    def _error(self, verb: str, answer):
        kind = STATUS_ERRORS.get(answer.status, PlatformUnavailable)
        answer.drain_conn()
        answer.release_conn()
        return kind(f'{verb}: the platform answered {answer.status}')

    @property
    def unnamed(self) -> int:
        """Number of objects that were left out because they have no readable name."""
        return self._reader.unnamed

    def list(self, kind: ObjectKind, stale: bool = False) -> Page:
        """Return all objects of a kind and the version to watch from.

        With `stale` the platform may answer from its cache (resource version 0).
        """
        fields = {'resourceVersion': '0'} if stale else None
        answer = self._call('list', 'GET', self._path(kind), fields=fields)
        try:
            page = members(answer.data)
            version = str(decode(page['metadata'])[VERSION_FIELD])
            items = elements(page['items'])
        except (JsonUnreadable, KeyError, TypeError) as error:
            raise PlatformUnreadable(f'list: {error!r}') from error
        return Page(self._reader.read_named(kind, items), version)

    def get(self, kind: ObjectKind, name: str) -> PlatformObject:
        """Return one object; raises PlatformNotFound."""
        answer = self._call('get', 'GET', self._path(kind, name))
        return self._reader.read_one(kind, answer.data)

    def put(self, kind: ObjectKind, item: PlatformObject) -> PlatformObject:
        """Write the object if it is still at `item.version`; '' creates it.

        Returns the stored object.  Raises PlatformConflict if the version differs, and
        PlatformUnavailable if the write may or may not have been applied.
        """
        if item.version:
            path, method = self._path(kind, item.name), 'PUT'
        else:
            path, method = self._path(kind), 'POST'
        answer = self._call('put', method, path, item.to_wire())
        return self._reader.read_one(kind, answer.data)

    def delete(self, kind: ObjectKind, name: str, version: str) -> None:
        """Delete the object if it is still at `version`; raises PlatformConflict if not."""
        body = {'preconditions': {'resourceVersion': version}}
        self._call('delete', 'DELETE', self._path(kind, name), body)

    def watch(
        self, kind: ObjectKind, version: str, seconds: float = WATCH_SECONDS
    ) -> Iterator[WatchEvent]:
        """Yield the changes after `version` until the platform ends the watch.

        The platform ends it after `seconds`.  Raises PlatformGone if the version is too old;
        the collection then has to be listed again.
        """
        timeout = urllib3.Timeout(connect=CONNECT_SECONDS, read=seconds + WATCH_SLACK_SECONDS)
        fields = {
            'watch': '1',
            'resourceVersion': version,
            'timeoutSeconds': str(math.ceil(seconds)),
        }
        answer = self._call(
            'watch',
            'GET',
            self._path(kind),
            fields=fields,
            timeout=timeout,
            preload_content=False,
        )
        try:
            yield from self._events(kind, answer)
        except (urllib3.exceptions.HTTPError, AnswerTooLong) as error:
            raise PlatformUnavailable(f'watch: {error}') from error
        finally:
            answer.close()

    def _events(self, kind: ObjectKind, answer) -> Iterator[WatchEvent]:
        pending = b''
        while chunk := answer.read1(READ_CHUNK_BYTES):
            *lines, pending = (pending + chunk).split(b'\n')
            for line in filter(None, lines):
                yield from self._event(kind, line)

    def _event(self, kind: ObjectKind, line: bytes) -> Iterator[WatchEvent]:
        try:
            event = members(line)
            change = decode(event['type'])
            if change != ERROR:
                change = WatchKind(change)
        except (JsonUnreadable, KeyError, ValueError) as error:
            raise PlatformUnreadable(f'watch: {error!r}') from error
        if change == ERROR:
            raise PlatformGone('watch: the version is too old')
        for item in self._reader.read_named(kind, [event.get('object', b'null')]):
            yield WatchEvent(change, item)

    def close(self) -> None:
        """Close all pooled connections."""
        self._pool.clear()
