"""Watching: watchers in turns, and a store that loses answers while connections stay open.

The turns are those of the packages' own `WatchTurn`.  A tick is the interval at which some
watch of the fleet is to begin.  A watch that is open or begun while the store is silent is not
answered any more.  One box that learns of a change tells all within a tick.
"""

from itertools import product
from typing import NamedTuple

from seamhold_routing import WatchTurn
from seamhold_routing.watchers import WATCH_INTERVAL_SECONDS

from .base import Spec, Steps

WATCHERS = 4
SILENCES = 2
CHANGES = 3
#: Ticks for which a change may be unknown to all boxes while the store answers.
UNKNOWN_TICKS_MAX = 1


class State(NamedTuple):
    """The open watches, whether the store is silent, and the newest change.

    `now` is the time in ticks within a round of turns, `left` are the ticks until each watch
    ends; a `deaf` watch is not answered.  `unknown` counts the ticks since a change that no box
    knows, None if there is none.
    """

    left: tuple[int, ...]
    deaf: tuple[bool, ...] = (False,) * WATCHERS
    now: int = 0
    silent: bool = False
    unknown: int | None = None
    changes: int = 0
    silences: int = 0


def ticks(watcher: int, now: int, variant: str) -> int:
    """Return how many ticks a watch lasts that a watcher begins at `now`."""
    if variant == 'watches begin and end together':
        return WATCHERS
    seconds = WatchTurn(watcher, WATCHERS).seconds(now * WATCH_INTERVAL_SECONDS)
    return round(seconds / WATCH_INTERVAL_SECONDS)


def change(state: State, variant: str) -> State:
    """The store acknowledges a change, which ends the watches that it answers."""
    state = state._replace(changes=state.changes + 1)
    if all(state.deaf):
        return state._replace(unknown=state.unknown or 0)
    left = tuple(
        left if deaf else ticks(watcher, state.now, variant)
        for watcher, (left, deaf) in enumerate(zip(state.left, state.deaf, strict=True))
    )
    return state._replace(left=left, unknown=None)


def tick(state: State, variant: str) -> State:
    """Time passes: watches end, and their watchers begin new ones."""
    now = (state.now + 1) % WATCHERS
    left, deaf, known = list(state.left), list(state.deaf), False
    for watcher in range(WATCHERS):
        if deaf[watcher] and variant == 'an unanswered watch stays open':
            continue
        left[watcher] = max(0, left[watcher] - 1)
        if left[watcher] or (deaf[watcher] and state.silent):
            # While the store is silent lists fail as well, and are tried again.
            continue
        known = True
        left[watcher] = ticks(watcher, now, variant)
        deaf[watcher] = state.silent
    unknown = state.unknown
    if unknown is not None:
        unknown = None if known and not state.silent else unknown + (not state.silent)
    return state._replace(left=tuple(left), deaf=tuple(deaf), now=now, unknown=unknown)


def transitions(state: State, variant: str) -> Steps:
    """Yield every possible next step."""
    yield 'tick', tick(state, variant)
    if not state.silent and state.changes < CHANGES:
        yield 'change', change(state, variant)
    if not state.silent and state.silences < SILENCES:
        for struck in product((False, True), repeat=WATCHERS):
            deaf = tuple(a or b for a, b in zip(state.deaf, struck, strict=True))
            yield (
                f'silence for {struck}',
                state._replace(silent=True, deaf=deaf, silences=state.silences + 1),
            )
    if state.silent:
        unknown = None if state.unknown is None else 0
        yield 'the store answers', state._replace(silent=False, unknown=unknown)


SPEC = Spec(
    'watching',
    State(tuple(ticks(watcher, 0, '') for watcher in range(WATCHERS))),
    transitions,
    {'a change is known soon': lambda state: (state['unknown'] or 0) <= UNKNOWN_TICKS_MAX},
    {
        'watches begin and end together': 'a change is known soon',
        'an unanswered watch stays open': 'a change is known soon',
    },
)
