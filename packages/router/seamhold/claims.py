"""The task that writes claims to the platform, many in one write."""

from collections import defaultdict, deque
from collections.abc import Callable

from msgspec import Struct

from seamhold_attempts.claims import Claim, ClaimBucket, ClaimState
from seamhold_messages.errors import (
    ClaimsUnavailable,
    PlatformConflict,
    PlatformNotFound,
    PlatformUnavailable,
)
from seamhold_peers import ClaimRequest
from seamhold_platform import ObjectKind, PlatformClient, PlatformObject
from seamhold_settings.schema import Control

from .context import Environment
from .metrics import Metrics
from .tasks import Ask, Task

#: Pause after a try that failed.
RETRY_SECONDS = 0.05
#: Writes a second that all buckets together may cost the platform: half of
#: what it takes.
WRITES_PER_SECOND = 50


class WantClaim(Ask):
    """A key that a call wants to own; answered by a ClaimState."""

    ask: ClaimRequest
    expires: float = 0.0


class ReleaseClaim(Struct):
    """A claim whose call is certain not to have run."""

    bucket: int
    key: str
    owner: str


class _Held(Struct):
    """A bucket as this box last saw it in the platform."""

    bucket: ClaimBucket
    version: str = ''


class ClaimWriter(Task):
    """Owns the buckets that this box writes.

    A claim for a bucket that was not written lately is written at once.
    Under load the others wait and share the next write, so that all buckets
    together stay within `WRITES_PER_SECOND` however many calls there are.
    The copy of a bucket saves a read; a conflict shows that it was old.
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
        self._held: dict[int, _Held] = {}
        self._waiting: dict[int, list[WantClaim]] = defaultdict(list)
        self._releases: dict[int, deque[ReleaseClaim]] = defaultdict(deque)
        self._next_write: dict[int, float] = {}
        self.handlers = {WantClaim: self._want, ReleaseClaim: self._release}

    def patience(self) -> float | None:
        """Seconds until the next bucket may be written."""
        due = self._next_due()
        if due is None:
            return None
        return max(0.0, self._next_write.get(due, 0.0) - self._environment.monotonic())

    def idle(self) -> None:
        """Write the bucket that is due."""
        due = self._next_due()
        if due is None:
            return
        gap = self._control().claim_buckets / WRITES_PER_SECOND
        self._next_write[due] = self._environment.monotonic() + gap
        self._write(due)

    def _next_due(self) -> int | None:
        """The bucket with something to write that may be written first."""
        wanted = self._waiting.keys() | self._releases.keys()
        return min(wanted, key=lambda number: self._next_write.get(number, 0.0), default=None)

    def _want(self, message: WantClaim) -> WantClaim:
        message.expires = self._environment.monotonic() + message.ask.wait
        self._waiting[message.ask.bucket].append(message)
        return message

    def _release(self, message: ReleaseClaim) -> None:
        self._releases[message.bucket].append(message)

    def _write(self, number: int) -> None:
        wanted = self._waiting.pop(number, [])
        releases = self._releases.pop(number, deque())
        try:
            states = self._settle(number, wanted, releases)
        except PlatformUnavailable as error:
            self._put_back(number, wanted, error)
            self._environment.sleep(RETRY_SECONDS)
            return
        for message, state in zip(wanted, states, strict=True):
            self._metrics.count(f'claims.{state}')
            message.reply.set_result(state)

    def _put_back(self, number: int, wanted: list[WantClaim], error: Exception) -> None:
        """Try again for those with time left; the others were not claimed.

        A write that failed may still have landed.  Its claims carry their
        owners' tokens, so the next look recognises them.
        """
        self._held.pop(number, None)
        now = self._environment.monotonic()
        for message in wanted:
            if message.expires > now:
                self._waiting[number].append(message)
            else:
                self._metrics.count('claims.unavailable')
                detail = f'the platform did not record the key: {error}'
                message.reply.set_exception(ClaimsUnavailable(detail, 1.0))

    def _settle(self, number: int, wanted: list[WantClaim], releases) -> list[ClaimState]:
        """Write until the bucket holds an answer for each claim."""
        while True:
            held = self._held.get(number) or self._read(number)
            bucket = ClaimBucket(held.bucket.claims)
            now = self._environment.unix_time()
            bucket.drop_before(now - self._control().claim_seconds)
            for release in releases:
                bucket.release(release.key, release.owner)
            states = [bucket.try_claim(self._claim(message.ask, now)) for message in wanted]
            if bucket.claims == held.bucket.claims:
                return states
            try:
                self._put(number, bucket, held.version)
            except PlatformConflict:
                self._metrics.count('claims.conflicts')
                self._held.pop(number, None)
                continue
            return states

    @staticmethod
    def _claim(ask: ClaimRequest, now: float) -> Claim:
        return Claim(ask.key, ask.owner, ask.body_hash, now)

    @staticmethod
    def _object_name(number: int) -> str:
        return f'bucket-{number:03d}'

    def _read(self, number: int) -> _Held:
        try:
            found = self._platform.get(ObjectKind.CLAIMS, self._object_name(number))
        except PlatformNotFound:
            return _Held(ClaimBucket())
        held = _Held(ClaimBucket.from_spec(found.spec), found.version)
        self._held[number] = held
        return held

    def _put(self, number: int, bucket: ClaimBucket, version: str) -> None:
        item = PlatformObject(self._object_name(number), bucket.to_spec(), version)
        written = self._platform.put(ObjectKind.CLAIMS, item)
        self._metrics.count('claims.writes')
        self._held[number] = _Held(bucket, written.version)
