"""Limits this box's concurrent calls at servers that do not report their load.

The boxes cannot count each other's calls at such a server in time: a call takes tens of
milliseconds, and a peer's count is up to seconds old. With 25 boxes and one server of six slots
left, counts from peers made it look full while half of its slots were free, and calls waited 0.9 s
for an attempt of 25 ms. Each box therefore adjusts a limit of its own to the response times and
rejections that it sees, which all boxes share at the server: additive increase while the limit is
used, multiplicative decrease at most once per response time. A limit below one call is a pause
between calls, so that many boxes can share few slots (Kumar and others, Swift: Delay is Simple and
Effective for Congestion Control in the Datacenter, SIGCOMM 2020).
"""

import math
from collections.abc import Collection

#: Fraction of a call's objective that a response may take before the limit decreases. The rest
#: is for a retry at another server.
OBJECTIVE_SHARE = 0.5
#: Response times up to this multiple of the shortest one are not taken for queueing, whatever the
#: objective: some servers never answer within half of it.
SHORTEST_MULTIPLE = 3.0
#: Increase of the limit per full window of fast responses, in calls. Below one call it doubles
#: instead: if all boxes went to one call at once, 84 boxes would flood 24 slots.
INCREASE = 1.0
#: Largest decrease after one slow response, and the decrease after a rejection.
MAX_DECREASE = 0.5
#: Weight of the excess over the target in the decrease.
DECREASE_GAIN = 0.8
#: Lower bound of the limit, in calls.
MIN_LIMIT = 0.05
#: Longest pause between calls, in seconds: a server that recovers must not stay unused. With 84
#: boxes a pause of 0.25 s would still allow more calls than 24 slots serve.
MAX_PAUSE_SECONDS = 1.0
#: Time after which the shortest response time is measured anew, in seconds. Overload that lasts
#: longer is taken for the usual.
SHORTEST_SECONDS = 60.0
#: Half-life of the smoothed response time, in seconds: servers change their speed within a second.
RESPONSE_HALF_LIFE = 0.5
#: Weight of the newest response in the service's mean response time.
MEAN_GAIN = 0.1
#: Response time assumed before the first response, in seconds.
INITIAL_RESPONSE_SECONDS = 0.05


class ShortestTime:
    """The shortest response time of a service in the last one to two intervals, in seconds."""

    def __init__(self):
        self._current = math.inf
        self._previous = math.inf
        self._rotate_at = -math.inf

    def record(self, seconds: float, now: float) -> None:
        """Record the time of a response."""
        if now >= self._rotate_at:
            is_old = now >= self._rotate_at + SHORTEST_SECONDS
            self._previous = math.inf if is_old else self._current
            self._current = math.inf
            self._rotate_at = now + SHORTEST_SECONDS
        self._current = min(self._current, seconds)

    @property
    def seconds(self) -> float:
        """The shortest time, infinity if there is none."""
        return min(self._current, self._previous)


class ConcurrencyLimit:
    """The limit on this box's concurrent calls at one server.

    `limit` is in calls and may be a fraction; `max_calls` is its upper bound.
    """

    def __init__(self, max_calls: int):
        self.max_calls = max(1, max_calls)
        self.limit = 1.0
        self.in_flight = 0
        self._response_seconds = INITIAL_RESPONSE_SECONDS
        self._responded_at = -math.inf
        self._sent_at = -math.inf
        self._decreased_at = -math.inf

    def allows(self, now: float) -> bool:
        """Return whether one more call may be sent now."""
        if self.limit >= 1.0:
            return self.in_flight + 1 <= self.limit
        return self.in_flight == 0 and now >= self.next_call_at

    @property
    def next_call_at(self) -> float:
        """When the pause after the last call ends, for a limit below one call."""
        if self.limit >= 1.0:
            return -math.inf
        return self._sent_at + min(MAX_PAUSE_SECONDS, self._response_seconds / self.limit)

    def record_sent(self, now: float) -> None:
        """Record that a call is sent."""
        self.in_flight += 1
        self._sent_at = now

    def record_end(self) -> None:
        """Record that a call ended, however it did."""
        self.in_flight = max(0, self.in_flight - 1)

    def record_response(self, seconds: float, target: float, now: float) -> None:
        """Adjust the limit to a response that began after `seconds`.

        `target` is the longest time that is not taken for queueing.  Must be called before
        `record_end` of the same call.
        """
        if math.isinf(self._responded_at):
            self._response_seconds = seconds
        else:
            # By age rather than by count: a box may call a server a few times a second only.
            keep = 0.5 ** ((now - self._responded_at) / RESPONSE_HALF_LIFE)
            self._response_seconds = keep * self._response_seconds + (1 - keep) * seconds
        self._responded_at = now
        if seconds > target:
            self._decrease_by_excess(seconds, target, now)
        elif self.limit < 1.0:
            self.limit = min(1.0, 2 * self.limit)
        elif self.in_flight + 1 > self.limit:
            self.limit = min(self.max_calls, self.limit + INCREASE / self.limit)

    def record_overdue(self, seconds: float, target: float, now: float) -> None:
        """Adjust the limit to a call that ended without a response, `seconds` after it was sent."""
        if seconds > target:
            self._decrease_by_excess(seconds, target, now)

    def _decrease_by_excess(self, seconds: float, target: float, now: float) -> None:
        excess = DECREASE_GAIN * (seconds - target) / seconds
        self._decrease(min(MAX_DECREASE, excess), seconds, now)

    def set_slots(self, slots: int) -> None:
        """Set the number of the server's slots, the upper bound of the limit."""
        self.max_calls = max(1, slots)
        self.limit = min(self.limit, self.max_calls)

    def record_rejection(self, now: float) -> None:
        """Adjust the limit to a call that the server rejected because it is full."""
        self._decrease(MAX_DECREASE, self._response_seconds, now)

    def _decrease(self, share: float, response_seconds: float, now: float) -> None:
        # The calls that were in flight together see the same queue.
        if now < self._decreased_at + response_seconds:
            return
        self._decreased_at = now
        self.limit = max(MIN_LIMIT, self.limit * (1 - share))

    def response_seconds(self, mean: float, now: float) -> float:
        """Return the expected response time, which returns to `mean` when nothing is observed."""
        if math.isinf(self._responded_at):
            return mean
        weight = 0.5 ** ((now - self._responded_at) / RESPONSE_HALF_LIFE)
        return mean + weight * (self._response_seconds - mean)


class ConcurrencyLimits:
    """This box's concurrency limits at the servers of one service."""

    def __init__(self):
        self._limits: dict[str, ConcurrencyLimit] = {}
        self._shortest = ShortestTime()
        self._mean_seconds = INITIAL_RESPONSE_SECONDS

    def retain(self, listed: Collection[str], slots: dict[str, int]) -> None:
        """Drop the limits of servers that are not `listed`, and apply the `slots` of the others.

        A listed server that gets no calls for a while keeps its limit: it may rest because it was
        overloaded.
        """
        for name in [name for name in self._limits if name not in listed]:
            if not self._limits[name].in_flight:
                del self._limits[name]
        for name, count in slots.items():
            if name in self._limits:
                self._limits[name].set_slots(count)

    def of(self, server: str, slots: int) -> ConcurrencyLimit:
        """Return the limit at a server, a new one if there is none."""
        limit = self._limits.get(server)
        if limit is None:
            limit = self._limits[server] = ConcurrencyLimit(slots)
        return limit

    def target(self, objective: float | None) -> float:
        """Return the longest response time that is not taken for queueing, in seconds.

        Infinity without an objective: response times alone do not distinguish long calls from a
        queue, so only rejections count.
        """
        if objective is None:
            return math.inf
        shortest = self._shortest.seconds
        shortest = 0.0 if math.isinf(shortest) else shortest
        return max(SHORTEST_MULTIPLE * shortest, OBJECTIVE_SHARE * objective)

    def record_response(
        self, server: str, seconds: float, objective: float | None, now: float
    ) -> None:
        """Adjust the server's limit to a response that began `seconds` after the call was sent."""
        limit = self._limits.get(server)
        if limit is None:
            return
        # A response that waited in a queue must not set the target by which it is judged.
        target = self.target(objective)
        self._shortest.record(seconds, now)
        self._mean_seconds += MEAN_GAIN * (seconds - self._mean_seconds)
        limit.record_response(seconds, target, now)

    def record_overdue(
        self, server: str, seconds: float, objective: float | None, now: float
    ) -> None:
        """Adjust the server's limit to a call that ended without a response of use.

        Neither a failure nor a time-out says how long the server's work takes.
        """
        limit = self._limits.get(server)
        if limit is not None:
            limit.record_overdue(seconds, self.target(objective), now)

    def record_rejection(self, server: str, now: float) -> None:
        """Adjust the server's limit to a call that it rejected because it is full."""
        limit = self._limits.get(server)
        if limit is not None:
            limit.record_rejection(now)

    def record_sent(self, server: str, slots: int, now: float) -> None:
        """Record that a call is sent to a server."""
        self.of(server, slots).record_sent(now)

    def record_end(self, server: str) -> None:
        """Record that a call at a server ended."""
        limit = self._limits.get(server)
        if limit is not None:
            limit.record_end()

    def rating(self, server: str, calls: int, now: float) -> float:
        """Return a rating of one more call at a server with `calls` calls, lower is better.

        It is the expected response time, in seconds, times the calls.
        """
        limit = self._limits.get(server)
        response = (
            self._mean_seconds if limit is None else limit.response_seconds(self._mean_seconds, now)
        )
        return response * (calls + 1)

    def limit_at(self, server: str) -> float | None:
        """Return the limit at a server in calls, None if there is none yet."""
        limit = self._limits.get(server)
        return None if limit is None else limit.limit

    @property
    def total(self) -> float:
        """The sum of the limits, in calls."""
        return sum(limit.limit for limit in self._limits.values())
