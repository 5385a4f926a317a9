"""Consistent hashing with bounded loads, for calls and for tokens of work.

Picks the first engine in the chat's rank order whose load, including the new call, stays within
`admit_multiple` times the mean (Mirrokni, Thorup and Zadimoghaddam). Work ends while other work
runs, so the mean can fall after a call is admitted; `admit_multiple` is therefore lower than
the guaranteed multiple of the mean, the setting `load_multiple`.

At low load a single call may be several times the mean. Both bounds are therefore rounded up to
whole calls, an engine whose load stays within `floor_requests` and `floor_tokens` is never over
its bound, and where no engine is within its bound the least loaded one with a free slot is
taken: calls are refused only when every slot of the fleet is taken.

Boxes decide concurrently. They divide the last part of an engine's bound in proportion to the
calls that each has in the service.
"""

import math
import random
from collections.abc import Callable, Collection, Iterator, Sequence

from msgspec import Struct

from seamhold_messages.work import NO_WORK, Work

#: Cost of a call to another failure domain, in calls of load. The load is not known more
#: precisely than that.
REMOTE_PENALTY_CALLS = 1
#: The last fraction of an engine's bound, which is divided between the boxes.
DIVIDED_SHARE = 0.2
#: Lower limit of the bound, as a multiple of the mean over the engines that accept work. They
#: have to take all new work, however many other engines are up.
MIN_MULTIPLE = 1.1


class BoundPolicy(Struct, frozen=True):
    """How far above the mean an engine may be when a call is admitted.

    `admit_multiple` is a ratio; the floors are in calls and in tokens.
    """

    admit_multiple: float = 1.25
    floor_requests: int = 1
    floor_tokens: int = 0


class Candidate(Struct, frozen=True):
    """An engine and its load as this box knows it.

    `unreported` is the work that other boxes may have sent since the last report. It counts
    towards the bound but not towards the slots; otherwise an engine would seem full because of
    calls that are only assumed. `holds` is whether the engine has the call's prompt prefix in
    its cache, `local` whether it is in the box's failure domain, and `own_calls` the number of
    calls that this box has there.
    """

    name: str
    load: Work
    slots: int
    weight: float = 1.0
    holds: bool = False
    local: bool = False
    unreported: Work = NO_WORK
    own_calls: int = 0

    @property
    def expected(self) -> Work:
        """The load including the unreported work."""
        return self.load + self.unreported


class Totals(Struct, frozen=True):
    """Sums over the engines of a service.

    `weight` and `load` are of the engines that accept work. The `idle_` fields are of the
    engines that are up and get no new work, because they leave or are avoided after failed
    calls. `own_calls` counts this box's calls at the engines that accept work.
    """

    weight: float
    load: Work
    idle_weight: float = 0.0
    idle_load: Work = NO_WORK
    own_calls: int = 0


class Choice(Struct, frozen=True):
    """The chosen engine, its rank, and whether it was within its bound."""

    name: str
    rank: int
    in_bound: bool


#: Picks one of the candidates, which come in rank order, or None.
Chooser = Callable[[Sequence[Candidate], Totals, Work, BoundPolicy, int | None], Choice | None]


class _Bound(Struct, frozen=True):
    """The bound of an engine of weight one, in calls and in tokens.

    `own_share` is this box's fraction of all calls of the service.
    """

    calls: float
    tokens: float
    policy: BoundPolicy
    own_share: float

    def fits(self, engine: Candidate, work: Work) -> bool:
        """Return whether the engine stays within its bound and its slots with `work` added."""
        if engine.load.requests + work.requests > engine.slots:
            return False
        after = engine.expected + work
        calls = self.calls * engine.weight
        calls_bound = max(math.ceil(calls), self.policy.floor_requests)
        # The token bound is scaled by the rounding of the call bound; otherwise the rounded-up
        # number of whole calls would not fit.
        tokens = self.tokens * engine.weight * calls_bound / calls
        tokens_bound = max(tokens, self.policy.floor_tokens, work.tokens)
        if after.requests > calls_bound or after.tokens > tokens_bound:
            return False
        return after.requests <= (1 - DIVIDED_SHARE) * calls or self._within_own_part(engine, work)

    def _within_own_part(self, engine: Candidate, work: Work) -> bool:
        """Return whether this box stays within its part of the engine's bound.

        Near the bound, more calls are in flight unseen than fit below it, and all boxes would
        take the same remaining room. Each box knows its own calls without delay: if none
        exceeds its part at the engine, all boxes together stay within the bound.
        """
        part = round(self.calls * engine.weight * self.own_share)
        return engine.own_calls + work.requests <= max(part, self.policy.floor_requests)

    def utilization(self, engine: Candidate) -> float:
        """Return the engine's load as a fraction of its bound, the larger of calls and tokens."""
        load = engine.expected
        by_calls = load.requests / (self.calls * engine.weight) if self.calls else 0.0
        by_tokens = load.tokens / (self.tokens * engine.weight) if self.tokens else 0.0
        return max(by_calls, by_tokens)


def _bound(totals: Totals, work: Work, policy: BoundPolicy) -> _Bound:
    """Return the bound with `work` added, relative to the mean that the guarantee refers to.

    The guarantee counts leaving engines until they are gone, and engines that are avoided while
    they are up. Both drain, so the mean over all engines falls below the mean over those that
    accept work, and a bound derived from the latter alone exceeds the guarantee. With up to 5 of
    14 engines leaving at once, at 118 calls per second, 64 of 597 calls in five seconds exceeded
    the guaranteed bound that way, and 14 with the mean over all engines (routers without
    processes or network, one seed).
    """
    after = totals.load + work
    calls = _per_weight(after.requests, totals, totals.idle_load.requests, policy)
    tokens = _per_weight(after.tokens, totals, totals.idle_load.tokens, policy)
    own_share = min(1.0, (totals.own_calls + work.requests) / after.requests)
    return _Bound(calls, tokens, policy, own_share)


def _per_weight(load: float, totals: Totals, idle_load: float, policy: BoundPolicy) -> float:
    """Return the bound of an engine of weight one.

    `load` is on the engines that accept work, `idle_load` on the others.
    """
    mean = load / totals.weight
    mean_of_all = (load + idle_load) / (totals.weight + totals.idle_weight)
    min_multiple = min(policy.admit_multiple, MIN_MULTIPLE)
    return max(policy.admit_multiple * min(mean, mean_of_all), min_multiple * mean)


def choose(
    candidates: Sequence[Candidate],
    totals: Totals,
    work: Work,
    policy: BoundPolicy,
    hint: int | None = None,
    rng: random.Random | None = None,
) -> Choice | None:
    """Pick an engine for `work`, or return None when every slot is taken.

    `candidates` come in rank order, those that hold the chat first, and may be computed lazily.
    `hint` is the rank of the engine that holds the chat's cache; it is tried first and ignored
    if out of range. `rng` draws one of several equivalent engines; without it the first is
    taken.
    """
    if not candidates:
        return None
    bound = _bound(totals, work, policy)
    if hint is not None and 0 <= hint < len(candidates):
        hinted = candidates[hint]
        if bound.fits(hinted, work):
            return Choice(hinted.name, hint, True)
    equivalent = list(_equivalent_choices(candidates, bound, work, rng is not None))
    if equivalent:
        return rng.choice(equivalent) if rng else equivalent[0]
    return _least_loaded(candidates, work, bound)


def _equivalent_choices(
    candidates: Sequence[Candidate], bound: _Bound, work: Work, include_all: bool
) -> Iterator[Choice]:
    """Yield the first engine with room and, if it holds the chat, its equivalents.

    Equivalent are the holders with room that are in the same failure domain, or not, as the
    first one. If all boxes took the first holder, they would fill it together before any of
    them knew. With a random choice each holder gets its share of a prompt that many callers
    send at once, however old the boxes' knowledge is. With 8 boxes, 0.1 s of delay each way and
    40 percent of 235 calls per second for one prompt, 148 of 1,000 calls exceeded the
    guaranteed bound when the first holder was taken, and 1 with the random choice (routers
    without processes or network, five seeds).
    """
    first = None
    for position, engine in enumerate(candidates):
        if first is not None and (engine.holds, engine.local) != (first.holds, first.local):
            return
        if not bound.fits(engine, work):
            continue
        first = first or engine
        yield Choice(engine.name, position, True)
        if not engine.holds or not include_all:
            return


def choose_least_loaded(
    candidates: Sequence[Candidate], work: Work, local: Collection[str] = ()
) -> Choice | None:
    """Pick the engine with the least load for its weight, or return None if all are full.

    An engine that is not in `local` is treated as if it had one more call. Among equals the
    first in rank order is taken.
    """
    best = None
    for position, engine in enumerate(candidates):
        if engine.load.requests + work.requests > engine.slots:
            continue
        penalty = 0 if engine.name in local else REMOTE_PENALTY_CALLS
        load = (engine.expected.requests + penalty) / engine.weight
        if best is None or load < best[0]:
            best = (load, position, engine.name)
    return None if best is None else Choice(best[2], best[1], False)


def _least_loaded(candidates: Sequence[Candidate], work: Work, bound: _Bound) -> Choice | None:
    best = None
    for position, engine in enumerate(candidates):
        if engine.load.requests + work.requests > engine.slots:
            continue
        utilization = bound.utilization(engine)
        if best is None or utilization < best[0]:
            best = (utilization, position, engine.name)
    return None if best is None else Choice(best[2], best[1], False)
