"""Features of requests that recently succeeded at this box: they are not blamed for an end.

A request that many callers send runs on every engine at any time, also on one that then ends.
"""

from collections import OrderedDict
from collections.abc import Iterator

from msgspec import Struct

from seamhold_messages.hashing import hash64_bytes

from .identity import Feature, RequestIdentity

#: How long a success excuses a request.  Later its engines may have changed, and the request may
#: end them.
SUCCESS_VALID_SECONDS = 10.0
#: Engines that end within this time count as ended at once.
SIMULTANEOUS_SECONDS = 0.5
#: Number of features remembered, the most recent ones.
FEATURES_MAX = 16_384


class _Run(Struct):
    succeeded_at: float
    #: When the request was last excused for an engine's end, None if never.
    excused_at: float | None = None


class RecentRuns:
    """Requests that succeeded recently.

    They are keyed by a fast hash, 0.004 ms for 24 KB and 0.25 ms for 4 MB, because this runs for
    each call.  A workspace that constructs colliding bodies only defeats the check of its own
    requests.
    """

    def __init__(self):
        self._runs: OrderedDict[int, _Run] = OrderedDict()

    def record_success(self, identity: RequestIdentity, now: float) -> None:
        """Record that a request's engine answered it."""
        for key in _keys(identity):
            run = self._runs.pop(key, None)
            self._runs[key] = _Run(now, run.excused_at if run else None)
        while len(self._runs) > FEATURES_MAX:
            self._runs.popitem(last=False)

    def excuses(self, identity: RequestIdentity, now: float) -> bool:
        """Return whether an engine that ends now under a request is not counted against it.

        A request is not excused again until it succeeds again: it may since have become one that
        ends engines.
        """
        return self._excuses(_key(identity), now)

    def excused_features(self, identity: RequestIdentity, now: float) -> list[Feature]:
        """Return the features of a request that an engine's end is not counted against."""
        keys = zip(identity.features, _keys(identity), strict=True)
        return [feature for feature, key in keys if self._excuses(key, now)]

    def _excuses(self, key: int, now: float) -> bool:
        run = self._runs.get(key)
        if run is None or now - run.succeeded_at > SUCCESS_VALID_SECONDS:
            return False
        before = run.excused_at
        if before is not None and run.succeeded_at < before and now - before > SIMULTANEOUS_SECONDS:
            return False
        if before is None or now - before > SIMULTANEOUS_SECONDS:
            run.excused_at = now
        return True


def _keys(identity: RequestIdentity) -> Iterator[int]:
    """Yield the keys of a request's features in their order."""
    yield _key(identity)
    yield from identity.scopes[1:]


def _key(identity: RequestIdentity) -> int:
    return identity.scope ^ hash64_bytes(identity.body)
