"""Drain: a box stops while calls arrive and end.

The gate is the router's own class.  A load balancer notices late that the box
is not ready, so calls still arrive.  No accepted call may be cut off, and the
caller of a rejected one is told that the call did not run.
"""

from typing import NamedTuple

from seamhold.entry import Gate
from seamhold_messages.errors import NotReady

from .base import Spec, Steps

CALLS = 2


class State(NamedTuple):
    """The gate, the calls that have not arrived yet, and the violations."""

    pending_calls: int = CALLS
    active: int = 0
    stopping: bool = False
    balancer_notified: bool = False
    closed: bool = False
    stopped: bool = False
    refused: int = 0
    cut: bool = False


def make_gate(state: State) -> Gate:
    """Build the router's gate for this state."""
    gate = Gate(limit=CALLS)
    for _ in range(state.active):
        gate.enter()
    if state.closed:
        gate.close()
    return gate


def arrive(state: State) -> State:
    """A call arrives from the balancer or over an open connection."""
    gate = make_gate(state)
    try:
        gate.enter()
    except NotReady:
        return state._replace(pending_calls=state.pending_calls - 1, refused=state.refused + 1)
    return state._replace(pending_calls=state.pending_calls - 1, active=gate.active)


def leave(state: State) -> State:
    """The last byte of a call's response was sent."""
    gate = make_gate(state)
    gate.leave()
    return state._replace(active=gate.active)


def transitions(state: State, variant: str) -> Steps:
    """Yield every possible next step."""
    if state.pending_calls and not state.stopped:
        yield 'call', arrive(state)
    if state.active and not state.stopped:
        yield 'call ends', leave(state)
    if not state.stopping:
        yield 'stop requested', state._replace(stopping=True)
    elif not state.balancer_notified:
        yield 'balancer notices', state._replace(balancer_notified=True)
    if state.stopping and not state.closed:
        yield 'grace over', state._replace(closed=True)
    if state.closed and not state.stopped:
        empty = make_gate(state).wait_empty(0)
        if empty or variant == 'stops without waiting':
            yield 'stops', state._replace(stopped=True, cut=state.active > 0)


SPEC = Spec(
    'drain',
    State(),
    transitions,
    {
        'no call is cut off': lambda state: not state['cut'],
        'refused only after the gate closed': lambda state: not state['refused'] or state['closed'],
    },
    {'stops without waiting': 'no call is cut off'},
)
