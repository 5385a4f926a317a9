"""Drain: a box that stops while calls come and go.

The gate is the router's own.  A balancer learns late that the box is not
ready, so calls still come.  None that entered may be cut, and one that is
turned away is told that it did not run.
"""

from typing import NamedTuple

from seamhold.entry import Gate
from seamhold_messages.errors import NotReady

from .base import Spec, Steps

CALLS = 2


class State(NamedTuple):
    """The gate, the calls that have not come yet, and what went wrong."""

    to_come: int = CALLS
    active: int = 0
    stopping: bool = False
    balancer_knows: bool = False
    closed: bool = False
    stopped: bool = False
    refused: int = 0
    cut: bool = False


def gate_of(state: State) -> Gate:
    """The router's gate in this state."""
    gate = Gate(limit=CALLS)
    for _ in range(state.active):
        gate.enter()
    if state.closed:
        gate.close()
    return gate


def arrive(state: State) -> State:
    """A call comes by the balancer or by an open connection."""
    gate = gate_of(state)
    try:
        gate.enter()
    except NotReady:
        return state._replace(to_come=state.to_come - 1, refused=state.refused + 1)
    return state._replace(to_come=state.to_come - 1, active=gate.active)


def leave(state: State) -> State:
    """A call's last byte is out."""
    gate = gate_of(state)
    gate.leave()
    return state._replace(active=gate.active)


def transitions(state: State, variant: str) -> Steps:
    """Every step that may come next."""
    if state.to_come and not state.stopped:
        yield 'call', arrive(state)
    if state.active and not state.stopped:
        yield 'call ends', leave(state)
    if not state.stopping:
        yield 'stop asked', state._replace(stopping=True)
    elif not state.balancer_knows:
        yield 'balancer sees it', state._replace(balancer_knows=True)
    if state.stopping and not state.closed:
        yield 'grace over', state._replace(closed=True)
    if state.closed and not state.stopped:
        empty = gate_of(state).wait_empty(0)
        if empty or variant == 'stops without waiting':
            yield 'stops', state._replace(stopped=True, cut=state.active > 0)


SPEC = Spec(
    'drain',
    State(),
    transitions,
    {
        'no call is cut': lambda state: not state['cut'],
        'refused only after the gate closed': lambda state: not state['refused'] or state['closed'],
    },
    {'stops without waiting': 'no call is cut'},
)
