"""What a stream is bound to: the service and the software version that sent its first event.

A caller may take up a broken stream at any box, long after the box that began it has gone.
Several boxes therefore keep a record of each stream.
"""

from collections import Counter
from collections.abc import Container, Mapping
from hashlib import blake2b

from msgspec import Struct
from msgspec.structs import replace

KEY_BYTES = 16
#: Streams are divided into so many groups, each with its own owners.  This bounds the boxes
#: that one box sends records to, and the records that one message holds are more.
GROUPS = 256
#: Records that a box holds; beyond this limit the workspace with the most loses its oldest.
STREAMS_MAX = 65_536
STREAMS_DROPPED = 4_096
#: A record is kept for at most this long after its stream began, in seconds.
KEPT_MAX_SECONDS = 3600.0


#: The version of a stream whose engine may have changed its version before it began.
UNCERTAIN = ''


class StreamOrigin(Struct, frozen=True):
    """The service of a stream's first event, and the software version of its engine."""

    service: str
    version: str

    @property
    def is_certain(self) -> bool:
        """Whether the version is known."""
        return self.version != UNCERTAIN


class StreamRecord(Struct, frozen=True):
    """The origin of one stream, which callers may take up within the next `seconds`.

    `workspace_key` is a 32-bit hash of the workspace.
    """

    key: str
    workspace_key: int
    origin: StreamOrigin
    seconds: float


def stream_key(workspace: str, host: str, request_id: str) -> str:
    """Return the key of the stream that a request began, in hexadecimal digits.

    The hash is cryptographic: a workspace must not be able to construct an id that names
    another workspace's stream.
    """
    hashed = blake2b(digest_size=KEY_BYTES)
    for part in (workspace, host, request_id):
        encoded = part.encode()
        hashed.update(len(encoded).to_bytes(KEY_BYTES, 'big'))
        hashed.update(encoded)
    return hashed.hexdigest()


def stream_group(key: str) -> int:
    """Return the group of a stream, below GROUPS."""
    return int(key[:4], 16) % GROUPS


class StreamPage(Struct, frozen=True):
    """Some of a box's records, up to the one with number `last`; `more` tells that others follow.

    A box numbers its records as they come; the numbers of another start of it do not compare.
    `settled` states that the box itself is not about to pull records that others have.
    """

    records: tuple[StreamRecord, ...] = ()
    last: int = 0
    more: bool = False
    settled: bool = True


class _Entry(Struct):
    """A record, the time at which it is dropped, and its number in the table."""

    record: StreamRecord
    until: float
    number: int

    def with_seconds_left(self, now: float) -> StreamRecord:
        return replace(self.record, seconds=self.until - now)


class StreamTable:
    """The records that one box holds, in the order in which they came."""

    def __init__(self, size: int = STREAMS_MAX, dropped: int = STREAMS_DROPPED):
        self._size = size
        self._dropped = dropped
        self._records: dict[str, _Entry] = {}
        #: The number of the newest record; the first is 1.
        self._last = 0

    def __len__(self) -> int:
        return len(self._records)

    def record(self, record: StreamRecord, now: float) -> None:
        """Add a record; a known origin can only become uncertain."""
        known = self._records.get(record.key)
        until = now + min(record.seconds, KEPT_MAX_SECONDS)
        if known is not None:
            known.until = until = max(known.until, until)
            if record.origin.is_certain or not known.record.origin.is_certain:
                return
            # It is numbered anew, so that a box that has the older record pulls it.
            del self._records[record.key]
        self._last += 1
        self._records[record.key] = _Entry(record, until, self._last)
        if len(self._records) > self._size:
            self._make_room(now)

    def find(self, key: str, now: float) -> StreamOrigin | None:
        """Return the origin of a stream, None if it is not known."""
        entry = self._records.get(key)
        return entry.record.origin if entry is not None and now < entry.until else None

    def of_services(self, services: Container[str], now: float) -> list[StreamRecord]:
        """Return the records of these services, with the seconds that are left of each."""
        return [
            entry.with_seconds_left(now)
            for entry in self._records.values()
            if entry.record.origin.service in services and now < entry.until
        ]

    def page(
        self, services: Container[str], groups: Mapping[int, int], limit: int, now: float
    ) -> StreamPage:
        """Return records of these services, the oldest first, at most `limit`.

        `groups` has, by group, the number after which its records are wanted.
        """
        first = last = min(groups.values(), default=self._last)
        records: list[StreamRecord] = []
        for entry in self._records.values():
            if entry.number <= first:
                continue
            record = entry.record
            if record.origin.service not in services or now >= entry.until:
                continue
            if entry.number <= groups.get(stream_group(record.key), self._last):
                continue
            if len(records) == limit:
                return StreamPage(tuple(records), last, more=True)
            records.append(entry.with_seconds_left(now))
            last = entry.number
        return StreamPage(tuple(records), self._last)

    def _make_room(self, now: float) -> None:
        self._records = {key: entry for key, entry in self._records.items() if now < entry.until}
        if len(self._records) <= self._size:
            return
        counts = Counter(entry.record.workspace_key for entry in self._records.values())
        largest = max(counts, key=counts.__getitem__)
        oldest = [
            key for key, entry in self._records.items() if entry.record.workspace_key == largest
        ]
        for key in oldest[: self._dropped]:
            del self._records[key]
