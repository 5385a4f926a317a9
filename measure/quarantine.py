"""Compares ways to detect a request that ends engines among those that run beside it.

All policies run in the same simulation: engines serve calls, a few of them identical requests
that are made often and most of them unique; one request ends every engine that runs it; and
engines fail by themselves, five at a time.  An engine that ends takes its calls with it and
restarts later.  Boxes receive reports of ends with a delay.  `python -m measure quarantine`.
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
#: The fraction of calls that repeat a request, and the number of such requests.
REPEATED_SHARE = 0.2
REPEATED_REQUESTS = 3
COPY_GAP_SECONDS = 0.3
DEADLY_SECONDS = 0.08
RESTART_SECONDS = 4.0
#: The delay until a box receives another box's report.
REPORT_DELAY_SECONDS = 0.15
DOMAIN_GAP_SECONDS = 15.0
DOMAIN_ENGINES = 5
SIMULATED_SECONDS = 60.0
DEADLY = 'deadly'


class QuarantinePolicy(Protocol):
    """Decides whether a request may run; `box` is the box that has the call."""

    def verdict(self, request: str, run: str, box: int, now: float) -> Verdict:
        """Return whether the request may run."""

    def ended(self, request: str, run: str, engine: int, box: int, now: float) -> None:
        """Record that an engine ended under the request; `engine` identifies the engine's start."""

    def ended_well(self, request: str, run: str, box: int, now: float) -> None:
        """Record that an engine answered the request."""


class NoQuarantine:
    """The baseline without a quarantine."""

    def verdict(self, request: str, run: str, box: int, now: float) -> Verdict:
        """Allow every request."""
        return Verdict.RUN

    def ended(self, request: str, run: str, engine: int, box: int, now: float) -> None:
        """Ignore the event."""

    def ended_well(self, request: str, run: str, box: int, now: float) -> None:
        """Ignore the event."""


class ObservedEnd(Struct, frozen=True):
    """An engine's end and the box that observed it."""

    at: float
    box: int


class EndCounting:
    """Refuses a request after three engine ends under it; a success clears it."""

    ENDS = 3

    def __init__(self):
        self.ends: dict[str, list[ObservedEnd]] = {}

    def count_known_ends(self, request: str, box: int, now: float) -> int:
        """Return the number of ends that a box has observed or received."""
        return sum(
            end.box == box or end.at + REPORT_DELAY_SECONDS <= now
            for end in self.ends.get(request, ())
        )

    def verdict(self, request: str, run: str, box: int, now: float) -> Verdict:
        """Refuse the request once the box knows of ENDS ends."""
        refused = self.count_known_ends(request, box, now) >= self.ENDS
        return Verdict.REFUSE if refused else Verdict.RUN

    def ended(self, request: str, run: str, engine: int, box: int, now: float) -> None:
        """Record one more end."""
        self.ends.setdefault(request, []).append(ObservedEnd(now, box))

    def ended_well(self, request: str, run: str, box: int, now: float) -> None:
        """Clear the request."""
        self.ends.pop(request, None)


class Likelihood(EndCounting):
    """Refuses a request once its ends are far likelier under the hypothesis that it causes them.

    Under that hypothesis each run ends its engine; under the other, runs see ends at the rate
    at which engines ended recently.  A success halves the likelihood ratio.
    """

    BITS = 20.0
    WINDOW_SECONDS = 10.0

    def __init__(self):
        super().__init__()
        self._recent_ends: deque[float] = deque()
        self._engines: set[int] = set()
        self._good_ends: Counter[str] = Counter()

    def verdict(self, request: str, run: str, box: int, now: float) -> Verdict:
        """Refuse the request once the log-likelihood ratio reaches BITS."""
        known_ends = self.count_known_ends(request, box, now)
        while self._recent_ends and self._recent_ends[0] < now - self.WINDOW_SECONDS:
            self._recent_ends.popleft()
        rate = max(1, len(self._recent_ends)) / self.WINDOW_SECONDS / ENGINES
        bits = known_ends * math.log2(1 / min(0.9, rate * CALL_SECONDS)) - self._good_ends[request]
        return Verdict.REFUSE if bits >= self.BITS else Verdict.RUN

    def ended(self, request: str, run: str, engine: int, box: int, now: float) -> None:
        """Record one more end."""
        super().ended(request, run, engine, box, now)
        if engine not in self._engines:
            self._engines.add(engine)
            self._recent_ends.append(now)

    def ended_well(self, request: str, run: str, box: int, now: float) -> None:
        """Count a success in the request's favour."""
        self._good_ends[request] += request in self.ends


class CaseUpdate(Struct, frozen=True):
    """The merged cases, which one box receives at time `at`."""

    at: float
    box: int
    cases: tuple[Case, ...]


class TrialAlone:
    """The packages' own policy: after two ends a request runs alone; an end then is proof.

    The first box merges all reports; a box that reports an end receives the cases in reply.
    """

    def __init__(self):
        self._boxes = [Quarantine() for _ in range(BOXES)]
        self._recent = [RecentRuns() for _ in range(BOXES)]
        self._alone: set[str] = set()
        self._updates: deque[CaseUpdate] = deque()

    def verdict(self, request: str, run: str, box: int, now: float) -> Verdict:
        """Decide by the box's own cases; a suspect request needs a trial from the first box."""
        while self._updates and self._updates[0].at <= now:
            update = self._updates.popleft()
            self._boxes[update.box].merge(update.cases, now)
        standing = self._boxes[box].standing(request, now)
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

    def ended(self, request: str, run: str, engine: int, box: int, now: float) -> None:
        """Report the end to the first box unless recent successes excuse it."""
        on_trial = run in self._alone
        if not on_trial and self._recent[box].excuses(_identity(request), now):
            return
        report = EndReport(request, 1, '', EngineEnd(engine, on_trial))
        self._boxes[box].record_end(report, now)
        self._boxes[0].record_end(report, now)
        self._boxes[0].record_trial_result(TrialResult(request, run, False), now)
        self._boxes[box].merge(self._boxes[0].shared_cases(now), now)
        self._broadcast(now)

    def ended_well(self, request: str, run: str, box: int, now: float) -> None:
        """Report the success; a suspect request that ran alone is cleared."""
        self._recent[box].record_success(_identity(request), now)
        if self._boxes[box].standing(request, now) is Standing.SUSPECT:
            self._boxes[0].record_trial_result(TrialResult(request, run, True), now)
            self._boxes[box].merge(self._boxes[0].shared_cases(now), now)
            self._broadcast(now)

    def _broadcast(self, now: float) -> None:
        cases = self._boxes[0].shared_cases(now)
        self._updates += [
            CaseUpdate(now + REPORT_DELAY_SECONDS, box, cases) for box in range(1, BOXES)
        ]


def _identity(request: str) -> RequestIdentity:
    return RequestIdentity('', '', '', request, b'')


class Call(Struct):
    """A call; `attempts_left` is the number of attempts that remain."""

    request: str
    run: str
    box: int
    seconds: float
    attempts_left: int
    engine: int = -1
    start: int = -1


class Counts(Struct):
    """The results of one simulation."""

    ended: int = 0
    calls: int = 0
    lost: int = 0
    refused: int = 0
    repeated_refused: int = 0


class Simulation(Struct):
    """An event queue with engines and calls."""

    policy: QuarantinePolicy
    rng: random.Random
    copies: bool
    ends: bool
    counts: Counts = field(default_factory=Counts)
    events: list = field(default_factory=list)
    order: count = field(default_factory=count)
    starts: list = field(default_factory=lambda: list(range(ENGINES)))
    running_engines: set = field(default_factory=lambda: set(range(ENGINES)))
    held: dict = field(default_factory=lambda: {engine: [] for engine in range(ENGINES)})

    def at(self, when: float, action: Callable[[float], None]) -> None:
        """Schedule an action for a time."""
        heapq.heappush(self.events, (when, next(self.order), action))

    def run(self) -> Counts:
        """Run the simulation to its end."""
        self.at(0.0, self._next_call)
        if self.copies:
            self.at(5.0, self._next_copy)
        if self.ends:
            self.at(3.0, self._fail_domain)
        while self.events and self.events[0][0] < SIMULATED_SECONDS:
            when, _, action = heapq.heappop(self.events)
            action(when)
        return self.counts

    def _next_call(self, now: float) -> None:
        number = next(self.order)
        is_repeated = self.rng.random() < REPEATED_SHARE
        request = f'alike-{number % REPEATED_REQUESTS}' if is_repeated else f'own-{number}'
        seconds = self.rng.expovariate(1 / CALL_SECONDS)
        self.counts.calls += 1
        self._start_call(self._call(request, seconds, 2), now)
        self.at(now + self.rng.expovariate(CALLS_PER_SECOND), self._next_call)

    def _next_copy(self, now: float) -> None:
        self._start_call(self._call(DEADLY, DEADLY_SECONDS, 2), now)
        self.at(now + self.rng.expovariate(1 / COPY_GAP_SECONDS), self._next_copy)

    def _call(self, request: str, seconds: float, attempts: int) -> Call:
        run = f'run-{next(self.order)}'
        return Call(request, run, self.rng.randrange(BOXES), seconds, attempts)

    def _start_call(self, call: Call, now: float, waited: float = 0.0) -> None:
        verdict = self.policy.verdict(call.request, call.run, call.box, now)
        if verdict is Verdict.WAIT and waited < 1.0:
            self.at(now + 0.05, lambda when: self._start_call(call, when, waited + 0.05))
            return
        if verdict in (Verdict.REFUSE, Verdict.WAIT) or not self.running_engines:
            self._count_refused(call)
            return
        call.engine = self.rng.choice(sorted(self.running_engines))
        call.start = self.starts[call.engine]
        call.attempts_left -= 1
        self.held[call.engine].append(call)
        self.at(now + call.seconds, lambda when: self._end_call(call, when))

    def _count_refused(self, call: Call) -> None:
        self.counts.refused += call.request.startswith('own')
        self.counts.repeated_refused += call.request.startswith('alike')

    def _end_call(self, call: Call, now: float) -> None:
        if call not in self.held[call.engine] or self.starts[call.engine] != call.start:
            return
        if call.request == DEADLY:
            self.counts.ended += 1
            self._end_engine(call.engine, now)
            return
        self.held[call.engine].remove(call)
        self.policy.ended_well(call.request, call.run, call.box, now)

    def _fail_domain(self, now: float) -> None:
        for engine in self.rng.sample(
            sorted(self.running_engines), min(DOMAIN_ENGINES, len(self.running_engines))
        ):
            self._end_engine(engine, now)
        self.at(now + DOMAIN_GAP_SECONDS, self._fail_domain)

    def _end_engine(self, engine: int, now: float) -> None:
        start, calls = self.starts[engine], self.held[engine]
        self.running_engines.discard(engine)
        self.held[engine] = []
        self.starts[engine] = next(self.order) + ENGINES
        self.at(now + RESTART_SECONDS, lambda _: self.running_engines.add(engine))
        for call in calls:
            self.policy.ended(call.request, call.run, start, call.box, now)
        for call in calls:
            if not call.attempts_left:
                self.counts.lost += call.request != DEADLY
                continue
            verdict = self.policy.verdict(call.request, call.run, call.box, now)
            # A box does not retry a request that may have ended the engine.
            if verdict is Verdict.RUN:
                self._start_call(call, now)
            else:
                self.counts.lost += call.request != DEADLY


POLICIES = {
    'nothing': NoQuarantine,
    'counting to three': EndCounting,
    'likelihood': Likelihood,
    'trial alone (chosen)': TrialAlone,
}
SEEDS = 20


def format_rows() -> list[str]:
    """Return a line for each policy and kind of fault, summed over SEEDS seeds."""
    found = ['way | trouble | ended by it: most, mean | refused: own, alike | lost, of calls']
    for name, policy in POLICIES.items():
        for fault, copies, ends in (('copies', 1, 0), ('domains end', 0, 1), ('both', 1, 1)):
            results = [
                Simulation(policy(), random.Random(seed), bool(copies), bool(ends)).run()
                for seed in range(SEEDS)
            ]
            ended = [result.ended for result in results]
            refused = sum(result.refused for result in results)
            repeated_refused = sum(result.repeated_refused for result in results)
            lost, calls = (
                sum(result.lost for result in results),
                sum(result.calls for result in results),
            )
            mean = sum(ended) / SEEDS
            found.append(
                f'{name} | {fault} | {max(ended)}, {mean:.1f} | {refused}, {repeated_refused} '
                f'| {lost} of {calls}'
            )
    return found


def measure() -> None:
    """Print the comparison."""
    print('\n'.join(format_rows()))
