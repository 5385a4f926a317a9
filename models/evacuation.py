"""Evacuation: lists that come late, out of order and from peers, and boxes that restart.

The box's decision is the packages' own `Router` by way of the decider's rule: a list
that is not newer than the one in use is passed over.  The operators evacuate a failure
domain, take it back and evacuate it again; the store's list and copies of it at peers
reach the box in any order.  Once the box knows of the newest order no older list may
bring work there; once it knows that it was taken back, the engines serve again, cold.
"""

from functools import cache
from typing import NamedTuple

from seamhold_messages.fleet import Box, Engine, Evacuation
from seamhold_routing import Router
from seamhold_settings import FleetSpec, Tree
from seamhold_settings.schema import FleetService

from .base import Spec, Steps

SERVICE = 'service'
DOMAIN = 'domain'
COLD_SECONDS = 3.0
VERSIONS_MAX = 3
TOLD_MAX = 4


class Listing(NamedTuple):
    """A version of the list of evacuations."""

    version: int
    evacuated: bool


class State(NamedTuple):
    """What the store's list was, what the box was told, and where it sent work."""

    listings: tuple = (Listing(0, False),)
    told: tuple = ()
    sent_evacuated: bool = False
    sent_cold: bool = False


class Serves(NamedTuple):
    """Whether the engine gets work, and whether it is taken to be cold."""

    work: bool
    cold: bool


@cache
def serves(told: tuple, variant: str) -> Serves:
    """What the packages' router gives the engine after these lists, in their order."""
    service = FleetService('plain', cold_seconds=COLD_SECONDS, cold_requests_per_second=1.0)
    router = Router('box', 'x')
    router.use_settings(Tree(FleetSpec(services={SERVICE: service})))
    router.set_boxes([Box('box', '10.0.0.1:1')], 0.0)
    router.set_engines([Engine('engine', SERVICE, '', DOMAIN, '1')], 0.0)
    known = -1
    for listing in told:
        if listing.version <= known and variant != 'an older list is taken':
            continue
        known = listing.version
        evacuations = [Evacuation(DOMAIN)] if listing.evacuated else []
        router.set_evacuations(evacuations, 0.0)
        if variant == 'engines come back warm':
            router.engines.cold_seconds = {}
    serving = router.engines.serving(SERVICE, 0.0)
    return Serves(bool(serving.engines), bool(serving.cold))


def transitions(state: State, variant: str) -> Steps:
    """Every step that may come next."""
    newest = state.listings[-1]
    if newest.version < VERSIONS_MAX:
        after = Listing(newest.version + 1, not newest.evacuated)
        label = 'evacuate' if after.evacuated else 'take back'
        yield label, state._replace(listings=(*state.listings, after))
    if len(state.told) < TOLD_MAX:
        for listing in state.listings:
            yield (
                f'told version {listing.version}',
                state._replace(told=(*state.told, listing)),
            )
    if not state.told:
        return
    found = serves(state.told, variant)
    known = max(state.told)
    seen_evacuated = any(listing.evacuated for listing in _taken(state.told))
    if found.work:
        yield (
            'work',
            state._replace(
                sent_evacuated=known.evacuated,
                sent_cold=not known.evacuated and seen_evacuated and not found.cold,
            ),
        )


def _taken(told: tuple) -> list[Listing]:
    """The lists that were newer than those before them."""
    taken: list[Listing] = []
    for listing in told:
        if not taken or listing.version > taken[-1].version:
            taken.append(listing)
    return taken


SPEC = Spec(
    'evacuation',
    State(),
    transitions,
    {
        'no new work while known to be evacuated': lambda state: not state['sent_evacuated'],
        'engines that come back are cold': lambda state: not state['sent_cold'],
    },
    {
        'an older list is taken': 'no new work while known to be evacuated',
        'engines come back warm': 'engines that come back are cold',
    },
)
