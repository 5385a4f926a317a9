"""Settings: news in any order, a reset platform, edits on the older copy.

Two boxes hear of versions in any order, old ones included.  The platform may
go back once to an older copy; a watching box then mends it.  What a box does
with a version is the packages' own `ActiveSettings`.
"""

from functools import cache
from typing import NamedTuple

from seamhold_settings.versions import ActiveSettings, Candidate, OfferResult

from .base import Spec, Steps

BOXES = (0, 1)
EDITS = 3
OBJECT = 'fleet'


class Version(NamedTuple):
    """One version of the object: its revision and the edits that led to it."""

    revision: int
    edits: tuple[str, ...]


class State(NamedTuple):
    """The platform, each box, all that was ever written, and what went wrong."""

    platform: Version = Version(1, ('e0',))
    boxes: tuple = (Version(1, ('e0',)), Version(1, ('e0',)))
    written: tuple = (Version(1, ('e0',)),)
    edits: int = 1
    resets: int = 0
    reverted: bool = False


def candidate(version: Version) -> Candidate:
    """The version as the packages weigh it."""
    *before, last = version.edits
    return Candidate(OBJECT, version.revision, last, {}, False, tuple(before))


@cache
def step(held: Version, told: Version) -> OfferResult:
    """What the packages' settings state does with a version."""
    state = ActiveSettings()
    state.offer(candidate(held))
    return state.offer(candidate(told))


def written(state: State, version: Version, **changes) -> State:
    """The platform takes a version."""
    everything = tuple(sorted({*state.written, version}))
    return state._replace(platform=version, written=everything, **changes)


def hear(state: State, number: int, told: Version, variant: str) -> State:
    """A box is told a version by whoever has it."""
    held = state.boxes[number]
    taken = step(held, told) is OfferResult.TAKEN or variant == 'the latest news wins'
    if not taken:
        return state
    boxes = list(state.boxes)
    boxes[number] = told
    back = told.revision < held.revision
    return state._replace(boxes=tuple(boxes), reverted=state.reverted or back)


def mend(state: State, number: int, variant: str) -> State:
    """A watching box sees the platform behind or beside what is in force."""
    held, found = state.boxes[number], state.platform
    verdict = step(held, found)
    if verdict is OfferResult.OLDER:
        return written(state, held)
    if verdict is OfferResult.BRANCH:
        edits = (*held.edits, found.edits[-1])
        return written(state, Version(held.revision + 1, edits))
    return state


def transitions(state: State, variant: str) -> Steps:
    """Every step that may come next."""
    if state.edits < EDITS:
        last = state.platform
        edited = Version(last.revision + 1, (*last.edits, f'e{state.edits}'))
        yield 'edit', written(state, edited, edits=state.edits + 1)
    for number in BOXES:
        for told in state.written:
            yield f'box {number} hears {told.revision}', hear(state, number, told, variant)
        yield f'box {number} mends', mend(state, number, variant)
    if not state.resets:
        for copy in state.written:
            yield f'reset to {copy.revision}', state._replace(platform=copy, resets=1)


SPEC = Spec(
    'settings',
    State(),
    transitions,
    {'versions only go forward': lambda state: not state['reverted']},
    {'the latest news wins': 'versions only go forward'},
)
