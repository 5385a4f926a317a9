"""Which engines answer nobody, by this box's own calls.

An engine that reads long prompts begins no answer meanwhile, and ends none: what was told
of it grows old though none of its calls has ended.  A box notices by a call of its own
that waits for the beginning of its answer for longer than engines of the service usually
take: the mean and four times the mean deviation, smoothed (Jacobson; RFC 6298).

What it guards: 9 engines that in turn read for 1.2 s, 118 calls a second, a fifth of them of
one prompt: 27 of 552 calls above the promise in five seconds without, 4 of 615 so, where a
quarter of a box's own calls counts for each peer; none with a half (routers alone, two seeds).
"""

from collections import defaultdict

#: Weights of the newest answer in the smoothed time and its deviation, and how many
#: deviations count (RFC 6298).
TIME_GAIN = 1 / 8
DEVIATION_GAIN = 1 / 4
DEVIATIONS = 4
#: The time taken for usual before any answer came, in seconds (RFC 6298).
FIRST_SECONDS = 1.0


class UsualTime:
    """How long answers usually take to begin, in seconds."""

    def __init__(self):
        self._smoothed: float | None = None
        self._deviation = 0.0

    def note(self, seconds: float) -> None:
        """An answer began after so long."""
        if self._smoothed is None:
            self._smoothed, self._deviation = seconds, seconds / 2
            return
        self._deviation += DEVIATION_GAIN * (abs(seconds - self._smoothed) - self._deviation)
        self._smoothed += TIME_GAIN * (seconds - self._smoothed)

    @property
    def longest(self) -> float:
        """What is longer is unusual."""
        if self._smoothed is None:
            return FIRST_SECONDS
        return self._smoothed + DEVIATIONS * self._deviation


class Unanswered:
    """This box's calls whose answers have not begun, by engine."""

    def __init__(self, least_seconds: float):
        self._least_seconds = least_seconds
        self._sent_at: dict[str, list[float]] = {}
        self._usual: dict[str, UsualTime] = defaultdict(UsualTime)

    def sent(self, engine: str, now: float) -> None:
        """A call goes to `engine`."""
        self._sent_at.setdefault(engine, []).append(now)

    def ended(self, engine: str, sent_at: float) -> None:
        """The call that was sent then waits no more."""
        times = self._sent_at.get(engine, [])
        if sent_at in times:
            times.remove(sent_at)
        if not times:
            self._sent_at.pop(engine, None)

    def answered(self, engine: str, service: str, sent_at: float, now: float) -> None:
        """The answer to the call that was sent then begins.

        Calls that were sent before it and wait on do so for themselves: the engine answers.
        """
        self._usual[service].note(now - sent_at)
        self._sent_at[engine] = [at for at in self._sent_at.get(engine, []) if at > sent_at]
        self.ended(engine, sent_at)

    def silent(self, engine: str, service: str, now: float) -> bool:
        """Whether a call has waited there for an unusual time."""
        times = self._sent_at.get(engine)
        if not times:
            return False
        return now - times[0] > max(self._least_seconds, self._usual[service].longest)
