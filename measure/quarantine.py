"""Ways to tell a request that ends engines from those that only run beside it.

One rig for all: engines that serve calls, some of which are made alike by many and most of
which are asked once; a request that ends each engine that runs it; and engines that end by
themselves, five at one moment.  An engine that ends takes all its calls with it and is back
later.  Boxes hear of ends late.  `python -m measure quarantine`.
"""

import heapq
import math
import random
from collections import Counter, deque
from collections.abc import Callable
from itertools import count
from typing import Protocol

from msgspec import Struct, field

from seamhold_quarantine import (
    Case,
    EndReport,
    EngineEnd,
    Quarantine,
    RecentRuns,
    RequestIdentity,
    Standing,
    TrialRequest,
    TrialResult,
    Verdict,
)

ENGINES = 18
BOXES = 8
CALLS_PER_SECOND = 60.0
CALL_SECONDS = 0.8
#: The share of calls that many make alike, and of how many sorts these are.
ALIKE_SHARE = 0.2
ALIKE_SORTS = 3
COPY_GAP_SECONDS = 0.3
DEADLY_SECONDS = 0.08
BACK_SECONDS = 4.0
#: How late boxes hear of what another met.
HEARD_SECONDS = 0.15
DOMAIN_GAP_SECONDS = 15.0
DOMAIN_ENGINES = 5
PLAYED_SECONDS = 60.0
DEADLY = 'deadly'


class Way(Protocol):
    """Decides whether a request may run; `here` is the box that has the call."""

    def verdict(self, request: str, run: str, here: int, now: float) -> Verdict:
        """Whether it may run."""

    def ended(self, request: str, run: str, engine: int, here: int, now: float) -> None:
        """Engine start `engine` ended under it."""

    def ended_well(self, request: str, run: str, here: int, now: float) -> None:
        """Its engine answered it."""


class Nothing:
    """Nothing joins one copy with the next."""

    def verdict(self, request: str, run: str, here: int, now: float) -> Verdict:
        """All run."""
        return Verdict.RUN

    def ended(self, request: str, run: str, engine: int, here: int, now: float) -> None:
        """Nothing is noted."""

    def ended_well(self, request: str, run: str, here: int, now: float) -> None:
        """Nothing is noted."""


class Heard(Struct, frozen=True):
    """An engine's end, and the box that met it."""

    at: float
    box: int


class Counting:
    """Refused once engines ended under it three times, cleared by a good end."""

    ENDS = 3

    def __init__(self):
        self.ends: dict[str, list[Heard]] = {}

    def heard(self, request: str, here: int, now: float) -> int:
        """The ends that a box has met or heard of."""
        return sum(
            end.box == here or end.at + HEARD_SECONDS <= now for end in self.ends.get(request, ())
        )

    def verdict(self, request: str, run: str, here: int, now: float) -> Verdict:
        """Refused after some ends that the box has heard of."""
        refused = self.heard(request, here, now) >= self.ENDS
        return Verdict.REFUSE if refused else Verdict.RUN

    def ended(self, request: str, run: str, engine: int, here: int, now: float) -> None:
        """One end more."""
        self.ends.setdefault(request, []).append(Heard(now, here))

    def ended_well(self, request: str, run: str, here: int, now: float) -> None:
        """It may be any request."""
        self.ends.pop(request, None)


class Likelihood(Counting):
    """Refused once its ends are far likelier its own doing than the engines'.

    Under the one guess each run ends its engine; under the other as many do as engines have
    ended lately.  A good end halves what is held against it.
    """

    BITS = 20.0
    WINDOW_SECONDS = 10.0

    def __init__(self):
        super().__init__()
        self._all: deque[float] = deque()
        self._engines: set[int] = set()
        self._good: Counter[str] = Counter()

    def verdict(self, request: str, run: str, here: int, now: float) -> Verdict:
        """Weigh what the box has heard of."""
        heard = self.heard(request, here, now)
        while self._all and self._all[0] < now - self.WINDOW_SECONDS:
            self._all.popleft()
        rate = max(1, len(self._all)) / self.WINDOW_SECONDS / ENGINES
        bits = heard * math.log2(1 / min(0.9, rate * CALL_SECONDS)) - self._good[request]
        return Verdict.REFUSE if bits >= self.BITS else Verdict.RUN

    def ended(self, request: str, run: str, engine: int, here: int, now: float) -> None:
        """One end more."""
        super().ended(request, run, engine, here, now)
        if engine not in self._engines:
            self._engines.add(engine)
            self._all.append(now)

    def ended_well(self, request: str, run: str, here: int, now: float) -> None:
        """Counted against its guilt."""
        self._good[request] += request in self.ends


class News(Struct, frozen=True):
    """What the box that joins all knew, for one box to hear at a time."""

    at: float
    box: int
    cases: tuple[Case, ...]


class TrialAlone:
    """The packages' own: after two ends it runs alone, an end then is proof.

    The first box joins what all met; who tells it of an end is told what it knows.
    """

    def __init__(self):
        self._boxes = [Quarantine() for _ in range(BOXES)]
        self._recent = [RecentRuns() for _ in range(BOXES)]
        self._alone: set[str] = set()
        self._news: deque[News] = deque()

    def verdict(self, request: str, run: str, here: int, now: float) -> Verdict:
        """What the box knows, and what the one that joins it says."""
        while self._news and self._news[0].at <= now:
            news = self._news.popleft()
            self._boxes[news.box].merge(news.cases, now)
        standing = self._boxes[here].standing(request, now)
        if standing is Standing.CLEAR:
            return Verdict.RUN
        if standing is Standing.QUARANTINED:
            return Verdict.REFUSE
        verdict = (
            self._boxes[0].request_trial(TrialRequest(request, run, CALL_SECONDS), now).verdict
        )
        if verdict is Verdict.RUN_ALONE:
            self._alone.add(run)
        return verdict

    def ended(self, request: str, run: str, engine: int, here: int, now: float) -> None:
        """Told to the box that joins it."""
        on_trial = run in self._alone
        if not on_trial and self._recent[here].excuses(_identity(request), now):
            return
        report = EndReport(request, 1, '', EngineEnd(engine, on_trial))
        self._boxes[here].record_end(report, now)
        self._boxes[0].record_end(report, now)
        self._boxes[0].record_trial_result(TrialResult(request, run, False), now)
        self._boxes[here].merge(self._boxes[0].shared_cases(now), now)
        self._tell(now)

    def ended_well(self, request: str, run: str, here: int, now: float) -> None:
        """One that ran alone is cleared."""
        self._recent[here].record_success(_identity(request), now)
        if self._boxes[here].standing(request, now) is Standing.SUSPECT:
            self._boxes[0].record_trial_result(TrialResult(request, run, True), now)
            self._boxes[here].merge(self._boxes[0].shared_cases(now), now)
            self._tell(now)

    def _tell(self, now: float) -> None:
        cases = self._boxes[0].shared_cases(now)
        self._news += [News(now + HEARD_SECONDS, box, cases) for box in range(1, BOXES)]


def _identity(request: str) -> RequestIdentity:
    return RequestIdentity('', '', '', request, b'')


class Call(Struct):
    """A call; `left` is how often it may still be tried."""

    request: str
    run: str
    box: int
    seconds: float
    left: int
    engine: int = -1
    start: int = -1


class Met(Struct):
    """What came of a run."""

    ended: int = 0
    calls: int = 0
    lost: int = 0
    refused: int = 0
    alike_refused: int = 0


class Rig(Struct):
    """Engines, calls and what happens next."""

    way: Way
    chance: random.Random
    copies: bool
    ends: bool
    met: Met = field(default_factory=Met)
    events: list = field(default_factory=list)
    order: count = field(default_factory=count)
    starts: list = field(default_factory=lambda: list(range(ENGINES)))
    up: set = field(default_factory=lambda: set(range(ENGINES)))
    held: dict = field(default_factory=lambda: {engine: [] for engine in range(ENGINES)})

    def at(self, when: float, what: Callable[[float], None]) -> None:
        """Something happens at a time."""
        heapq.heappush(self.events, (when, next(self.order), what))

    def play(self) -> Met:
        """All of it."""
        self.at(0.0, self._next_call)
        if self.copies:
            self.at(5.0, self._next_copy)
        if self.ends:
            self.at(3.0, self._lose_domain)
        while self.events and self.events[0][0] < PLAYED_SECONDS:
            when, _, what = heapq.heappop(self.events)
            what(when)
        return self.met

    def _next_call(self, now: float) -> None:
        number = next(self.order)
        alike = self.chance.random() < ALIKE_SHARE
        request = f'alike-{number % ALIKE_SORTS}' if alike else f'own-{number}'
        seconds = self.chance.expovariate(1 / CALL_SECONDS)
        self.met.calls += 1
        self._begin(self._call(request, seconds, 2), now)
        self.at(now + self.chance.expovariate(CALLS_PER_SECOND), self._next_call)

    def _next_copy(self, now: float) -> None:
        self._begin(self._call(DEADLY, DEADLY_SECONDS, 2), now)
        self.at(now + self.chance.expovariate(1 / COPY_GAP_SECONDS), self._next_copy)

    def _call(self, request: str, seconds: float, tries: int) -> Call:
        run = f'run-{next(self.order)}'
        return Call(request, run, self.chance.randrange(BOXES), seconds, tries)

    def _begin(self, call: Call, now: float, waited: float = 0.0) -> None:
        verdict = self.way.verdict(call.request, call.run, call.box, now)
        if verdict is Verdict.WAIT and waited < 1.0:
            self.at(now + 0.05, lambda when: self._begin(call, when, waited + 0.05))
            return
        if verdict in (Verdict.REFUSE, Verdict.WAIT) or not self.up:
            self._count_refused(call)
            return
        call.engine = self.chance.choice(sorted(self.up))
        call.start = self.starts[call.engine]
        call.left -= 1
        self.held[call.engine].append(call)
        self.at(now + call.seconds, lambda when: self._over(call, when))

    def _count_refused(self, call: Call) -> None:
        self.met.refused += call.request.startswith('own')
        self.met.alike_refused += call.request.startswith('alike')

    def _over(self, call: Call, now: float) -> None:
        if call not in self.held[call.engine] or self.starts[call.engine] != call.start:
            return
        if call.request == DEADLY:
            self.met.ended += 1
            self._end(call.engine, now)
            return
        self.held[call.engine].remove(call)
        self.way.ended_well(call.request, call.run, call.box, now)

    def _lose_domain(self, now: float) -> None:
        for engine in self.chance.sample(sorted(self.up), min(DOMAIN_ENGINES, len(self.up))):
            self._end(engine, now)
        self.at(now + DOMAIN_GAP_SECONDS, self._lose_domain)

    def _end(self, engine: int, now: float) -> None:
        start, calls = self.starts[engine], self.held[engine]
        self.up.discard(engine)
        self.held[engine] = []
        self.starts[engine] = next(self.order) + ENGINES
        self.at(now + BACK_SECONDS, lambda _: self.up.add(engine))
        for call in calls:
            self.way.ended(call.request, call.run, start, call.box, now)
        for call in calls:
            if not call.left:
                self.met.lost += call.request != DEADLY
                continue
            verdict = self.way.verdict(call.request, call.run, call.box, now)
            # No box tries again by itself what may be the cause.
            if verdict is Verdict.RUN:
                self._begin(call, now)
            else:
                self.met.lost += call.request != DEADLY


WAYS = {
    'nothing': Nothing,
    'counting to three': Counting,
    'likelihood': Likelihood,
    'trial alone (chosen)': TrialAlone,
}
SEEDS = 20


def lines() -> list[str]:
    """A line for each way and sort of trouble, over some seeds."""
    found = ['way | trouble | ended by it: most, mean | refused: own, alike | lost, of calls']
    for name, way in WAYS.items():
        for trouble, copies, ends in (('copies', 1, 0), ('domains end', 0, 1), ('both', 1, 1)):
            met = [
                Rig(way(), random.Random(seed), bool(copies), bool(ends)).play()
                for seed in range(SEEDS)
            ]
            ended = [one.ended for one in met]
            refused = sum(one.refused for one in met)
            alike = sum(one.alike_refused for one in met)
            lost, calls = sum(one.lost for one in met), sum(one.calls for one in met)
            mean = sum(ended) / SEEDS
            found.append(
                f'{name} | {trouble} | {max(ended)}, {mean:.1f} | {refused}, {alike} '
                f'| {lost} of {calls}'
            )
    return found


def measure() -> None:
    """Print them."""
    print('\n'.join(lines()))
