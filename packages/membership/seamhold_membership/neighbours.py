"""Which boxes tell each other things, so that the cost does not grow.

Up to `ALL_UP_TO` boxes all are neighbours.  In a larger fleet each pair is
joined or not by a hash of both names, so that a box has about `DEGREE`
neighbours, both ends agree without a word, and a box that comes or goes
changes few pairs.  Such a random graph is connected as long as `DEGREE` is
well above the natural logarithm of the fleet (Erdos and Renyi), which is 9.3
for 11,000; news crosses it in a few steps.
"""

from collections.abc import Iterable

from seamhold_messages.hashing import hash64

ALL_UP_TO = 100
DEGREE = 14
HASH_SPAN = 2**64


def joined(one: str, other: str, boxes: int) -> bool:
    """Whether two boxes of a fleet of so many are neighbours."""
    if boxes <= ALL_UP_TO:
        return True
    first, second = sorted((one, other))
    return hash64(f'{first}\0{second}') < HASH_SPAN * DEGREE // (boxes - 1)


def neighbours(me: str, others: Iterable[str]) -> list[str]:
    """The boxes among `others` that this one tells and hears."""
    names = [name for name in others if name != me]
    return [name for name in names if joined(me, name, len(names) + 1)]
