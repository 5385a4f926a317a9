"""Consistent hashing with bounded loads, for calls and for tokens of work.

Take the first engine in the chat's rank order whose load, with this call,
stays within `admit_multiple` of the mean (Mirrokni, Thorup and Zadimoghaddam).
Work ends while other work runs, so the mean can fall after an admission;
`admit_multiple` is therefore tighter than the multiple that is promised.

At low load the bound is awkward, since one call may be several times the
mean.  So both bounds are rounded up to whole calls, an engine whose load
stays within `floor_requests` and `floor_tokens` is never over its bound, and
where no engine is within it the least loaded one that has a free slot is
taken: only a full fleet refuses.

Boxes that decide beside each other divide the last part of an engine's bound by the calls
that each has in the service.
"""

import math
import random
from collections.abc import Callable, Collection, Iterator, Sequence

from msgspec import Struct

from seamhold_messages.work import NO_WORK, Work

#: What a call to another failure domain costs, in calls of load: what is known
#: of the load is not exact to less.
FAR_CALLS = 1
#: The last part of an engine's bound, which boxes divide between them.
DIVIDED_PART = 0.2
#: However many engines are up and get no work, the bound is not below this multiple of the
#: mean of those that may get work, which has to go to these.
LEAST_MULTIPLE = 1.1


class BoundPolicy(Struct, frozen=True):
    """How far above the mean an engine may go when a call is admitted.

    `admit_multiple` is a ratio; the floors are in calls and in tokens.
    """

    admit_multiple: float = 1.25
    floor_requests: int = 1
    floor_tokens: int = 0


class Candidate(Struct, frozen=True):
    """One engine with its load as the box knows it.

    `untold` is what other boxes may have sent there since: it counts for the bound, and
    not for the slots, or an engine would look full of calls that nobody saw.  `holds`
    tells that it has read what the call shares, `near` that it is in the box's failure
    domain, `own` how many calls this box has there.
    """

    name: str
    load: Work
    slots: int
    weight: float = 1.0
    holds: bool = False
    near: bool = False
    untold: Work = NO_WORK
    own: int = 0

    @property
    def expected(self) -> Work:
        """All work that may be there now."""
        return self.load + self.untold


class Totals(Struct, frozen=True):
    """Sums over the engines of a service that may get work, and over those that are up and
    get none: they leave, or are avoided since calls failed there.

    `own` are this box's calls on engines that may get work.
    """

    weight: float
    load: Work
    idle_weight: float = 0.0
    idle_load: Work = NO_WORK
    own: int = 0


class Choice(Struct, frozen=True):
    """The engine taken, its rank, and whether any engine was in bound."""

    name: str
    rank: int
    in_bound: bool


#: Picks one of the candidates, which come in rank order, or none.
Chooser = Callable[[Sequence[Candidate], Totals, Work, BoundPolicy, int | None], Choice | None]


class _Bound(Struct, frozen=True):
    """What an engine of weight one may carry; the floors as they are.

    `own_share` is this box's part of all calls of the service.
    """

    calls: float
    tokens: float
    policy: BoundPolicy
    own_share: float

    def fits(self, engine: Candidate, work: Work) -> bool:
        """Whether the engine stays within its bound and slots with `work`."""
        if engine.load.requests + work.requests > engine.slots:
            return False
        after = engine.expected + work
        calls = self.calls * engine.weight
        calls_bound = max(math.ceil(calls), self.policy.floor_requests)
        # Tokens are rounded up like calls, or whole calls would not fit.
        tokens = self.tokens * engine.weight * calls_bound / calls
        tokens_bound = max(tokens, self.policy.floor_tokens, work.tokens)
        if after.requests > calls_bound or after.tokens > tokens_bound:
            return False
        return after.requests <= (1 - DIVIDED_PART) * calls or self._is_own_part(engine, work)

    def _is_own_part(self, engine: Candidate, work: Work) -> bool:
        """Whether this box stays within its part of the engine's bound.

        Near the bound what boxes know is late by more calls than are left, and all of them
        would take the same room.  Its own calls each box knows at once: where none has more
        than its part there, all together have no more than the bound.
        """
        part = round(self.calls * engine.weight * self.own_share)
        return engine.own + work.requests <= max(part, self.policy.floor_requests)

    def nearness(self, engine: Candidate) -> float:
        """How near the engine is to its bound, in the tighter of the two."""
        load = engine.expected
        by_calls = load.requests / (self.calls * engine.weight) if self.calls else 0.0
        by_tokens = load.tokens / (self.tokens * engine.weight) if self.tokens else 0.0
        return max(by_calls, by_tokens)


def _bound(totals: Totals, work: Work, policy: BoundPolicy) -> _Bound:
    """What an engine may carry with `work`, of the mean that is promised.

    The promise counts engines that leave until they are gone, and those that are avoided
    while they live.  They empty, so the mean of
    all falls below that of those that may get work, and a bound taken of these is above
    what is promised.  Up to 5 of 14 engines leave at once, 118 calls a second: 64 of
    597 calls above in five seconds, 14 so (routers alone, one seed).
    """
    after = totals.load + work
    calls = _per_weight(after.requests, totals, totals.idle_load.requests, policy)
    tokens = _per_weight(after.tokens, totals, totals.idle_load.tokens, policy)
    own_share = min(1.0, (totals.own + work.requests) / after.requests)
    return _Bound(calls, tokens, policy, own_share)


def _per_weight(load: float, totals: Totals, idle: float, policy: BoundPolicy) -> float:
    """The bound for a weight of one; `load` is on engines that may get work."""
    mean = load / totals.weight
    mean_of_all = (load + idle) / (totals.weight + totals.idle_weight)
    least = min(policy.admit_multiple, LEAST_MULTIPLE)
    return max(policy.admit_multiple * min(mean, mean_of_all), least * mean)


def choose(
    candidates: Sequence[Candidate],
    totals: Totals,
    work: Work,
    policy: BoundPolicy,
    hint: int | None = None,
    chance: random.Random | None = None,
) -> Choice | None:
    """Pick an engine for `work`, or None when every slot is taken.

    `candidates` come in rank order, those that hold the chat first, and may be worked
    out as they are read.  `hint` is the rank that holds the chat's cache; it is tried
    first, and can only name one of them.  Of engines that are as good `chance` draws
    one, without it the first is taken.
    """
    if not candidates:
        return None
    bound = _bound(totals, work, policy)
    if hint is not None and 0 <= hint < len(candidates):
        hinted = candidates[hint]
        if bound.fits(hinted, work):
            return Choice(hinted.name, hint, True)
    equals = list(_equals(candidates, bound, work, chance is not None))
    if equals:
        return chance.choice(equals) if chance else equals[0]
    return _least_loaded(candidates, work, bound)


def _equals(
    candidates: Sequence[Candidate], bound: _Bound, work: Work, all_of_them: bool
) -> Iterator[Choice]:
    """The first engine with room, and if it holds the chat the others as near that do.

    Boxes that all take the first holder fill it together before any of them knows; of a
    prompt that many callers ask for at once each holder gets its part so, whatever is
    known.  8 boxes that wait 0.1 s on each way, 40 in 100 of 235 calls a second of one
    prompt: 148 of 1,000 calls above the promise where the first is taken, 1 so (routers
    alone, five seeds).
    """
    first = None
    for position, engine in enumerate(candidates):
        if first is not None and (engine.holds, engine.near) != (first.holds, first.near):
            return
        if not bound.fits(engine, work):
            continue
        first = first or engine
        yield Choice(engine.name, position, True)
        if not engine.holds or not all_of_them:
            return


def choose_least_loaded(
    candidates: Sequence[Candidate], work: Work, near: Collection[str] = ()
) -> Choice | None:
    """The engine with the least load for its weight, or None if all are full.

    One that is not `near` must have a call less than those that are.  Among
    equals the first in rank order is taken.
    """
    best = None
    for position, engine in enumerate(candidates):
        if engine.load.requests + work.requests > engine.slots:
            continue
        distance = 0 if engine.name in near else FAR_CALLS
        load = (engine.expected.requests + distance) / engine.weight
        if best is None or load < best[0]:
            best = (load, position, engine.name)
    return None if best is None else Choice(best[2], best[1], False)


def _least_loaded(candidates: Sequence[Candidate], work: Work, bound: _Bound) -> Choice | None:
    best = None
    for position, engine in enumerate(candidates):
        if engine.load.requests + work.requests > engine.slots:
            continue
        nearness = bound.nearness(engine)
        if best is None or nearness < best[0]:
            best = (nearness, position, engine.name)
    return None if best is None else Choice(best[2], best[1], False)
