"""Selects the boxes that exchange digests, to bound the cost per box.

In a fleet of up to `ALL_UP_TO` boxes, all boxes are neighbours.  In a larger fleet a hash of
both names decides whether two boxes are neighbours: each box has about `DEGREE` neighbours, both
ends agree without a message, and a box that joins or leaves changes few pairs.  This random
graph is connected as long as `DEGREE` is well above the natural logarithm of the fleet size
(Erdos and Renyi), which is 9.3 for 11,000 boxes; an update crosses it in a few hops.
"""

from collections.abc import Iterable

from seamhold_messages.hashing import hash64

ALL_UP_TO = 100
DEGREE = 14
HASH_SPAN = 2**64


def are_neighbours(one: str, other: str, boxes: int) -> bool:
    """Return whether two boxes in a fleet of `boxes` boxes are neighbours."""
    if boxes <= ALL_UP_TO:
        return True
    first, second = sorted((one, other))
    return hash64(f'{first}\0{second}') < HASH_SPAN * DEGREE // (boxes - 1)


def neighbours(box: str, others: Iterable[str]) -> list[str]:
    """Return the boxes among `others` that exchange digests with `box`."""
    names = [name for name in others if name != box]
    return [name for name in names if are_neighbours(box, name, len(names) + 1)]
