"""One request under which engines ended: what is known of it, and how it stands."""

import math
from collections.abc import Mapping

from msgspec import Struct, field

from seamhold_messages.hashing import hash64

from .messages import Case, EndReport, EngineEnd

#: Engines that end under a request until it is a suspect: one may end by itself.
SUSPECT_ENDS = 2
#: Engines that end under a request, one of them while it ran alone, until it is refused.
QUARANTINE_ENDS = 3
#: How long a request is refused before it may run once more, alone; so many times longer
#: after each engine more that ends.  In seconds.
FIRST_REST_SECONDS = 600.0
REST_GROWTH = 6.0
REST_MAX_SECONDS = 86_400.0
#: What is known of a request is forgotten so long after its rest, in seconds.
MEMORY_SECONDS = 86_400.0
#: The store keeps a request under which fewer engines ended than make a suspect so long, in
#: seconds: such ends are many and mostly nobody's doing.
FIRST_END_KEPT_SECONDS = 600.0


class MetEnd(Struct):
    """An engine's end on the clock of this box."""

    at: float
    on_trial: bool


class CaseState(Struct):
    """What one box knows of one request.

    Ends and clears only grow, so that boxes agree whatever order they hear in.
    """

    request: str
    scope: int
    workspace: str
    ends: dict[int, MetEnd] = field(default_factory=dict)
    clears: int = 0
    cleared_at: float = -math.inf

    @classmethod
    def of(cls, told: Case | EndReport) -> 'CaseState':
        """A case of which nothing is known yet."""
        return cls(told.request, told.scope, told.workspace)

    def add(self, end: EngineEnd, now: float) -> bool:
        """An engine ended under it; False if that tells nothing new."""
        met = self.ends.get(end.engine)
        if met is None:
            self.ends[end.engine] = MetEnd(now - end.age, end.on_trial)
            return True
        if end.on_trial and not met.on_trial:
            met.on_trial = True
            return True
        return False

    def clear(self, now: float) -> None:
        """It ran to its end, or an operator lifted what was held against it."""
        self.clears += 1
        self.cleared_at = now

    def merge(self, told: Case, now: float) -> bool:
        """Take over what another box knows; False if that tells nothing new."""
        news = [self.add(end, now) for end in told.ends]
        if told.clears <= self.clears or told.cleared_age is None:
            return any(news)
        self.clears = told.clears
        self.cleared_at = max(self.cleared_at, now - told.cleared_age)
        return True

    def told(self, now: float) -> Case:
        """The case as it travels."""
        ends = (EngineEnd(key, met.on_trial, now - met.at) for key, met in self.ends.items())
        cleared_age = now - self.cleared_at if self.clears else None
        return Case(self.request, self.scope, self.workspace, tuple(ends), self.clears, cleared_age)

    def counted(self, explained: Mapping[int, int]) -> dict[int, MetEnd]:
        """The ends that count: since it was last cleared, and not `explained`.

        That tells, by engine, under how many engines' ends a proven request stands that
        ended it; one with more of them than this case explains the end.
        """
        return {
            key: met
            for key, met in self.ends.items()
            if met.at > self.cleared_at and explained.get(key, 0) <= len(self.ends)
        }

    @property
    def last_end(self) -> float:
        """When an engine last ended under it."""
        return max((met.at for met in self.ends.values()), default=-math.inf)

    @property
    def forgotten_at(self) -> float:
        """When nothing of it has to be known any more."""
        return self.last_end + known_for(len(self.ends))

    @property
    def fingerprint(self) -> int:
        """Tells apart what is known of it, the same at all boxes that know as much."""
        ends = ','.join(f'{key}:{met.on_trial:d}' for key, met in sorted(self.ends.items()))
        return hash64(f'{self.request};{ends};{self.clears}')


def is_over(told: Case) -> bool:
    """Whether the store need not keep a case any more, as it is told."""
    youngest = min((end.age for end in told.ends), default=math.inf)
    if len(told.ends) < SUSPECT_ENDS:
        return youngest >= FIRST_END_KEPT_SECONDS
    return youngest >= known_for(len(told.ends))


def known_for(ends: int) -> float:
    """How long after so many engines' ends a request is remembered, in seconds."""
    return rest_after(ends) + MEMORY_SECONDS


def rest_after(ends: int) -> float:
    """How long a request is refused after so many engines ended under it, in seconds."""
    if ends < QUARANTINE_ENDS:
        return 0.0
    # Bounded before the power: a float has its largest, too.
    grown = min(ends - QUARANTINE_ENDS, 8)
    return min(REST_MAX_SECONDS, FIRST_REST_SECONDS * REST_GROWTH**grown)
