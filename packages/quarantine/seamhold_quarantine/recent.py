"""Requests that recently succeeded at this box: an engine's end is not counted against them.

A request that many callers send runs on every engine at any time, also on one that then ends.
"""

from collections import OrderedDict

from msgspec import Struct

from seamhold_messages.hashing import hash64_bytes

from .identity import RequestIdentity

#: How long a success excuses a request.  Later its engines may have changed, and the request may
#: end them.
SUCCESS_VALID_SECONDS = 10.0
#: Engines that end within this time count as ended at once.
SIMULTANEOUS_SECONDS = 0.5
#: Number of requests remembered, the most recent ones.
REQUESTS_MAX = 4096


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
        key = _key(identity)
        run = self._runs.pop(key, None)
        self._runs[key] = _Run(now, run.excused_at if run else None)
        if len(self._runs) > REQUESTS_MAX:
            self._runs.popitem(last=False)

    def excuses(self, identity: RequestIdentity, now: float) -> bool:
        """Return whether an engine that ends now under a request is not counted against it.

        A request is not excused again until it succeeds again: it may since have become one that
        ends engines.
        """
        run = self._runs.get(_key(identity))
        if run is None or now - run.succeeded_at > SUCCESS_VALID_SECONDS:
            return False
        before = run.excused_at
        if before is not None and run.succeeded_at < before and now - before > SIMULTANEOUS_SECONDS:
            return False
        if before is None or now - before > SIMULTANEOUS_SECONDS:
            run.excused_at = now
        return True


def _key(identity: RequestIdentity) -> int:
    return identity.scope ^ hash64_bytes(identity.body)
