"""The task that writes claims to the platform in batches."""

from collections import defaultdict, deque
from collections.abc import Callable

from msgspec import Struct

from seamhold_attempts.claims import BucketUnreadable, Claim, ClaimBucket, ClaimState
from seamhold_messages.errors import (
    ClaimsUnavailable,
    PlatformConflict,
    PlatformNotFound,
    PlatformUnavailable,
    PlatformUnreadable,
)
from seamhold_peers import ClaimRequest
from seamhold_platform import ObjectKind, PlatformClient, PlatformObject
from seamhold_settings.schema import Control

from .context import Environment
from .metrics import Metrics
from .tasks import Query, Task

#: Pause after a write that failed, in seconds.
RETRY_SECONDS = 0.05
#: Maximum rate of writes of all buckets together, per second: half of the platform's
#: capacity.
WRITES_PER_SECOND = 50


class AcquireClaim(Query):
    """Requests the ownership of a key for a call; the reply is a ClaimState."""

    request: ClaimRequest
    expires: float = 0.0


class ReleaseClaim(Struct):
    """Releases a claim whose call is certain not to have run."""

    bucket: int
    key: str
    owner: str


class _CachedBucket(Struct):
    """The cached copy of a bucket, as this box last read or wrote it."""

    bucket: ClaimBucket
    version: str = ''


class ClaimWriter(Task):
    """Owns the buckets that this box writes.

    A claim is written immediately if its bucket was not written recently.  Under load the
    other claims wait and share the bucket's next write, which keeps all buckets together
    within `WRITES_PER_SECOND` at any rate of calls.  The cached copy of a bucket saves a
    read; a write conflict shows that the copy is stale.
    """

    name = 'claims'

    def __init__(
        self,
        platform: PlatformClient,
        environment: Environment,
        metrics: Metrics,
        control: Callable[[], Control],
    ):
        super().__init__()
        self._platform = platform
        self._environment = environment
        self._metrics = metrics
        self._control = control
        self._cached: dict[int, _CachedBucket] = {}
        self._waiting: dict[int, list[AcquireClaim]] = defaultdict(list)
        self._releases: dict[int, deque[ReleaseClaim]] = defaultdict(deque)
        self._next_write: dict[int, float] = {}
        self.handlers = {AcquireClaim: self._acquire, ReleaseClaim: self._release}

    def next_timeout(self) -> float | None:
        """Return the seconds until the next bucket may be written, None if none is pending."""
        due = self._next_due()
        if due is None:
            return None
        return max(0.0, self._next_write.get(due, 0.0) - self._environment.monotonic())

    def on_timeout(self) -> None:
        """Write the bucket that is due."""
        due = self._next_due()
        if due is None:
            return
        gap = self._control().claim_buckets / WRITES_PER_SECOND
        self._next_write[due] = self._environment.monotonic() + gap
        self._write(due)

    def _next_due(self) -> int | None:
        """Return the pending bucket with the earliest allowed write, None if none is pending."""
        buckets = self._waiting.keys() | self._releases.keys()
        return min(buckets, key=lambda number: self._next_write.get(number, 0.0), default=None)

    def _acquire(self, message: AcquireClaim) -> AcquireClaim:
        message.expires = self._environment.monotonic() + message.request.wait
        self._waiting[message.request.bucket].append(message)
        return message

    def _release(self, message: ReleaseClaim) -> None:
        self._releases[message.bucket].append(message)

    def _write(self, number: int) -> None:
        requests = self._waiting.pop(number, [])
        releases = self._releases.pop(number, deque())
        try:
            states = self._apply(number, requests, releases)
        except PlatformUnavailable as error:
            self._requeue(number, requests, error)
            self._environment.sleep(RETRY_SECONDS)
            return
        for message, state in zip(requests, states, strict=True):
            self._metrics.count(f'claims.{state}')
            message.reply.set_result(state)

    def _requeue(self, number: int, requests: list[AcquireClaim], error: Exception) -> None:
        """Queue claims with time left again, and fail the others with ClaimsUnavailable.

        A write that failed may still have been stored.  Its claims carry their owners'
        tokens, by which the next read recognises them.
        """
        self._cached.pop(number, None)
        now = self._environment.monotonic()
        for message in requests:
            if message.expires > now:
                self._waiting[number].append(message)
            else:
                self._metrics.count('claims.unavailable')
                detail = f'the platform did not store the key: {error}'
                message.reply.set_exception(ClaimsUnavailable(detail, 1.0))

    def _apply(self, number: int, requests: list[AcquireClaim], releases) -> list[ClaimState]:
        """Add claims to the bucket, remove releases, and write it until no write conflicts.

        Returns the state of each claim.
        """
        while True:
            cached = self._cached.get(number) or self._read(number)
            bucket = ClaimBucket(cached.bucket.claims, cached.bucket.unreadable)
            now = self._environment.unix_time()
            bucket.drop_before(now - self._control().claim_seconds)
            for release in releases:
                bucket.release(release.key, release.owner)
            states = [bucket.try_claim(self._claim(message.request, now)) for message in requests]
            if bucket.claims == cached.bucket.claims:
                return states
            try:
                self._put(number, bucket, cached.version)
            except PlatformConflict:
                self._metrics.count('claims.conflicts')
                self._cached.pop(number, None)
                continue
            return states

    @staticmethod
    def _claim(request: ClaimRequest, now: float) -> Claim:
        return Claim(request.key, request.owner, request.body_hash, now)

    @staticmethod
    def _object_name(number: int) -> str:
        return f'bucket-{number:03d}'

    def _read(self, number: int) -> _CachedBucket:
        try:
            found = self._platform.get(ObjectKind.CLAIMS, self._object_name(number))
        except PlatformNotFound:
            return _CachedBucket(ClaimBucket())
        try:
            bucket = ClaimBucket.from_spec(found.spec)
        except BucketUnreadable as error:
            raise PlatformUnreadable(f'{found.name}: {error}') from error
        if bucket.unreadable:
            self._metrics.count('claims.unreadable', len(bucket.unreadable))
            self.log.warning('claims.unreadable', object=found.name, rows=len(bucket.unreadable))
        cached = _CachedBucket(bucket, found.version)
        self._cached[number] = cached
        return cached

    def _put(self, number: int, bucket: ClaimBucket, version: str) -> None:
        item = PlatformObject(self._object_name(number), bucket.to_spec(), version)
        written = self._platform.put(ObjectKind.CLAIMS, item)
        self._metrics.count('claims.writes')
        self._cached[number] = _CachedBucket(bucket, written.version)
