"""Evacuation: lists arrive late, out of order and from peers.

Decisions are made by the packages' own `Router`, with the decider's rule that a list
is ignored unless it is newer than the one in use.  Operators evacuate a failure domain,
cancel that and evacuate it again; versions of the list reach the box from the store and
from peers in any order.  Once the box has received an evacuation, no older list may
send work to the domain; once it has received the cancellation, the engines serve again
and count as cold.
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
RECEIVED_MAX = 4


class Listing(NamedTuple):
    """A version of the list of evacuations."""

    version: int
    evacuated: bool


class State(NamedTuple):
    """The store's versions of the list, those that the box received, and where it sent work."""

    listings: tuple = (Listing(0, False),)
    received: tuple = ()
    sent_evacuated: bool = False
    sent_cold: bool = False


class Serving(NamedTuple):
    """Whether the engine gets work and whether it counts as cold."""

    work: bool
    cold: bool


@cache
def serving_after(received: tuple, variant: str) -> Serving:
    """Return how the packages' router treats the engine after these lists, in this order."""
    service = FleetService('plain', cold_seconds=COLD_SECONDS, cold_requests_per_second=1.0)
    router = Router('box', 'x')
    router.use_settings(Tree(FleetSpec(services={SERVICE: service})))
    router.set_boxes([Box('box', '10.0.0.1:1')], 0.0)
    router.set_engines([Engine('engine', SERVICE, '', DOMAIN, '1')], 0.0)
    newest_received = -1
    for listing in received:
        if listing.version <= newest_received and variant != 'an older list is accepted':
            continue
        newest_received = listing.version
        evacuations = [Evacuation(DOMAIN)] if listing.evacuated else []
        router.set_evacuations(evacuations, 0.0)
        if variant == 'engines come back warm':
            router.engines.cold_seconds = {}
    serving = router.engines.serving(SERVICE, 0.0)
    return Serving(bool(serving.engines), bool(serving.cold))


def transitions(state: State, variant: str) -> Steps:
    """Yield every possible next step."""
    newest = state.listings[-1]
    if newest.version < VERSIONS_MAX:
        after = Listing(newest.version + 1, not newest.evacuated)
        label = 'evacuate' if after.evacuated else 'cancel evacuation'
        yield label, state._replace(listings=(*state.listings, after))
    if len(state.received) < RECEIVED_MAX:
        for listing in state.listings:
            yield (
                f'receive version {listing.version}',
                state._replace(received=(*state.received, listing)),
            )
    if not state.received:
        return
    serving = serving_after(state.received, variant)
    newest_received = max(state.received)
    seen_evacuated = any(listing.evacuated for listing in _accepted(state.received))
    if serving.work:
        yield (
            'work',
            state._replace(
                sent_evacuated=newest_received.evacuated,
                sent_cold=not newest_received.evacuated and seen_evacuated and not serving.cold,
            ),
        )


def _accepted(received: tuple) -> list[Listing]:
    """Return the lists that were newer than all received before them."""
    accepted: list[Listing] = []
    for listing in received:
        if not accepted or listing.version > accepted[-1].version:
            accepted.append(listing)
    return accepted


SPEC = Spec(
    'evacuation',
    State(),
    transitions,
    {
        'no new work while known to be evacuated': lambda state: not state['sent_evacuated'],
        'engines that come back are cold': lambda state: not state['sent_cold'],
    },
    {
        'an older list is accepted': 'no new work while known to be evacuated',
        'engines come back warm': 'engines that come back are cold',
    },
)
