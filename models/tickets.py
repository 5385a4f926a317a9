"""Tickets: a caller sends a call twice; the box may crash, pause and lose answers.

A pause is any interleaving in which the box takes no step.  Attempt states:
`new`, `held` (at the box), `begun` (the ticket is marked), `in-transit` (being
sent to the engine; `in-transit-after-crash` if the box has crashed since),
`running`, `done`, and those named after the report to the caller: `no` (did not
run), `unknown`, or `lost` (no report).
"""

from typing import NamedTuple

from seamhold_attempts.tickets import TicketState, begin_state, not_run_state
from seamhold_messages.errors import KeyInUse

from .base import Spec, Steps

ATTEMPTS = (0, 1)
GONE = 'gone'


class State(NamedTuple):
    """One ticket, the incarnation of the box that issued it, and two attempts of one call."""

    incarnation: int = 0
    ticket: str = TicketState.OPEN
    attempts: tuple[str, str] = ('new', 'new')
    ran: tuple[int, int] = (0, 0)


def move_attempt(state: State, number: int, to: str, **changes) -> State:
    """Return the state with one attempt moved to state `to`."""
    attempts = list(state.attempts)
    attempts[number] = to
    return state._replace(attempts=tuple(attempts), **changes)


def run_attempt(state: State, number: int) -> State:
    """The engine runs an attempt."""
    ran = list(state.ran)
    ran[number] = min(2, ran[number] + 1)
    return move_attempt(state, number, 'running', ran=tuple(ran))


def arrive(state: State, number: int, variant: str) -> State:
    """An attempt reaches the ticket's box, or a later incarnation of it."""
    if state.incarnation and variant != 'ticket outlives its box':
        return move_attempt(state, number, 'unknown')
    return move_attempt(state, number, 'held')


def begin(state: State, number: int, variant: str) -> State:
    """The box marks the ticket before it sends the first byte."""
    if variant == 'two begin at once':
        return move_attempt(state, number, 'begun', ticket=TicketState.DISPATCHED)
    if state.ticket == GONE:
        return move_attempt(state, number, 'unknown')
    try:
        ticket = begin_state(TicketState(state.ticket))
    except KeyInUse:
        return move_attempt(state, number, 'unknown')
    return move_attempt(state, number, 'begun', ticket=ticket)


def not_run(state: State, number: int) -> State:
    """The attempt did not run: the caller is told and the ticket is open again."""
    if state.ticket == GONE:
        return move_attempt(state, number, 'no')
    return move_attempt(state, number, 'no', ticket=not_run_state(TicketState(state.ticket)))


def crash(state: State, variant: str) -> State:
    """The box crashes and restarts; bytes that it sent still arrive."""
    attempts = tuple(
        'in-transit-after-crash' if attempt == 'in-transit' else attempt
        for attempt in (
            'lost' if attempt in ('held', 'begun', 'running') else attempt
            for attempt in state.attempts
        )
    )
    kept = variant == 'ticket outlives its box'
    ticket = TicketState.OPEN if kept else GONE
    return state._replace(incarnation=1, ticket=ticket, attempts=attempts)


def transitions(state: State, variant: str) -> Steps:
    """Yield every possible next step."""
    for number in ATTEMPTS:
        attempt = state.attempts[number]
        if attempt == 'new':
            yield f'send {number}', arrive(state, number, variant)
        elif attempt == 'held':
            yield f'refuse {number}', move_attempt(state, number, 'no')
            yield f'begin {number}', begin(state, number, variant)
        elif attempt == 'begun':
            yield f'deadline {number}', not_run(state, number)
            yield f'send to engine {number}', move_attempt(state, number, 'in-transit')
        elif attempt == 'in-transit':
            yield f'engine refuses {number}', not_run(state, number)
            yield f'engine runs {number}', run_attempt(state, number)
            if variant == 'a time-out is reported as not run':
                yield (
                    f'time-out {number}',
                    run_attempt(not_run(state, number), number)._replace(
                        attempts=not_run(state, number).attempts
                    ),
                )
        elif attempt == 'in-transit-after-crash':
            yield f'engine runs {number}', move_attempt(run_attempt(state, number), number, 'lost')
        elif attempt == 'running':
            done = TicketState.DONE if state.ticket != GONE else GONE
            yield f'answer {number}', move_attempt(state, number, 'done', ticket=done)
            yield f'engine breaks {number}', move_attempt(state, number, 'unknown', ticket=done)
    if state.incarnation == 0:
        yield 'crash', crash(state, variant)


SPEC = Spec(
    'tickets',
    State(),
    transitions,
    {
        'at most one run': lambda state: sum(state['ran']) <= 1,
        'a call reported as not run did not run': lambda state: all(
            not (outcome == 'no' and ran)
            for outcome, ran in zip(state['attempts'], state['ran'], strict=True)
        ),
    },
    {
        'ticket outlives its box': 'at most one run',
        'two begin at once': 'at most one run',
        'a time-out is reported as not run': 'a call reported as not run did not run',
    },
)
