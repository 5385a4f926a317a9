"""Divide a fleet-wide limit between boxes by what each asks for."""

import heapq
import math

from msgspec import Struct

#: What a box that asks for nothing still counts, so that it can begin: so
#: many calls, or this part of the limit where that is more.
IDLE_DEMAND = 0.5
IDLE_FRACTION = 0.02


class Demands(Struct, frozen=True):
    """Demands for one limit: a box's own, those that others told, and boxes that told none."""

    own: float
    told: tuple[float, ...]
    idle_boxes: int


class _NextCall(Struct, frozen=True, order=True):
    """A box's next call; the least of all is given first."""

    #: Below zero: what the box asks for, by its calls and this one's half.
    rank: float
    box: str


def split_limit(limit: int, demands: dict[str, float]) -> dict[str, int]:
    """Whole shares that add up to `limit`, by the highest averages (Sainte-Lague's divisors).

    Boxes with the same view of the demands work out the same shares.  One that believes more
    of another box takes no more for itself, so boxes that each believe of the others at least
    what those count on stay within the limit together.  The largest remainder does not keep
    that: two boxes round up for the same call.
    """
    if not demands:
        return {}
    idle = _idle_demand(limit)
    wanted = {box: demand + idle for box, demand in demands.items()}
    total = sum(wanted.values())
    # Rounded so they are at most the limit together, whatever is rounded up.
    sure = max(0.0, limit - len(wanted) / 2) / total
    shares = {box: math.floor(sure * value + 0.5) for box, value in wanted.items()}
    _hand_out(limit - sum(shares.values()), wanted, shares)
    return shares


def holds_within_share(limit: int, held: int, demands: Demands) -> bool:
    """Whether a box's share is `held` calls at least, without working out the others'.

    Where calls rank alike the box is taken to come last.
    """
    idle = _idle_demand(limit)
    last = (demands.own + idle) / (held - 0.5)
    before = sum(_calls_before(last, demand + idle) for demand in demands.told)
    return held + before + demands.idle_boxes * _calls_before(last, idle) <= limit


def _calls_before(rank: float, wanted: float) -> int:
    """How many calls of a box come before one of that rank."""
    return math.floor(wanted / rank + 0.5)


def _idle_demand(limit: int) -> float:
    return max(IDLE_DEMAND, limit * IDLE_FRACTION)


def _hand_out(calls: int, wanted: dict[str, float], shares: dict[str, int]) -> None:
    """Give one call after the other to the box whose next call ranks first."""
    ranks = [_next_call(box, wanted, shares) for box in shares]
    heapq.heapify(ranks)
    for _ in range(calls):
        box = ranks[0].box
        shares[box] += 1
        heapq.heapreplace(ranks, _next_call(box, wanted, shares))


def _next_call(box: str, wanted: dict[str, float], shares: dict[str, int]) -> _NextCall:
    return _NextCall(-wanted[box] / (shares[box] + 0.5), box)
