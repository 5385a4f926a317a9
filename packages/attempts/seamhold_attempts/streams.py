"""What a stream is bound to: the service and the software version that sent its first event.

A caller may take up a broken stream at any box, long after the box that began it has gone.
Several boxes therefore keep a record of each stream.
"""

from collections import Counter
from collections.abc import Container
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


class StreamTable:
    """The records that one box holds, in the order in which they came."""

    def __init__(self, size: int = STREAMS_MAX, dropped: int = STREAMS_DROPPED):
        self._size = size
        self._dropped = dropped
        #: Records by key, with the time at which each is dropped.
        self._records: dict[str, tuple[StreamRecord, float]] = {}

    def __len__(self) -> int:
        return len(self._records)

    def record(self, record: StreamRecord, now: float) -> None:
        """Add a record; a known origin can only become uncertain."""
        known = self._records.pop(record.key, None)
        until = now + min(record.seconds, KEPT_MAX_SECONDS)
        if known is not None:
            record = known[0] if record.origin.is_certain else record
            until = max(until, known[1])
        self._records[record.key] = (record, until)
        if len(self._records) > self._size:
            self._make_room(now)

    def find(self, key: str, now: float) -> StreamOrigin | None:
        """Return the origin of a stream, None if it is not known."""
        record, until = self._records.get(key, (None, now))
        return record.origin if record is not None and now < until else None

    def of_services(self, services: Container[str], now: float) -> list[StreamRecord]:
        """Return the records of these services, with the seconds that are left of each."""
        return [
            replace(record, seconds=until - now)
            for record, until in self._records.values()
            if record.origin.service in services and now < until
        ]

    def _make_room(self, now: float) -> None:
        self._records = {
            key: (record, until) for key, (record, until) in self._records.items() if now < until
        }
        if len(self._records) <= self._size:
            return
        counts = Counter(record.workspace_key for record, _ in self._records.values())
        largest = max(counts, key=counts.__getitem__)
        oldest = [
            key for key, (record, _) in self._records.items() if record.workspace_key == largest
        ]
        for key in oldest[: self._dropped]:
            del self._records[key]
