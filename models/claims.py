"""Claims: two boxes want one key; answers of writes get lost, boxes crash.

A write in flight may land at any later time.  The bucket is the packages'
own.  A box's stages: `start`, `read` (holds a version), `sent` (its write is
out), `lost` (its answer will not come), `owner`, `refused`, `gave-up` (its
caller is told that nothing ran), `ran`, `down`.  An owner
whose engines all refused tells its caller so and gives the key back, by a
conditional write that may land late or never; it does not dispatch again.
"""

from typing import NamedTuple

from seamhold_attempts.claims import Claim, ClaimBucket, ClaimState

from .base import Spec, Steps

BOXES = (0, 1)
KEY = 'key'


class Flight(NamedTuple):
    """A conditional write on its way; no owner gives the key back."""

    base: int
    owner: str


class State(NamedTuple):
    """The bucket object, and each box's view and writes."""

    version: int = 0
    owner: str = ''
    stages: tuple[str, str] = ('start', 'start')
    seen: tuple[int, int] = (0, 0)
    seen_owner: tuple[str, str] = ('', '')
    flights: tuple = (None, None)
    ran: int = 0


def put(values: tuple, number: int, value) -> tuple:
    """A tuple with one value replaced."""
    changed = list(values)
    changed[number] = value
    return tuple(changed)


def ask(owner: str, number: int) -> ClaimState:
    """What the packages' bucket answers for this box's claim."""
    held = {KEY: Claim(KEY, owner, 'body', 0.0)} if owner else {}
    return ClaimBucket(held).try_claim(Claim(KEY, f'box-{number}', 'body', 0.0))


def read(state: State, number: int) -> State:
    """The box reads the bucket, and knows at once if the key is another's."""
    stage = 'read'
    if state.owner:
        owned = ask(state.owner, number) is ClaimState.OWNED
        stage = 'owner' if owned else 'refused'
    return state._replace(
        stages=put(state.stages, number, stage),
        seen=put(state.seen, number, state.version),
        seen_owner=put(state.seen_owner, number, state.owner),
    )


def land(state: State, number: int, variant: str) -> State:
    """A write reaches the platform, which checks its condition."""
    flight = state.flights[number]
    state = state._replace(flights=put(state.flights, number, None))
    holds = flight.base == state.version or variant == 'writes without a condition'
    waiting = state.stages[number] == 'sent'
    if holds:
        state = state._replace(version=state.version + 1, owner=flight.owner)
    if not waiting:
        return state
    return state._replace(stages=put(state.stages, number, 'owner' if holds else 'start'))


def releases(state: State, number: int, variant: str) -> Steps:
    """The engines refuse an owner's call; it gives the key back, or not."""
    stage = state.stages[number]
    if stage == 'owner':
        stages = put(state.stages, number, 'refusing')
        yield f'engines refuse box {number}', state._replace(stages=stages)
    if stage == 'refusing' and state.flights[number] is None:
        back = Flight(state.version, '') if state.owner == f'box-{number}' else None
        after = 'owner' if variant == 'dispatches after giving back' else 'gave-up'
        yield (
            f'box {number} gives back',
            state._replace(
                stages=put(state.stages, number, after),
                flights=put(state.flights, number, back),
            ),
        )
        yield (
            f'box {number} keeps the key',
            state._replace(stages=put(state.stages, number, 'gave-up')),
        )


def transitions(state: State, variant: str) -> Steps:
    """Every step that may come next."""
    for number in BOXES:
        yield from releases(state, number, variant)
        stage = state.stages[number]
        if stage in ('start', 'lost'):
            yield f'box {number} reads', read(state, number)
            yield (
                f'box {number} gives up',
                state._replace(stages=put(state.stages, number, 'gave-up')),
            )
        if stage == 'lost' and variant == 'a lost answer counts as owned':
            yield (
                f'box {number} believes',
                state._replace(stages=put(state.stages, number, 'owner')),
            )
        if stage == 'read' and state.flights[number] is None:
            flight = Flight(state.seen[number], f'box-{number}')
            yield (
                f'box {number} writes',
                state._replace(
                    stages=put(state.stages, number, 'sent'),
                    flights=put(state.flights, number, flight),
                ),
            )
        if stage == 'sent':
            yield (
                f'box {number} loses the answer',
                state._replace(stages=put(state.stages, number, 'lost')),
            )
        if state.flights[number] is not None:
            yield f'write of {number} lands', land(state, number, variant)
        if stage == 'owner':
            yield (
                f'box {number} dispatches',
                state._replace(stages=put(state.stages, number, 'ran'), ran=min(2, state.ran + 1)),
            )
        if stage not in ('down', 'ran'):
            yield f'box {number} crashes', state._replace(stages=put(state.stages, number, 'down'))


SPEC = Spec(
    'claims',
    State(),
    transitions,
    {
        'at most one run': lambda state: state['ran'] <= 1,
        'one owner': lambda state: state['stages'].count('owner') <= 1,
    },
    {
        'writes without a condition': 'at most one run',
        'a lost answer counts as owned': 'at most one run',
        'dispatches after giving back': 'at most one run',
    },
)
