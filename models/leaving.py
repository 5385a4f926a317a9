"""Leaving: a list that lags, news out of order, and an engine that restarts.

The box's view is the packages' own `EngineView`.  The engine has two starts;
the first leaves.  Once the box knows that, no list that still shows the
engine as live may bring it new work; the second start may.
"""

from functools import cache
from typing import NamedTuple

from seamhold_membership import EngineView
from seamhold_messages.fleet import Engine, Phase

from .base import Spec, Steps

ENGINE = 'engine'
SERVICE = 'service'


class Listing(NamedTuple):
    """What the platform's list says of the engine."""

    incarnation: str
    phase: Phase


class State(NamedTuple):
    """The engine, what lists may say of it, and what the box was told."""

    incarnation: str = '1'
    leaving: bool = False
    listings: tuple = (Listing('1', Phase.LIVE),)
    told: tuple = (Listing('1', Phase.LIVE),)
    knows: bool = False
    sent_to_leaving: bool = False


@cache
def serves(told: tuple, variant: str) -> bool:
    """Whether the packages' view gives the engine work after this news.

    News is lists in the order they came; a leaving event is a listing of
    phase SUSPECT here, which no list has.
    """
    view = EngineView()
    for listing in told:
        if listing.phase is Phase.SUSPECT:
            view.mark_leaving(ENGINE, listing.incarnation)
            continue
        if variant == 'a list overrides what was learned':
            view = EngineView()
        engine = Engine(ENGINE, SERVICE, '', '', listing.incarnation, phase=listing.phase)
        view.set_list([engine], 0.0)
    return bool(view.serving(SERVICE, 0.0).engines)


def transitions(state: State, variant: str) -> Steps:
    """Every step that may come next."""
    if not state.leaving and state.incarnation == '1':
        listing = Listing('1', Phase.LEAVING)
        yield (
            'engine leaves',
            state._replace(leaving=True, listings=(*state.listings, listing)),
        )
    if state.leaving:
        listing = Listing('2', Phase.LIVE)
        yield (
            'engine starts anew',
            state._replace(incarnation='2', leaving=False, listings=(*state.listings, listing)),
        )
    if len(state.told) < 5:
        for listing in state.listings:
            knows = state.knows or listing.phase is Phase.LEAVING
            yield (
                f'list says {listing.incarnation} {listing.phase}',
                state._replace(told=(*state.told, listing), knows=knows),
            )
        if state.leaving:
            event = Listing('1', Phase.SUSPECT)
            yield 'event', state._replace(told=(*state.told, event), knows=True)
    if serves(state.told, variant) and state.knows:
        last = [item for item in state.told if item.phase is not Phase.SUSPECT][-1]
        yield 'work', state._replace(sent_to_leaving=last.incarnation == '1')


SPEC = Spec(
    'leaving',
    State(),
    transitions,
    {'no new work once known to leave': lambda state: not state['sent_to_leaving']},
    {'a list overrides what was learned': 'no new work once known to leave'},
)
