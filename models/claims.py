"""Claims: two boxes claim one key; answers to writes get lost, boxes crash.

A write in flight may take effect at any later time.  The bucket is the packages'
own class.  A box's stages: `start`, `read` (has read a version), `sent` (its
write is in flight), `lost` (the answer was lost), `owner`, `refused`, `refusing`
(all engines refused the call), `gave-up` (its caller is told that the call did
not run), `ran`, `down`.  An owner whose engines all refused reports that to its
caller and releases the key by a conditional write, which may take effect late or
never; it does not dispatch again.
"""

from typing import NamedTuple

from seamhold_attempts.claims import Claim, ClaimBucket, ClaimState

from .base import Spec, Steps

BOXES = (0, 1)
KEY = 'key'


class WriteInFlight(NamedTuple):
    """A conditional write in flight; an empty owner releases the key."""

    base: int
    owner: str


class State(NamedTuple):
    """The bucket object and, for each box, its stage, what it read and its write in flight."""

    version: int = 0
    owner: str = ''
    stages: tuple[str, str] = ('start', 'start')
    read_versions: tuple[int, int] = (0, 0)
    read_owners: tuple[str, str] = ('', '')
    writes_in_flight: tuple = (None, None)
    runs: int = 0


def replace_at(values: tuple, number: int, value) -> tuple:
    """Return the tuple with one value replaced."""
    changed = list(values)
    changed[number] = value
    return tuple(changed)


def try_claim(owner: str, number: int) -> ClaimState:
    """Return the packages' bucket's answer to this box's claim."""
    held = {KEY: Claim(KEY, owner, 'body', 0.0)} if owner else {}
    return ClaimBucket(held).try_claim(Claim(KEY, f'box-{number}', 'body', 0.0))


def read_bucket(state: State, number: int) -> State:
    """The box reads the bucket; it becomes the owner or is refused if the key has an owner."""
    stage = 'read'
    if state.owner:
        owned = try_claim(state.owner, number) is ClaimState.OWNED
        stage = 'owner' if owned else 'refused'
    return state._replace(
        stages=replace_at(state.stages, number, stage),
        read_versions=replace_at(state.read_versions, number, state.version),
        read_owners=replace_at(state.read_owners, number, state.owner),
    )


def apply_write(state: State, number: int, variant: str) -> State:
    """The platform checks a write's condition and applies it or not."""
    write = state.writes_in_flight[number]
    state = state._replace(writes_in_flight=replace_at(state.writes_in_flight, number, None))
    holds = write.base == state.version or variant == 'writes without a condition'
    awaits_answer = state.stages[number] == 'sent'
    if holds:
        state = state._replace(version=state.version + 1, owner=write.owner)
    if not awaits_answer:
        return state
    return state._replace(stages=replace_at(state.stages, number, 'owner' if holds else 'start'))


def release_steps(state: State, number: int, variant: str) -> Steps:
    """The engines refuse an owner's call; the box releases the key or keeps it."""
    stage = state.stages[number]
    if stage == 'owner':
        stages = replace_at(state.stages, number, 'refusing')
        yield f'engines refuse box {number}', state._replace(stages=stages)
    if stage == 'refusing' and state.writes_in_flight[number] is None:
        release = WriteInFlight(state.version, '') if state.owner == f'box-{number}' else None
        after = 'owner' if variant == 'dispatches after releasing the key' else 'gave-up'
        yield (
            f'box {number} releases the key',
            state._replace(
                stages=replace_at(state.stages, number, after),
                writes_in_flight=replace_at(state.writes_in_flight, number, release),
            ),
        )
        yield (
            f'box {number} keeps the key',
            state._replace(stages=replace_at(state.stages, number, 'gave-up')),
        )


def transitions(state: State, variant: str) -> Steps:
    """Yield every possible next step."""
    for number in BOXES:
        yield from release_steps(state, number, variant)
        stage = state.stages[number]
        if stage in ('start', 'lost'):
            yield f'box {number} reads', read_bucket(state, number)
            yield (
                f'box {number} gives up',
                state._replace(stages=replace_at(state.stages, number, 'gave-up')),
            )
        if stage == 'lost' and variant == 'a lost answer counts as owned':
            yield (
                f'box {number} assumes that it owns the key',
                state._replace(stages=replace_at(state.stages, number, 'owner')),
            )
        if stage == 'read' and state.writes_in_flight[number] is None:
            write = WriteInFlight(state.read_versions[number], f'box-{number}')
            yield (
                f'box {number} writes',
                state._replace(
                    stages=replace_at(state.stages, number, 'sent'),
                    writes_in_flight=replace_at(state.writes_in_flight, number, write),
                ),
            )
        if stage == 'sent':
            yield (
                f'box {number} loses the answer',
                state._replace(stages=replace_at(state.stages, number, 'lost')),
            )
        if state.writes_in_flight[number] is not None:
            yield f'write of {number} takes effect', apply_write(state, number, variant)
        if stage == 'owner':
            yield (
                f'box {number} dispatches',
                state._replace(
                    stages=replace_at(state.stages, number, 'ran'), runs=min(2, state.runs + 1)
                ),
            )
        if stage not in ('down', 'ran'):
            yield (
                f'box {number} crashes',
                state._replace(stages=replace_at(state.stages, number, 'down')),
            )


SPEC = Spec(
    'claims',
    State(),
    transitions,
    {
        'at most one run': lambda state: state['runs'] <= 1,
        'one owner': lambda state: state['stages'].count('owner') <= 1,
    },
    {
        'writes without a condition': 'at most one run',
        'a lost answer counts as owned': 'at most one run',
        'dispatches after releasing the key': 'at most one run',
    },
)
