"""Quarantine: copies of a request that ends every engine that runs it, at two boxes.

Whether the request may run is decided by the packages' own `Quarantine`.  Copies arrive at
both boxes at any time.  The owner merges the ends reported by both boxes; the other box
receives the result later.  All boxes may restart once the result is in the store.  Each run
ends an engine; one request may end at most four.

The boxes may also be partitioned from each other and notice it.  Then each merges its ends with
the store, receives the ends that the other wrote there, and grants its own trials.  At most
one more engine ends.
"""

from functools import cache
from typing import NamedTuple

from seamhold_quarantine import EndReport, EngineEnd, Quarantine, Standing

from .base import Spec, Steps

REQUEST = 'request'
ENDS_MAX = 4
#: States beyond the first violation need not be explored.
ENDS_COUNTED = ENDS_MAX + 2
FREE = 'free'
ALONE = 'alone'


class End(NamedTuple):
    """An engine that ended under the request."""

    engine: int
    on_trial: bool


class Box(NamedTuple):
    """The ends that a box has recorded, and how its copy runs ('' if it has none)."""

    ends: tuple = ()
    run_mode: str = ''


class State(NamedTuple):
    """The box that merges all ends, the other box, and the store."""

    owner: Box = Box()
    other: Box = Box()
    stored: tuple = ()
    ended: int = 0
    all_restarted: bool = False
    partitioned: bool = False
    ran_in_quarantine: bool = False


@cache
def standing(ends: tuple) -> Standing:
    """Return the request's standing in the packages' quarantine after these ends."""
    quarantine = Quarantine()
    for end in ends:
        engine_end = EngineEnd(end.engine, end.on_trial)
        quarantine.record_end(EndReport(REQUEST, 1, 'workspace', engine_end), 0.0)
    return quarantine.standing(REQUEST, 0.0)


def transitions(state: State, variant: str) -> Steps:
    """Yield every possible next step."""
    if state == State():
        yield 'the boxes are partitioned', state._replace(partitioned=True)
    for name in ('owner', 'other'):
        box = getattr(state, name)
        if box.run_mode:
            yield f'engine ends at {name}', _end_engine(state, name, variant)
        else:
            yield from _copy_steps(state, name, variant)
    if state.partitioned:
        yield from _receive_from_store(state)
        return
    if standing(state.owner.ends) is not Standing.CLEAR:
        updated = _merge(state.other.ends, state.owner.ends)
        yield (
            'the other box receives the ends',
            state._replace(other=state.other._replace(ends=updated)),
        )
        yield 'the store is written', state._replace(stored=state.owner.ends)
    at_rest = not state.owner.run_mode and not state.other.run_mode
    if state.stored and state.stored == state.owner.ends and at_rest and not state.all_restarted:
        ends = () if variant == 'the store is not read' else state.stored
        yield (
            'all boxes restart',
            state._replace(owner=Box(ends), other=Box(ends), all_restarted=True),
        )


def _receive_from_store(state: State) -> Steps:
    for name in ('owner', 'other'):
        box = getattr(state, name)
        updated = box._replace(ends=_merge(box.ends, state.stored))
        yield f'{name} receives the ends from the store', state._replace(**{name: updated})


def _copy_steps(state: State, name: str, variant: str) -> Steps:
    """A copy arrives at a box that runs none."""
    box = getattr(state, name)
    found = standing(box.ends)
    if found is Standing.CLEAR:
        yield f'copy runs at {name}', state._replace(**{name: box._replace(run_mode=FREE)})
    if (
        found is not Standing.SUSPECT
        and variant != 'a trial is requested and granted in quarantine'
    ):
        return
    if found is Standing.CLEAR:
        return
    authority = box if state.partitioned else state.owner
    alone = state.partitioned or ALONE not in (state.owner.run_mode, state.other.run_mode)
    owner_allows = standing(authority.ends) is Standing.SUSPECT
    if variant == 'trials run concurrently':
        alone = True
    if variant == 'a trial is requested and granted in quarantine':
        owner_allows = True
    if alone and owner_allows:
        yield (
            f'copy runs alone at {name}',
            state._replace(
                **{name: box._replace(run_mode=ALONE)},
                ran_in_quarantine=found is Standing.QUARANTINED,
            ),
        )


def _end_engine(state: State, name: str, variant: str) -> State:
    box = getattr(state, name)
    if state.ended >= ENDS_COUNTED:
        return state
    end = End(state.ended + 1, box.run_mode == ALONE)
    after = state._replace(
        **{name: Box(_merge(box.ends, (end,)))},
        ended=state.ended + 1,
    )
    if variant == 'each box counts on its own':
        return after
    if state.partitioned:
        return _ended_in_partition(after, name, variant)
    merged = _merge(after.owner.ends, (end,))
    after = after._replace(owner=after.owner._replace(ends=merged))
    if standing(merged) is Standing.CLEAR or variant == 'the reply carries no ends':
        return after
    # The box that reports an end receives all ends of the request in reply.
    reporter = getattr(after, name)
    return after._replace(**{name: reporter._replace(ends=_merge(reporter.ends, merged))})


def _ended_in_partition(after: State, name: str, variant: str) -> State:
    """The box merges its ends with the store, which returns the merged ends."""
    box = getattr(after, name)
    ends = _merge(box.ends, after.stored)
    is_written = standing(ends) is not Standing.CLEAR or variant != 'first ends are not written'
    stored = ends if is_written else after.stored
    return after._replace(**{name: box._replace(ends=ends)}, stored=stored)


def _merge(ends: tuple, more: tuple) -> tuple:
    return tuple(sorted({*ends, *more}))


SPEC = Spec(
    'quarantine',
    State(),
    transitions,
    {
        'one request ends at most four engines': (
            lambda state: state['ended'] <= ENDS_MAX or state['partitioned']
        ),
        'partitioned boxes end at most one more': (lambda state: state['ended'] <= ENDS_MAX + 1),
        'a quarantined request does not run': lambda state: not state['ran_in_quarantine'],
    },
    {
        'each box counts on its own': 'one request ends at most four engines',
        'the reply carries no ends': 'one request ends at most four engines',
        'trials run concurrently': 'one request ends at most four engines',
        'the store is not read': 'one request ends at most four engines',
        'first ends are not written': 'partitioned boxes end at most one more',
        'a trial is requested and granted in quarantine': 'a quarantined request does not run',
    },
)
