"""Consistent hashing with bounded loads, for calls and for tokens of work.

Take the first engine in the chat's rank order whose load, with this call,
stays within `admit_multiple` of the mean (Mirrokni, Thorup and Zadimoghaddam).
Work ends while other work runs, so the mean can fall after an admission;
`admit_multiple` is therefore tighter than the multiple that is promised.

At low load the bound is awkward, since one call may be several times the
mean.  An engine whose load stays within `floor_requests` and `floor_tokens`
is never over its bound, and where no engine is within it the least loaded
one that has a free slot is taken: only a full fleet refuses.
"""

import math
from collections.abc import Sequence
from dataclasses import dataclass

from seamhold_messages.work import Work


@dataclass(frozen=True, slots=True)
class BoundPolicy:
    """How far above the mean an engine may go when a call is admitted.

    `admit_multiple` is a ratio; the floors are in calls and in tokens.
    """

    admit_multiple: float = 1.25
    floor_requests: int = 1
    floor_tokens: int = 0


@dataclass(frozen=True, slots=True)
class Candidate:
    """One engine in rank order with its load as the box knows it."""

    name: str
    load: Work
    slots: int
    weight: float = 1.0


@dataclass(frozen=True, slots=True)
class Choice:
    """The engine taken, its rank, and whether any engine was in bound."""

    name: str
    rank: int
    in_bound: bool


def _limits(candidates: Sequence[Candidate], work: Work, policy: BoundPolicy):
    """Calls and tokens that an engine of weight one may carry."""
    weight = sum(engine.weight for engine in candidates)
    requests = sum(engine.load.requests for engine in candidates) + work.requests
    tokens = sum(engine.load.tokens for engine in candidates) + work.tokens
    calls = policy.admit_multiple * requests / weight
    return calls, policy.admit_multiple * tokens / weight


def _relative(engine: Candidate, calls: float, tokens: float) -> float:
    """How near the engine is to its bound, in the tighter of the two."""
    by_calls = engine.load.requests / (calls * engine.weight) if calls else 0.0
    by_tokens = engine.load.tokens / (tokens * engine.weight) if tokens else 0.0
    return max(by_calls, by_tokens)


def choose(
    candidates: Sequence[Candidate], work: Work, policy: BoundPolicy, hint: int | None = None
) -> Choice | None:
    """Pick an engine for `work`, or None when every slot is taken.

    `candidates` come in rank order.  `hint` is the rank that holds the
    chat's cache; it is tried first, and can only name one of them.
    """
    if not candidates:
        return None
    calls, tokens = _limits(candidates, work, policy)

    def fits(engine: Candidate) -> bool:
        after = engine.load + work
        if after.requests > engine.slots:
            return False
        calls_bound = max(math.ceil(calls * engine.weight), policy.floor_requests)
        tokens_bound = max(tokens * engine.weight, policy.floor_tokens, work.tokens)
        return after.requests <= calls_bound and after.tokens <= tokens_bound

    if hint is not None and 0 < hint < len(candidates) and fits(candidates[hint]):
        return Choice(candidates[hint].name, hint, True)
    for position, engine in enumerate(candidates):
        if fits(engine):
            return Choice(engine.name, position, True)
    free = [
        (_relative(engine, calls, tokens), position)
        for position, engine in enumerate(candidates)
        if engine.load.requests + work.requests <= engine.slots
    ]
    if not free:
        return None
    _, position = min(free)
    return Choice(candidates[position].name, position, False)
