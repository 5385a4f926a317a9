"""Settings: versions in any order, a reset platform, edits of the older snapshot.

Two boxes receive versions in any order, old ones included.  The platform may
revert once to an older snapshot; a watching box then repairs it.  The packages'
own `ActiveSettings` decides what a box does with a version.
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
    """The versions at the platform and the boxes, all ever written, and the violations."""

    platform: Version = Version(1, ('e0',))
    boxes: tuple = (Version(1, ('e0',)), Version(1, ('e0',)))
    versions_written: tuple = (Version(1, ('e0',)),)
    edits: int = 1
    resets: int = 0
    reverted: bool = False


def candidate(version: Version) -> Candidate:
    """Return the version as a candidate for the packages' settings."""
    *before, last = version.edits
    return Candidate(OBJECT, version.revision, last, {}, False, tuple(before))


@cache
def offer_to(held: Version, received: Version) -> OfferResult:
    """Return the result of offering a version to the packages' settings that hold another."""
    state = ActiveSettings()
    state.offer(candidate(held))
    return state.offer(candidate(received))


def write_version(state: State, version: Version, **changes) -> State:
    """The platform stores a version."""
    everything = tuple(sorted({*state.versions_written, version}))
    return state._replace(platform=version, versions_written=everything, **changes)


def receive(state: State, number: int, received: Version, variant: str) -> State:
    """A box receives a version from the platform or a peer."""
    held = state.boxes[number]
    taken = (
        offer_to(held, received) is OfferResult.TAKEN
        or variant == 'the latest received version wins'
    )
    if not taken:
        return state
    boxes = list(state.boxes)
    boxes[number] = received
    back = received.revision < held.revision
    return state._replace(boxes=tuple(boxes), reverted=state.reverted or back)


def repair(state: State, number: int, variant: str) -> State:
    """A watching box finds the platform's version older than or diverged from its own."""
    held, found = state.boxes[number], state.platform
    verdict = offer_to(held, found)
    if verdict is OfferResult.OLDER:
        return write_version(state, held)
    if verdict is OfferResult.BRANCH:
        edits = (*held.edits, found.edits[-1])
        return write_version(state, Version(held.revision + 1, edits))
    return state


def transitions(state: State, variant: str) -> Steps:
    """Yield every possible next step."""
    if state.edits < EDITS:
        current = state.platform
        edited = Version(current.revision + 1, (*current.edits, f'e{state.edits}'))
        yield 'edit', write_version(state, edited, edits=state.edits + 1)
    for number in BOXES:
        for received in state.versions_written:
            yield (
                f'box {number} receives {received.revision}',
                receive(state, number, received, variant),
            )
        yield f'box {number} repairs', repair(state, number, variant)
    if not state.resets:
        for copy in state.versions_written:
            yield f'reset to {copy.revision}', state._replace(platform=copy, resets=1)


SPEC = Spec(
    'settings',
    State(),
    transitions,
    {'versions never decrease': lambda state: not state['reverted']},
    {'the latest received version wins': 'versions never decrease'},
)
