"""Divides a fleet-wide limit between boxes in proportion to their demands."""

import heapq
import math
from collections.abc import Mapping

from msgspec import Struct

#: Demand that is added to each box, so that a box without demand can start calls: this number
#: of calls, or this fraction of the limit if that is more.
IDLE_DEMAND = 0.5
IDLE_FRACTION = 0.02
#: Added to the offsets of `split_slots`: keeps a box of little weight from coming first because
#: its offset is nearly zero.
OFFSET_MIN = 0.02


class Demands(Struct, frozen=True):
    """Demands of the boxes that share one limit, in calls.

    `own` is this box's demand, `reported` those of other boxes, and `idle_boxes` the number of
    boxes that reported none.
    """

    own: float
    reported: tuple[float, ...]
    idle_boxes: int


class _NextCall(Struct, frozen=True, order=True):
    """A box's next call in the allocation; the lowest is allocated first."""

    #: The negated quotient of the box's demand and its calls so far plus a half.
    rank: float
    box: str


def split_limit(limit: int, demands: dict[str, float]) -> dict[str, int]:
    """Return integer shares that add up to `limit`, by highest averages (Sainte-Lague divisors).

    Boxes with the same view of the demands compute the same shares. A box that assumes a higher
    demand of another box gets no larger share itself. Boxes therefore stay within the limit
    together if each assumes for the others at least the demand that these use for themselves.
    The largest remainder method does not guarantee that: two boxes may round up for the same
    call.
    """
    if not demands:
        return {}
    idle = _idle_demand(limit)
    weights = {box: demand + idle for box, demand in demands.items()}
    total = sum(weights.values())
    # Scaled down by half a call per box, so that the rounded shares cannot exceed the limit.
    per_weight = max(0.0, limit - len(weights) / 2) / total
    shares = {box: math.floor(per_weight * weight + 0.5) for box, weight in weights.items()}
    _allocate(limit - sum(shares.values()), weights, shares)
    return shares


def split_slots(
    slots: int, weights: Mapping[str, float], offsets: Mapping[str, float]
) -> dict[str, int]:
    """Return shares that add up to `slots`, by highest averages.

    As with `split_limit`, a box that assumes more of another gets no more itself, and a box more
    on the list raises no share.  A box's n-th slot is ranked by its weight over n - 1 plus its
    offset, from 0 to 1, where that uses a half.
    """
    shares = dict.fromkeys(weights, 0)
    ranks = [(-weight / (offsets[box] + OFFSET_MIN), box) for box, weight in weights.items()]
    heapq.heapify(ranks)
    for _ in range(slots):
        box = ranks[0][1]
        shares[box] += 1
        rank = -weights[box] / (shares[box] + offsets[box] + OFFSET_MIN)
        heapq.heapreplace(ranks, (rank, box))
    return shares


def holds_within_share(limit: int, held: int, demands: Demands) -> bool:
    """Return whether a box's share is at least `held`, without computing the other shares.

    Where calls have the same rank, the box is assumed to come last.
    """
    idle = _idle_demand(limit)
    last_rank = (demands.own + idle) / (held - 0.5)
    before = sum(_calls_before(last_rank, demand + idle) for demand in demands.reported)
    return held + before + demands.idle_boxes * _calls_before(last_rank, idle) <= limit


def _calls_before(rank: float, weight: float) -> int:
    """Return how many calls of a box with `weight` are allocated before one with `rank`."""
    return math.floor(weight / rank + 0.5)


def _idle_demand(limit: int) -> float:
    return max(IDLE_DEMAND, limit * IDLE_FRACTION)


def _allocate(calls: int, weights: dict[str, float], shares: dict[str, int]) -> None:
    """Add `calls` to the shares, each to the box whose next call has the lowest rank."""
    ranks = [_next_call(box, weights, shares) for box in shares]
    heapq.heapify(ranks)
    for _ in range(calls):
        box = ranks[0].box
        shares[box] += 1
        heapq.heapreplace(ranks, _next_call(box, weights, shares))


def _next_call(box: str, weights: dict[str, float], shares: dict[str, int]) -> _NextCall:
    return _NextCall(-weights[box] / (shares[box] + 0.5), box)
