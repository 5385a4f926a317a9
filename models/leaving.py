"""Leaving: a lagging list, updates out of order, and an engine that restarts.

The box's view is the packages' own `EngineView`.  The engine has two incarnations;
the first leaves.  Once the box has received that, it sends the first no new work,
even if a list still shows it as live; the second incarnation may get work.
"""

from functools import cache
from typing import NamedTuple

from seamhold_membership import EngineView
from seamhold_messages.fleet import Engine, Phase

from .base import Spec, Steps

ENGINE = 'engine'
SERVICE = 'service'


class Listing(NamedTuple):
    """The engine's entry in the platform's list."""

    incarnation: str
    phase: Phase


class State(NamedTuple):
    """The engine, its possible list entries, and the updates that the box received."""

    incarnation: str = '1'
    leaving: bool = False
    listings: tuple = (Listing('1', Phase.LIVE),)
    received: tuple = (Listing('1', Phase.LIVE),)
    knows_leaving: bool = False
    sent_to_leaving: bool = False


@cache
def gets_work_after(received: tuple, variant: str) -> bool:
    """Whether the packages' view gives the engine work after these updates.

    Updates are list entries in the order of arrival.  A leaving event is encoded as
    an entry of phase SUSPECT, which never occurs in a list.
    """
    view = EngineView()
    for listing in received:
        if listing.phase is Phase.SUSPECT:
            view.mark_leaving(ENGINE, listing.incarnation, 0.0)
            continue
        if variant == 'a list overrides received events':
            view = EngineView()
        engine = Engine(ENGINE, SERVICE, '', '', listing.incarnation, phase=listing.phase)
        view.set_list([engine], 0.0)
    return bool(view.serving(SERVICE, 0.0).engines)


def transitions(state: State, variant: str) -> Steps:
    """Yield every possible next step."""
    if not state.leaving and state.incarnation == '1':
        listing = Listing('1', Phase.LEAVING)
        yield (
            'engine leaves',
            state._replace(leaving=True, listings=(*state.listings, listing)),
        )
    if state.leaving:
        listing = Listing('2', Phase.LIVE)
        yield (
            'engine restarts',
            state._replace(incarnation='2', leaving=False, listings=(*state.listings, listing)),
        )
    if len(state.received) < 5:
        for listing in state.listings:
            knows_leaving = state.knows_leaving or listing.phase is Phase.LEAVING
            yield (
                f'list says {listing.incarnation} {listing.phase}',
                state._replace(received=(*state.received, listing), knows_leaving=knows_leaving),
            )
        if state.leaving:
            event = Listing('1', Phase.SUSPECT)
            yield 'event', state._replace(received=(*state.received, event), knows_leaving=True)
    if gets_work_after(state.received, variant) and state.knows_leaving:
        last = [item for item in state.received if item.phase is not Phase.SUSPECT][-1]
        yield 'work', state._replace(sent_to_leaving=last.incarnation == '1')


SPEC = Spec(
    'leaving',
    State(),
    transitions,
    {'no new work once known to be leaving': lambda state: not state['sent_to_leaving']},
    {'a list overrides received events': 'no new work once known to be leaving'},
)
