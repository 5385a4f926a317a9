"""Divide a fleet-wide limit between boxes by what each asks for."""

import math

#: What a box that asks for nothing still counts, so that it can begin: so
#: many calls, or this part of the limit where that is more.
IDLE_DEMAND = 0.5
IDLE_FRACTION = 0.02


def split_limit(limit: int, demands: dict[str, float]) -> dict[str, int]:
    """Whole shares that add up to `limit`, by the largest remainder.

    Boxes with the same view of the demands work out the same shares.
    """
    if not demands:
        return {}
    idle = max(IDLE_DEMAND, limit * IDLE_FRACTION)
    wanted = {box: demand + idle for box, demand in demands.items()}
    total = sum(wanted.values())
    exact = {box: limit * value / total for box, value in wanted.items()}
    shares = {box: math.floor(value) for box, value in exact.items()}
    left = limit - sum(shares.values())
    by_remainder = sorted(exact, key=lambda box: (shares[box] - exact[box], box))
    for box in by_remainder[:left]:
        shares[box] += 1
    return shares
