"""One request or prompt part under which engines ended: the ends on record and refusal times."""

import math
from collections.abc import Mapping

from msgspec import Struct, field

from seamhold_messages.hashing import hash64

from .messages import Case, EndReport, EngineEnd

#: Engine ends that make a request a suspect; a single engine may end for another reason.
SUSPECT_ENDS = 2
#: Engine ends, at least one of them in a run on trial, that make a request quarantined.
QUARANTINE_ENDS = 3
#: How long a quarantined request is refused before it may run alone once more.  Each further
#: engine end multiplies the time by `REST_GROWTH`, up to the maximum.
FIRST_REST_SECONDS = 600.0
REST_GROWTH = 6.0
REST_MAX_SECONDS = 86_400.0
#: How long a request is remembered after its refusal time.
MEMORY_SECONDS = 86_400.0
#: How long the store keeps a request that has too few ends for a suspect.  Such ends are many,
#: and the request is mostly not the cause.
FIRST_END_STORED_SECONDS = 600.0


class ObservedEnd(Struct):
    """An engine's end, in seconds on this box's clock."""

    at: float
    on_trial: bool
    partners: frozenset[str] = frozenset()


class CaseState(Struct):
    """What one box knows of one request.

    Ends and clears are only ever added, so that boxes converge whatever the order of messages.
    """

    request: str
    scope: int
    workspace: str
    ends: dict[int, ObservedEnd] = field(default_factory=dict)
    clears: int = 0
    cleared_at: float = -math.inf
    part: str = ''

    @classmethod
    def of(cls, message: Case | EndReport) -> 'CaseState':
        """Create a state without ends for the request of `message`."""
        return cls(message.request, message.scope, message.workspace, part=message.part)

    def add(self, end: EngineEnd, now: float) -> bool:
        """Add an engine's end; False if it adds nothing new."""
        observed = self.ends.get(end.engine)
        if observed is None:
            self.ends[end.engine] = ObservedEnd(now - end.age, end.on_trial, end.partners)
            return True
        if not end.on_trial:
            return False
        # The smaller set says more; of two runs on trial, both had what they have in common.
        partners = observed.partners & end.partners if observed.on_trial else end.partners
        if observed.on_trial and partners == observed.partners:
            return False
        observed.on_trial, observed.partners = True, partners
        return True

    def clear(self, now: float) -> None:
        """Record that the request ran successfully or that an operator lifted the case."""
        self.clears += 1
        self.cleared_at = now

    def merge(self, case: Case, now: float) -> bool:
        """Merge what another box knows; False if it adds nothing new."""
        changes = [self.add(end, now) for end in case.ends]
        if case.clears <= self.clears or case.cleared_age is None:
            return any(changes)
        self.clears = case.clears
        self.cleared_at = max(self.cleared_at, now - case.cleared_age)
        return True

    def to_case(self, now: float) -> Case:
        """Return the case as boxes send it, with ages instead of times."""
        ends = (
            EngineEnd(key, end.on_trial, now - end.at, end.partners)
            for key, end in self.ends.items()
        )
        cleared_age = now - self.cleared_at if self.clears else None
        return Case(
            self.request,
            self.scope,
            self.workspace,
            tuple(ends),
            self.clears,
            cleared_age,
            self.part,
        )

    def counted_ends(self, explained: Mapping[int, int]) -> dict[int, ObservedEnd]:
        """Return the ends since the last clear that are not `explained` by another request.

        `explained` holds, by engine, the number of ends of the proven request that ended it; a
        request with more ends than this case explains the engine's end.
        """
        return {
            key: end
            for key, end in self.ends.items()
            if end.at > self.cleared_at and explained.get(key, 0) <= len(self.ends)
        }

    @property
    def last_end(self) -> float:
        """When an engine last ended under the request."""
        return max((end.at for end in self.ends.values()), default=-math.inf)

    @property
    def forgotten_at(self) -> float:
        """When the case may be dropped."""
        return self.last_end + memory_seconds_after(len(self.ends))

    @property
    def fingerprint(self) -> int:
        """A hash of the ends and clears, equal on all boxes that know the same."""
        ends = ','.join(
            f'{key}:{end.on_trial:d}{sorted(end.partners)}'
            for key, end in sorted(self.ends.items())
        )
        return hash64(f'{self.request};{ends};{self.clears}')


def is_expired(case: Case) -> bool:
    """Return whether the store may drop a case."""
    youngest = min((end.age for end in case.ends), default=math.inf)
    if len(case.ends) < SUSPECT_ENDS:
        return youngest >= FIRST_END_STORED_SECONDS
    return youngest >= memory_seconds_after(len(case.ends))


def memory_seconds_after(ends: int) -> float:
    """Return how long after the last of `ends` engine ends a request is remembered."""
    return rest_seconds_after(ends) + MEMORY_SECONDS


def rest_seconds_after(ends: int) -> float:
    """Return how long a request is refused after the last of `ends` engine ends."""
    if ends < QUARANTINE_ENDS:
        return 0.0
    # Bounded before the power, which would overflow a float.
    exponent = min(ends - QUARANTINE_ENDS, 8)
    return min(REST_MAX_SECONDS, FIRST_REST_SECONDS * REST_GROWTH**exponent)
