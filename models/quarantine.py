"""Quarantine: a request that ends each engine that runs it, at two boxes at any moments.

What a box knows and whether the request may run is the packages' own `Quarantine`.  Copies
come at both boxes at any time; the first is the one that joins what both met; the second
hears of it later; all boxes may be gone once what is known stands in the store.  Each run
ends an engine: one request ends four at most.

The boxes may also be cut off from each other, and know it: then each joins what it meets with
the store, hears of what the other wrote there, and lets the request run alone by itself.  One
more engine ends at most.
"""

from functools import cache
from typing import NamedTuple

from seamhold_quarantine import EndReport, EngineEnd, Quarantine, Standing

from .base import Spec, Steps

REQUEST = 'request'
ENDS_MAX = 4
#: Steps beyond what must not happen need not be looked at.
ENDS_COUNTED = ENDS_MAX + 2
FREE = 'free'
ALONE = 'alone'


class End(NamedTuple):
    """An engine that ended under the request."""

    engine: int
    on_trial: bool


class Box(NamedTuple):
    """What a box knows, and how the copy runs that it has, '' for none."""

    known: tuple = ()
    runs: str = ''


class State(NamedTuple):
    """The box that joins what is known, the other one, and the store."""

    owner: Box = Box()
    other: Box = Box()
    stored: tuple = ()
    ended: int = 0
    all_gone: bool = False
    cut: bool = False
    ran_in_quarantine: bool = False


@cache
def standing(known: tuple) -> Standing:
    """What the packages' quarantine says of the request after these ends."""
    quarantine = Quarantine()
    for end in known:
        told = EngineEnd(end.engine, end.on_trial)
        quarantine.record_end(EndReport(REQUEST, 1, 'workspace', told), 0.0)
    return quarantine.standing(REQUEST, 0.0)


def transitions(state: State, variant: str) -> Steps:
    """Every step that may come next."""
    if state == State():
        yield 'the boxes are cut off from each other', state._replace(cut=True)
    for name in ('owner', 'other'):
        box = getattr(state, name)
        if box.runs:
            yield f'engine ends at {name}', _ended(state, name, variant)
        else:
            yield from _copies(state, name, variant)
    if state.cut:
        yield from _heard_from_store(state)
        return
    if standing(state.owner.known) is not Standing.CLEAR:
        heard = _joined(state.other.known, state.owner.known)
        yield 'the other hears', state._replace(other=state.other._replace(known=heard))
        yield 'the store is written', state._replace(stored=state.owner.known)
    at_rest = not state.owner.runs and not state.other.runs
    if state.stored and state.stored == state.owner.known and at_rest and not state.all_gone:
        known = () if variant == 'the store is not read' else state.stored
        yield (
            'all boxes are gone',
            state._replace(owner=Box(known), other=Box(known), all_gone=True),
        )


def _heard_from_store(state: State) -> Steps:
    for name in ('owner', 'other'):
        box = getattr(state, name)
        heard = box._replace(known=_joined(box.known, state.stored))
        yield f'{name} hears of it from the store', state._replace(**{name: heard})


def _copies(state: State, name: str, variant: str) -> Steps:
    """A copy comes at a box that runs none."""
    box = getattr(state, name)
    found = standing(box.known)
    if found is Standing.CLEAR:
        yield f'copy runs at {name}', state._replace(**{name: box._replace(runs=FREE)})
    if found is not Standing.SUSPECT and variant != 'what is refused is asked for':
        return
    if found is Standing.CLEAR:
        return
    asked = box if state.cut else state.owner
    alone = state.cut or ALONE not in (state.owner.runs, state.other.runs)
    owner_allows = standing(asked.known) is Standing.SUSPECT
    if variant == 'runs are not alone':
        alone = True
    if variant == 'what is refused is asked for':
        owner_allows = True
    if alone and owner_allows:
        yield (
            f'copy runs alone at {name}',
            state._replace(
                **{name: box._replace(runs=ALONE)},
                ran_in_quarantine=found is Standing.QUARANTINED,
            ),
        )


def _ended(state: State, name: str, variant: str) -> State:
    box = getattr(state, name)
    if state.ended >= ENDS_COUNTED:
        return state
    end = End(state.ended + 1, box.runs == ALONE)
    after = state._replace(
        **{name: Box(_joined(box.known, (end,)))},
        ended=state.ended + 1,
    )
    if variant == 'each box counts for itself':
        return after
    if state.cut:
        return _ended_in_a_cut(after, name, variant)
    joined = _joined(after.owner.known, (end,))
    after = after._replace(owner=after.owner._replace(known=joined))
    if standing(joined) is Standing.CLEAR or variant == 'nothing comes back':
        return after
    # The box that tells of an end is told what is known of the request.
    told = getattr(after, name)
    return after._replace(**{name: told._replace(known=_joined(told.known, joined))})


def _ended_in_a_cut(after: State, name: str, variant: str) -> State:
    """The box joins what it met with the store, which answers both."""
    box = getattr(after, name)
    known = _joined(box.known, after.stored)
    is_written = standing(known) is not Standing.CLEAR or variant != 'first ends are not written'
    stored = known if is_written else after.stored
    return after._replace(**{name: box._replace(known=known)}, stored=stored)


def _joined(known: tuple, more: tuple) -> tuple:
    return tuple(sorted({*known, *more}))


SPEC = Spec(
    'quarantine',
    State(),
    transitions,
    {
        'one request ends four engines at most': (
            lambda state: state['ended'] <= ENDS_MAX or state['cut']
        ),
        'boxes that are cut off end one more at most': (
            lambda state: state['ended'] <= ENDS_MAX + 1
        ),
        'what is in quarantine does not run': lambda state: not state['ran_in_quarantine'],
    },
    {
        'each box counts for itself': 'one request ends four engines at most',
        'nothing comes back': 'one request ends four engines at most',
        'runs are not alone': 'one request ends four engines at most',
        'the store is not read': 'one request ends four engines at most',
        'first ends are not written': 'boxes that are cut off end one more at most',
        'what is refused is asked for': 'what is in quarantine does not run',
    },
)
