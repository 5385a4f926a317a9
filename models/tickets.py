"""Tickets: a caller sends twice; the box may crash, pause and lose answers.

A pause is any interleaving in which the box takes no step.  Attempt states:
`new`, `held` (at the box), `begun` (the ticket is marked), `flying` (bytes
on their way to the engine), `running`, `done`, and what its caller was told:
`no`, `unknown`, or nothing (`lost`).
"""

from typing import NamedTuple

from seamhold_attempts.tickets import TicketState, begin_state, not_run_state
from seamhold_messages.errors import KeyInUse

from .base import Spec, Steps

ATTEMPTS = (0, 1)
GONE = 'gone'


class State(NamedTuple):
    """One ticket, the box that gave it, and two sends of the same call."""

    incarnation: int = 0
    ticket: str = TicketState.OPEN
    attempts: tuple[str, str] = ('new', 'new')
    ran: tuple[int, int] = (0, 0)


def moved(state: State, number: int, to: str, **changes) -> State:
    """The state after one attempt moved on."""
    attempts = list(state.attempts)
    attempts[number] = to
    return state._replace(attempts=tuple(attempts), **changes)


def runs(state: State, number: int) -> State:
    """The engine runs an attempt."""
    ran = list(state.ran)
    ran[number] = min(2, ran[number] + 1)
    return moved(state, number, 'running', ran=tuple(ran))


def arrive(state: State, number: int, variant: str) -> State:
    """A send reaches the box that stands where the ticket's box stood."""
    if state.incarnation and variant != 'ticket outlives its box':
        return moved(state, number, 'unknown')
    return moved(state, number, 'held')


def begin(state: State, number: int, variant: str) -> State:
    """The step before the first byte."""
    if variant == 'two begin at once':
        return moved(state, number, 'begun', ticket=TicketState.DISPATCHED)
    if state.ticket == GONE:
        return moved(state, number, 'unknown')
    try:
        ticket = begin_state(TicketState(state.ticket))
    except KeyInUse:
        return moved(state, number, 'unknown')
    return moved(state, number, 'begun', ticket=ticket)


def not_run(state: State, number: int) -> State:
    """Nothing ran: the caller is told so and the ticket is open again."""
    if state.ticket == GONE:
        return moved(state, number, 'no')
    return moved(state, number, 'no', ticket=not_run_state(TicketState(state.ticket)))


def crash(state: State, variant: str) -> State:
    """The box ends and starts anew; bytes that left it still arrive."""
    attempts = tuple(
        'flying-alone' if attempt == 'flying' else attempt
        for attempt in (
            'lost' if attempt in ('held', 'begun', 'running') else attempt
            for attempt in state.attempts
        )
    )
    kept = variant == 'ticket outlives its box'
    ticket = TicketState.OPEN if kept else GONE
    return state._replace(incarnation=1, ticket=ticket, attempts=attempts)


def transitions(state: State, variant: str) -> Steps:
    """Every step that may come next."""
    for number in ATTEMPTS:
        attempt = state.attempts[number]
        if attempt == 'new':
            yield f'send {number}', arrive(state, number, variant)
        elif attempt == 'held':
            yield f'refuse {number}', moved(state, number, 'no')
            yield f'begin {number}', begin(state, number, variant)
        elif attempt == 'begun':
            yield f'deadline {number}', not_run(state, number)
            yield f'send to engine {number}', moved(state, number, 'flying')
        elif attempt == 'flying':
            yield f'engine refuses {number}', not_run(state, number)
            yield f'engine runs {number}', runs(state, number)
            if variant == 'a time-out is told as not run':
                yield (
                    f'time-out {number}',
                    runs(not_run(state, number), number)._replace(
                        attempts=not_run(state, number).attempts
                    ),
                )
        elif attempt == 'flying-alone':
            yield f'engine runs {number}', moved(runs(state, number), number, 'lost')
        elif attempt == 'running':
            done = TicketState.DONE if state.ticket != GONE else GONE
            yield f'answer {number}', moved(state, number, 'done', ticket=done)
            yield f'engine breaks {number}', moved(state, number, 'unknown', ticket=done)
    if state.incarnation == 0:
        yield 'crash', crash(state, variant)


SPEC = Spec(
    'tickets',
    State(),
    transitions,
    {
        'at most one run': lambda state: sum(state['ran']) <= 1,
        'told not run is not run': lambda state: all(
            not (told == 'no' and ran)
            for told, ran in zip(state['attempts'], state['ran'], strict=True)
        ),
    },
    {
        'ticket outlives its box': 'at most one run',
        'two begin at once': 'at most one run',
        'a time-out is told as not run': 'told not run is not run',
    },
)
